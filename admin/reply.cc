#include "admin/reply.h"

#include <string>

namespace cuminjunction {

namespace {

// JSON text of bytes that need not be UTF-8.
std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', /*ensure_ascii=*/false,
                   nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace

std::string_view ErrorTraits<AdminError>::Message(AdminError error) {
  switch (error) {
    case AdminError::kBadRequest:
      return "request is malformed";
    case AdminError::kNotFound:
      return "no such path, job, task or request";
    case AdminError::kMethodNotAllowed:
      return "method is not allowed for this path";
    case AdminError::kConflict:
      return "another change was accepted first";
    case AdminError::kRejected:
      return "configuration document has problems";
    case AdminError::kUnavailable:
      return "store is unavailable; nothing was changed";
    case AdminError::kUnknownOutcome:
      return "reply of the store was lost; the change may be in force";
  }
  return "unknown administration error";
}

std::string_view CodeName(AdminError error) {
  switch (error) {
    case AdminError::kBadRequest:
      return "bad_request";
    case AdminError::kNotFound:
      return "not_found";
    case AdminError::kMethodNotAllowed:
      return "method_not_allowed";
    case AdminError::kConflict:
      return "conflict";
    case AdminError::kRejected:
      return "rejected";
    case AdminError::kUnavailable:
      return "unavailable";
    case AdminError::kUnknownOutcome:
      return "unknown_outcome";
  }
  return "unknown";
}

int HttpStatus(AdminError error) {
  switch (error) {
    case AdminError::kBadRequest:
      return 400;
    case AdminError::kNotFound:
      return 404;
    case AdminError::kMethodNotAllowed:
      return 405;
    case AdminError::kConflict:
      return 409;
    case AdminError::kRejected:
      return 422;
    case AdminError::kUnavailable:
      return 503;
    case AdminError::kUnknownOutcome:
      return 504;
  }
  return 500;
}

HttpResponse ToHttp(const AdminReply& reply) {
  if (const auto* json = std::get_if<nlohmann::json>(&reply))
    return {200, "application/json", Dump(*json), {}};
  const auto& failure = std::get<AdminFailure>(reply);
  const std::error_code code = failure.error;
  nlohmann::json error;
  error["code"] = CodeName(failure.error);
  error["category"] = code.category().name();
  error["message"] = code.message();
  error["details"] = failure.details;
  return {HttpStatus(failure.error),
          "application/json",
          Dump({{"error", error}}),
          {}};
}

}  // namespace cuminjunction
