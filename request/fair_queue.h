#ifndef REQUEST_FAIR_QUEUE_H_
#define REQUEST_FAIR_QUEUE_H_

// Admission and queue of an agent.
//
// The upstream has a fixed number of slots. The queue decides which requests
// wait for one, which are refused at once, and which waiting request starts
// next:
//
//   FairQueue queue({.slots = 8});
//   Refusal refusal = queue.Admit(request_class, 1, deadline, now);
//   if (refusal != Refusal::kNone) ...   // answer the refusal
//   queue.Push(id, request_class, 1, deadline, now);
//   while (std::optional<QueueExit> exit = queue.Pop(now))
//     ...   // kNone: start exit->id; otherwise answer exit->refusal
//   queue.Finished(id, service_time, now);   // then Pop() again
//
// Requests are grouped into classes by client account and urgency. Each class
// has a floor: its account's weight among the active accounts times the floor
// of its urgency, as a share of the slots. A class below its floor goes first.
// What the floors leave goes to the most urgent classes; among classes of the
// same urgency it is shared by account weight. An account that already uses
// more than its weight under contention ranks its urgent work behind the normal
// work of the others, since strict priority would let it take everything.

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
  // Requests that the upstream works on at a time.
  uint32_t slots = 8;
  // Most requests that wait. A class may fill at most as many places as it
  // leaves free, so one flood leaves room for all other classes.
  size_t max_items = 4096;
  // Most classes that are remembered at a time.
  size_t max_classes = 1024;
  // Share of the slots that each urgency keeps under any flood. The rest, and
  // what a class does not use, goes to others by urgency.
  std::array<double, kUrgencyCount> floors = {0.5, 0.25, 0.1};
};

// A request that leaves the queue: to be started when `refusal` is kNone,
// otherwise to be refused.
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
  queue.Finished(id, service_time, time);
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

  // Judges a request before its body is read. `cost` is its expected service
  // time as a multiple of that of an ordinary request of its class. Returns
  // kNone, kDeadline (already passed), kOverload (no place, or it would miss
  // the deadline behind the queue of its class) or kLimit (too many classes).
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

  // The next request to start when a slot is free, which takes the slot, or a
  // queued request whose deadline has passed or would pass before its answer.
  // nullopt when there is neither.
  std::optional<QueueExit> Pop(absl::Time now);

  // Takes a cancelled request out of the queue. False when it is not queued; a
  // running request keeps its slot until Finished().
  bool Remove(AttemptId id);

  // Frees the slot of a started request, whether it was answered, failed or
  // aborted. `service_time` counts from its start. Unknown ids are ignored.
  void Finished(AttemptId id, absl::Duration service_time, absl::Time now);

  // Load figures for the entries.
  AgentLoad Load() const;

  // Expected wait of a request of this class that arrives now.
  absl::Duration ExpectedWait(const RequestClass& request_class,
                              absl::Time now);

 private:
  struct Item;
  struct Class;
  struct Running;
  struct Place;
  struct AccountUse;

  // Decayed mean in microseconds; 0 before the first sample.
  struct DecayedMean {
    double mean = 0;
    uint32_t samples = 0;
    void Add(double sample);
  };

  Class* Find(const RequestClass& request_class);
  Class* FindOrAdd(const RequestClass& request_class, absl::Time now);
  int64_t Weight(const std::string& account) const;
  double ServiceUs(const Class& cls) const;
  double WaitUs(const Class& cls) const;
  void RefreshIfDue(absl::Time now);
  void Refresh(absl::Time now);
  void DropIdle(absl::Time now);
  absl::flat_hash_map<std::string, AccountUse> AccountUses() const;
  void SetShares(const absl::flat_hash_map<std::string, AccountUse>& accounts);
  void SetRate(Class* cls);
  void Accrue(Class* cls, absl::Time now) const;
  bool GoesBefore(const Class& a, const Class& b) const;
  static bool IsEstimateOld(const Class& cls, absl::Time now);
  bool IsTooLate(const Class& cls, absl::Time now) const;
  std::optional<QueueExit> PopExpired(absl::Time now);
  void Start(Class* cls, absl::Time now);
  void Charge(Class* cls, double slot_us) const;
  void Unlink(Class* cls, std::list<Item>::iterator item);

  QueueSettings settings;
  absl::flat_hash_map<std::string, int64_t> weights;
  absl::flat_hash_map<std::pair<std::string, Urgency>, std::unique_ptr<Class>>
      by_key;
  std::vector<Class*> classes;
  absl::flat_hash_map<AttemptId, Place> queued;
  absl::flat_hash_map<AttemptId, Running> running;
  std::array<double, kUrgencyCount> virtual_time = {};
  // Service time of all classes.
  DecayedMean service;
  absl::Time refreshed_at = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // REQUEST_FAIR_QUEUE_H_
