#include "task/guard.h"

#include <algorithm>

#include "base/strings.h"

namespace cuminjunction {

namespace {

constexpr int32_t kWholeShare = 100;
// Keeps the shift in Remember() small; the longest memory is reached before.
constexpr int kMostDoublings = 10;
// A task may be evicted in place of the one that adds most when it adds at
// least this share as much.
constexpr double kAddsMuch = 0.5;

// What the task would add at its whole share. Ranked by what they add now, the
// tasks that were throttled first would never be evicted.
double WholeAdds(const GuardedNeighbour& neighbour, size_t service) {
  const double share = std::max<int32_t>(neighbour.share_percent, 1);
  return neighbour.adds[service] * kWholeShare / share;
}

double Growth(const GuardedService& service) {
  return service.baseline_ms > 0 ? service.tail_ms / service.baseline_ms - 1
                                 : 0;
}

// The tail that the service would have without the present burst of load.
double UsualTail(const GuardedService& service) {
  if (service.baseline_ms <= service.usual_ms)
    return service.tail_ms;
  return service.tail_ms * service.usual_ms / service.baseline_ms;
}

}  // namespace

void Guard::Ended() {
  this->budget = std::min(this->options.most_evictions,
                          this->budget + this->options.evictions_per_end);
}

int Guard::FindSuffering(const GuardView& view) const {
  int worst = -1;
  double worst_ratio = 1;
  for (size_t i = 0; i < view.services.size(); ++i) {
    const GuardedService& service = view.services[i];
    const double ratio =
        service.target_ms > 0 ? UsualTail(service) / service.target_ms : 0;
    if (ratio <= worst_ratio || Growth(service) < this->options.least_growth)
      continue;
    worst = static_cast<int>(i);
    worst_ratio = ratio;
  }
  return worst;
}

bool Guard::IsCalm(const GuardView& view) const {
  return std::all_of(view.services.begin(), view.services.end(),
                     [&](const GuardedService& service) {
                       return service.tail_ms <=
                              this->options.calm_share * service.target_ms;
                     });
}

void Guard::Adopt(const GuardView& view, absl::Time now, Throttles* throttles) {
  Throttles present;
  for (const GuardedNeighbour& neighbour : view.neighbours) {
    if (!neighbour.movable || neighbour.share_percent >= kWholeShare)
      continue;
    const auto known = throttles->find(neighbour.task);
    const bool unchanged = known != throttles->end() &&
                           known->second.first == neighbour.share_percent;
    present[neighbour.task] = {neighbour.share_percent,
                               unchanged ? known->second.second : now};
  }
  *throttles = std::move(present);
}

std::vector<GuardAction> Guard::Judge(const GuardView& view, absl::Time now) {
  WorkerRecord& record = this->workers[view.worker];
  record.reported = now;
  if (view.at < record.acted + this->options.settle)
    return {};
  Adopt(view, now, &record.throttled);
  const int suffering = this->FindSuffering(view);
  record.slow = suffering >= 0 ? record.slow + 1 : 0;
  record.calm = this->IsCalm(view) ? record.calm + 1 : 0;
  if (record.slow >= this->options.slow_reports)
    return this->Relieve(view, static_cast<size_t>(suffering), now, &record);
  record.calm_needed = std::max(record.calm_needed, this->options.calm_reports);
  if (record.calm >= record.calm_needed && !record.throttled.empty())
    return this->Lift(now, &record);
  return {};
}

std::vector<GuardAction> Guard::Relieve(const GuardView& view,
                                        size_t service,
                                        absl::Time now,
                                        WorkerRecord* record) {
  if (now < record->lifted + this->options.lift_trial) {
    record->calm_needed =
        std::min(2 * record->calm_needed, this->options.most_calm_reports);
    record->lifted = absl::InfinitePast();
  }
  const GuardedNeighbour* worst = nullptr;
  for (const GuardedNeighbour& neighbour : view.neighbours) {
    if (neighbour.movable &&
        (worst == nullptr ||
         WholeAdds(neighbour, service) > WholeAdds(*worst, service)))
      worst = &neighbour;
  }
  const GuardedService& victim = view.services[service];
  // Without a neighbour that adds a fair part of the growth, moving any would
  // be a guess.
  const double least = this->options.least_growth / 2;
  if (worst == nullptr || WholeAdds(*worst, service) < least)
    return {};
  auto& throttled = record->throttled;
  const auto known = throttled.find(worst->task);
  const int32_t share =
      known == throttled.end() ? kWholeShare : known->second.first;
  if (share <= this->options.least_share_percent) {
    if (now < known->second.second + this->options.evict_after)
      return {};
    return this->Evict(view, service, kAddsMuch * WholeAdds(*worst, service),
                       now, record);
  }
  const int32_t next =
      share == kWholeShare
          ? this->options.first_share_percent
          : std::max(share / 2, this->options.least_share_percent);
  throttled[worst->task] = {next, now};
  record->acted = now;
  record->slow = 0;
  return {{GuardAction::Kind::kThrottle, worst->task, next,
           StrCat("slows down ", victim.service)}};
}

std::vector<GuardAction> Guard::Evict(const GuardView& view,
                                      size_t service,
                                      double least_adds,
                                      absl::Time now,
                                      WorkerRecord* record) {
  if (this->budget < 1)
    return {};
  const GuardedNeighbour* cheapest = nullptr;
  for (const GuardedNeighbour& neighbour : view.neighbours) {
    if (!neighbour.movable || WholeAdds(neighbour, service) < least_adds)
      continue;
    if (cheapest == nullptr || neighbour.loss < cheapest->loss)
      cheapest = &neighbour;
  }
  if (cheapest == nullptr)
    return {};
  this->budget -= 1;
  record->acted = now;
  record->slow = 0;
  record->throttled.erase(cheapest->task);
  const std::string& name = view.services[service].service;
  this->Remember(name, cheapest->owner, now);
  return {{GuardAction::Kind::kEvict, cheapest->task, kWholeShare,
           StrCat("slowed down ", name, " although throttled")}};
}

std::vector<GuardAction> Guard::Lift(absl::Time now, WorkerRecord* record) {
  const auto least =
      std::min_element(record->throttled.begin(), record->throttled.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.second < b.second.second;
                       });
  const std::string task = least->first;
  const int32_t share = std::min(2 * least->second.first, kWholeShare);
  if (share == kWholeShare)
    record->throttled.erase(least);
  else
    least->second = {share, now};
  record->acted = now;
  record->lifted = now;
  record->calm = 0;
  return {{GuardAction::Kind::kThrottle, task, share,
           "the services beside it are calm"}};
}

