#include "request/chooser_policy.h"

#include "base/strings.h"

namespace cuminjunction {

ChooserPolicy::ChooserPolicy(const ChooserPolicySettings& settings,
                             uint64_t seed)
    : link(settings.link_bytes_per_second),
      chooser(settings.chooser, &this->link),
      random(seed) {}

void ChooserPolicy::SetMembers(const std::vector<UpstreamInfo>& members,
                               absl::Time now) {
  this->chooser.SetUpstreams(members, now);
}

void ChooserPolicy::SetLinkRate(int64_t bytes_per_second, absl::Time now) {
  this->link.SetRate(bytes_per_second, now);
}

void ChooserPolicy::SetUpstreams(
    const std::vector<UpstreamEndpoint>& /*upstreams*/) {}

bool ChooserPolicy::Choose(const std::string& service,
                           const RequestClass& request_class,
                           absl::Time now,
                           const std::vector<std::string>& exclude,
                           RouteChoice* choice) {
  const Result<UpstreamChoice> chosen =
      this->chooser.Choose(service, request_class, now, exclude, this->random);
  if (!chosen)
    return false;
  choice->upstream = chosen.value().name;
  choice->candidates.clear();
  for (const Candidate& candidate : chosen.value().candidates) {
    choice->candidates.push_back(
        {candidate.name, static_cast<double>(candidate.estimate_us) / 1000});
  }
  return true;
}

void ChooserPolicy::OnSent(const std::string& upstream, absl::Time /*now*/) {
  this->chooser.OnSent(upstream);
}

void ChooserPolicy::OnAnswer(const std::string& upstream,
                             const AgentLoad& load,
                             absl::Duration latency,
                             absl::Time now) {
  this->chooser.OnAnswer(upstream, load, latency, now);
  this->retries.OnFirstAttempt();
  this->hedges.OnFirstAttempt();
  this->hedge_timer.OnLatency(latency, now);
}

void ChooserPolicy::OnRefused(const std::string& upstream,
                              Refusal reason,
                              const AgentLoad& load,
                              absl::Time now) {
  this->chooser.OnRefused(upstream, reason, load, now);
}

void ChooserPolicy::OnFailure(const std::string& upstream, absl::Time now) {
  this->chooser.OnFailure(upstream, now);
}

void ChooserPolicy::OnAbandoned(const std::string& upstream,
                                absl::Duration elapsed,
                                absl::Time now) {
  this->chooser.OnAbandoned(upstream, elapsed, now);
}

void ChooserPolicy::OnLeaving(const std::string& upstream) {
  this->chooser.OnLeaving(upstream);
}

// OnAnswer() adds to the budgets instead, so that attempts that are refused in
// a flood do not allow further attempts.
void ChooserPolicy::OnFirstAttempt(absl::Time /*now*/) {}

bool ChooserPolicy::AllowRetry(absl::Time /*now*/) {
  return this->retries.TryTake();
}

bool ChooserPolicy::AllowHedge(absl::Time /*now*/) {
  return this->hedges.TryTake();
}

std::optional<absl::Duration> ChooserPolicy::HedgeDelay(
    const std::string& /*service*/) const {
  const absl::Time sent = absl::UnixEpoch();
  const absl::Time hedge_time =
      this->hedge_timer.HedgeTime(sent, absl::InfiniteFuture());
  if (hedge_time == absl::InfiniteFuture())
    return std::nullopt;
  return hedge_time - sent;
}

void ChooserPolicy::AppendBudgets(std::string* json) const {
  StrAppend(json, "{\"retries\":", this->retries.Remaining(),
            ",\"hedges\":", this->hedges.Remaining(), "}");
}

}  // namespace cuminjunction
