// A flood of the least urgent work at ten times the capacity of the upstreams,
// with the fair queue and with a queue in order of arrival. Takes --seed N.

#include <vector>

#include "bench/figure.h"
#include "bench/route_sim.h"
#include "request/baseline.h"

namespace cuminjunction {
namespace {

const std::vector<size_t> kUrgentFlows = {0, 1};

SimSetup MakeSetup(uint64_t seed, bool flood) {
  SimSetup setup;
  setup.seed = seed;
  const double capacity = SimCapacity(setup);
  setup.flows = {{{"growers", Urgency::kUrgent}, 0.2 * capacity, 100},
                 {{"gift-houses", Urgency::kUrgent}, 0.15 * capacity, 100},
                 {{"growers", Urgency::kNormal}, 0.1 * capacity, 250},
                 {{"gift-houses", Urgency::kNormal}, 0.05 * capacity, 250}};
  if (flood)
    setup.flows.push_back(
        {{"gift-houses", Urgency::kBatch}, 10 * capacity, 1000});
  return setup;
}

struct Comparison {
  double in_time_ratio = 0;
  double p99_ratio = 0;
  double batch_served = 0;
};

template <Chooser C, AdmissionQueue Q>
Comparison Compare(uint64_t seed) {
  const SimSetup with_flood = MakeSetup(seed, true);
  const SimResult calm = RouteSim<C, Q>(MakeSetup(seed, false)).Run();
  const SimResult flood = RouteSim<C, Q>(with_flood).Run();
  const SimFlowResult before = Merge(calm, kUrgentFlows);
  const SimFlowResult during = Merge(flood, kUrgentFlows);
  const double batch_in_time = flood.flows[4].InTime() * 10;
  return {during.InTime() / before.InTime(),
          during.Quantile(0.99) / before.Quantile(0.99), batch_in_time};
}

int RunBench(uint64_t seed) {
  FigurePrinter printer("flood-low");
  const Comparison fair = Compare<UpstreamChooser, FairQueue>(seed);
  printer.AtLeast("urgent_in_time_ratio", fair.in_time_ratio, "ratio", 0.99);
  printer.AtMost("urgent_p99_ratio", fair.p99_ratio, "ratio", 1.5);
  printer.Show("batch_served_of_capacity", fair.batch_served, "ratio");
  const Comparison fifo = Compare<UpstreamChooser, FifoQueue>(seed);
  printer.Show("fifo_urgent_in_time_ratio", fifo.in_time_ratio, "ratio");
  printer.Show("fifo_urgent_p99_ratio", fifo.p99_ratio, "ratio");
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::RunBench(cuminjunction::SeedFromArguments(argc, argv));
}
