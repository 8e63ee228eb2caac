#include "request/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cuminjunction {

namespace {

// Weight of a new sample in a decayed mean service time.
constexpr double kSampleWeight = 0.1;
// Guaranteed and expected slots are recomputed at this interval, so that the
// cost of an admission does not grow with the number of classes.
constexpr absl::Duration kRefreshInterval = absl::Milliseconds(10);
// Time constant of the moving average of the slots that a class uses.
constexpr double kUsageTimeConstantUs = 500e3;
// Time after the last request of a class for which its estimated service time
// is used.
constexpr absl::Duration kEstimateLifetime = absl::Seconds(1);
// Factor on the expected wait in admission. The wait varies, and a request that
// misses its deadline in the queue occupies a place that another request could
// use.
constexpr double kWaitMargin = 1.25;
// A class that has been idle for longer is removed.
constexpr absl::Duration kIdleClassLifetime = absl::Seconds(10);
// A class may save up its guaranteed slots for this time, so that a class with
// a few requests a second can use them as well.
constexpr double kMaxSavedGuaranteeUs = 50e3;
// An account counts as active while it uses more than this share of the slots.
constexpr double kActiveUsageShare = 0.001;
// An account counts as over its share when it uses more than this multiple of
// its share of the used slots.
constexpr double kShareTolerance = 1.05;

// Classes with a smaller rank run first.
int PriorityRank(Urgency urgency, bool over_share) {
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
  // Average number of slots used, and the slot time charged since the last
  // refresh, which the average does not include yet.
  double mean_slots_used = 0;
  double unaveraged_slot_us = 0;
  double guaranteed_slots = 0;
  // Number of slots that the class can expect when it has a long queue.
  double expected_slots = 0;
  bool over_share = false;
  // Guaranteed slot time that the class has not used. Bounded in both
  // directions: a class that has used more than its guaranteed slots for a
  // while soon has a right to them again.
  double credit_us = 0;
  absl::Time credit_updated_at;
  // Start tag of start-time fair queueing among the classes of one urgency.
  double start_tag = 0;
  absl::Time last_used_at;
  absl::Time last_finished_at = absl::InfinitePast();
};

struct FairQueue::Running {
  Class* cls = nullptr;
  double cost = 1;
  double charged_us = 0;
};

struct FairQueue::Position {
  Class* cls = nullptr;
  std::list<Item>::iterator item;
};

struct FairQueue::AccountUsage {
  double weight = 1;
  double mean_slots_used = 0;
  bool has_work = false;
};

void FairQueue::DecayedMean::Add(double sample) {
  this->samples += 1;
  // The first samples form a plain mean; otherwise the first one would have the
  // largest weight.
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
  cls->credit_updated_at = now;
  cls->last_used_at = now;
  this->by_key.emplace(
      std::make_pair(request_class.account, request_class.urgency),
      std::move(added));
  this->classes.push_back(cls);
  this->Refresh(now);
  return cls;
}

double FairQueue::ExpectedServiceUs(const Class& cls) const {
  return cls.service.mean > 0 ? cls.service.mean : this->service.mean;
}

double FairQueue::ExpectedWaitUs(const Class& cls) const {
  if (cls.items.empty())
    return 0;
  return cls.queued_cost * this->ExpectedServiceUs(cls) /
         std::max(cls.expected_slots, 1e-3);
}

Refusal FairQueue::Admit(const RequestClass& request_class,
                         double cost,
                         absl::Time deadline,
                         absl::Time now) {
  if (now >= deadline)
    return Refusal::kDeadline;
  this->RefreshIfDue(now);
  const size_t free_places =
      this->settings.max_items -
      std::min(this->settings.max_items, this->queued.size());
  const Class* cls = this->Find(request_class);
  if (cls == nullptr) {
    if (this->classes.size() >= this->settings.max_classes)
      return Refusal::kLimit;
    return free_places > 0 ? Refusal::kNone : Refusal::kOverload;
  }
  if (cls->items.size() >= free_places)
    return Refusal::kOverload;
  if (cls->items.empty() && IsEstimateStale(*cls, now))
    return Refusal::kNone;
  const double need_us = kWaitMargin * this->ExpectedWaitUs(*cls) +
                         cost * this->ExpectedServiceUs(*cls);
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
    cls->start_tag = std::max(cls->start_tag, this->virtual_time[urgency]);
  }
  cls->items.push_back({id, cost, deadline});
  cls->queued_cost += cost;
  cls->last_used_at = now;
  this->queued[id] = {cls, std::prev(cls->items.end())};
}

