#include "testing/support/runner_standin.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>

#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

using nlohmann::json;

// How often a waiting hold looks for ends that have come due.
constexpr absl::Duration kLook = absl::Milliseconds(5);

// Names the incarnation that a call is meant for, as HttpRequest has it.
constexpr char kTargetHeader[] = "x-cuminjunction-target-instance";

std::string NewId() {
  static std::atomic<int> last = 0;
  return StrCat("i-", ++last);
}

// From the start of a task that crashes the runner to the crash.
constexpr absl::Duration kTimeToCrash = absl::Milliseconds(10);

HttpResponse Answer(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

}  // namespace

Result<std::unique_ptr<RunnerStandin>> RunnerStandin::Start(
    RunLedger* ledger,
    absl::Duration run_time) {
  auto runner = std::make_unique<RunnerStandin>();
  runner->ledger = ledger;
  runner->run_time = run_time;
  runner->born_ms = absl::ToUnixMillis(absl::Now());
  runner->id = NewId();
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

void RunnerStandin::DelayHoldReplies(bool delay) {
  absl::MutexLock lock(&this->mutex);
  this->delay_holds = delay;
}

int64_t RunnerStandin::ClockMs() const {
  return absl::ToUnixMillis(SteadyClock().Now());
}

HttpResponse RunnerStandin::Refuse(const std::string& reason) const {
  return Answer(409, {{"clockMs", this->ClockMs()}, {"reason", reason}});
}

HttpResponse RunnerStandin::Handle(const HttpRequest& request) {
  int64_t wait_ms = 0;
  int64_t last_seen = 0;
  {
    absl::MutexLock lock(&this->mutex);
    this->SettleLocked();
    if (this->IsDown())
      return Answer(0, json::object());
    if (this->DelayCall(request))
      return Answer(0, json::object());
    int& refuse = this->refuse_by_path[request.path];
    if (refuse > 0 && this->lose == 0) {
      --refuse;
      return Answer(503, json::object());
    }
    HttpResponse response = this->CarryOut(request, &last_seen, &wait_ms);
    if (request.path != "/v1/hold" || response.status != 200)
      return response;
  }
  return this->Hold(last_seen, wait_ms);
}

HttpResponse RunnerStandin::CarryOut(const HttpRequest& request,
                                     int64_t* last_seen,
                                     int64_t* wait_ms) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object())
    return Answer(400, json::object());
  const auto target = request.headers.find(kTargetHeader);
  if (target != request.headers.end() && target->second != this->id)
    return Answer(421, json::object());
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
  ++this->holds;
  *wait_ms = body.value("waitMs", int64_t{0});
  *last_seen = body.value("lastSeen", int64_t{0});
  return Answer(200, json::object());
}

bool RunnerStandin::DelayCall(const HttpRequest& request) {
  int& keep = this->keep_by_path[request.path];
  if (keep > 0) {
    --keep;
    this->late_calls.push_back({absl::InfiniteFuture(), request});
    return true;
  }
  if (std::uniform_real_distribution<double>(0, 1)(this->delay_random) >=
      this->delayed_share)
    return false;
  this->late_calls.push_back({SteadyClock().Now() + this->delay, request});
  return true;
}

void RunnerStandin::CarryOutDue(absl::Time now) {
  if (this->IsDown())
    return;
  std::vector<LateCall> due;
  for (auto call = this->late_calls.begin(); call != this->late_calls.end();) {
    if (call->due > now) {
      ++call;
      continue;
    }
    due.push_back(std::move(*call));
    call = this->late_calls.erase(call);
  }
  this->is_late = true;
  for (const LateCall& call : due) {
    int64_t last_seen = 0;
    int64_t wait_ms = 0;
    if (this->CarryOut(call.request, &last_seen, &wait_ms).status == 200)
      this->ForgetEnds(last_seen);
  }
  this->is_late = false;
}

std::string RunnerStandin::Id() const {
  absl::MutexLock lock(&this->mutex);
  return this->id;
}

void RunnerStandin::KeepId() {
  absl::MutexLock lock(&this->mutex);
  this->keep_id = true;
}

void RunnerStandin::DelayCalls(double share,
                               absl::Duration delay,
                               uint32_t seed) {
  absl::MutexLock lock(&this->mutex);
  this->delayed_share = share;
  this->delay = delay;
  this->delay_random.seed(seed);
}

void RunnerStandin::KeepNextCalls(const std::string& path, int count) {
  absl::MutexLock lock(&this->mutex);
  this->keep_by_path[path] = count;
}

void RunnerStandin::CarryOutKept() {
  absl::MutexLock lock(&this->mutex);
  for (LateCall& call : this->late_calls)
    call.due = absl::InfinitePast();
  this->SettleLocked();
}

int RunnerStandin::KeptCalls() const {
  absl::MutexLock lock(&this->mutex);
  return static_cast<int>(this->late_calls.size());
}

