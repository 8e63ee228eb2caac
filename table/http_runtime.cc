#include "table/http_runtime.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/time/clock.h"
#include "base/time.h"
#include "table/wire.h"

namespace cuminjunction {

namespace {

Status ToStatus(const Result<std::string>& answer) {
  if (!answer)
    return answer.error();
  return Ok();
}

nlohmann::json AttemptJson(const std::string& task, uint32_t attempt) {
  return {{"task", task}, {"attempt", attempt}};
}

}  // namespace

HttpRuntime::HttpRuntime(std::string url, int64_t timeout_ms)
    : url(std::move(url)), timeout_ms(timeout_ms) {}

Result<std::string> HttpRuntime::Command(const std::string& name,
                                         const nlohmann::json& body) {
  return ReadAnswer<RuntimeError>(
      this->client.Send(this->url, {"POST", "/" + name, {}, {}, body.dump()},
                        absl::Now() + absl::Milliseconds(this->timeout_ms)));
}

Status HttpRuntime::Start(const TaskStart& start) {
  return ToStatus(this->Command("start", ToJson(start)));
}

Status HttpRuntime::Stop(const std::string& task, uint32_t attempt) {
  return ToStatus(this->Command("stop", AttemptJson(task, attempt)));
}

Result<std::string> HttpRuntime::Checkpoint(const std::string& task,
                                            uint32_t attempt) {
  BOOST_OUTCOME_TRY(body,
                    this->Command("checkpoint", AttemptJson(task, attempt)));
  const Result<nlohmann::json> json = ParseJson(body);
  if (!json || !json.value().is_object() || !json.value().contains("object") ||
      !json.value()["object"].is_string())
    return RuntimeError::kUnknownOutcome;
  return json.value()["object"].get<std::string>();
}

Status HttpRuntime::Throttle(const std::string& task,
                             uint32_t attempt,
                             double share) {
  nlohmann::json body = AttemptJson(task, attempt);
  body["share"] = share;
  return ToStatus(this->Command("throttle", body));
}

Status HttpRuntime::Extend(absl::Time deadline) {
  return ToStatus(
      this->Command("extend", {{"stop_deadline_us", ToMicros(deadline)}}));
}

Result<RuntimeState> HttpRuntime::List() {
  BOOST_OUTCOME_TRY(body,
                    ReadAnswerOfRead<RuntimeError>(this->client.Send(
                        this->url, {"GET", "/list", {}, {}, ""},
                        absl::Now() + absl::Milliseconds(this->timeout_ms))));
  const Result<nlohmann::json> json = ParseJson(body);
  if (!json)
    return RuntimeError::kUnavailable;
  Result<RuntimeState> state = RuntimeStateFromJson(json.value());
  if (!state)
    return RuntimeError::kUnavailable;
  return state;
}

Status HttpRuntime::Forget(const std::string& task, uint32_t attempt) {
  return ToStatus(this->Command("forget", AttemptJson(task, attempt)));
}

}  // namespace cuminjunction
