#include "testing/support/call_reply.h"

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cuminjunction {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr size_t kLongestHead = 64 * 1024;

bool SameWord(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  return text;
}

std::optional<size_t> ToNumber(std::string_view text) {
  size_t number = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (read.ec != std::errc() || read.ptr != text.data() + text.size())
    return std::nullopt;
  return number;
}

// Reads the head up to its empty line. Returns the length of the body, or
// nullopt when the head is damaged or gives none.
std::optional<size_t> ParseHead(std::string_view head, CallReply* reply) {
  if (!head.starts_with("HTTP/1.1 ") || head.size() < 12)
    return std::nullopt;
  const std::optional<size_t> status = ToNumber(head.substr(9, 3));
  if (!status)
    return std::nullopt;
  reply->status = static_cast<int>(*status);
  std::optional<size_t> length;
  for (size_t at = head.find("\r\n"); at != std::string_view::npos;) {
    head.remove_prefix(at + 2);
    at = head.find("\r\n");
    const std::string_view line = head.substr(0, at);
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos)
      continue;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = Trim(line.substr(colon + 1));
    if (SameWord(name, "Content-Length"))
      length = ToNumber(value);
    else if (SameWord(name, "Cuminjunction-Outcome"))
      reply->outcome = std::string(value);
    else if (SameWord(name, "Connection"))
      reply->closes = SameWord(value, "close");
  }
  return length;
}

}  // namespace

std::optional<CallReply> CallReplyReader::Next() {
  const size_t end = this->buffer.find(kHeadEnd);
  if (end == std::string::npos) {
    this->broken = this->buffer.size() > kLongestHead;
    return std::nullopt;
  }
  CallReply reply;
  const std::optional<size_t> length =
      ParseHead(std::string_view(this->buffer).substr(0, end), &reply);
  if (!length) {
    this->broken = true;
    return std::nullopt;
  }
  const size_t start = end + kHeadEnd.size();
  if (this->buffer.size() < start + *length)
    return std::nullopt;
  reply.body = this->buffer.substr(start, *length);
  this->buffer.erase(0, start + *length);
  return reply;
}

}  // namespace cuminjunction
