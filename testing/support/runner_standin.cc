#include "testing/support/runner_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

using nlohmann::json;

// How often a waiting hold looks for ends that have come due.
constexpr absl::Duration kLook = absl::Milliseconds(5);

// From the start of a task that crashes the runner to the crash.
constexpr absl::Duration kTimeToCrash = absl::Milliseconds(10);

HttpResponse Answer(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

}  // namespace

void RunLedger::Begin(const std::string& task) {
  absl::MutexLock lock(&this->mutex);
  ++this->starts;
  this->started.insert(task.substr(0, task.find('.')));
  if (++this->running[task] > 1)
    this->violations.push_back(StrCat(task, " was started while it ran"));
  else if (this->confirmed.contains(task))
    this->violations.push_back(StrCat(task, " was started after its end"));
}

void RunLedger::End(const std::string& task) {
  absl::MutexLock lock(&this->mutex);
  --this->running[task];
}

void RunLedger::Crash(const std::string& task) {
  absl::MutexLock lock(&this->mutex);
  --this->running[task];
  ++this->crashes[task];
}

int RunLedger::Crashes(const std::string& submission) const {
  absl::MutexLock lock(&this->mutex);
  int most = 0;
  for (const auto& [task, count] : this->crashes) {
    if (task.starts_with(submission))
      most = std::max(most, count);
  }
  return most;
}

void RunLedger::ConfirmDone(const std::string& task) {
  absl::MutexLock lock(&this->mutex);
  this->confirmed.insert(task);
}

int RunLedger::Violations() const {
  absl::MutexLock lock(&this->mutex);
  return static_cast<int>(this->violations.size());
}

std::vector<std::string> RunLedger::ViolationTexts() const {
  absl::MutexLock lock(&this->mutex);
  return this->violations;
}

std::set<std::string> RunLedger::StartedSubmissions() const {
  absl::MutexLock lock(&this->mutex);
  return this->started;
}

int RunLedger::Starts() const {
  absl::MutexLock lock(&this->mutex);
  return this->starts;
}

Result<std::unique_ptr<RunnerStandin>> RunnerStandin::Start(
    RunLedger* ledger,
    absl::Duration run_time) {
  auto runner = std::make_unique<RunnerStandin>();
  runner->ledger = ledger;
  runner->run_time = run_time;
  runner->born_ms = absl::ToUnixMillis(absl::Now());
  HttpServerOptions options;
  // Holds wait, so each connection has a thread.
  options.threads = 0;
  RunnerStandin* self = runner.get();
  BOOST_OUTCOME_TRY(
      server, HttpServer::Start(options, [self](const HttpRequest& request) {
        return self->Handle(request);
      }));
  runner->server = std::move(server);
  return runner;
}

void RunnerStandin::RequireTicket(const std::string& ticket) {
  absl::MutexLock lock(&this->mutex);
  this->required_ticket = ticket;
}

void RunnerStandin::LoseStartReplies(int count) {
  absl::MutexLock lock(&this->mutex);
  this->lose = count;
}

void RunnerStandin::LoseHoldReplies(int count) {
  absl::MutexLock lock(&this->mutex);
  this->lose_holds = count;
}

int64_t RunnerStandin::ClockMs() const {
  return absl::ToUnixMillis(SteadyClock().Now());
}

HttpResponse RunnerStandin::Refuse(const std::string& reason) const {
  return Answer(409, {{"clockMs", this->ClockMs()}, {"reason", reason}});
}

HttpResponse RunnerStandin::Handle(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object())
    return Answer(400, json::object());
  int64_t wait_ms = 0;
  int64_t last_seen = 0;
  {
    absl::MutexLock lock(&this->mutex);
    this->SettleLocked();
    if (this->IsDown())
      return Answer(0, json::object());
    if (body.value("fence", int64_t{0}) < this->fence)
      return this->Refuse("fence");
    this->fence = body.value("fence", int64_t{0});
    this->lease_until_ms =
        std::max(this->lease_until_ms, body.value("untilMs", int64_t{0}));
    if (request.path == "/v1/run-start" &&
        body.value("ticket", "") != this->required_ticket)
      return this->Refuse("ticket");
    if (request.path == "/v1/run-start")
      return this->Begin(body["task"], body["run"]);
    if (request.path == "/v1/run-stop")
      return this->Stop(body["task"], body["run"]);
    wait_ms = body.value("waitMs", int64_t{0});
    last_seen = body.value("lastSeen", int64_t{0});
  }
  return this->Hold(last_seen, wait_ms);
}