std::vector<GuardAction> Guard::LiftUnreported(absl::Time now) {
  std::vector<GuardAction> out;
  for (auto it = this->workers.begin(); it != this->workers.end();) {
    if (now < it->second.reported + this->options.report_timeout) {
      ++it;
      continue;
    }
    for (const auto& [task, throttle] : it->second.throttled) {
      out.push_back({GuardAction::Kind::kThrottle, task, kWholeShare,
                     "its worker reports no more"});
    }
    it = this->workers.erase(it);
  }
  return out;
}

void Guard::Remember(const std::string& service,
                     const std::string& owner,
                     absl::Time now) {
  std::erase_if(this->remembered, [&](const auto& item) {
    return item.second.until + this->options.longest_memory < now;
  });
  Memory& memory = this->remembered[{service, owner}];
  const int doublings = std::min(memory.evictions, kMostDoublings);
  memory.until = now + std::min(this->options.longest_memory,
                                this->options.first_memory *
                                    static_cast<double>(1 << doublings));
  ++memory.evictions;
}

bool Guard::IsRemembered(const std::string& service,
                         const std::string& owner,
                         absl::Time now) const {
  const auto found = this->remembered.find({service, owner});
  return found != this->remembered.end() && now < found->second.until;
}

}  // namespace cuminjunction
