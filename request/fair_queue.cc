#include "request/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cuminjunction {

namespace {

// Weight of one new sample in a decayed mean service time.
constexpr double kSampleWeight = 0.1;
// Shares and rates are recomputed at this interval, so that the cost of an
// admission does not grow with the number of classes.
constexpr absl::Duration kRefreshInterval = absl::Milliseconds(10);
// Time constant over which the use of slots is averaged.
constexpr double kUseWindowUs = 500e3;
// An estimate is followed for this long after the last request of its class.
constexpr absl::Duration kTrustEstimate = absl::Seconds(1);
// Factor on the expected wait in admission. The wait varies, and a request that
// waits in vain takes a place from one that could be answered.
constexpr double kWaitMargin = 1.25;
// A class that was idle this long is forgotten.
constexpr absl::Duration kForgetAfter = absl::Seconds(10);
// A floor may be saved up for this long, so that a class with a few requests a
// second gets its floor as well.
constexpr double kFloorBurstUs = 50e3;
// An account counts as active while it uses this share of the slots.
constexpr double kActiveUse = 0.001;
// Excess over its share of the used slots that an account may have before it
// counts as over its share.
constexpr double kShareTolerance = 1.05;

int Rank(Urgency urgency, bool over_share) {
  if (urgency == Urgency::kBatch)
    return over_share ? 5 : 4;
  return static_cast<int>(urgency) + (over_share ? 2 : 0);
}

}  // namespace

struct FairQueue::Item {
  AttemptId id;
  double cost = 1;
  absl::Time deadline;
};

struct FairQueue::Class {
  RequestClass key;
  double weight = 1;
  std::list<Item> items;
  double queued_cost = 0;
  uint32_t running = 0;
  DecayedMean service;
  // Slots used on average, and slot time charged since the last refresh.
  double use = 0;
  double spent_us = 0;
  // Guaranteed and expected slots.
  double floor = 0;
  double rate = 0;
  bool over_share = false;
  // Slot time owed to the class by its floor. Bounded in both directions: a
  // class that was served beyond its floor for a while gets it again soon.
  double credit_us = 0;
  absl::Time credit_at;
  // Start tag of start-time fair queueing among the same urgency.
  double tag = 0;
  absl::Time used_at;
  absl::Time finished_at = absl::InfinitePast();
};

struct FairQueue::Running {
  Class* cls = nullptr;
  double cost = 1;
  double charged_us = 0;
};

struct FairQueue::Place {
  Class* cls = nullptr;
  std::list<Item>::iterator item;
};

struct FairQueue::AccountUse {
  double weight = 1;
  double use = 0;
  bool has_work = false;
};

void FairQueue::DecayedMean::Add(double sample) {
  this->samples += 1;
  // The plain mean of the first samples; otherwise the first one would weigh
  // most.
  const double weight = std::max(kSampleWeight, 1.0 / this->samples);
  this->mean += weight * (sample - this->mean);
}

FairQueue::FairQueue(QueueSettings settings) : settings(settings) {}

FairQueue::~FairQueue() = default;

void FairQueue::SetWeights(absl::flat_hash_map<std::string, int64_t> weights) {
  this->weights = std::move(weights);
  for (Class* cls : this->classes)
    cls->weight = static_cast<double>(this->Weight(cls->key.account));
  this->refreshed_at = absl::InfinitePast();
}

int64_t FairQueue::Weight(const std::string& account) const {
  const auto found = this->weights.find(account);
  return found == this->weights.end() ? 1 : std::max<int64_t>(1, found->second);
}

FairQueue::Class* FairQueue::Find(const RequestClass& request_class) {
  const auto found = this->by_key.find(
      std::make_pair(request_class.account, request_class.urgency));
  return found == this->by_key.end() ? nullptr : found->second.get();
}

FairQueue::Class* FairQueue::FindOrAdd(const RequestClass& request_class,
                                       absl::Time now) {
  if (Class* cls = this->Find(request_class))
    return cls;
  auto added = std::make_unique<Class>();
  Class* cls = added.get();
  cls->key = request_class;
  cls->weight = static_cast<double>(this->Weight(request_class.account));
  cls->credit_at = now;
  cls->used_at = now;
  this->by_key.emplace(
      std::make_pair(request_class.account, request_class.urgency),
      std::move(added));
  this->classes.push_back(cls);
  this->Refresh(now);
  return cls;
}

double FairQueue::ServiceUs(const Class& cls) const {
  return cls.service.mean > 0 ? cls.service.mean : this->service.mean;
}

double FairQueue::WaitUs(const Class& cls) const {
  if (cls.items.empty())
    return 0;
  return cls.queued_cost * this->ServiceUs(cls) / std::max(cls.rate, 1e-3);
}

