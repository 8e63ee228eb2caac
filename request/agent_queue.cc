#include "request/agent_queue.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// Weight of one new sample in the decayed mean.
constexpr double kSampleWeight = 0.1;

}  // namespace

Refusal FifoAgentQueue::Push(const QueuedAttempt& attempt, absl::Time now) {
  if (this->waiting.size() >= this->max_waiting ||
      now + this->ExpectedWait() >= attempt.deadline)
    return Refusal::kOverload;
  this->waiting.push_back(attempt.handle);
  return Refusal::kNone;
}

std::optional<PoppedAttempt> FifoAgentQueue::Pop(absl::Time /*now*/) {
  if (this->waiting.empty() || this->running >= this->slots)
    return std::nullopt;
  const uint64_t handle = this->waiting.front();
  this->waiting.pop_front();
  ++this->running;
  return PoppedAttempt{handle, Refusal::kNone};
}

void FifoAgentQueue::RemoveWaiting(uint64_t handle) {
  std::erase(this->waiting, handle);
}

void FifoAgentQueue::FinishAttempt(uint64_t /*handle*/,
                                   absl::Duration service_time,
                                   absl::Time /*now*/) {
  --this->running;
  if (service_time == absl::ZeroDuration())
    return;
  if (this->mean_service_time == absl::ZeroDuration())
    this->mean_service_time = service_time;
  this->mean_service_time +=
      kSampleWeight * (service_time - this->mean_service_time);
}

AgentLoad FifoAgentQueue::Load(absl::Time /*now*/) const {
  AgentLoad load;
  load.running = this->running;
  load.queued = static_cast<uint32_t>(this->waiting.size());
  load.slots = this->slots;
  load.wait_us =
      static_cast<uint64_t>(absl::ToInt64Microseconds(this->ExpectedWait()));
  load.service_us =
      static_cast<uint64_t>(absl::ToInt64Microseconds(this->mean_service_time));
  return load;
}

absl::Duration FifoAgentQueue::ExpectedWait() const {
  if (this->running < this->slots)
    return absl::ZeroDuration();
  return this->mean_service_time *
         static_cast<int64_t>(this->waiting.size() + 1) /
         static_cast<int64_t>(this->slots);
}

}  // namespace cuminjunction
