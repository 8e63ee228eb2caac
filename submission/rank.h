#ifndef SUBMISSION_RANK_H_
#define SUBMISSION_RANK_H_

// What the order of ready submissions depends on; see overload.h.
//
//   RankInputs inputs = RankInputsOf(active, occurrence, now);
//   if (ObjectiveOutlookOf(inputs) == ObjectiveOutlook::kHopeless) ...

#include <cstdint>

#include "absl/time/time.h"

namespace cuminjunction {

// A submission is late after its objective, and hopeless after this multiple of
// it. The users' rules state the figure.
inline constexpr double kLateFactor = 3.0;

struct RankInputs {
  // Some steps of the submission run until it is cancelled.
  bool long_running = false;
  // The submission was admitted to the share of the capacity that goes by age.
  bool admitted_by_age = false;
  // Queue priority; 0 comes first.
  int64_t priority = 0;
  // Index of the service; see PlanningInputs::services.
  uint32_t service = 0;
  // Start of the objective: the acceptance, or the due time of a scheduled
  // occurrence.
  absl::Time objective_start;
  // End of the objective: `stretch` times the longest chain of tasks plus a
  // constant, from objective_start.
  absl::Time objective_deadline;
  // Estimated completion of the longest chain of remaining tasks.
  absl::Time earliest_completion;
  // Estimated work in millicore-seconds: of the whole occurrence, of the tasks
  // that are not done, of those among them that have no run, and of the filling
  // ones that are not done.
  double total_work = 0;
  double remaining_work = 0;
  double unstarted_work = 0;
  double remaining_filling_work = 0;

  absl::Duration Objective() const {
    return this->objective_deadline - this->objective_start;
  }
  // Time for which the submission can wait and still meet its objective.
  absl::Duration Slack() const {
    return this->objective_deadline - this->earliest_completion;
  }
  bool HasBegun() const { return this->unstarted_work < this->total_work; }
};

// Whether a submission can be expected to meet its objective.
enum class ObjectiveOutlook : uint8_t { kInTime, kLate, kHopeless };

ObjectiveOutlook ObjectiveOutlookOf(const RankInputs& inputs);

}  // namespace cuminjunction

#endif  // SUBMISSION_RANK_H_
