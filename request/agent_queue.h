#ifndef REQUEST_AGENT_QUEUE_H_
#define REQUEST_AGENT_QUEUE_H_

// The queue of an agent in front of its upstream.
//
// AgentServer asks the queue which attempt runs next; FifoAgentQueue is the
// plain form, in order of arrival with a fixed number of slots.

#include <cstdint>
#include <deque>
#include <optional>

#include "absl/time/time.h"
#include "request/types.h"

namespace cuminjunction {

// An attempt that waits. `handle` is the agent's number for it.
struct QueuedAttempt {
  uint64_t handle = 0;
  RequestClass request_class;
  absl::Time deadline;
};

// An attempt that leaves the queue: to be started, or to be refused when
// `refusal` is not kNone.
struct PoppedAttempt {
  uint64_t handle = 0;
  Refusal refusal = Refusal::kNone;

  bool operator==(const PoppedAttempt&) const = default;
};

class AgentQueue {
 public:
  virtual ~AgentQueue() = default;

  // Takes an attempt or refuses it; kNone means that it was taken.
  virtual Refusal Push(const QueuedAttempt& attempt, absl::Time now) = 0;

  // The attempt to start now, which holds a slot until Finish(), or one to
  // refuse, which holds none. nullopt when there is neither.
  virtual std::optional<PoppedAttempt> Pop(absl::Time now) = 0;

  // Forgets an attempt that waits.
  virtual void Drop(uint64_t handle) = 0;

  // Frees the slot of an attempt. `service_time` is zero when it did not run.
  virtual void Finish(uint64_t handle,
                      absl::Duration service_time,
                      absl::Time now) = 0;

  // The figures that go out with each answer.
  virtual AgentLoad Load(absl::Time now) const = 0;
};

class FifoAgentQueue : public AgentQueue {
 public:
  // `slots` is the number of requests at the upstream at a time and `limit`
  // that of requests waiting.
  FifoAgentQueue(uint32_t slots, uint32_t limit) : slots(slots), limit(limit) {}

  Refusal Push(const QueuedAttempt& attempt, absl::Time now) override;
  std::optional<PoppedAttempt> Pop(absl::Time now) override;
  void Drop(uint64_t handle) override;
  void Finish(uint64_t handle,
              absl::Duration service_time,
              absl::Time now) override;
  AgentLoad Load(absl::Time now) const override;

 private:
  absl::Duration Wait() const;

  uint32_t slots;
  uint32_t limit;
  uint32_t running = 0;
  std::deque<uint64_t> waiting;
  // Decayed mean of the service time.
  absl::Duration service_time;
};

}  // namespace cuminjunction

#endif  // REQUEST_AGENT_QUEUE_H_
