#ifndef SUBMISSION_RANK_H_
#define SUBMISSION_RANK_H_

// The order in which submissions get room.
//
//   std::sort(jobs, by Rank(facts of the job, now));
//
// Load pattern: a burst of large submissions beyond the capacity of the fleet.
// First come, first served then makes every submission late. Instead those
// that can still meet their objective go first, the ones with the least work
// left before others, since they finish the most submissions with the room
// that there is. Late submissions follow while they still earn something, and
// hopeless ones come last but are never dropped. Tasks that last go before all,
// since they lose with every second, and a submission that has begun keeps its
// turn because its work left shrinks.

#include <cstdint>
#include <tuple>

#include "absl/time/time.h"

namespace cuminjunction {

// A submission is late beyond its objective, and hopeless beyond this multiple
// of it. The users' rules state the figure.
inline constexpr double kLateFactor = 3.0;

struct RankFacts {
  // The submission's steps run until it is cancelled.
  bool long_running = false;
  // 0 comes first.
  int64_t priority = 0;
  // From when the objective counts: acceptance, or the due time.
  absl::Time begin;
  // Whole objective: stretch times the longest chain and a constant.
  absl::Time objective_end;
  // Estimated time of the longest chain of tasks that is left.
  absl::Time earliest_end;
  // Estimated work left, in thousandths of a core times seconds.
  double work_left = 0;
};

// How a submission stands against its objective.
enum class Outlook : uint8_t { kInTime, kLate, kHopeless };

Outlook OutlookOf(const RankFacts& facts);

// Sorts submissions: the lowest first.
struct Rank {
  bool not_lasting = false;
  bool hopeless = false;
  int64_t priority = 0;
  Outlook outlook = Outlook::kInTime;
  double work_left = 0;

  auto operator<=>(const Rank&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

Rank RankOf(const RankFacts& facts);

}  // namespace cuminjunction

#endif  // SUBMISSION_RANK_H_