int RunnerStandin::KeptCalls(const std::string& path) const {
  absl::MutexLock lock(&this->mutex);
  return static_cast<int>(std::count_if(
      this->late_calls.begin(), this->late_calls.end(),
      [&](const LateCall& call) { return call.request.path == path; }));
}

int RunnerStandin::Holds() const {
  absl::MutexLock lock(&this->mutex);
  return this->holds;
}

int RunnerStandin::Stops() const {
  absl::MutexLock lock(&this->mutex);
  return this->stops;
}

void RunnerStandin::RefuseNextCalls(const std::string& path, int count) {
  absl::MutexLock lock(&this->mutex);
  this->refuse_by_path[path] = count;
}

void RunnerStandin::RefuseNextStarts(int count) {
  absl::MutexLock lock(&this->mutex);
  this->refuse_starts = count;
}

void RunnerStandin::CutShortNextHolds(int count) {
  absl::MutexLock lock(&this->mutex);
  this->cut_short_holds = count;
}

HttpResponse RunnerStandin::Begin(const std::string& task, int64_t run) {
  if (this->refuse_starts > 0) {
    --this->refuse_starts;
    return this->Refuse("old");
  }
  const auto found = this->running.find(task);
  const bool there = found != this->running.end() && found->second.run == run;
  if (!there) {
    const auto highest_run = this->highest.find(task);
    if (highest_run != this->highest.end() && run <= highest_run->second)
      return this->Refuse("old");
    if (this->lease_until_ms <= this->ClockMs())
      return this->Refuse("late");
    this->running[task] = {run, SteadyClock().Now() + this->run_time};
    this->ledger->Begin(task, this, this->is_late);
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
  ++this->stops;
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

void RunnerStandin::FinishAll() {
  absl::MutexLock lock(&this->mutex);
  while (!this->running.empty()) {
    const std::string task = this->running.begin()->first;
    this->Finish(task, "done");
  }
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

void RunnerStandin::Drain() {
  absl::MutexLock lock(&this->mutex);
  this->draining = !this->IsDown();
}

std::string RunnerStandin::HeartbeatState() const {
  absl::MutexLock lock(&this->mutex);
  return this->draining ? "draining" : "ready";
}

void RunnerStandin::Leave(int64_t born_ms_of_leaving, absl::Duration pause) {
  absl::MutexLock lock(&this->mutex);
  this->SettleLocked();
  if (this->IsDown() || this->born_ms != born_ms_of_leaving)
    return;
  this->left = true;
  for (const auto& [task, run] : this->running)
    this->ledger->End(task);
  this->EndIncarnation(SteadyClock().Now() + pause);
}

bool RunnerStandin::HasLeft() const {
  absl::MutexLock lock(&this->mutex);
  return this->left;
}

void RunnerStandin::EndIncarnation(absl::Time back) {
  this->back_at = back;
  this->running.clear();
  this->highest.clear();
  this->ended.clear();
  this->next_end = 1;
  this->fence = 0;
  this->lease_until_ms = 0;
  this->draining = false;
}

void RunnerStandin::CrashIfDue(absl::Time now) {
  if (now >= this->crash_at) {
    this->crash_at = absl::InfiniteFuture();
    ++this->crashes;
    for (const auto& [task, run] : this->running)
      this->ledger->Crash(task);
    this->EndIncarnation(now + kTimeDown);
  }
  if (now >= this->back_at) {
    this->back_at = absl::InfiniteFuture();
    this->left = false;
    this->born_ms = absl::ToUnixMillis(absl::Now());
    if (!this->keep_id)
      this->id = NewId();
  }
}

void RunnerStandin::SettleLocked() {
  const absl::Time now = SteadyClock().Now();
  this->CrashIfDue(now);
  this->CarryOutDue(now);
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

void RunnerStandin::ForgetEnds(int64_t last_seen) {
  for (const End& end : this->ended) {
    if (end.number <= last_seen && end.how == "done")
      this->ledger->ConfirmDone(end.task);
  }
  std::erase_if(this->ended,
                [&](const End& end) { return end.number <= last_seen; });
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
      this->ForgetEnds(last_seen);
      if (!this->delay_holds &&
          (!this->ended.empty() || SteadyClock().Now() >= until)) {
        json running_rows = json::array();
        for (const auto& [task, run] : this->running)
          running_rows.push_back({task, run.run, "", 50, 0});
        json ended_rows = json::array();
        for (const End& end : this->ended) {
          if (ended_rows.size() == kMaxListedEnds)
            break;
          ended_rows.push_back({end.number, end.task, end.run, end.how, ""});
        }
        HttpResponse response = Answer(200, {{"clockMs", this->ClockMs()},
                                             {"born", this->born_ms},
                                             {"runningCount", running_rows},
                                             {"ended", ended_rows}});
        if (this->cut_short_holds > 0) {
          --this->cut_short_holds;
          response = Answer(200, {{"clockMs", this->ClockMs()}});
        }
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
