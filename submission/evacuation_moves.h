#ifndef SUBMISSION_EVACUATION_MOVES_H_
#define SUBMISSION_EVACUATION_MOVES_H_

// Which long-running tasks in an evacuated failure domain to stop now, so that
// they start again in another domain.
//
//   for (const MoveCandidate& move :
//        StopForMoves(candidates, moves_under_way, workers, now, hold_room))
//     orders->stops.push_back({move.worker->vm, move.task, ..., "evacuated"});
//
// A rule of the platform limits how many tasks of a step may be unavailable
// because of stops, until each of them works again. The planner does not hear
// when a task works, so it counts each task as unavailable that may be, and in
// doubt leaves a task where it is.

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "submission/active.h"
#include "submission/types.h"
#include "submission/worker.h"

namespace cuminjunction {

// Time from the order of a start until the task works: an agent delivers a
// start within a quarter of the bound of an evacuation (1.25 s) or not at all,
// a call to the runner takes up to 0.8 s, and tasks take up to 1.6 s to start
// up.
inline constexpr absl::Duration kStartUpTime = absl::Milliseconds(3700);

// A run that a worker reports after a takeover counts as unavailable for this
// long: the planner before may have started or stopped it, and an agent repeats
// a stop until its runner has answered.
inline constexpr absl::Duration kReportedRunSettles = absl::Seconds(5);

// Limits over all steps of the stops in one plan, and of the long-running tasks
// that are being stopped, so that the moves take the free capacity of the other
// domains bit by bit.
inline constexpr size_t kMaxMovesInPlan = 3;
inline constexpr size_t kMaxMovesAtOnce = 8;

// A planner that has not planned for this long has been suspended or stalled,
// and has not received what happened meanwhile, such as refused starts. It
// stops no task for a move until it has had time to read its messages.
inline constexpr absl::Duration kMaxPlanGap = absl::Seconds(1);
inline constexpr absl::Duration kSettleAfterGap = absl::Seconds(1);

// StopOrder::reason of these stops.
inline constexpr std::string_view kEvacuatedReason = "evacuated";

using WorkersByVm = std::map<std::string, std::unique_ptr<Worker>>;

// Lets the runs of a VM that has been silent count as working only after the
// start-up time: the VM may have been suspended while they started.
void DelayWork(Worker* worker, absl::Time now);

// True if the task of the slot certainly works: its VM answers and its run was
// started long enough ago and has not been ordered to stop.
bool IsAvailable(const TaskSlot& slot,
                 const TaskRef& task,
                 const WorkersByVm& workers,
                 absl::Time now);

// A long-running task and what decides whether it may be stopped.
struct MoveCandidate {
  // VM of the task's current run.
  Worker* worker = nullptr;
  TaskRef task;
  const Step* step = nullptr;
  // The tasks of the step in the same occurrence.
  const StepSlots* slots = nullptr;
};

// True if the task works and stopping it leaves no more than
// Step::max_unavailable tasks of its step unavailable. False for members of a
// gang and for suspects of a crash.
bool MayStop(const MoveCandidate& candidate,
             const WorkersByVm& workers,
             absl::Time now);

template <class T>
concept RoomHolder = requires(T hold_room, const MoveCandidate& candidate) {
  { hold_room(candidate) } -> std::same_as<bool>;
};

// Returns the candidates to stop now, and marks their runs as being stopped.
// `moves_under_way` is the number of long-running tasks that are being stopped.
// `hold_room` holds room on another VM for one more task, beside all that is
// held already, and returns false if there is none.
template <RoomHolder Holder>
std::vector<MoveCandidate> StopForMoves(
    const std::vector<MoveCandidate>& candidates,
    size_t moves_under_way,
    const WorkersByVm& workers,
    absl::Time now,
    const Holder& hold_room) {
  std::vector<MoveCandidate> moves;
  for (const MoveCandidate& candidate : candidates) {
    if (moves.size() >= kMaxMovesInPlan ||
        moves_under_way + moves.size() >= kMaxMovesAtOnce)
      break;
    if (!MayStop(candidate, workers, now) || !hold_room(candidate))
      continue;
    MarkStopping(&candidate.worker->placed.at(candidate.task));
    moves.push_back(candidate);
  }
  return moves;
}

}  // namespace cuminjunction

#endif  // SUBMISSION_EVACUATION_MOVES_H_