void FairQueue::RemoveItem(Class* cls, std::list<Item>::iterator item) {
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
  const Position position = found->second;
  this->RemoveItem(position.cls, position.item);
  return true;
}

// True when no request of the class has run for kEstimateLifetime. One request
// is then admitted regardless of the estimate: otherwise an estimate that was
// once too high would refuse all requests and never be corrected.
bool FairQueue::IsEstimateStale(const Class& cls, absl::Time now) {
  return cls.running == 0 && now - cls.last_finished_at > kEstimateLifetime;
}

// True when the first request of the class would be answered after its
// deadline, so that its slot time would be wasted.
bool FairQueue::WouldMissDeadline(const Class& cls, absl::Time now) const {
  const Item& item = cls.items.front();
  if (item.deadline <= now)
    return true;
  return !IsEstimateStale(cls, now) &&
         now + absl::Microseconds(item.cost * this->ExpectedServiceUs(cls)) >
             item.deadline;
}

std::optional<QueueExit> FairQueue::PopMissedDeadline(absl::Time now) {
  for (Class* cls : this->classes) {
    if (cls->items.empty() || !this->WouldMissDeadline(*cls, now))
      continue;
    const QueueExit exit = {cls->items.front().id, Refusal::kDeadline};
    this->RemoveItem(cls, cls->items.begin());
    return exit;
  }
  return std::nullopt;
}

void FairQueue::AccrueCredit(Class* cls, absl::Time now) const {
  const double max_credit_us =
      std::max(kMaxSavedGuaranteeUs * cls->guaranteed_slots,
               this->ExpectedServiceUs(*cls));
  const double passed_us =
      std::max(0.0, absl::ToDoubleMicroseconds(now - cls->credit_updated_at));
  cls->credit_us =
      std::clamp(cls->credit_us + passed_us * cls->guaranteed_slots,
                 -max_credit_us, std::max(max_credit_us, 1.0));
  cls->credit_updated_at = now;
}

bool FairQueue::RunsBefore(const Class& a, const Class& b) const {
  const auto order = [](const Class& cls) {
    const bool below_guarantee = cls.credit_us > 0;
    const int rank = below_guarantee
                         ? static_cast<int>(cls.key.urgency)
                         : PriorityRank(cls.key.urgency, cls.over_share);
    return std::make_tuple(!below_guarantee, rank, cls.start_tag);
  };
  return order(a) < order(b);
}

std::optional<QueueExit> FairQueue::Pop(absl::Time now) {
  this->RefreshIfDue(now);
  if (std::optional<QueueExit> expired = this->PopMissedDeadline(now))
    return expired;
  if (this->running.size() >= this->settings.slots)
    return std::nullopt;
  Class* best = nullptr;
  for (Class* cls : this->classes) {
    if (cls->items.empty())
      continue;
    this->AccrueCredit(cls, now);
    if (best == nullptr || this->RunsBefore(*cls, *best))
      best = cls;
  }
  if (best == nullptr)
    return std::nullopt;
  const QueueExit exit = {best->items.front().id, Refusal::kNone};
  this->StartFirst(best, now);
  return exit;
}

void FairQueue::ChargeSlotTime(Class* cls, double slot_us) const {
  cls->credit_us -= slot_us;
  cls->unaveraged_slot_us += slot_us;
  cls->start_tag += slot_us / cls->weight;
}

void FairQueue::StartFirst(Class* cls, absl::Time now) {
  const Item item = cls->items.front();
  this->RemoveItem(cls, cls->items.begin());
  const auto urgency = static_cast<size_t>(cls->key.urgency);
  this->virtual_time[urgency] =
      std::max(this->virtual_time[urgency], cls->start_tag);
  // Before the first sample each request is charged the same small amount, so
  // that the classes still run in turn.
  const double charged_us =
      item.cost * std::max(1.0, this->ExpectedServiceUs(*cls));
  this->ChargeSlotTime(cls, charged_us);
  cls->running += 1;
  cls->last_used_at = now;
  this->running[item.id] = {cls, item.cost, charged_us};
}

