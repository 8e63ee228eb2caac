#include <cstdio>
#include <nlohmann/json.hpp>

#include "absl/time/clock.h"
#include "base/file.h"
#include "base/http_client.h"
#include "base/strings.h"
#include "cli/command.h"
#include "cli/print.h"

namespace cuminjunction {

namespace {

using Json = nlohmann::json;

// How long the tool waits for an answer of the entry.
constexpr absl::Duration kAnswerTimeout = absl::Seconds(30);

ExitCode ExitCodeOf(int status) {
  switch (status) {
    case 200:
      return ExitCode::kOk;
    case 404:
      return ExitCode::kNotFound;
    case 409:
      return ExitCode::kConflict;
    case 422:
      return ExitCode::kRejected;
    case 503:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kFailed;
  }
}

// Sends requests of one command and remembers how the last one went.
class Session {
 public:
  explicit Session(const CommandLine& command) : command(command) {}

  // The JSON answer; discarded JSON after a failure, which is printed.
  Json Send(HttpRequest request) {
    request.headers["Cuminjunction-Operator"] = this->command.operator_name;
    const auto answer = this->client.Send(this->command.entry, request,
                                          absl::Now() + kAnswerTimeout);
    if (!answer) {
      std::fprintf(stderr, "cuminjunction: %s: %s\n",
                   this->command.entry.c_str(),
                   answer.error().message().c_str());
      this->exit_code = ExitCode::kUnavailable;
      return Json(Json::value_t::discarded);
    }
    Json body = Json::parse(answer.value().body, nullptr, false);
    this->exit_code = ExitCodeOf(answer.value().status);
    if (this->exit_code == ExitCode::kOk && !body.is_discarded())
      return body;
    this->PrintFailure(body, answer.value());
    if (this->exit_code == ExitCode::kOk)
      this->exit_code = ExitCode::kFailed;
    return Json(Json::value_t::discarded);
  }

  ExitCode Code() const { return this->exit_code; }

 private:
  void PrintFailure(const Json& body, const HttpResponse& response) const {
    if (!body.is_object() || !body.contains("error")) {
      std::fprintf(stderr, "cuminjunction: entry answered %d\n",
                   response.status);
    } else if (this->command.json) {
      std::fprintf(stderr, "%s\n", body.dump().c_str());
    } else {
      std::fputs(ErrorToText(body["error"]).c_str(), stderr);
    }
  }

  const CommandLine& command;
  HttpClient client;
  ExitCode exit_code = ExitCode::kOk;
};

// The version a document is based on; see the help of `apply`.
std::optional<uint64_t> BaseVersion(const CommandLine& command,
                                    const std::string& document,
                                    Session* session) {
  if (command.base)
    return command.base;
  if (const auto version = VersionLine(document))
    return version;
  const Json present = session->Send({"GET", "/v1/config", {}, {}, ""});
  if (present.is_discarded())
    return std::nullopt;
  return present.value("version", uint64_t{0});
}

Json Apply(const CommandLine& command,
           const std::string& document,
           Session* session) {
  const auto base = BaseVersion(command, document, session);
  if (!base)
    return Json(Json::value_t::discarded);
  return session->Send(
      {"PUT", "/v1/config", {{"base", std::to_string(*base)}}, {}, document});
}

Json Post(const std::string& path, Session* session) {
  return session->Send({"POST", path, {}, {}, ""});
}

// A task id holds a '/' or is known as a task; a request id is "HEX-NUMBER".
Json Explain(const std::string& name, Session* session) {
  const bool is_request =
      name.find('-') != std::string::npos &&
      name.find_first_not_of("0123456789abcdef-") == std::string::npos;
  const std::string path =
      is_request ? "/v1/explain/request/" : "/v1/explain/task/";
  return session->Send({"GET", path + UrlEncode(name), {}, {}, ""});
}

Json Execute(const CommandLine& command,
             const std::string& document,
             Session* session) {
  const std::vector<std::string>& arguments = command.arguments;
  switch (command.kind) {
    case CommandKind::kApply:
      return Apply(command, document, session);
    case CommandKind::kValidate:
      return session->Send({"POST", "/v1/config/validate", {}, {}, document});
    case CommandKind::kDiff:
      return session->Send({"POST", "/v1/config/diff", {}, {}, document});
    case CommandKind::kStatus:
      return session->Send({"GET", "/v1/status", {}, {}, ""});
    case CommandKind::kJobs:
      return session->Send({"GET", "/v1/jobs", {}, {}, ""});
    case CommandKind::kStop:
      return Post(StrCat("/v1/jobs/", UrlEncode(arguments[0]), "/stop"),
                  session);
    case CommandKind::kResume:
      return Post(StrCat("/v1/jobs/", UrlEncode(arguments[0]), "/resume"),
                  session);
    case CommandKind::kCancel:
      return Post(StrCat("/v1/tasks/", UrlEncode(arguments[0]), "/cancel"),
                  session);
    case CommandKind::kRetry:
      return Post(StrCat("/v1/tasks/", UrlEncode(arguments[0]), "/retry"),
                  session);
    case CommandKind::kReadmit:
      return Post(StrCat("/v1/workers/", UrlEncode(arguments[0]), "/readmit"),
                  session);
    case CommandKind::kDrain:
      return Post(StrCat("/v1/drain/", UrlEncode(arguments[0]), "/",
                         UrlEncode(arguments[1])),
                  session);
    case CommandKind::kExplain:
      return Explain(arguments[0], session);
    case CommandKind::kConfigHistory:
      return session->Send({"GET", "/v1/config/history", {}, {}, ""});
    case CommandKind::kConfigShow:
      return session->Send({"GET", "/v1/config", {}, {}, ""});
  }
  return Json(Json::value_t::discarded);
}

bool TakesFile(CommandKind kind) {
  return kind == CommandKind::kApply || kind == CommandKind::kValidate ||
         kind == CommandKind::kDiff;
}

}  // namespace

ExitCode RunCommand(const CommandLine& command) {
  std::string document;
  if (TakesFile(command.kind)) {
    auto content = ReadFile(command.arguments[0]);
    if (!content) {
      std::fprintf(stderr, "cuminjunction: %s: %s\n",
                   command.arguments[0].c_str(),
                   content.error().message().c_str());
      return ExitCode::kUsage;
    }
    document = std::move(content.value());
  }
  Session session(command);
  const Json answer = Execute(command, document, &session);
  if (answer.is_discarded())
    return session.Code();
  const std::string text =
      command.json ? answer.dump() + "\n" : ToText(command.kind, answer);
  std::fputs(text.c_str(), stdout);
  return ExitCode::kOk;
}

}  // namespace cuminjunction
