#ifndef REQUEST_AGENT_QUEUE_H_
#define REQUEST_AGENT_QUEUE_H_

// The queue of an agent in front of its upstream. It decides which attempt
// AgentServer starts next:
//
//   if (queue->Push({handle, request_class, deadline}, now) != Refusal::kNone)
//     ...                                    // refuse the attempt
//   while (std::optional<PoppedAttempt> popped = queue->Pop(now))
//     ...                                    // start or refuse it
//   queue->FinishAttempt(handle, service_time, now);   // then Pop() again
//
// FifoAgentQueue is a simple implementation with a fixed number of slots that
// starts attempts in the order of arrival.

#include <cstdint>
#include <deque>
#include <optional>

#include "absl/time/time.h"
#include "request/types.h"

namespace cuminjunction {

// An attempt to queue. `handle` is the number by which the agent identifies it.
struct QueuedAttempt {
  uint64_t handle = 0;
  RequestClass request_class;
  absl::Time deadline;
};

// An attempt taken out of the queue. It is to be started when `refusal` is
// kNone and to be refused otherwise.
struct PoppedAttempt {
  uint64_t handle = 0;
  Refusal refusal = Refusal::kNone;

  bool operator==(const PoppedAttempt&) const = default;
};

class AgentQueue {
 public:
  virtual ~AgentQueue() = default;

  // Queues an attempt and returns kNone, or returns the reason to refuse it.
  virtual Refusal Push(const QueuedAttempt& attempt, absl::Time now) = 0;

  // Returns the next attempt to start, which occupies a slot until
  // FinishAttempt(), or one to refuse, which occupies none. nullopt when there
  // is neither.
  virtual std::optional<PoppedAttempt> Pop(absl::Time now) = 0;

  // Removes a waiting attempt.
  virtual void RemoveWaiting(uint64_t handle) = 0;

  // Frees the slot of an attempt that Pop() returned to start. `service_time`
  // is zero when the attempt did not run.
  virtual void FinishAttempt(uint64_t handle,
                             absl::Duration service_time,
                             absl::Time now) = 0;

  // The load report to send with each answer.
  virtual AgentLoad Load(absl::Time now) const = 0;
};

class FifoAgentQueue : public AgentQueue {
 public:
  // At most `slots` attempts run at the upstream and at most `max_waiting`
  // attempts wait.
  FifoAgentQueue(uint32_t slots, uint32_t max_waiting)
      : slots(slots), max_waiting(max_waiting) {}

  Refusal Push(const QueuedAttempt& attempt, absl::Time now) override;
  std::optional<PoppedAttempt> Pop(absl::Time now) override;
  void RemoveWaiting(uint64_t handle) override;
  void FinishAttempt(uint64_t handle,
                     absl::Duration service_time,
                     absl::Time now) override;
  AgentLoad Load(absl::Time now) const override;

 private:
  absl::Duration ExpectedWait() const;

  uint32_t slots;
  uint32_t max_waiting;
  uint32_t running = 0;
  std::deque<uint64_t> waiting;
  // Decayed mean.
  absl::Duration mean_service_time;
};

}  // namespace cuminjunction

#endif  // REQUEST_AGENT_QUEUE_H_
