#ifndef REQUEST_FAIR_QUEUE_H_
#define REQUEST_FAIR_QUEUE_H_

// Admission control and fair queueing at an agent.
//
// The upstream has a fixed number of slots. The queue decides which requests
// wait for a slot, which are refused at once, and which waiting request starts
// next:
//
//   FairQueue queue({.slots = 8});
//   Refusal refusal = queue.Admit(request_class, 1, deadline, now);
//   if (refusal != Refusal::kNone) ...   // answer the refusal
//   queue.Push(id, request_class, 1, deadline, now);
//   while (std::optional<QueueExit> exit = queue.Pop(now))
//     ...   // kNone: start exit->id; otherwise answer exit->refusal
//   queue.ReleaseSlot(id, service_time, now);   // then Pop() again
//
// Requests are grouped into classes by client account and urgency. Each class
// has a guaranteed share of the slots: the weight of its account among the
// active accounts, multiplied by the guaranteed share of its urgency. A class
// that has used less than its guaranteed share runs first. The other slots go
// to the most urgent classes; classes of the same urgency share them by account
// weight. Under contention, urgent requests of an account that uses more slots
// than its weight allows run after the normal requests of the other accounts:
// with strict priority such an account would take all slots.

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "request/types.h"

namespace cuminjunction {

struct QueueSettings {
  // Number of requests that run at the upstream at a time.
  uint32_t slots = 8;
  // Largest number of waiting requests. A class may occupy at most as many
  // places as are free, so a flood of one class does not fill the queue.
  size_t max_items = 4096;
  // Largest number of classes that the queue stores.
  size_t max_classes = 1024;
  // Share of the slots that each urgency is guaranteed under any flood. Slots
  // that are not guaranteed or not used go to other classes by urgency.
  std::array<double, kUrgencyCount> guaranteed_shares = {0.5, 0.25, 0.1};
};

// A request taken out of the queue. It is to be started when `refusal` is kNone
// and to be refused otherwise.
struct QueueExit {
  AttemptId id;
  Refusal refusal = Refusal::kNone;

  bool operator==(const QueueExit&) const = default;
};

// A queue in front of the slots of one upstream.
template <class Q>
concept AdmissionQueue = requires(Q& queue,
                                  const RequestClass& request_class,
                                  AttemptId id,
                                  absl::Time time,
                                  absl::Duration service_time) {
  { queue.Admit(request_class, 1.0, time, time) } -> std::same_as<Refusal>;
  queue.Push(id, request_class, 1.0, time, time);
  { queue.Pop(time) } -> std::same_as<std::optional<QueueExit>>;
  { queue.Remove(id) } -> std::same_as<bool>;
  queue.ReleaseSlot(id, service_time, time);
  { queue.Load() } -> std::same_as<AgentLoad>;
};

class FairQueue {
 public:
  explicit FairQueue(QueueSettings settings);
  ~FairQueue();
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  // Sets the weights of client accounts; an account without one has weight 1.
  void SetWeights(absl::flat_hash_map<std::string, int64_t> weights);

  // Decides whether to queue a request, before its body is read. `cost` is its
  // expected service time as a multiple of that of an ordinary request of its
  // class. Returns kNone to admit it, kDeadline (the deadline has passed),
  // kOverload (no free place, or the wait in its class would make it miss the
  // deadline) or kLimit (too many classes).
  Refusal Admit(const RequestClass& request_class,
                double cost,
                absl::Time deadline,
                absl::Time now);

  // Queues an admitted request. `id` must not be queued or running.
  void Push(AttemptId id,
            const RequestClass& request_class,
            double cost,
            absl::Time deadline,
            absl::Time now);

  // Returns a queued request whose deadline has passed or would pass before its
  // answer, or the next request to start when a slot is free; that request then
  // occupies the slot. nullopt when there is neither.
  std::optional<QueueExit> Pop(absl::Time now);

  // Removes a cancelled request from the queue. Returns false when it is not
  // queued; a running request occupies its slot until ReleaseSlot().
  bool Remove(AttemptId id);

  // Frees the slot of a started request that was answered, failed or aborted.
  // `service_time` is the time since its start. Ignores an id that is not
  // running.
  void ReleaseSlot(AttemptId id, absl::Duration service_time, absl::Time now);

  // The load report for the entries.
  AgentLoad Load() const;

  // Expected wait of a request of this class that arrives at `now`.
  absl::Duration ExpectedWait(const RequestClass& request_class,
                              absl::Time now);

 private:
  struct Item;
  struct Class;
  struct Running;
  struct Position;
  struct AccountUsage;

  // Decayed mean in microseconds; 0 before the first sample.
  struct DecayedMean {
    double mean = 0;
    uint32_t samples = 0;
    void Add(double sample);
  };

  Class* Find(const RequestClass& request_class);
  Class* FindOrAdd(const RequestClass& request_class, absl::Time now);
  int64_t Weight(const std::string& account) const;
  double ExpectedServiceUs(const Class& cls) const;
  double ExpectedWaitUs(const Class& cls) const;
  void RefreshIfDue(absl::Time now);
  void Refresh(absl::Time now);
  void RemoveIdleClasses(absl::Time now);
  absl::flat_hash_map<std::string, AccountUsage> UsageByAccount() const;
  void SetShares(
      const absl::flat_hash_map<std::string, AccountUsage>& accounts);
  void SetExpectedSlots(Class* cls);
  void AccrueCredit(Class* cls, absl::Time now) const;
  bool RunsBefore(const Class& a, const Class& b) const;
  static bool IsEstimateStale(const Class& cls, absl::Time now);
  bool WouldMissDeadline(const Class& cls, absl::Time now) const;
  std::optional<QueueExit> PopMissedDeadline(absl::Time now);
  void StartFirst(Class* cls, absl::Time now);
  void ChargeSlotTime(Class* cls, double slot_us) const;
  void RemoveItem(Class* cls, std::list<Item>::iterator item);

  QueueSettings settings;
  absl::flat_hash_map<std::string, int64_t> weights;
  absl::flat_hash_map<std::pair<std::string, Urgency>, std::unique_ptr<Class>>
      by_key;
  std::vector<Class*> classes;
  absl::flat_hash_map<AttemptId, Position> queued;
  absl::flat_hash_map<AttemptId, Running> running;
  std::array<double, kUrgencyCount> virtual_time = {};
  // Service time over all classes.
  DecayedMean service;
  absl::Time refreshed_at = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // REQUEST_FAIR_QUEUE_H_