Refusal FairQueue::Admit(const RequestClass& request_class,
                         double cost,
                         absl::Time deadline,
                         absl::Time now) {
  if (now >= deadline)
    return Refusal::kDeadline;
  this->RefreshIfDue(now);
  const size_t free = this->settings.max_items -
                      std::min(this->settings.max_items, this->queued.size());
  const Class* cls = this->Find(request_class);
  if (cls == nullptr) {
    if (this->classes.size() >= this->settings.max_classes)
      return Refusal::kLimit;
    return free > 0 ? Refusal::kNone : Refusal::kOverload;
  }
  if (cls->items.size() >= free)
    return Refusal::kOverload;
  if (cls->items.empty() && IsEstimateOld(*cls, now))
    return Refusal::kNone;
  const double need_us =
      kWaitMargin * this->WaitUs(*cls) + cost * this->ServiceUs(*cls);
  if (now + absl::Microseconds(need_us) > deadline)
    return Refusal::kOverload;
  return Refusal::kNone;
}

void FairQueue::Push(AttemptId id,
                     const RequestClass& request_class,
                     double cost,
                     absl::Time deadline,
                     absl::Time now) {
  Class* cls = this->FindOrAdd(request_class, now);
  if (cls->items.empty()) {
    const auto urgency = static_cast<size_t>(request_class.urgency);
    cls->tag = std::max(cls->tag, this->virtual_time[urgency]);
  }
  cls->items.push_back({id, cost, deadline});
  cls->queued_cost += cost;
  cls->used_at = now;
  this->queued[id] = {cls, std::prev(cls->items.end())};
}

void FairQueue::Unlink(Class* cls, std::list<Item>::iterator item) {
  this->queued.erase(item->id);
  cls->queued_cost -= item->cost;
  cls->items.erase(item);
  if (cls->items.empty())
    cls->queued_cost = 0;
}

bool FairQueue::Remove(AttemptId id) {
  const auto found = this->queued.find(id);
  if (found == this->queued.end())
    return false;
  const Place place = found->second;
  this->Unlink(place.cls, place.item);
  return true;
}

// True when nothing of the class ran lately. Then one request is let through
// whatever is expected: without it, an estimate that was once too high would
// refuse all requests and never be corrected.
bool FairQueue::IsEstimateOld(const Class& cls, absl::Time now) {
  return cls.running == 0 && now - cls.finished_at > kTrustEstimate;
}

// True when the first request of the class would be answered after its
// deadline: its slot time would be wasted.
bool FairQueue::IsTooLate(const Class& cls, absl::Time now) const {
  const Item& item = cls.items.front();
  if (item.deadline <= now)
    return true;
  return !IsEstimateOld(cls, now) &&
         now + absl::Microseconds(item.cost * this->ServiceUs(cls)) >
             item.deadline;
}

std::optional<QueueExit> FairQueue::PopExpired(absl::Time now) {
  for (Class* cls : this->classes) {
    if (cls->items.empty() || !this->IsTooLate(*cls, now))
      continue;
    const QueueExit exit = {cls->items.front().id, Refusal::kDeadline};
    this->Unlink(cls, cls->items.begin());
    return exit;
  }
  return std::nullopt;
}

void FairQueue::Accrue(Class* cls, absl::Time now) const {
  const double bound =
      std::max(kFloorBurstUs * cls->floor, this->ServiceUs(*cls));
  const double passed_us =
      std::max(0.0, absl::ToDoubleMicroseconds(now - cls->credit_at));
  cls->credit_us = std::clamp(cls->credit_us + passed_us * cls->floor, -bound,
                              std::max(bound, 1.0));
  cls->credit_at = now;
}

bool FairQueue::GoesBefore(const Class& a, const Class& b) const {
  const auto order = [](const Class& cls) {
    const bool below_floor = cls.credit_us > 0;
    const int rank = below_floor ? static_cast<int>(cls.key.urgency)
                                 : Rank(cls.key.urgency, cls.over_share);
    return std::make_tuple(!below_floor, rank, cls.tag);
  };
  return order(a) < order(b);
}

std::optional<QueueExit> FairQueue::Pop(absl::Time now) {
  this->RefreshIfDue(now);
  if (std::optional<QueueExit> expired = this->PopExpired(now))
    return expired;
  if (this->running.size() >= this->settings.slots)
    return std::nullopt;
  Class* best = nullptr;
  for (Class* cls : this->classes) {
    if (cls->items.empty())
      continue;
    this->Accrue(cls, now);
    if (best == nullptr || this->GoesBefore(*cls, *best))
      best = cls;
  }
  if (best == nullptr)
    return std::nullopt;
  const QueueExit exit = {best->items.front().id, Refusal::kNone};
  this->Start(best, now);
  return exit;
}

void FairQueue::Charge(Class* cls, double slot_us) const {
  cls->credit_us -= slot_us;
  cls->spent_us += slot_us;
  cls->tag += slot_us / cls->weight;
}

void FairQueue::Start(Class* cls, absl::Time now) {
  const Item item = cls->items.front();
  this->Unlink(cls, cls->items.begin());
  const auto urgency = static_cast<size_t>(cls->key.urgency);
  this->virtual_time[urgency] = std::max(this->virtual_time[urgency], cls->tag);
  // Without a sample each request is charged the same small amount, so that
  // classes still take turns.
  const double charged_us = item.cost * std::max(1.0, this->ServiceUs(*cls));
  this->Charge(cls, charged_us);
  cls->running += 1;
  cls->used_at = now;
  this->running[item.id] = {cls, item.cost, charged_us};
}

