#ifndef SUBMISSION_PERMITS_H_
#define SUBMISSION_PERMITS_H_

// Permits for steps to run on workers, for queues whose placement is restricted
// by a policy that only an outside adviser can evaluate.
//
//   Permits permits;
//   if (auto query = permits.NextQuery(step, workers, now)) ...   // to the
//   adviser permits.OnAnswer(*query, granted, valid_until); if (const
//   std::string* ticket = permits.Find(step, runner, now)) ...
//
// Load pattern: a burst of steps, each of which needs an answer of an adviser
// whose answer takes time for each worker in the query. A query contains a few
// workers, and another one is sent only while tasks of the step have found no
// capacity. A permit is valid for one incarnation of a runner and expires. A
// worker whose permit was denied is never queried again.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "submission/types.h"

namespace cuminjunction {

// Identifies one step of one occurrence.
struct StepRef {
  std::string submission;
  uint32_t occurrence = 0;
  uint32_t step = 0;

  auto operator<=>(const StepRef&) const =
      default;  // NOLINT(modernize-use-nullptr)

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submission, this->occurrence, this->step);
  }
};

struct PermitQuery {
  StepRef step;
  // Names of runners.
  std::vector<std::string> runners;

  bool operator==(const PermitQuery&) const = default;
};

// A runner that may run the step, and the ticket that must be sent with a
// start.
using GrantedRunner = std::pair<std::string, std::string>;

class Permits {
 public:
  // Returns the next query to the adviser for the step. `workers` are the
  // usable workers, the preferred ones first. Returns nullopt while a query is
  // pending, during the pause after a failed one, and when all workers have a
  // valid answer.
  std::optional<PermitQuery> NextQuery(
      const StepRef& step,
      const std::vector<const RunnerInfo*>& workers,
      absl::Time now);

  // Merges the answer to a query. Runners of the query that are not in
  // `granted` are denied. The tickets expire at `valid_until`.
  void OnAnswer(const PermitQuery& query,
                const std::vector<GrantedRunner>& granted,
                absl::Time valid_until);

  // The query failed or timed out; the runners are queried again after a pause.
  void OnFailed(const PermitQuery& query, absl::Time now);

  // Returns the ticket for the step on this incarnation of a runner, or null.
  // Tickets that expire within 1 s are not returned.
  const std::string* Find(const StepRef& step,
                          const RunnerInfo& runner,
                          absl::Time now) const;

  // Drops a ticket that the runner rejected, so that it is queried again.
  void Revoke(const StepRef& step, const std::string& runner);

  // Drops the permits of all steps of a submission.
  void Forget(const std::string& submission);

 private:
  struct Answer {
    // Start time of the runner's incarnation in the query.
    int64_t born_ms = 0;
    bool granted = false;
    std::string ticket;
    absl::Time valid_until;
  };
  struct StepPermits {
    // Runners of the pending query with the start times of their incarnations;
    // empty without a query.
    std::map<std::string, int64_t> pending;
    absl::Time retry_at = absl::InfinitePast();
    std::map<std::string, Answer> answers;
  };

  static bool NeedsQuery(const StepPermits& step_permits,
                         const RunnerInfo& runner,
                         absl::Time now);

  std::map<StepRef, StepPermits> steps;
};

}  // namespace cuminjunction

#endif  // SUBMISSION_PERMITS_H_
