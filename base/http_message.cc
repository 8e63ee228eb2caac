#include "base/http_message.h"

namespace cuminjunction {

namespace {

// Colon, space and line end of a header line.
constexpr size_t kHeaderLineOverhead = 4;

}  // namespace

bool IsText(std::string_view text) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if ((byte < 0x20 && byte != '\t') || byte == 0x7f)
      return false;
  }
  return true;
}

bool IsWord(std::string_view text) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= 0x20 || byte >= 0x7f)
      return false;
  }
  return !text.empty();
}

size_t HeaderBytes(const HeaderList& headers) {
  size_t bytes = 0;
  for (const auto& [name, value] : headers)
    bytes += name.size() + value.size() + kHeaderLineOverhead;
  return bytes;
}

bool IsValidHeader(std::string_view name, std::string_view value) {
  return IsWord(name) && name.find(':') == std::string_view::npos &&
         IsText(value);
}

}  // namespace cuminjunction
