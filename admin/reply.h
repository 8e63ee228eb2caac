#ifndef ADMIN_REPLY_H_
#define ADMIN_REPLY_H_

// Replies of the administration API: a JSON value or a typed failure.
//
//   AdminReply reply = AdminFailure{AdminError::kNotFound, {{"task", id}}};
//   HttpResponse response = ToHttp(reply);   // 404 with {"error": {...}}

#include <nlohmann/json.hpp>
#include <string_view>
#include <variant>

#include "base/error.h"
#include "base/http_server.h"

namespace cuminjunction {

enum class AdminError {
  kBadRequest = 1,
  kNotFound,
  kMethodNotAllowed,
  // Another operator's change came first.
  kConflict,
  // The configuration document has problems.
  kRejected,
  // The store can't be reached; nothing was changed.
  kUnavailable,
  // The store's reply was lost; the change may be in force. Look before
  // repeating it.
  kUnknownOutcome,
};

template <>
struct ErrorTraits<AdminError> {
  static constexpr const char* kCategory = "admin";
  static std::string_view Message(AdminError error);
};

// The word for an error in JSON, such as "not_found".
std::string_view CodeName(AdminError error);

// The HTTP status of an error.
int HttpStatus(AdminError error);

struct AdminFailure {
  AdminError error = AdminError::kBadRequest;
  // What is known beyond the code, as a JSON object or array.
  nlohmann::json details;

  bool operator==(const AdminFailure&) const = default;
};

using AdminReply = std::variant<nlohmann::json, AdminFailure>;

// The reply as an HTTP response with a JSON body.
HttpResponse ToHttp(const AdminReply& reply);

}  // namespace cuminjunction

#endif  // ADMIN_REPLY_H_
