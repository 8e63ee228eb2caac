#include "request/route_policy.h"

#include <algorithm>

#include "base/strings.h"

namespace cuminjunction {

namespace {

bool Take(double* left) {
  if (*left < 1)
    return false;
  *left -= 1;
  return true;
}

}  // namespace

RoundRobinPolicy::RoundRobinPolicy(const RoundRobinOptions& options)
    : options(options),
      retries_left(options.burst),
      hedges_left(options.burst) {}

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
  this->retries_left = std::min(this->retries_left + this->options.retry_share,
                                this->options.burst);
  this->hedges_left = std::min(this->hedges_left + this->options.hedge_share,
                               this->options.burst);
}

bool RoundRobinPolicy::AllowRetry(absl::Time /*now*/) {
  return Take(&this->retries_left);
}

bool RoundRobinPolicy::AllowHedge(absl::Time /*now*/) {
  return Take(&this->hedges_left);
}

std::optional<absl::Duration> RoundRobinPolicy::HedgeDelay(
    const std::string& /*service*/) const {
  if (this->options.hedge_delay == absl::InfiniteDuration())
    return std::nullopt;
  return this->options.hedge_delay;
}

void RoundRobinPolicy::AppendBudgets(std::string* json) const {
  StrAppend(json, "{\"retries\":", static_cast<int>(this->retries_left),
            ",\"hedges\":", static_cast<int>(this->hedges_left), "}");
}

}  // namespace cuminjunction
