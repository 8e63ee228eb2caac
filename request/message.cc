#include "request/message.h"

#include <charconv>

#include "base/strings.h"

namespace cuminjunction {

namespace {

// Limit for the names of processes, client accounts, services and methods.
constexpr size_t kMaxNameBytes = 256;

bool IsName(std::string_view text) {
  return text.size() <= kMaxNameBytes && IsText(text);
}

bool IsHeaderList(const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    if (!IsValidHeader(name, value))
      return false;
  }
  return true;
}

bool IsId(const AttemptId& id) {
  return id.request.entry_incarnation > 0 && id.request.number > 0 &&
         id.attempt > 0;
}

Status Check(bool valid) {
  if (!valid)
    return MessageError::kBadField;
  return Ok();
}

// Checks the size of a body and that of its beginning, which is empty only when
// the body is.
Status CheckBody(uint64_t body_size, size_t first_size) {
  if (body_size > kMaxBodyBytes || first_size > kMaxChunkBytes)
    return MessageError::kTooLarge;
  return Check(first_size <= body_size && (first_size > 0 || body_size == 0));
}

Status CheckChunk(const AttemptId& id, size_t size) {
  if (size > kMaxChunkBytes)
    return MessageError::kTooLarge;
  return Check(IsId(id) && size > 0);
}

Status CheckFields(const Hello& message) {
  return Check(message.protocol == kProtocolVersion &&
               message.incarnation > 0 && IsName(message.process));
}

Status CheckFields(const Submit& message) {
  if (HeaderBytes(message.headers) + message.path.size() > kMaxHeaderBytes)
    return MessageError::kTooLarge;
  BOOST_OUTCOME_TRY(CheckBody(message.body_size, message.bytes.size()));
  return Check(IsId(message.id) && IsName(message.account) &&
               IsName(message.service) && message.urgency <= Urgency::kBatch &&
               IsValidHead(message.method, message.path, message.headers));
}

Status CheckFields(const BodyChunk& message) {
  return CheckChunk(message.id, message.bytes.size());
}

Status CheckFields(const AnswerHead& message) {
  if (HeaderBytes(message.headers) > kMaxAnswerHeaderBytes)
    return MessageError::kTooLarge;
  BOOST_OUTCOME_TRY(CheckBody(message.body_size, message.bytes.size()));
  return Check(IsId(message.id) && IsFinalStatus(message.status) &&
               IsHeaderList(message.headers));
}

Status CheckFields(const AnswerChunk& message) {
  return CheckChunk(message.id, message.bytes.size());
}

Status CheckFields(const AnswerBroken& message) {
  return Check(IsId(message.id) && message.reason <= BrokenReason::kCancelled);
}

Status CheckFields(const Refused& message) {
  return Check(IsId(message.id) && message.reason != Refusal::kNone &&
               message.reason <= Refusal::kLimit);
}

Status CheckFields(const CancelAttempt& message) {
  return Check(IsId(message.id));
}

Status CheckFields(const Leaving& /*message*/) {
  return Ok();
}

template <class T>
Result<Message> Read(std::string_view bytes) {
  BOOST_OUTCOME_TRY(message, Decode<T>(bytes));
  BOOST_OUTCOME_TRY(CheckFields(message));
  return Message(std::move(message));
}

template <size_t kIndex = 0>
Result<Message> ReadTagged(size_t index, std::string_view bytes) {
  if constexpr (kIndex < std::variant_size_v<Message>) {
    if (index == kIndex)
      return Read<std::variant_alternative_t<kIndex, Message>>(bytes);
    return ReadTagged<kIndex + 1>(index, bytes);
  } else {
    return MessageError::kUnknownTag;
  }
}

}  // namespace

std::string_view ErrorTraits<MessageError>::Message(MessageError error) {
  switch (error) {
    case MessageError::kEmpty:
      return "message is empty";
    case MessageError::kUnknownTag:
      return "message tag is unknown";
    case MessageError::kBadField:
      return "message field is out of range";
    case MessageError::kTooLarge:
      return "message exceeds a size limit";
    case MessageError::kUnexpected:
      return "message type is not allowed in this state of the connection";
    case MessageError::kWrongPeer:
      return "process name or incarnation of the peer does not match";
  }
  return "unknown message error";
}

bool IsValidHead(std::string_view method,
                 std::string_view path,
                 const HeaderList& headers) {
  return IsName(method) && IsWord(method) && IsWord(path) &&
         path.front() == '/' && IsHeaderList(headers);
}

std::string_view ToString(BrokenReason reason) {
  switch (reason) {
    case BrokenReason::kCutOff:
      return "cut-off";
    case BrokenReason::kTooLarge:
      return "too-large";
    case BrokenReason::kDeadline:
      return "deadline";
    case BrokenReason::kCancelled:
      return "cancelled";
  }
  return "cut-off";
}

Result<Message> ReadMessage(std::string_view payload) {
  if (payload.empty())
    return MessageError::kEmpty;
  const auto tag = static_cast<unsigned char>(payload.front());
  if (tag == 0)
    return MessageError::kUnknownTag;
  return ReadTagged(tag - 1, payload.substr(1));
}

std::string ToString(const RequestId& id) {
  return StrCat(id.entry_incarnation, "-", id.number);
}

Result<RequestId> ParseRequestId(std::string_view text) {
  const size_t dash = text.find('-');
  if (dash == std::string_view::npos)
    return MessageError::kBadField;
  RequestId id;
  const char* middle = text.data() + dash;
  const char* end = text.data() + text.size();
  const auto first = std::from_chars(text.data(), middle, id.entry_incarnation);
  const auto second = std::from_chars(middle + 1, end, id.number);
  if (first.ec != std::errc() || first.ptr != middle ||
      second.ec != std::errc() || second.ptr != end)
    return MessageError::kBadField;
  return id;
}

}  // namespace cuminjunction
