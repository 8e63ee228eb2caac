#include "request/route_policy.h"

#include <algorithm>

#include "base/strings.h"

namespace cuminjunction {

namespace {

// Takes one attempt out of a budget. Returns false when less than one is left.
bool TakeOne(double* remaining) {
  if (*remaining < 1)
    return false;
  *remaining -= 1;
  return true;
}

}  // namespace

RoundRobinPolicy::RoundRobinPolicy(const RoundRobinOptions& options)
    : options(options),
      remaining_retries(options.burst),
      remaining_hedges(options.burst) {}

void RoundRobinPolicy::SetUpstreams(
    const std::vector<UpstreamEndpoint>& upstreams) {
  this->by_service.clear();
  for (const UpstreamEndpoint& upstream : upstreams) {
    for (const std::string& service : upstream.services)
      this->by_service[service].push_back(upstream.name);
  }
}

bool RoundRobinPolicy::Choose(const std::string& service,
                              const RequestClass& /*request_class*/,
                              absl::Time /*now*/,
                              const std::vector<std::string>& exclude,
                              RouteChoice* choice) {
  choice->candidates.clear();
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end())
    return false;
  const std::vector<std::string>& names = found->second;
  for (size_t i = 0; i < names.size(); ++i) {
    const std::string& name = names[this->next++ % names.size()];
    if (std::find(exclude.begin(), exclude.end(), name) != exclude.end())
      continue;
    choice->upstream = name;
    choice->candidates.push_back({name, 0});
    return true;
  }
  return false;
}

void RoundRobinPolicy::OnSent(const std::string& /*upstream*/,
                              absl::Time /*now*/) {}

void RoundRobinPolicy::OnAnswer(const std::string& /*upstream*/,
                                const AgentLoad& /*load*/,
                                absl::Duration /*latency*/,
                                absl::Time /*now*/) {}

void RoundRobinPolicy::OnRefused(const std::string& /*upstream*/,
                                 Refusal /*reason*/,
                                 const AgentLoad& /*load*/,
                                 absl::Time /*now*/) {}

void RoundRobinPolicy::OnFailure(const std::string& /*upstream*/,
                                 absl::Time /*now*/) {}

void RoundRobinPolicy::OnAbandoned(const std::string& /*upstream*/,
                                   absl::Duration /*elapsed*/,
                                   absl::Time /*now*/) {}

void RoundRobinPolicy::OnLeaving(const std::string& /*upstream*/) {}

void RoundRobinPolicy::OnFirstAttempt(absl::Time /*now*/) {
  this->remaining_retries = std::min(
      this->remaining_retries + this->options.retry_share, this->options.burst);
  this->remaining_hedges = std::min(
      this->remaining_hedges + this->options.hedge_share, this->options.burst);
}

bool RoundRobinPolicy::AllowRetry(absl::Time /*now*/) {
  return TakeOne(&this->remaining_retries);
}

bool RoundRobinPolicy::AllowHedge(absl::Time /*now*/) {
  return TakeOne(&this->remaining_hedges);
}

std::optional<absl::Duration> RoundRobinPolicy::HedgeDelay(
    const std::string& /*service*/) const {
  if (this->options.hedge_delay == absl::InfiniteDuration())
    return std::nullopt;
  return this->options.hedge_delay;
}

void RoundRobinPolicy::AppendBudgets(std::string* json) const {
  StrAppend(json, "{\"retries\":", static_cast<int>(this->remaining_retries),
            ",\"hedges\":", static_cast<int>(this->remaining_hedges), "}");
}

}  // namespace cuminjunction