void FairQueue::ReleaseSlot(AttemptId id,
                            absl::Duration service_time,
                            absl::Time now) {
  const auto found = this->running.find(id);
  if (found == this->running.end())
    return;
  const Running finished = found->second;
  this->running.erase(found);
  const double actual_us =
      std::max(0.0, absl::ToDoubleMicroseconds(service_time));
  this->ChargeSlotTime(finished.cls, actual_us - finished.charged_us);
  finished.cls->running -= 1;
  finished.cls->last_used_at = now;
  finished.cls->last_finished_at = now;
  const double sample_us = actual_us / std::max(finished.cost, 1e-3);
  finished.cls->service.Add(sample_us);
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
  const double decay = std::exp(-passed_us / kUsageTimeConstantUs);
  for (Class* cls : this->classes) {
    cls->mean_slots_used =
        std::max(0.0, cls->mean_slots_used * decay +
                          cls->unaveraged_slot_us / kUsageTimeConstantUs);
    cls->unaveraged_slot_us = 0;
  }
  this->RemoveIdleClasses(now);
  this->SetShares(this->UsageByAccount());
  for (Class* cls : this->classes)
    this->SetExpectedSlots(cls);
}

void FairQueue::RemoveIdleClasses(absl::Time now) {
  const auto idle = [now](const Class& cls) {
    return cls.items.empty() && cls.running == 0 &&
           now - cls.last_used_at > kIdleClassLifetime;
  };
  std::erase_if(this->classes, [&](Class* cls) { return idle(*cls); });
  absl::erase_if(this->by_key,
                 [&](const auto& entry) { return idle(*entry.second); });
}

absl::flat_hash_map<std::string, FairQueue::AccountUsage>
FairQueue::UsageByAccount() const {
  absl::flat_hash_map<std::string, AccountUsage> accounts;
  for (const Class* cls : this->classes) {
    AccountUsage& account = accounts[cls->key.account];
    account.weight = cls->weight;
    account.mean_slots_used += cls->mean_slots_used;
    account.has_work =
        account.has_work || !cls->items.empty() || cls->running > 0;
  }
  return accounts;
}

void FairQueue::SetShares(
    const absl::flat_hash_map<std::string, AccountUsage>& accounts) {
  const double slots = this->settings.slots;
  double active_weight = 0;
  double total_slots_used = 0;
  for (const auto& [name, account] : accounts) {
    if (account.has_work || account.mean_slots_used > kActiveUsageShare * slots)
      active_weight += account.weight;
    total_slots_used += account.mean_slots_used;
  }
  for (Class* cls : this->classes) {
    const double share =
        cls->weight / std::max(active_weight, cls->weight) * slots;
    cls->guaranteed_slots =
        share *
        this->settings.guaranteed_shares[static_cast<size_t>(cls->key.urgency)];
    cls->over_share = accounts.at(cls->key.account).mean_slots_used * slots >
                      kShareTolerance * share * total_slots_used;
  }
}

// Computes the slots that would be left to the class by all other classes if it
// had a long queue.
void FairQueue::SetExpectedSlots(Class* cls) {
  double remaining = this->settings.slots;
  for (const Class* other : this->classes) {
    if (other == cls)
      continue;
    const int rank = PriorityRank(other->key.urgency, other->over_share);
    const int own_rank = PriorityRank(cls->key.urgency, cls->over_share);
    if (rank > own_rank)
      remaining -= std::min(other->mean_slots_used, other->guaranteed_slots);
    else if (rank < own_rank)
      remaining -= other->mean_slots_used;
    else
      remaining -= std::min(
          other->mean_slots_used,
          this->settings.slots * other->weight / (other->weight + cls->weight));
  }
  cls->expected_slots =
      std::max({cls->guaranteed_slots, cls->mean_slots_used, remaining});
}

AgentLoad FairQueue::Load() const {
  AgentLoad load;
  load.running = static_cast<uint32_t>(this->running.size());
  load.queued = static_cast<uint32_t>(this->queued.size());
  load.slots = this->settings.slots;
  load.service_us = static_cast<uint64_t>(this->service.mean);
  double queued_us = 0;
  for (const Class* cls : this->classes) {
    if (cls->key.urgency != Urgency::kBatch)
      queued_us += cls->queued_cost * this->ExpectedServiceUs(*cls);
  }
  load.wait_us = static_cast<uint64_t>(queued_us / this->settings.slots);
  return load;
}

absl::Duration FairQueue::ExpectedWait(const RequestClass& request_class,
                                       absl::Time now) {
  this->RefreshIfDue(now);
  const Class* cls = this->Find(request_class);
  return cls == nullptr ? absl::ZeroDuration()
                        : absl::Microseconds(this->ExpectedWaitUs(*cls));
}

}  // namespace cuminjunction
