#ifndef SUBMISSION_RANK_H_
#define SUBMISSION_RANK_H_

// The order in which submissions are given capacity.
//
//   std::sort(candidates.begin(), candidates.end(), [](auto& a, auto& b) {
//     return RankOf(a.inputs) < RankOf(b.inputs);
//   });
//
// Load pattern: a burst of large submissions beyond the capacity of the fleet,
// where first come, first served makes every submission late. Submissions that
// can still meet their objective come first, and among them those with the
// least remaining work, since that completes the most submissions with the
// available capacity. Late submissions follow while their completion still has
// a value. Hopeless ones come last but are never dropped. Long-running
// submissions come before all others, since every second without them is lost.
// A submission that has begun keeps its place because its remaining work
// shrinks.

#include <cstdint>
#include <tuple>

#include "absl/time/time.h"

namespace cuminjunction {

// A submission is late after its objective, and hopeless after this multiple of
// it. The users' rules state the figure.
inline constexpr double kLateFactor = 3.0;

struct RankInputs {
  // Some steps of the submission run until it is cancelled.
  bool long_running = false;
  // Queue priority; 0 comes first.
  int64_t priority = 0;
  // Start of the objective: the acceptance, or the due time of a scheduled
  // occurrence.
  absl::Time objective_start;
  // End of the objective: `stretch` times the longest chain of tasks plus a
  // constant, from objective_start.
  absl::Time objective_deadline;
  // Estimated completion of the longest chain of remaining tasks.
  absl::Time earliest_completion;
  // Estimated remaining work, in millicore-seconds.
  double remaining_work = 0;
};

// Whether a submission can be expected to meet its objective.
enum class ObjectiveOutlook : uint8_t { kInTime, kLate, kHopeless };

ObjectiveOutlook ObjectiveOutlookOf(const RankInputs& inputs);

// Sort key of a submission; the lowest comes first.
struct Rank {
  bool not_long_running = false;
  bool hopeless = false;
  int64_t priority = 0;
  ObjectiveOutlook outlook = ObjectiveOutlook::kInTime;
  double remaining_work = 0;

  auto operator<=>(const Rank&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

Rank RankOf(const RankInputs& inputs);

}  // namespace cuminjunction

#endif  // SUBMISSION_RANK_H_
