#ifndef REQUEST_MESSAGE_H_
#define REQUEST_MESSAGE_H_

// Messages between an entry and an agent.
//
// Each message is the payload of one frame (base/frame.h): a tag byte and the
// encoded fields.
//
//   std::string payload;
//   AppendMessage(CancelAttempt{id, deadline_us}, &payload);
//   Result<Message> message = ReadMessage(payload);
//
// ReadMessage validates every id, size and enumerator, so its callers need no
// further checks.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/codec.h"
#include "base/error.h"
#include "base/http_message.h"
#include "request/types.h"

namespace cuminjunction {

enum class MessageError {
  kEmpty = 1,
  kUnknownTag,
  kBadField,
  kTooLarge,
  kUnexpected,
  kWrongPeer,
};

template <>
struct ErrorTraits<MessageError> {
  static constexpr const char* kCategory = "message";
  static std::string_view Message(MessageError error);
};

// Version of the message protocol. A connection from a peer with another
// version is closed.
inline constexpr uint32_t kProtocolVersion = 1;

// The most bytes of a body in one frame.
inline constexpr size_t kMaxChunkBytes = 64 * 1024;

// True when a request line and its headers can be forwarded over HTTP
// unchanged. A Submit or an answer that breaks these rules is a protocol error
// and closes the connection, so each side validates requests and answers from
// outside before it sends them.
bool IsValidHead(std::string_view method,
                 std::string_view path,
                 const HeaderList& headers);

namespace message_internal {

template <class Archive, class E>
void SerializeEnum(Archive& archive, E& value) {
  auto raw = static_cast<uint8_t>(value);
  archive(raw);
  value = static_cast<E>(raw);
}

}  // namespace message_internal

// The first message in each direction.
struct Hello {
  uint32_t protocol = kProtocolVersion;
  // Name of the process, as announced by membership.
  std::string process;
  // Increases with each start of the process. The request ids of an entry
  // contain it.
  uint64_t incarnation = 0;

  bool operator==(const Hello&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->protocol, this->process, this->incarnation);
  }
};

// A new attempt with the first bytes of its body.
struct Submit {
  AttemptId id;
  std::string account;
  std::string service;
  Urgency urgency = Urgency::kNormal;
  // Microseconds since the Unix epoch.
  int64_t deadline_us = 0;
  bool idempotent = false;
  std::string method;
  std::string path;
  HeaderList headers;
  // Size of the whole body. `bytes` holds its beginning; BodyChunk messages
  // carry the rest.
  uint64_t body_size = 0;
  std::string bytes;

  bool operator==(const Submit&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->account, this->service);
    message_internal::SerializeEnum(archive, this->urgency);
    archive(this->deadline_us, this->idempotent, this->method, this->path,
            this->headers, this->body_size, this->bytes);
  }
};

// More bytes of the body of a Submit.
struct BodyChunk {
  AttemptId id;
  bool last = false;
  std::string bytes;

  bool operator==(const BodyChunk&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->last, this->bytes);
  }
};

// Status, headers and the first bytes of a response.
struct AnswerHead {
  AttemptId id;
  uint32_t status = 0;
  HeaderList headers;
  AgentLoad load;
  // Size of the whole body. `bytes` holds its beginning; AnswerChunk messages
  // carry the rest.
  uint64_t body_size = 0;
  std::string bytes;

  bool operator==(const AnswerHead&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->status, this->headers, this->load, this->body_size,
            this->bytes);
  }
};

// More bytes of the body of an AnswerHead.
struct AnswerChunk {
  AttemptId id;
  bool last = false;
  std::string bytes;

  bool operator==(const AnswerChunk&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->last, this->bytes);
  }
};

// Reason for which a started attempt has no whole answer.
enum class BrokenReason : uint8_t {
  // The upstream ended the connection before the end of its answer.
  kCutOff = 0,
  // The answer is above kMaxBodyBytes or kMaxAnswerHeaderBytes.
  kTooLarge = 1,
  // The deadline passed after the attempt started.
  kDeadline = 2,
  // The entry cancelled the attempt after it started.
  kCancelled = 3,
};

// "cut-off", "too-large", "deadline" or "cancelled".
std::string_view ToString(BrokenReason reason);

// A started attempt will have no whole answer. It may have run.
struct AnswerBroken {
  AttemptId id;
  BrokenReason reason = BrokenReason::kCutOff;
  AgentLoad load;

  bool operator==(const AnswerBroken&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id);
    message_internal::SerializeEnum(archive, this->reason);
    archive(this->load);
  }
};

// An attempt has not started, and its tombstone ensures that it never will.
struct Refused {
  AttemptId id;
  Refusal reason = Refusal::kOverload;
  AgentLoad load;

  bool operator==(const Refused&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id);
    message_internal::SerializeEnum(archive, this->reason);
    archive(this->load);
  }
};

// The entry cancels an attempt. The agent replies with Refused when the attempt
// has not started and with AnswerBroken when it is running.
struct CancelAttempt {
  AttemptId id;
  // Deadline of the attempt, from which the agent derives the expiry of the
  // tombstone.
  int64_t deadline_us = 0;

  bool operator==(const CancelAttempt&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->deadline_us);
  }
};

// The agent accepts no new attempts from now on.
struct Leaving {
  bool operator==(const Leaving&) const = default;
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

using Message = std::variant<Hello,
                             Submit,
                             BodyChunk,
                             AnswerHead,
                             AnswerChunk,
                             AnswerBroken,
                             Refused,
                             CancelAttempt,
                             Leaving>;

namespace message_internal {

template <class T, size_t kIndex = 0>
constexpr char TagOf() {
  if constexpr (std::is_same_v<T, std::variant_alternative_t<kIndex, Message>>)
    return static_cast<char>(kIndex + 1);
  else
    return TagOf<T, kIndex + 1>();
}

}  // namespace message_internal

// Appends the tag and the encoded fields to `payload`.
template <class T>
void AppendMessage(const T& message, std::string* payload) {
  payload->push_back(message_internal::TagOf<T>());
  ByteWriter writer(payload);
  writer(message);
}

// Decodes a payload and validates its fields. Fails with a MessageError or a
// CodecError.
Result<Message> ReadMessage(std::string_view payload);

// "INCARNATION-NUMBER", the form of a request id in headers and logs.
std::string ToString(const RequestId& id);

// Parses the form above. Fails with kBadField.
Result<RequestId> ParseRequestId(std::string_view text);

}  // namespace cuminjunction

#endif  // REQUEST_MESSAGE_H_
