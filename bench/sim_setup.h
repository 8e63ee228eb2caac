#ifndef BENCH_SIM_SETUP_H_
#define BENCH_SIM_SETUP_H_

// What a run of RouteSim is made of, and what it yields.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "request/chooser.h"
#include "request/fair_queue.h"
#include "request/types.h"

namespace cuminjunction {

// Requests of one class at a steady rate with random gaps.
struct SimFlow {
  RequestClass cls;
  double per_second = 0;
  int64_t timeout_ms = 250;
};

struct SimSetup {
  std::vector<SimFlow> flows;
  uint64_t seed = 1;
  // Requests that arrive before `warm_up_ms` are not measured: queues and
  // decayed means settle first.
  int64_t warm_up_ms = 3000;
  int64_t end_ms = 6000;
  // Mean service time: half of it fixed, half exponential.
  double service_us = 5000;
  // Factor on the service time of the first upstream from that time on.
  double first_upstream_slowness = 1;
  int64_t slow_from_ms = 0;
  QueueSettings queue;
  bool retry = true;
  bool hedge = true;
  // One entry in each.
  std::vector<std::string> entry_domains = {"erie-a", "erie-b", "huron-a"};
};

struct SimFlowResult {
  uint64_t sent = 0;
  // Other ends: the last refusal, "no-choice" or "expired".
  std::map<std::string, uint64_t> ends;
  // Of the requests answered before their deadline.
  std::vector<float> latencies_us;

  // Share of the requests that were answered in time.
  double InTime() const;
  // Quantile of the latency in microseconds; 0 without answers.
  double Quantile(double probability) const;
};

struct SimResult {
  std::vector<SimFlowResult> flows;
  uint64_t hedges = 0;
};

// Merges the results of the flows that `picked` names by index.
SimFlowResult Merge(const SimResult& result, const std::vector<size_t>& picked);

// The upstreams of the first deployment: 4, 4 and 3 in its failure domains.
std::vector<UpstreamInfo> SimUpstreams();

// Index of the upstream of that name.
size_t SimIndex(const std::string& name);

// Region of a failure domain.
std::string SimRegion(const std::string& domain);

// One-way delay between failure domains.
absl::Duration SimDelay(const std::string& from, const std::string& to);

// Requests a second that all upstreams together can serve.
double SimCapacity(const SimSetup& setup);

// The seed from `--seed N` of the command line, or 1.
uint64_t SeedFromArguments(int argc, char** argv);

}  // namespace cuminjunction

#endif  // BENCH_SIM_SETUP_H_
