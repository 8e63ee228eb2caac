#ifndef REQUEST_ROUTE_POLICY_H_
#define REQUEST_ROUTE_POLICY_H_

// Chooses an upstream for each attempt of an entry shard and limits retries and
// hedges. The shard reports how each attempt ended. Each shard has its own
// policy and calls it on its own thread only.
//
//   RouteChoice choice;
//   if (policy->Choose("checkout", request_class, now, exclude, &choice)) {
//     ...                                      // send an attempt
//     policy->OnSent(choice.upstream, now);
//     ...                                      // when its answer arrives
//     policy->OnAnswer(choice.upstream, load, latency, now);
//   }
//
// RoundRobinPolicy is a simple implementation: it chooses the upstreams of a
// service in turn and allows retries and hedges as fixed shares of first
// attempts.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "request/types.h"

namespace cuminjunction {

// Address of the agent of an upstream.
struct UpstreamEndpoint {
  std::string name;
  std::string host;
  uint16_t port = 0;
  // Names of the services that the upstream announces.
  std::vector<std::string> services;

  auto operator<=>(const UpstreamEndpoint&) const = default;
};

// A chosen upstream, and the candidates that were compared, for the log.
struct RouteChoice {
  struct Candidate {
    std::string name;
    // Expected latency in milliseconds.
    double estimate_ms = 0;
  };

  std::string upstream;
  std::vector<Candidate> candidates;
};

class RoutePolicy {
 public:
  virtual ~RoutePolicy() = default;

  // Replaces the upstreams to choose from.
  virtual void SetUpstreams(const std::vector<UpstreamEndpoint>& upstreams) = 0;

  // Fills `choice` with an upstream of the service that is not in `exclude`.
  // Returns false when there is none.
  virtual bool Choose(const std::string& service,
                      const RequestClass& request_class,
                      absl::Time now,
                      const std::vector<std::string>& exclude,
                      RouteChoice* choice) = 0;

  // An attempt was sent. Exactly one call of OnAnswer(), OnRefused(),
  // OnFailure() or OnAbandoned() follows.
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
  // The entry no longer awaits an answer, `elapsed` after the attempt was sent:
  // the deadline has passed or another attempt was answered.
  virtual void OnAbandoned(const std::string& upstream,
                           absl::Duration elapsed,
                           absl::Time now) = 0;

  // The agent announced that it is leaving.
  virtual void OnLeaving(const std::string& upstream) = 0;

  // Retries and hedges are limited to shares of the first attempts.
  // AllowRetry() and AllowHedge() take one attempt out of their budget, and
  // return false when it is spent.
  virtual void OnFirstAttempt(absl::Time now) = 0;
  virtual bool AllowRetry(absl::Time now) = 0;
  virtual bool AllowHedge(absl::Time now) = 0;

  // Time from the first attempt to a hedge; nullopt for no hedge.
  virtual std::optional<absl::Duration> HedgeDelay(
      const std::string& service) const = 0;

  // Appends the remaining budgets as a JSON object, for the log.
  virtual void AppendBudgets(std::string* json) const = 0;
};

struct RoundRobinOptions {
  // Retries and hedges as shares of first attempts.
  double retry_share = 0.1;
  double hedge_share = 0.05;
  // Largest number of retries, and of hedges, that a budget holds. Each budget
  // starts full.
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
  double remaining_retries;
  double remaining_hedges;
};

}  // namespace cuminjunction

#endif  // REQUEST_ROUTE_POLICY_H_
