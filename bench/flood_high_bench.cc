// One client account floods with the most urgent work at ten times the capacity
// of the upstreams, with the fair queue and with strict priority. Takes
// --seed N.

#include <algorithm>
#include <vector>

#include "bench/figure.h"
#include "bench/route_sim.h"
#include "request/baseline.h"

namespace cuminjunction {
namespace {

constexpr size_t kFlood = 0;
const std::vector<size_t> kOtherUrgent = {1, 2};
constexpr size_t kAccounts = 3;

SimSetup MakeSetup(uint64_t seed, bool flood) {
  SimSetup setup;
  setup.seed = seed;
  const double capacity = SimCapacity(setup);
  const double growers = flood ? 10 : 0.1;
  setup.flows = {{{"growers", Urgency::kUrgent}, growers * capacity, 100},
                 {{"gift-houses", Urgency::kUrgent}, 0.1 * capacity, 100},
                 {{"shops", Urgency::kUrgent}, 0.1 * capacity, 100},
                 {{"growers", Urgency::kNormal}, 0.1 * capacity, 250},
                 {{"gift-houses", Urgency::kNormal}, 0.1 * capacity, 250},
                 {{"growers", Urgency::kBatch}, 0.1 * capacity, 1000},
                 {{"gift-houses", Urgency::kBatch}, 0.1 * capacity, 1000}};
  return setup;
}

struct Comparison {
  double in_time_ratio = 0;
  double p99_ratio = 0;
  double least_floor_ratio = 0;
};

// The least share of its guaranteed rate, or of its demand where that is less,
// that any class but the flood gets.
double LeastFloorRatio(const SimSetup& setup, const SimResult& result) {
  double least = 1e9;
  for (size_t i = 0; i < setup.flows.size(); ++i) {
    if (i == kFlood)
      continue;
    const SimFlow& flow = setup.flows[i];
    const double floor =
        setup.queue.guaranteed_shares[static_cast<size_t>(flow.cls.urgency)] /
        kAccounts * SimCapacity(setup);
    const double served = result.flows[i].InTime() * flow.per_second;
    least = std::min(least, served / std::min(floor, flow.per_second));
  }
  return least;
}

template <Chooser C, AdmissionQueue Q>
Comparison Compare(uint64_t seed) {
  const SimSetup with_flood = MakeSetup(seed, true);
  const SimResult calm = RouteSim<C, Q>(MakeSetup(seed, false)).Run();
  const SimResult flood = RouteSim<C, Q>(with_flood).Run();
  const SimFlowResult before = Merge(calm, kOtherUrgent);
  const SimFlowResult during = Merge(flood, kOtherUrgent);
  return {during.InTime() / before.InTime(),
          during.Quantile(0.99) / before.Quantile(0.99),
          LeastFloorRatio(with_flood, flood)};
}

int RunBench(uint64_t seed) {
  FigurePrinter printer("flood-high");
  const Comparison fair = Compare<UpstreamChooser, FairQueue>(seed);
  printer.AtLeast("others_urgent_in_time_ratio", fair.in_time_ratio, "ratio",
                  0.95);
  printer.AtLeast("least_floor_ratio", fair.least_floor_ratio, "ratio", 0.9);
  printer.Show("others_urgent_p99_ratio", fair.p99_ratio, "ratio");
  const Comparison strict = Compare<UpstreamChooser, StrictPriorityQueue>(seed);
  printer.Show("strict_others_urgent_in_time_ratio", strict.in_time_ratio,
               "ratio");
  printer.Show("strict_least_floor_ratio", strict.least_floor_ratio, "ratio");
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::RunBench(cuminjunction::SeedFromArguments(argc, argv));
}
