#ifndef ADMIN_API_H_
#define ADMIN_API_H_

// The administration API over HTTP.
//
// HandleAdminRequest() finds the operation that a request names, checks its
// arguments and calls the services, which the daemon provides:
//
//   HttpServer::Start(options, [&](const HttpRequest& request) {
//     return HandleAdminRequest(services, request);
//   });
//
// The paths are listed in docs/admin.md.

#include <charconv>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/reply.h"
#include "base/http_server.h"

namespace cuminjunction {

// What the API operates on. Calls come from several threads at a time and may
// block.
template <class S>
concept AdminServices = requires(S& services,
                                 const std::string& text,
                                 std::optional<uint64_t> base) {
  // Checks a document and makes it the next version, if `base` is the present
  // one. The last argument is the operator's name.
  { services.ApplyConfig(text, base, text) } -> std::same_as<AdminReply>;
  { services.ValidateConfig(text) } -> std::same_as<AdminReply>;
  { services.DiffConfig(text) } -> std::same_as<AdminReply>;
  { services.GetConfig() } -> std::same_as<AdminReply>;
  { services.ConfigHistory() } -> std::same_as<AdminReply>;
  { services.GetStatus() } -> std::same_as<AdminReply>;
  { services.GetJobs() } -> std::same_as<AdminReply>;
  { services.StopJob(text) } -> std::same_as<AdminReply>;
  // Takes the stop of a job back.
  { services.ResumeJob(text) } -> std::same_as<AdminReply>;
  { services.CancelTask(text) } -> std::same_as<AdminReply>;
  // Tries a parked task again.
  { services.RetryTask(text) } -> std::same_as<AdminReply>;
  // Gives work to a drained or suspect worker again.
  { services.ReadmitWorker(text) } -> std::same_as<AdminReply>;
  // Drains an "upstream", a "worker" or a "rack" of that name.
  { services.Drain(text, text) } -> std::same_as<AdminReply>;
  { services.ExplainTask(text) } -> std::same_as<AdminReply>;
  { services.ExplainRequest(text) } -> std::same_as<AdminReply>;
  { services.MetricsText() } -> std::same_as<std::string>;
  { services.IsReady() } -> std::same_as<bool>;
};

// The operations of the API.
enum class AdminOperation {
  kApplyConfig,
  kValidateConfig,
  kDiffConfig,
  kGetConfig,
  kConfigHistory,
  kGetStatus,
  kGetJobs,
  kStopJob,
  kResumeJob,
  kCancelTask,
  kRetryTask,
  kReadmitWorker,
  kDrain,
  kExplainTask,
  kExplainRequest,
  kMetrics,
  kHealth,
  kReady,
};

// An operation with the decoded path segments that are its arguments.
struct AdminCall {
  AdminOperation operation = AdminOperation::kHealth;
  std::vector<std::string> arguments;

  bool operator==(const AdminCall&) const = default;
};

// Finds the operation of a method and path. Fails with kNotFound, or with
// kMethodNotAllowed when the path allows other methods.
Result<AdminCall> RouteAdminRequest(std::string_view method,
                                    std::string_view path);

// Reads the query argument `base`: absent is nullopt. Fails with kBadRequest.
Result<std::optional<uint64_t>> ParseBase(const HttpRequest& request);

// A Prometheus or plain-text answer.
HttpResponse TextResponse(int status, std::string body);

namespace admin_internal {

template <AdminServices S>
HttpResponse ApplyConfig(S& services, const HttpRequest& request) {
  const auto base = ParseBase(request);
  if (!base) {
    return ToHttp(
        AdminFailure{AdminError::kBadRequest, {{"argument", "base"}}});
  }
  const auto found = request.headers.find("cuminjunction-operator");
  const std::string name =
      found != request.headers.end() ? found->second : "unknown";
  return ToHttp(services.ApplyConfig(request.body, base.value(), name));
}

}  // namespace admin_internal

// Answers one request of the administration API.
template <AdminServices S>
HttpResponse HandleAdminRequest(S& services, const HttpRequest& request) {
  const auto routed = RouteAdminRequest(request.method, request.path);
  if (!routed) {
    const AdminError error = routed.error() == AdminError::kMethodNotAllowed
                                 ? AdminError::kMethodNotAllowed
                                 : AdminError::kNotFound;
    return ToHttp(AdminFailure{error, {{"path", request.path}}});
  }
  const std::vector<std::string>& arguments = routed.value().arguments;
  switch (routed.value().operation) {
    case AdminOperation::kApplyConfig:
      return admin_internal::ApplyConfig(services, request);
    case AdminOperation::kValidateConfig:
      return ToHttp(services.ValidateConfig(request.body));
    case AdminOperation::kDiffConfig:
      return ToHttp(services.DiffConfig(request.body));
    case AdminOperation::kGetConfig:
      return ToHttp(services.GetConfig());
    case AdminOperation::kConfigHistory:
      return ToHttp(services.ConfigHistory());
    case AdminOperation::kGetStatus:
      return ToHttp(services.GetStatus());
    case AdminOperation::kGetJobs:
      return ToHttp(services.GetJobs());
    case AdminOperation::kStopJob:
      return ToHttp(services.StopJob(arguments[0]));
    case AdminOperation::kResumeJob:
      return ToHttp(services.ResumeJob(arguments[0]));
    case AdminOperation::kCancelTask:
      return ToHttp(services.CancelTask(arguments[0]));
    case AdminOperation::kRetryTask:
      return ToHttp(services.RetryTask(arguments[0]));
    case AdminOperation::kReadmitWorker:
      return ToHttp(services.ReadmitWorker(arguments[0]));
    case AdminOperation::kDrain:
      return ToHttp(services.Drain(arguments[0], arguments[1]));
    case AdminOperation::kExplainTask:
      return ToHttp(services.ExplainTask(arguments[0]));
    case AdminOperation::kExplainRequest:
      return ToHttp(services.ExplainRequest(arguments[0]));
    case AdminOperation::kMetrics:
      return TextResponse(200, services.MetricsText());
    case AdminOperation::kHealth:
      return TextResponse(200, "ok\n");
    case AdminOperation::kReady:
      return services.IsReady() ? TextResponse(200, "ready\n")
                                : TextResponse(503, "not ready\n");
  }
  return ToHttp(AdminFailure{AdminError::kNotFound, {}});
}

}  // namespace cuminjunction

#endif  // ADMIN_API_H_
