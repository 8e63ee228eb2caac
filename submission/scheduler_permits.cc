// The scheduler's use of permits: queries to the adviser and tickets.

#include <algorithm>
#include <limits>
#include <utility>

#include "submission/place.h"
#include "submission/scheduler.h"

namespace cuminjunction {

const std::string* Scheduler::TicketFor(const ActiveSubmission& active,
                                        uint32_t occurrence,
                                        uint32_t step,
                                        const Worker& worker,
                                        absl::Time now) const {
  static const std::string none;
  if (!active.queue.advice.required)
    return &none;
  return this->permits.Find({active.submission.id, occurrence, step},
                            worker.info, now);
}

void Scheduler::QueryPermits(const ActiveSubmission& active,
                             const StepRef& step_ref,
                             Orders* orders,
                             absl::Time now) {
  const Step& step = active.submission.steps[step_ref.step];
  PlacementContext context;
  context.service = active.queue.service;
  std::vector<std::pair<double, const RunnerInfo*>> usable;
  for (const auto& [vm, worker] : this->workers) {
    const auto cost = this->CostOn(worker.get(), step, context, now);
    if (cost)
      usable.emplace_back(*cost, &worker->info);
    else if (IsEligible(step, context, *worker, now))
      // A full VM may have free capacity later.
      usable.emplace_back(std::numeric_limits<double>::max(), &worker->info);
  }
  std::stable_sort(
      usable.begin(), usable.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<const RunnerInfo*> runners;
  runners.reserve(usable.size());
  for (const auto& [cost, runner] : usable)
    runners.push_back(runner);
  auto query = this->permits.NextQuery(step_ref, runners, now);
  if (query)
    orders->queries.push_back(std::move(*query));
}

}  // namespace cuminjunction
