#ifndef BASE_HTTP_MESSAGE_H_
#define BASE_HTTP_MESSAGE_H_

// Parts of HTTP messages that servers, clients and the frames between
// processes share: header fields, their limits and their checks.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminjunction {

// Header fields of HTTP in the order they arrived.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Bytes of a whole request or response body.
inline constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;

// Bytes of the header block of a request: names, values and path.
inline constexpr size_t kMaxHeaderBytes = 32 * 1024;

// Bytes of the header block of an answer.
inline constexpr size_t kMaxAnswerHeaderBytes = 16 * 1024;

// Bytes that a header block takes up in HTTP/1.1, without its final line.
size_t HeaderBytes(const HeaderList& headers);

// True when a header field can be passed on in HTTP as it is.
bool IsValidHeader(std::string_view name, std::string_view value);

// True when no byte would end or damage a line of HTTP.
bool IsText(std::string_view text);

// Printable ASCII without a space, as a method or a path needs.
bool IsWord(std::string_view text);

// True for a status that ends a request.
inline bool IsFinalStatus(uint32_t status) {
  return status >= 200 && status <= 999;
}

}  // namespace cuminjunction

#endif  // BASE_HTTP_MESSAGE_H_
