#include "request/fair_agent_queue.h"

namespace cuminjunction {

namespace {

// Expected service time as a multiple of that of an ordinary request. The
// actual service time of a request is unknown before it runs.
constexpr double kOrdinaryCost = 1;

// The id by which FairQueue identifies the attempt with this handle.
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

void FairAgentQueue::RemoveWaiting(uint64_t handle) {
  this->queue.Remove(IdOf(handle));
}

void FairAgentQueue::FinishAttempt(uint64_t handle,
                                   absl::Duration service_time,
                                   absl::Time now) {
  this->queue.ReleaseSlot(IdOf(handle), service_time, now);
}

AgentLoad FairAgentQueue::Load(absl::Time /*now*/) const {
  return this->queue.Load();
}

}  // namespace cuminjunction