void FairQueue::Finished(AttemptId id,
                         absl::Duration service_time,
                         absl::Time now) {
  const auto found = this->running.find(id);
  if (found == this->running.end())
    return;
  const Running ended = found->second;
  this->running.erase(found);
  const double actual_us =
      std::max(0.0, absl::ToDoubleMicroseconds(service_time));
  this->Charge(ended.cls, actual_us - ended.charged_us);
  ended.cls->running -= 1;
  ended.cls->used_at = now;
  ended.cls->finished_at = now;
  const double sample_us = actual_us / std::max(ended.cost, 1e-3);
  ended.cls->service.Add(sample_us);
  this->service.Add(sample_us);
}

void FairQueue::RefreshIfDue(absl::Time now) {
  if (now - this->refreshed_at >= kRefreshInterval)
    this->Refresh(now);
}

void FairQueue::Refresh(absl::Time now) {
  const bool first = this->refreshed_at == absl::InfinitePast();
  const double passed_us =
      first
          ? 0
          : std::max(0.0, absl::ToDoubleMicroseconds(now - this->refreshed_at));
  this->refreshed_at = now;
  const double keep = std::exp(-passed_us / kUseWindowUs);
  for (Class* cls : this->classes) {
    cls->use = std::max(0.0, cls->use * keep + cls->spent_us / kUseWindowUs);
    cls->spent_us = 0;
  }
  this->DropIdle(now);
  this->SetShares(this->AccountUses());
  for (Class* cls : this->classes)
    this->SetRate(cls);
}

void FairQueue::DropIdle(absl::Time now) {
  const auto idle = [now](const Class& cls) {
    return cls.items.empty() && cls.running == 0 &&
           now - cls.used_at > kForgetAfter;
  };
  std::erase_if(this->classes, [&](Class* cls) { return idle(*cls); });
  absl::erase_if(this->by_key,
                 [&](const auto& entry) { return idle(*entry.second); });
}

absl::flat_hash_map<std::string, FairQueue::AccountUse> FairQueue::AccountUses()
    const {
  absl::flat_hash_map<std::string, AccountUse> accounts;
  for (const Class* cls : this->classes) {
    AccountUse& account = accounts[cls->key.account];
    account.weight = cls->weight;
    account.use += cls->use;
    account.has_work =
        account.has_work || !cls->items.empty() || cls->running > 0;
  }
  return accounts;
}

void FairQueue::SetShares(
    const absl::flat_hash_map<std::string, AccountUse>& accounts) {
  const double slots = this->settings.slots;
  double active_weight = 0;
  double use = 0;
  for (const auto& [name, account] : accounts) {
    if (account.has_work || account.use > kActiveUse * slots)
      active_weight += account.weight;
    use += account.use;
  }
  for (Class* cls : this->classes) {
    const double share =
        cls->weight / std::max(active_weight, cls->weight) * slots;
    cls->floor =
        share * this->settings.floors[static_cast<size_t>(cls->key.urgency)];
    cls->over_share = accounts.at(cls->key.account).use * slots >
                      kShareTolerance * share * use;
  }
}

// The slots that the class can count on: those that no other class would keep
// if this one had a long queue.
void FairQueue::SetRate(Class* cls) {
  double left = this->settings.slots;
  for (const Class* other : this->classes) {
    if (other == cls)
      continue;
    const int rank = Rank(other->key.urgency, other->over_share);
    const int own_rank = Rank(cls->key.urgency, cls->over_share);
    if (rank > own_rank)
      left -= std::min(other->use, other->floor);
    else if (rank < own_rank)
      left -= other->use;
    else
      left -= std::min(other->use, this->settings.slots * other->weight /
                                       (other->weight + cls->weight));
  }
  cls->rate = std::max({cls->floor, cls->use, left});
}

AgentLoad FairQueue::Load() const {
  AgentLoad load;
  load.running = static_cast<uint32_t>(this->running.size());
  load.queued = static_cast<uint32_t>(this->queued.size());
  load.slots = this->settings.slots;
  load.service_us = static_cast<uint64_t>(this->service.mean);
  double ahead_us = 0;
  for (const Class* cls : this->classes) {
    if (cls->key.urgency != Urgency::kBatch)
      ahead_us += cls->queued_cost * this->ServiceUs(*cls);
  }
  load.wait_us = static_cast<uint64_t>(ahead_us / this->settings.slots);
  return load;
}

absl::Duration FairQueue::ExpectedWait(const RequestClass& request_class,
                                       absl::Time now) {
  this->RefreshIfDue(now);
  const Class* cls = this->Find(request_class);
  return cls == nullptr ? absl::ZeroDuration()
                        : absl::Microseconds(this->WaitUs(*cls));
}

}  // namespace cuminjunction
