#include "task/guard.h"

#include <algorithm>

#include "base/strings.h"

namespace cuminjunction {

namespace {

constexpr int32_t kFullSharePercent = 100;
// Keeps the shift in AvoidPair() small; the longest avoidance is reached
// before.
constexpr int kMaxDoublings = 10;
// A task may be evicted in place of the one that adds most growth when it adds
// at least this share of that growth.
constexpr double kEvictionCandidateRatio = 0.5;

// The growth that the task would add at its full share. Ranked by present
// growth, the tasks that were throttled first would never be evicted.
double GrowthAtFullShare(const ColocatedTask& colocated, size_t service) {
  const double share = std::max<int32_t>(colocated.share_percent, 1);
  return colocated.added_growth[service] * kFullSharePercent / share;
}

double LatencyGrowth(const GuardedService& service) {
  return service.baseline_ms > 0 ? service.tail_ms / service.baseline_ms - 1
                                 : 0;
}

// The tail latency that the service would have without the present burst of
// load.
double TailWithoutBurst(const GuardedService& service) {
  if (service.baseline_ms <= service.smoothed_baseline_ms)
    return service.tail_ms;
  return service.tail_ms * service.smoothed_baseline_ms / service.baseline_ms;
}

}  // namespace

void Guard::RecordAttemptEnd() {
  this->eviction_budget =
      std::min(this->options.max_saved_evictions,
               this->eviction_budget + this->options.evictions_per_attempt);
}

int Guard::FindMostSlowed(const GuardView& view) const {
  int worst = -1;
  double worst_ratio = 1;
  for (size_t i = 0; i < view.services.size(); ++i) {
    const GuardedService& service = view.services[i];
    const double ratio = service.target_ms > 0
                             ? TailWithoutBurst(service) / service.target_ms
                             : 0;
    if (ratio <= worst_ratio ||
        LatencyGrowth(service) < this->options.min_growth)
      continue;
    worst = static_cast<int>(i);
    worst_ratio = ratio;
  }
  return worst;
}

bool Guard::HasHeadroom(const GuardView& view) const {
  return std::all_of(view.services.begin(), view.services.end(),
                     [&](const GuardedService& service) {
                       return service.tail_ms <=
                              this->options.lift_latency_ratio *
                                  service.target_ms;
                     });
}

void Guard::SyncThrottles(const GuardView& view,
                          absl::Time now,
                          Throttles* throttles) {
  Throttles in_rows;
  for (const ColocatedTask& colocated : view.colocated_tasks) {
    if (!colocated.preemptible || colocated.share_percent >= kFullSharePercent)
      continue;
    const auto tracked = throttles->find(colocated.task);
    const bool unchanged = tracked != throttles->end() &&
                           tracked->second.first == colocated.share_percent;
    in_rows[colocated.task] = {colocated.share_percent,
                               unchanged ? tracked->second.second : now};
  }
  *throttles = std::move(in_rows);
}

std::vector<GuardAction> Guard::Evaluate(const GuardView& view,
                                         absl::Time now) {
  WorkerRecord& record = this->workers[view.worker];
  record.last_report = now;
  if (view.measured_at < record.last_action + this->options.settling_time)
    return {};
  SyncThrottles(view, now, &record.throttled);
  const int slowed = this->FindMostSlowed(view);
  record.slow_streak = slowed >= 0 ? record.slow_streak + 1 : 0;
  record.headroom_streak =
      this->HasHeadroom(view) ? record.headroom_streak + 1 : 0;
  if (record.slow_streak >= this->options.reports_before_action)
    return this->Relieve(view, static_cast<size_t>(slowed), now, &record);
  record.headroom_needed =
      std::max(record.headroom_needed, this->options.reports_before_lift);
  if (record.headroom_streak >= record.headroom_needed &&
      !record.throttled.empty())
    return this->Lift(now, &record);
  return {};
}

std::vector<GuardAction> Guard::Relieve(const GuardView& view,
                                        size_t service,
                                        absl::Time now,
                                        WorkerRecord* record) {
  if (now < record->last_lift + this->options.early_lift_window) {
    record->headroom_needed = std::min(2 * record->headroom_needed,
                                       this->options.max_reports_before_lift);
    record->last_lift = absl::InfinitePast();
  }
  const ColocatedTask* worst = nullptr;
  for (const ColocatedTask& colocated : view.colocated_tasks) {
    if (colocated.preemptible &&
        (worst == nullptr || GrowthAtFullShare(colocated, service) >
                                 GrowthAtFullShare(*worst, service)))
      worst = &colocated;
  }
  const GuardedService& victim = view.services[service];
  // Without a co-located task that adds a fair part of the growth, moving any
  // would be a guess.
  const double min_added = this->options.min_growth / 2;
  if (worst == nullptr || GrowthAtFullShare(*worst, service) < min_added)
    return {};
  auto& throttled = record->throttled;
  const auto tracked = throttled.find(worst->task);
  const int32_t share =
      tracked == throttled.end() ? kFullSharePercent : tracked->second.first;
  if (share <= this->options.min_share_percent) {
    if (now < tracked->second.second + this->options.evict_after)
      return {};
    return this->Evict(
        view, service,
        kEvictionCandidateRatio * GrowthAtFullShare(*worst, service), now,
        record);
  }
  const int32_t next =
      share == kFullSharePercent
          ? this->options.initial_share_percent
          : std::max(share / 2, this->options.min_share_percent);
  throttled[worst->task] = {next, now};
  record->last_action = now;
  record->slow_streak = 0;
  return {{GuardAction::Kind::kThrottle, worst->task, next,
           StrCat("slows down ", victim.service)}};
}

std::vector<GuardAction> Guard::Evict(const GuardView& view,
                                      size_t service,
                                      double min_added,
                                      absl::Time now,
                                      WorkerRecord* record) {
  if (this->eviction_budget < 1)
    return {};
  const ColocatedTask* cheapest = nullptr;
  for (const ColocatedTask& colocated : view.colocated_tasks) {
    if (!colocated.preemptible ||
        GrowthAtFullShare(colocated, service) < min_added)
      continue;
    if (cheapest == nullptr ||
        colocated.unsaved_core_seconds < cheapest->unsaved_core_seconds)
      cheapest = &colocated;
  }
  if (cheapest == nullptr)
    return {};
  this->eviction_budget -= 1;
  record->last_action = now;
  record->slow_streak = 0;
  record->throttled.erase(cheapest->task);
  const std::string& name = view.services[service].service;
  this->AvoidPair(name, cheapest->owner, now);
  return {{GuardAction::Kind::kEvict, cheapest->task, kFullSharePercent,
           StrCat("slowed down ", name, " although throttled")}};
}

std::vector<GuardAction> Guard::Lift(absl::Time now, WorkerRecord* record) {
  const auto oldest =
      std::min_element(record->throttled.begin(), record->throttled.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.second < b.second.second;
                       });
  const std::string task = oldest->first;
  const int32_t share = std::min(2 * oldest->second.first, kFullSharePercent);
  if (share == kFullSharePercent)
    record->throttled.erase(oldest);
  else
    oldest->second = {share, now};
  record->last_action = now;
  record->last_lift = now;
  record->headroom_streak = 0;
  return {{GuardAction::Kind::kThrottle, task, share,
           "latency of the co-located services has recovered"}};
}

