#include "admin/api.h"

#include <array>
#include <utility>

#include "base/http_client.h"
#include "base/strings.h"

namespace cuminjunction {

namespace {

struct Route {
  std::string_view method;
  // "*" matches any segment that is not empty and makes it an argument.
  std::string_view path;
  AdminOperation operation;
};

constexpr std::array<Route, 18> kRoutes = {{
    {"PUT", "/v1/config", AdminOperation::kApplyConfig},
    {"POST", "/v1/config/validate", AdminOperation::kValidateConfig},
    {"POST", "/v1/config/diff", AdminOperation::kDiffConfig},
    {"GET", "/v1/config", AdminOperation::kGetConfig},
    {"GET", "/v1/config/history", AdminOperation::kConfigHistory},
    {"GET", "/v1/status", AdminOperation::kGetStatus},
    {"GET", "/v1/jobs", AdminOperation::kGetJobs},
    {"POST", "/v1/jobs/*/stop", AdminOperation::kStopJob},
    {"POST", "/v1/jobs/*/resume", AdminOperation::kResumeJob},
    {"POST", "/v1/tasks/*/cancel", AdminOperation::kCancelTask},
    {"POST", "/v1/tasks/*/retry", AdminOperation::kRetryTask},
    {"POST", "/v1/workers/*/readmit", AdminOperation::kReadmitWorker},
    {"POST", "/v1/drain/*/*", AdminOperation::kDrain},
    {"GET", "/v1/explain/task/*", AdminOperation::kExplainTask},
    {"GET", "/v1/explain/request/*", AdminOperation::kExplainRequest},
    {"GET", "/metrics", AdminOperation::kMetrics},
    {"GET", "/healthz", AdminOperation::kHealth},
    {"GET", "/readyz", AdminOperation::kReady},
}};

// The decoded arguments if the path matches the pattern.
std::optional<std::vector<std::string>> Match(std::string_view pattern,
                                              std::string_view path) {
  const std::vector<std::string> wanted = StrSplit(pattern, '/');
  const std::vector<std::string> given = StrSplit(path, '/');
  if (wanted.size() != given.size())
    return std::nullopt;
  std::vector<std::string> arguments;
  for (size_t i = 0; i < wanted.size(); ++i) {
    if (wanted[i] == "*" && !given[i].empty())
      arguments.push_back(UrlDecode(given[i]));
    else if (wanted[i] != given[i])
      return std::nullopt;
  }
  return arguments;
}

bool IsDrainable(const std::string& kind) {
  return kind == "upstream" || kind == "worker" || kind == "rack";
}

}  // namespace

Result<AdminCall> RouteAdminRequest(std::string_view method,
                                    std::string_view path) {
  bool path_known = false;
  for (const Route& route : kRoutes) {
    auto arguments = Match(route.path, path);
    if (!arguments)
      continue;
    if (route.operation == AdminOperation::kDrain &&
        !IsDrainable((*arguments)[0]))
      continue;
    path_known = true;
    if (route.method == method)
      return AdminCall{route.operation, *std::move(arguments)};
  }
  return path_known ? AdminError::kMethodNotAllowed : AdminError::kNotFound;
}

Result<std::optional<uint64_t>> ParseBase(const HttpRequest& request) {
  const auto found = request.query.find("base");
  if (found == request.query.end())
    return std::optional<uint64_t>();
  const std::string& text = found->second;
  uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return AdminError::kBadRequest;
  return std::optional<uint64_t>(value);
}

HttpResponse TextResponse(int status, std::string body) {
  return {status, "text/plain; charset=utf-8", std::move(body), {}};
}

}  // namespace cuminjunction
