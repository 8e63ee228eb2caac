#ifndef REQUEST_CHOOSER_POLICY_H_
#define REQUEST_CHOOSER_POLICY_H_

// The route policy of an entry shard: an UpstreamChooser with budgets of
// retries, hedges and link bytes.
//
//   auto policy = std::make_unique<ChooserPolicy>(settings, seed);
//   EntryFront shard(&thread, options, &chart, std::move(policy), ...);
//   shard.RunWithPolicy([infos](RoutePolicy* policy) {
//     static_cast<ChooserPolicy*>(policy)->SetMembers(infos, absl::Now());
//   });

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "request/budget.h"
#include "request/chooser.h"
#include "request/route_policy.h"

namespace cuminjunction {

struct ChooserPolicySettings {
  ChooserSettings chooser;
  // This shard's share of the link between regions, in bytes a second.
  int64_t link_bytes_per_second = kLinkBytesPerSecond;
};

class ChooserPolicy : public RoutePolicy {
 public:
  ChooserPolicy(const ChooserPolicySettings& settings, uint64_t seed);

  // Replaces the upstreams to choose from by those that membership reports.
  void SetMembers(const std::vector<UpstreamInfo>& members, absl::Time now);

  // Changes this shard's share of the link between regions, in bytes a second.
  void SetLinkRate(int64_t bytes_per_second, absl::Time now);

  // Ignores the endpoints: the chooser uses the upstreams of SetMembers().
  void SetUpstreams(const std::vector<UpstreamEndpoint>& upstreams) override;
  bool Choose(const std::string& service,
              const RequestClass& request_class,
              absl::Time now,
              const std::vector<std::string>& exclude,
              RouteChoice* choice) override;
  void OnSent(const std::string& upstream, absl::Time now) override;
  void OnAnswer(const std::string& upstream,
                const AgentLoad& load,
                absl::Duration latency,
                absl::Time now) override;
  void OnRefused(const std::string& upstream,
                 Refusal reason,
                 const AgentLoad& load,
                 absl::Time now) override;
  void OnFailure(const std::string& upstream, absl::Time now) override;
  void OnAbandoned(const std::string& upstream,
                   absl::Duration elapsed,
                   absl::Time now) override;
  void OnLeaving(const std::string& upstream) override;
  void OnFirstAttempt(absl::Time now) override;
  bool AllowRetry(absl::Time now) override;
  bool AllowHedge(absl::Time now) override;
  std::optional<absl::Duration> HedgeDelay(
      const std::string& service) const override;
  void AppendBudgets(std::string* json) const override;

 private:
  LinkBudget link;
  UpstreamChooser chooser;
  std::mt19937_64 random;
  RetryBudget retries;
  HedgeBudget hedges;
  HedgeTimer hedge_timer;
};

}  // namespace cuminjunction

#endif  // REQUEST_CHOOSER_POLICY_H_
