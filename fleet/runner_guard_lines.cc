// RunnerGuard: lines on runs and starts of which the runner tells nothing.

#include <algorithm>

#include "fleet/runner_guard.h"

namespace cuminjunction {

namespace {

// A start without an answer for this long gets a line.
constexpr absl::Duration kUnansweredAfter = absl::Seconds(2);

}  // namespace

void RunnerGuard::LogVanishedRuns(
    const std::map<TaskRef, RunningFigure>& before) {
  for (const auto& [task, figure] : before) {
    const auto listed = this->running.find(task);
    if (listed != this->running.end() &&
        listed->second.running.run >= figure.running.run)
      continue;
    // One end stands for all members of a gang.
    const bool has_end = std::any_of(
        this->ended.begin(), this->ended.end(),
        [&task = task, &figure = figure](const EndedRun& end) {
          return end.task.submission == task.submission &&
                 end.task.occurrence == task.occurrence &&
                 end.task.step == task.step && end.run == figure.running.run;
        });
    if (has_end)
      continue;
    this->log->Write(LogLine("run_vanished", LogLevel::kWarning)
                         .Add("submission", task.submission)
                         .Add("step", static_cast<uint64_t>(task.step))
                         .Add("index", static_cast<uint64_t>(task.index))
                         .Add("run", static_cast<uint64_t>(figure.running.run))
                         .Add("born_ms", this->born_ms)
                         .Add("confirmed_end", this->last_confirmed_end));
  }
}

void RunnerGuard::LogUnansweredStarts(absl::Time now) {
  for (auto& [task, start] : this->starting) {
    if (start.unanswered_logged || now - start.ordered_at < kUnansweredAfter ||
        start.accepted_at != absl::InfiniteFuture())
      continue;
    start.unanswered_logged = true;
    this->log->Write(LogLine("start_unanswered", LogLevel::kWarning)
                         .Add("submission", task.submission)
                         .Add("step", static_cast<uint64_t>(task.step))
                         .Add("index", static_cast<uint64_t>(task.index))
                         .Add("run", static_cast<uint64_t>(start.order.run))
                         .Add("born_ms", this->born_ms)
                         .Add("attempts", static_cast<uint64_t>(start.attempts))
                         .Add("abandoned", start.abandon_outcome.has_value()));
  }
}

}  // namespace cuminjunction
