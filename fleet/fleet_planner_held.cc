// A planner's lines on long-running tasks that do not run.

#include <utility>

#include "base/strings.h"
#include "fleet/fleet_planner.h"

namespace cuminjunction {

namespace {

constexpr absl::Duration kCheckInterval = absl::Milliseconds(500);

// A held task gets a line this often, and a check writes at most this many.
constexpr absl::Duration kLineInterval = absl::Seconds(3);
constexpr size_t kMaxLinesPerCheck = 20;

}  // namespace

void FleetPlanner::LogHeldTasks(absl::Time now) {
  if (now < this->next_held_check || !this->scheduler)
    return;
  this->next_held_check = now + kCheckInterval;
  const std::vector<HeldTask> held_now = this->scheduler->HeldTasks(now);
  this->held_tasks.Set(static_cast<double>(held_now.size()));
  const auto lines_before = std::exchange(this->held_lines, {});
  size_t lines = 0;
  for (const HeldTask& held : held_now) {
    const auto before = lines_before.find(held.task);
    if (before != lines_before.end() && now < before->second) {
      this->held_lines.insert(*before);
      continue;
    }
    if (lines >= kMaxLinesPerCheck)
      continue;
    ++lines;
    this->held_lines[held.task] = now + kLineInterval;
    LogLine line("task_held", LogLevel::kWarning);
    line.Add("submission", held.task.submission)
        .Add("step", static_cast<uint64_t>(held.task.step))
        .Add("index", static_cast<uint64_t>(held.task.index))
        .Add("held_ms", absl::ToInt64Milliseconds(now - held.since))
        .Add("run", static_cast<uint64_t>(held.last_run))
        .Add("vm", held.last_vm)
        .Add("ordered", held.ordered)
        .Add("refused_starts", static_cast<uint64_t>(held.refused_starts))
        .Add("suspect", held.suspect)
        .Add("unresolved", held.unresolved);
    const ObstacleCounts vms = this->scheduler->CountObstacles(held.task, now);
    for (size_t i = 0; i < vms.size(); ++i) {
      if (vms.at(i) > 0)
        line.Add(StrCat("vms_", ToString(static_cast<PlacementObstacle>(i))),
                 static_cast<uint64_t>(vms.at(i)));
    }
    this->log->Write(line);
  }
}

}  // namespace cuminjunction
