#ifndef REQUEST_ROUTE_POLICY_H_
#define REQUEST_ROUTE_POLICY_H_

// What an entry shard asks before it sends an attempt, and what it reports
// back. Each shard has a policy of its own and calls it on its thread only.
//
// RoundRobinPolicy is the plain form: the next upstream of the service and
// fixed shares of retries and hedges.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "request/types.h"

namespace cuminjunction {

// Where the agent of an upstream listens.
struct UpstreamEndpoint {
  std::string name;
  std::string host;
  uint16_t port = 0;
  // Names of the services that it announces.
  std::vector<std::string> services;

  auto operator<=>(const UpstreamEndpoint&) const = default;
};

// A choice with the figures it was made from, for the log.
struct RouteChoice {
  struct Candidate {
    std::string name;
    // Expected time to the answer, in milliseconds.
    double estimate_ms = 0;
  };

  std::string upstream;
  std::vector<Candidate> candidates;
};

class RoutePolicy {
 public:
  virtual ~RoutePolicy() = default;

  // The upstreams to choose from.
  virtual void SetUpstreams(const std::vector<UpstreamEndpoint>& upstreams) = 0;

  // Fills `choice` with an upstream of the service that is not in `exclude`.
  // Returns false when there is none.
  virtual bool Choose(const std::string& service,
                      const RequestClass& request_class,
                      absl::Time now,
                      const std::vector<std::string>& exclude,
                      RouteChoice* choice) = 0;

  // An attempt went out. Exactly one of the next four calls follows.
  virtual void OnSent(const std::string& upstream, absl::Time now) = 0;
  virtual void OnAnswer(const std::string& upstream,
                        const AgentLoad& load,
                        absl::Duration latency,
                        absl::Time now) = 0;
  virtual void OnRefused(const std::string& upstream,
                         Refusal reason,
                         const AgentLoad& load,
                         absl::Time now) = 0;
  virtual void OnFailure(const std::string& upstream, absl::Time now) = 0;
  // The entry awaits no answer any longer, `elapsed` after it was sent: the
  // deadline has passed or another attempt was answered.
  virtual void OnAbandoned(const std::string& upstream,
                           absl::Duration elapsed,
                           absl::Time now) = 0;

  // The agent says that it is leaving.
  virtual void OnLeaving(const std::string& upstream) = 0;

  // Budgets, as shares of first attempts. Allow...() takes from the budget.
  virtual void OnFirstAttempt(absl::Time now) = 0;
  virtual bool AllowRetry(absl::Time now) = 0;
  virtual bool AllowHedge(absl::Time now) = 0;

  // How long after the first attempt a hedge goes out; nullopt for never.
  virtual std::optional<absl::Duration> HedgeDelay(
      const std::string& service) const = 0;

  // Appends the state of the budgets as a JSON object, for the log.
  virtual void AppendBudgets(std::string* json) const = 0;
};

struct RoundRobinOptions {
  // Retries and hedges as shares of first attempts.
  double retry_share = 0.1;
  double hedge_share = 0.05;
  // Retries and hedges that are allowed without first attempts before.
  double burst = 10;
  // Time from the first attempt to a hedge; infinite for no hedges.
  absl::Duration hedge_delay = absl::InfiniteDuration();
};

class RoundRobinPolicy : public RoutePolicy {
 public:
  explicit RoundRobinPolicy(const RoundRobinOptions& options = {});

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
  RoundRobinOptions options;
  std::map<std::string, std::vector<std::string>> by_service;
  size_t next = 0;
  double retries_left;
  double hedges_left;
};

}  // namespace cuminjunction

#endif  // REQUEST_ROUTE_POLICY_H_