HttpResponse RunnerStandin::Begin(const std::string& task, int64_t run) {
  const auto found = this->running.find(task);
  const bool there = found != this->running.end() && found->second.run == run;
  if (!there) {
    const auto highest_run = this->highest.find(task);
    if (highest_run != this->highest.end() && run <= highest_run->second)
      return this->Refuse("old");
    if (this->lease_until_ms <= this->ClockMs())
      return this->Refuse("late");
    this->running[task] = {run, SteadyClock().Now() + this->run_time};
    this->ledger->Begin(task);
    if (task == this->crash_task)
      this->crash_at = SteadyClock().Now() + kTimeToCrash;
  }
  HttpResponse response = Answer(200, {{"clockMs", this->ClockMs()}});
  if (this->lose > 0) {
    --this->lose;
    response.status = 0;
  }
  return response;
}

HttpResponse RunnerStandin::Stop(const std::string& task, int64_t run) {
  int64_t& highest_run = this->highest[task];
  highest_run = std::max(highest_run, run);
  const auto found = this->running.find(task);
  if (found != this->running.end() && found->second.run <= run)
    this->Finish(task, "stopped");
  return Answer(200, {{"clockMs", this->ClockMs()}});
}

void RunnerStandin::Finish(const std::string& task, const std::string& how) {
  const int64_t run = this->running.at(task).run;
  this->running.erase(task);
  int64_t& highest_run = this->highest[task];
  highest_run = std::max(highest_run, run);
  this->ended.push_back({this->next_end++, task, run, how});
  this->ledger->End(task);
}

void RunnerStandin::FailNext(int count) {
  absl::MutexLock lock(&this->mutex);
  this->fail = count;
}

void RunnerStandin::Settle() {
  absl::MutexLock lock(&this->mutex);
  this->SettleLocked();
}

void RunnerStandin::CrashOnStartOf(const std::string& task) {
  absl::MutexLock lock(&this->mutex);
  this->crash_task = task;
}

void RunnerStandin::Crash() {
  absl::MutexLock lock(&this->mutex);
  this->crash_at = SteadyClock().Now();
}

int RunnerStandin::Crashes() const {
  absl::MutexLock lock(&this->mutex);
  return this->crashes;
}

int64_t RunnerStandin::BornMs() const {
  absl::MutexLock lock(&this->mutex);
  return this->born_ms;
}

void RunnerStandin::CrashIfDue(absl::Time now) {
  if (now >= this->crash_at) {
    this->crash_at = absl::InfiniteFuture();
    this->back_at = now + kTimeDown;
    ++this->crashes;
    for (const auto& [task, run] : this->running)
      this->ledger->Crash(task);
    this->running.clear();
    this->highest.clear();
    this->ended.clear();
    this->next_end = 1;
    this->fence = 0;
    this->lease_until_ms = 0;
  }
  if (now >= this->back_at) {
    this->back_at = absl::InfiniteFuture();
    this->born_ms = absl::ToUnixMillis(absl::Now());
  }
}

void RunnerStandin::SettleLocked() {
  const absl::Time now = SteadyClock().Now();
  this->CrashIfDue(now);
  const bool lapsed = this->lease_until_ms <= this->ClockMs();
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, run] : this->running) {
    if (run.end <= now && this->fail > 0) {
      --this->fail;
      due.emplace_back(task, "failed");
    } else if (run.end <= now) {
      due.emplace_back(task, "done");
    } else if (lapsed) {
      due.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : due)
    this->Finish(task, how);
}

HttpResponse RunnerStandin::Hold(int64_t last_seen, int64_t wait_ms) {
  const absl::Time until = SteadyClock().Now() + absl::Milliseconds(wait_ms);
  for (;;) {
    {
      absl::MutexLock lock(&this->mutex);
      const int64_t asked_born_ms = this->born_ms;
      this->SettleLocked();
      if (this->IsDown() || this->born_ms != asked_born_ms)
        return Answer(0, json::object());
      for (const End& end : this->ended) {
        if (end.number <= last_seen && end.how == "done")
          this->ledger->ConfirmDone(end.task);
      }
      std::erase_if(this->ended,
                    [&](const End& end) { return end.number <= last_seen; });
      if (!this->ended.empty() || SteadyClock().Now() >= until) {
        json running_rows = json::array();
        for (const auto& [task, run] : this->running)
          running_rows.push_back({task, run.run, "", 50, 0});
        json ended_rows = json::array();
        for (const End& end : this->ended)
          ended_rows.push_back({end.number, end.task, end.run, end.how, ""});
        HttpResponse response = Answer(200, {{"clockMs", this->ClockMs()},
                                             {"born", this->born_ms},
                                             {"runningCount", running_rows},
                                             {"ended", ended_rows}});
        if (this->lose_holds > 0) {
          --this->lose_holds;
          response.status = 0;
        }
        return response;
      }
    }
    absl::SleepFor(kLook);
  }
}

}  // namespace cuminjunction
