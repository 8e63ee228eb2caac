#ifndef REQUEST_ENTRY_REQUEST_H_
#define REQUEST_ENTRY_REQUEST_H_

// Parses the headers of a request and builds the answers of an entry. Uses no
// sockets and no clocks.

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/http_front.h"
#include "config/document.h"
#include "request/message.h"
#include "request/types.h"

namespace cuminjunction {

// Reason for which an entry answers a request without an upstream's answer.
enum class EntryError {
  kNoService = 1,
  kUnknownService,
  kUnknownAccount,
  kBadUrgency,
  kBadDeadline,
  kBadPath,
  kBadHead,
  kMethodNotAllowed,
  kBodyTooLarge,
  kHeadersTooLarge,
  kTooManyConnections,
  kOutOfMemory,
  kDeadlinePassed,
  kNoUpstream,
  kRefused,
  kKeyTaken,
  kKeyStoreDown,
  kStopping,
  kBroken,
  kNoAnswerInTime,
};

template <>
struct ErrorTraits<EntryError> {
  static constexpr const char* kCategory = "entry";
  static std::string_view Message(EntryError error);
};

// Returns the code in answers and logs, such as "unknown-service".
std::string_view CodeOf(EntryError error);

// The HTTP status of an answer with this error.
unsigned StatusOf(EntryError error);

// The parsed headers of a request.
struct RequestHead {
  // Name of the service in the configuration, and the name that agents announce
  // for it.
  std::string service;
  std::string upstream_service;
  RequestClass request_class;
  absl::Time deadline;
  bool idempotent = false;
  // Empty when the request has no Idempotency-Key header.
  std::string idempotency_key;

  bool operator==(const RequestHead&) const = default;
};

// Longest time from the arrival of a request to the deadline that a caller may
// set.
inline constexpr absl::Duration kMaxRequestTimeout = absl::Minutes(10);

// Parses method, path and headers. Removes all headers that start with
// "Cuminjunction-" from the exchange. Fails with the EntryError to answer.
Result<RequestHead> ParseRequestHead(HttpExchange* exchange,
                                     const Document& document,
                                     absl::Time now);

// Returns a JSON error with the outcome header. `detail` is its reason, which
// may be empty.
HttpReply MakeErrorReply(EntryError error,
                         Outcome outcome,
                         const RequestId& id,
                         std::string_view detail);

// Returns the answer of an upstream with the outcome header added.
HttpReply MakeAnswerReply(AnswerHead&& answer);

}  // namespace cuminjunction

#endif  // REQUEST_ENTRY_REQUEST_H_