std::vector<GuardAction> Guard::LiftThrottlesWithoutReports(absl::Time now) {
  std::vector<GuardAction> out;
  for (auto it = this->workers.begin(); it != this->workers.end();) {
    if (now < it->second.last_report + this->options.report_timeout) {
      ++it;
      continue;
    }
    for (const auto& [task, throttle] : it->second.throttled) {
      out.push_back({GuardAction::Kind::kThrottle, task, kFullSharePercent,
                     "worker stopped sending usage reports"});
    }
    it = this->workers.erase(it);
  }
  return out;
}

void Guard::AvoidPair(const std::string& service,
                      const std::string& owner,
                      absl::Time now) {
  std::erase_if(this->avoided_pairs, [&](const auto& item) {
    return item.second.expiry + this->options.max_avoidance < now;
  });
  AvoidedPair& avoided = this->avoided_pairs[{service, owner}];
  const int doublings = std::min(avoided.evictions, kMaxDoublings);
  avoided.expiry = now + std::min(this->options.max_avoidance,
                                  this->options.initial_avoidance *
                                      static_cast<double>(1 << doublings));
  ++avoided.evictions;
}

bool Guard::IsPairAvoided(const std::string& service,
                          const std::string& owner,
                          absl::Time now) const {
  const auto found = this->avoided_pairs.find({service, owner});
  return found != this->avoided_pairs.end() && now < found->second.expiry;
}

}  // namespace cuminjunction
