// RunnerGuard: the incarnations of the runner, their ends, and the runs that
// are lost with them.

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/time.h"
#include "daemon/runner_guard.h"

namespace cuminjunction {

namespace {

// How long runs may continue after the runner has announced its shutdown.
constexpr absl::Duration kMaxShutdownTime = absl::Milliseconds(500);

// Crashes of the runner that are reported to each new planner: one that takes
// over may not find them in the store.
constexpr absl::Duration kCrashRetention = absl::Minutes(1);
constexpr size_t kMaxCrashes = 16;

}  // namespace

void RunnerGuard::OnNewIncarnation(int64_t new_born_ms, absl::Time now) {
  // A start that was confirmed after the first failed call was confirmed by the
  // new incarnation, and goes on there. Only lists name the incarnation.
  std::map<TaskRef, PendingStart> continuing;
  std::map<TaskRef, RunDescription> continuing_descriptions;
  for (const auto& [task, start] : this->starting) {
    if (!start.confirmed || !this->silent_since ||
        start.accepted_at < *this->silent_since)
      continue;
    continuing[task] = start;
    continuing_descriptions[task] = this->descriptions[task];
  }
  for (const auto& [task, start] : continuing)
    this->starting.erase(task);
  if (this->born_ms != 0)
    this->RecordEndOfIncarnation(new_born_ms, now);
  this->born_ms = new_born_ms;
  this->shutting_down = false;
  this->last_reported_end = 0;
  this->last_confirmed_end = 0;
  // The runner counts as lost until the full report that follows.
  this->alive = false;
  const auto abandoned = std::exchange(this->starting, {});
  this->ClearRuns();
  this->starting = std::move(continuing);
  this->descriptions = std::move(continuing_descriptions);
  // Copies of the pending orders may reach the new incarnation, which refuses
  // runs that were stopped.
  for (const auto& [task, start] : abandoned)
    this->SendStop(task, start.order.run, false);
}

void RunnerGuard::RecordEndOfIncarnation(int64_t new_born_ms, absl::Time now) {
  const absl::Time lost_at = this->silent_since.value_or(now);
  this->log->Write(LogLine("runner_restarted", LogLevel::kWarning)
                       .Add("born_ms", new_born_ms)
                       .Add("previous_born_ms", this->born_ms)
                       .Add("shutting_down", this->shutting_down)
                       .Add("away_ms", absl::ToInt64Milliseconds(now - lost_at))
                       .Add("lost_runs", this->running.size())
                       .Add("pending_starts", this->starting.size()));
  std::vector<LostRun> lost = this->CollectLostRuns(lost_at);
  std::move(this->expired_runs.begin(), this->expired_runs.end(),
            std::back_inserter(lost));
  const bool announced =
      this->shutting_down || this->draining_born_ms == this->born_ms;
  if (!announced && !lost.empty())
    this->crashes.emplace_back(now,
                               RunnerCrash{this->born_ms, std::move(lost)});
  while (this->crashes.size() > kMaxCrashes)
    this->crashes.pop_front();
}

std::vector<LostRun> RunnerGuard::CollectLostRuns(absl::Time lost_at) {
  std::vector<LostRun> lost;
  const auto age_ms = [&](absl::Time started_at) {
    return std::max<int64_t>(0,
                             absl::ToInt64Milliseconds(lost_at - started_at));
  };
  for (const auto& [task, figure] : this->running) {
    LostRun& run = lost.emplace_back(LostRun{task, figure.running.run, true});
    const auto found = this->descriptions.find(task);
    if (found != this->descriptions.end() && found->second.started_at)
      run.age_ms = age_ms(*found->second.started_at);
  }
  for (const auto& [task, start] : this->starting) {
    if (this->running.contains(task))
      continue;
    lost.push_back(
        {task, start.order.run, start.confirmed,
         age_ms(start.confirmed ? start.accepted_at : start.ordered_at)});
  }
  for (const LostRun& run : lost)
    this->log->Write(LogLine("run_lost", LogLevel::kWarning)
                         .Add("submission", run.task.submission)
                         .Add("step", static_cast<uint64_t>(run.task.step))
                         .Add("index", static_cast<uint64_t>(run.task.index))
                         .Add("run", static_cast<uint64_t>(run.run))
                         .Add("confirmed", run.confirmed)
                         .Add("age_ms", run.age_ms));
  return lost;
}

std::vector<RunnerCrash> RunnerGuard::Crashes() const {
  const absl::Time now = BootClock().Now();
  std::vector<RunnerCrash> recent;
  for (const auto& [noticed_at, crash] : this->crashes) {
    if (now - noticed_at < kCrashRetention)
      recent.push_back(crash);
  }
  return recent;
}

void RunnerGuard::ClearRuns() {
  this->running.clear();
  this->ended.clear();
  this->starting.clear();
  this->descriptions.clear();
}

void RunnerGuard::CheckLeaseExpiry(absl::Time now) {
  if (now < this->lease_expiry || (this->runs_known && !this->alive))
    return;
  // Every lease has expired, so the runner has ended its runs by itself.
  this->log->Write(LogLine("runner_lost", LogLevel::kWarning)
                       .Add("born_ms", this->born_ms)
                       .Add("lost_runs", this->running.size())
                       .Add("pending_starts", this->starting.size()));
  this->expired_runs = this->CollectLostRuns(this->silent_since.value_or(now));
  this->lost_total.Add();
  this->runs_known = true;
  this->alive = false;
  this->ClearRuns();
  this->handlers.on_changed();
}

void RunnerGuard::OnRunnerShutdown() {
  // The runner process exits soon after the announcement, and its runs with it.
  this->lease_expiry =
      std::min(this->lease_expiry, BootClock().Now() + kMaxShutdownTime);
  this->shutting_down = true;
}

}  // namespace cuminjunction
