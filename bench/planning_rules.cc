#include "bench/planning_rules.h"
#include "submission/planning_order.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

namespace cuminjunction {

namespace {

// Work in millicore-seconds of the feasible submissions so far, by service.
struct PromisedWork {
  double plain = 0;
  double total = 0;

  void Add(const RankInputs& ready, double sign) {
    this->plain += sign * (ready.remaining_work - ready.remaining_filling_work);
    this->total += sign * ready.remaining_work;
  }
  // Time until it is done.
  absl::Duration Delay(const RankInputs& ready,
                       const PlanningInputs::Service& service) const {
    double seconds = this->total /
                     std::max(1.0, service.capacity + service.filling_capacity);
    if (ready.remaining_filling_work < ready.remaining_work)
      seconds =
          std::max(seconds, this->plain / std::max(1.0, service.capacity));
    return absl::Seconds(seconds);
  }
};

// Marks the submissions that can be in time beside the more important ones.
std::vector<bool> FindFeasible(const PlanningInputs& inputs) {
  std::vector<bool> feasible(inputs.ready.size());
  std::vector<uint32_t> by_slack;
  for (uint32_t index = 0; index < inputs.ready.size(); ++index) {
    const RankInputs& ready = inputs.ready[index];
    if (!ready.long_running &&
        ObjectiveOutlookOf(ready) == ObjectiveOutlook::kInTime)
      by_slack.push_back(index);
  }
  std::sort(by_slack.begin(), by_slack.end(), [&](uint32_t a, uint32_t b) {
    return std::tuple(inputs.ready[a].priority, inputs.ready[a].Slack(), a) <
           std::tuple(inputs.ready[b].priority, inputs.ready[b].Slack(), b);
  });
  std::vector<PromisedWork> promised(inputs.services.size());
  // By service: the feasible submissions of the current priority, the one with
  // the most remaining work on top.
  using Heap = std::priority_queue<std::pair<double, uint32_t>>;
  std::vector<Heap> heaps(inputs.services.size());
  for (size_t position = 0; position < by_slack.size(); ++position) {
    const uint32_t index = by_slack[position];
    const RankInputs& ready = inputs.ready[index];
    if (position > 0 &&
        inputs.ready[by_slack[position - 1]].priority != ready.priority)
      heaps.assign(inputs.services.size(), {});
    PromisedWork& work = promised[ready.service];
    const absl::Duration delay =
        work.Delay(ready, inputs.services[ready.service]);
    feasible[index] = true;
    heaps[ready.service].emplace(ready.remaining_work, index);
    work.Add(ready, 1);
    if (delay <= ready.Slack())
      continue;
    const uint32_t dropped = heaps[ready.service].top().second;
    heaps[ready.service].pop();
    feasible[dropped] = false;
    work.Add(inputs.ready[dropped], -1);
  }
  return feasible;
}

std::vector<uint32_t> FeasibleOrder(const PlanningInputs& inputs,
                                    bool by_slack) {
  const std::vector<bool> feasible = FindFeasible(inputs);
  return OrderByKey(inputs, [&](uint32_t index) {
    const RankInputs& ready = inputs.ready[index];
    return std::tuple(!ready.long_running, !feasible[index], IsHopeless(ready),
                      ready.priority,
                      by_slack && feasible[index]
                          ? absl::ToDoubleSeconds(ready.Slack())
                          : ready.remaining_work);
  });
}

}  // namespace

std::vector<uint32_t> EarliestDeadlineRule::Order(
    const PlanningInputs& inputs) {
  return OrderByKey(inputs, [&](uint32_t index) {
    const RankInputs& ready = inputs.ready[index];
    return std::tuple(!ready.long_running, IsHopeless(ready), ready.priority,
                      ObjectiveOutlookOf(ready), ready.objective_deadline);
  });
}

std::vector<uint32_t> GlobalDeadlineRule::Order(const PlanningInputs& inputs) {
  return OrderByKey(inputs, [&](uint32_t index) {
    const RankInputs& ready = inputs.ready[index];
    return std::tuple(!ready.long_running, ObjectiveOutlookOf(ready),
                      ready.objective_deadline, ready.priority);
  });
}

std::vector<uint32_t> FeasibleSlackRule::Order(const PlanningInputs& inputs) {
  return FeasibleOrder(inputs, true);
}

std::vector<uint32_t> FeasibleWorkRule::Order(const PlanningInputs& inputs) {
  return FeasibleOrder(inputs, false);
}

}  // namespace cuminjunction
