#ifndef REQUEST_FAIR_AGENT_QUEUE_H_
#define REQUEST_FAIR_AGENT_QUEUE_H_

// Adapts FairQueue to the AgentQueue interface, in which attempts have handles
// instead of ids:
//
//   auto queue = std::make_unique<FairAgentQueue>(QueueSettings{.slots = 8});
//   queue->SetWeights({{"checkout", 3}});

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "request/agent_queue.h"
#include "request/fair_queue.h"

namespace cuminjunction {

class FairAgentQueue : public AgentQueue {
 public:
  explicit FairAgentQueue(const QueueSettings& settings);

  // Sets the weights of client accounts; an account without one has weight 1.
  void SetWeights(absl::flat_hash_map<std::string, int64_t> weights);

  Refusal Push(const QueuedAttempt& attempt, absl::Time now) override;
  std::optional<PoppedAttempt> Pop(absl::Time now) override;
  void RemoveWaiting(uint64_t handle) override;
  void FinishAttempt(uint64_t handle,
                     absl::Duration service_time,
                     absl::Time now) override;
  AgentLoad Load(absl::Time now) const override;

 private:
  FairQueue queue;
};

}  // namespace cuminjunction

#endif  // REQUEST_FAIR_AGENT_QUEUE_H_
