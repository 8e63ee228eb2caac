#ifndef REQUEST_ENTRY_REQUEST_H_
#define REQUEST_ENTRY_REQUEST_H_

// What a caller asks for, read from the headers of its request, and the
// answers an entry makes itself. No sockets and no clocks.

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

// Why an entry answers a request itself.
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

// "no-service", "unknown-service", ...: the form in answers and logs.
std::string_view CodeOf(EntryError error);

// The HTTP status of an answer with this error.
unsigned StatusOf(EntryError error);

// A request as its headers describe it.
struct RequestHead {
  // Name of the service in the document, and the name agents announce for it.
  std::string service;
  std::string upstream_service;
  RequestClass request_class;
  absl::Time deadline;
  bool idempotent = false;
  // Empty when the caller gave none.
  std::string idempotency_key;

  bool operator==(const RequestHead&) const = default;
};

// Limits for the deadlines of callers.
inline constexpr absl::Duration kMaxRequestTimeout = absl::Minutes(10);

// Reads method, path and headers. All headers that start with "Cuminjunction-"
// are removed from the exchange. Fails with the error to answer.
Result<RequestHead> ParseRequestHead(HttpExchange* exchange,
                                     const Document& document,
                                     absl::Time now);

// An answer made by the entry: a JSON error with the outcome header.
HttpReply MakeErrorReply(EntryError error,
                         Outcome outcome,
                         const RequestId& id,
                         std::string_view detail);

// The answer of an upstream with the outcome header.
HttpReply MakeAnswerReply(AnswerHead&& answer);

}  // namespace cuminjunction

#endif  // REQUEST_ENTRY_REQUEST_H_
