#include "request/fair_agent_queue.h"

namespace cuminjunction {

namespace {

// Expected service time relative to an ordinary request. The size of the work
// is not known before it runs.
constexpr double kOrdinaryCost = 1;

// A handle as the id that FairQueue knows an attempt by.
AttemptId IdOf(uint64_t handle) {
  return {{0, handle}, 1};
}

}  // namespace

FairAgentQueue::FairAgentQueue(const QueueSettings& settings)
    : queue(settings) {}

void FairAgentQueue::SetWeights(
    absl::flat_hash_map<std::string, int64_t> weights) {
  this->queue.SetWeights(std::move(weights));
}

Refusal FairAgentQueue::Push(const QueuedAttempt& attempt, absl::Time now) {
  const Refusal refusal = this->queue.Admit(
      attempt.request_class, kOrdinaryCost, attempt.deadline, now);
  if (refusal == Refusal::kNone) {
    this->queue.Push(IdOf(attempt.handle), attempt.request_class, kOrdinaryCost,
                     attempt.deadline, now);
  }
  return refusal;
}

std::optional<PoppedAttempt> FairAgentQueue::Pop(absl::Time now) {
  const std::optional<QueueExit> exit = this->queue.Pop(now);
  if (!exit)
    return std::nullopt;
  return PoppedAttempt{exit->id.request.number, exit->refusal};
}

void FairAgentQueue::Drop(uint64_t handle) {
  this->queue.Remove(IdOf(handle));
}

void FairAgentQueue::Finish(uint64_t handle,
                            absl::Duration service_time,
                            absl::Time now) {
  this->queue.Finished(IdOf(handle), service_time, now);
}

AgentLoad FairAgentQueue::Load(absl::Time /*now*/) const {
  return this->queue.Load();
}

}  // namespace cuminjunction
