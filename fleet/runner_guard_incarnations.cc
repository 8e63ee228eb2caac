// RunnerGuard: the incarnations of the runner, their ends, and the runs that
// are lost with them.

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "base/time.h"
#include "fleet/runner_guard.h"

namespace cuminjunction {

namespace {

// How long after its announcement the runner should have shut down.
constexpr absl::Duration kMaxShutdownTime = absl::Milliseconds(500);

// Crashes of the runner that are reported to each new planner: one that takes
// over may not find them in the store.
constexpr absl::Duration kCrashRetention = absl::Minutes(1);
constexpr size_t kMaxCrashes = 16;

}  // namespace

void RunnerGuard::SetIncarnationId(const std::string& id,
                                   int64_t born_ms_of_id) {
  this->heard_id = id;
  this->heard_born_ms = born_ms_of_id;
}

std::string RunnerGuard::IncarnationId() const {
  return this->born_ms != 0 && this->heard_born_ms == this->born_ms
             ? this->heard_id
             : std::string();
}

void RunnerGuard::StartIncarnationChange(int64_t new_born_ms) {
  this->changing_incarnation = true;
  this->alive = false;
  this->fence =
      std::max(this->fence + 1, absl::ToUnixMillis(SystemClock().Now()));
  this->log->Write(LogLine("runner_changing")
                       .Add("born_ms", new_born_ms)
                       .Add("previous_born_ms", this->born_ms)
                       .Add("fence", this->fence));
}

void RunnerGuard::OnNewIncarnation(const RunnerReport& report, absl::Time now) {
  // Orders that were sent before the fence was raised are refused from now on.
  // Those that the new incarnation carried out before are in its lists, unless
  // more ends follow.
  std::set<std::pair<TaskRef, uint32_t>> listed;
  for (const RunningFigure& figure : report.running)
    listed.emplace(figure.running.task, figure.running.run);
  for (const EndedRun& end : report.ended)
    listed.emplace(end.task, end.run);
  std::map<TaskRef, RunDescription> continuing_descriptions;
  std::erase_if(this->starting, [&](const auto& entry) {
    if (!listed.contains({entry.first, entry.second.order.run}))
      return false;
    continuing_descriptions[entry.first] = this->descriptions[entry.first];
    return true;
  });
  std::erase_if(this->running, [&](const auto& entry) {
    return listed.contains({entry.first, entry.second.running.run});
  });
  // These are refused or listed later; see ResolveStarts().
  std::map<TaskRef, PendingStart> undecided;
  if (report.more_ends)
    undecided.swap(this->starting);
  if (this->born_ms != 0)
    this->RecordEndOfIncarnation(report.order.born_ms, now);
  this->changing_incarnation = false;
  this->born_ms = report.order.born_ms;
  this->last_reported_end = 0;
  this->last_confirmed_end = 0;
  // The runner counts as lost until the full report that follows.
  this->alive = false;
  this->ClearRuns();
  this->ended.clear();
  this->descriptions = std::move(continuing_descriptions);
  this->starting = std::move(undecided);
}

void RunnerGuard::RecordEndOfIncarnation(int64_t new_born_ms, absl::Time now) {
  const absl::Time lost_at = this->silent_since.value_or(now);
  this->log->Write(LogLine("runner_restarted", LogLevel::kWarning)
                       .Add("born_ms", new_born_ms)
                       .Add("previous_born_ms", this->born_ms)
                       .Add("shutting_down", this->IsShuttingDown())
                       .Add("away_ms", absl::ToInt64Milliseconds(now - lost_at))
                       .Add("lost_runs", this->running.size())
                       .Add("pending_starts", this->starting.size()));
  std::vector<LostRun> lost = this->CollectLostRuns(lost_at);
  std::move(this->expired_runs.begin(), this->expired_runs.end(),
            std::back_inserter(lost));
  if (!this->IsDraining() && !lost.empty())
    this->crashes.emplace_back(now,
                               RunnerCrash{this->born_ms, std::move(lost)});
  while (this->crashes.size() > kMaxCrashes)
    this->crashes.pop_front();
}

std::vector<LostRun> RunnerGuard::CollectLostRuns(absl::Time silent_at) {
  // The runner was up when it confirmed the last start, although renewals may
  // have had no answer before.
  absl::Time lost_at = silent_at;
  for (const auto& [task, description] : this->descriptions)
    lost_at = std::max(lost_at, description.started_at.value_or(silent_at));
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
  // The caller knows that nothing runs, so no task waits for other ends.
  this->more_ends = false;
  this->starting.clear();
  this->descriptions.clear();
}

void RunnerGuard::CheckLeaseExpiry(absl::Time now) {
  const bool already_lost =
      this->runs_known && !this->alive && !this->changing_incarnation;
  if (now < this->lease_expiry || already_lost)
    return;
  this->changing_incarnation = false;
  // Every lease has expired, so the runner has ended its runs by itself. The
  // ends that it has listed before remain.
  this->log->Write(LogLine("runner_lost", LogLevel::kWarning)
                       .Add("born_ms", this->born_ms)
                       .Add("lost_runs", this->running.size())
                       .Add("pending_starts", this->starting.size()));
  // The runner refuses late copies of the orders once it has received a call
  // under the new fence.
  ++this->fence;
  this->expired_runs = this->CollectLostRuns(this->silent_since.value_or(now));
  this->lost_total.Add();
  this->runs_known = true;
  this->alive = false;
  this->ClearRuns();
  this->handlers.on_changed();
}

void RunnerGuard::OnRunnerShutdown(int64_t born_ms_of_leaving) {
  if (this->shutdown_born_ms == born_ms_of_leaving ||
      (this->IsShuttingDown() && born_ms_of_leaving != this->heard_born_ms))
    return;
  this->shutdown_born_ms = born_ms_of_leaving;
  this->shutdown_deadline = BootClock().Now() + kMaxShutdownTime;
}

void RunnerGuard::CancelShutdown(int64_t born_ms_of_ready) {
  if (this->shutdown_born_ms == born_ms_of_ready)
    this->shutdown_born_ms = 0;
}

}  // namespace cuminjunction
