// An agent leaves under load, over real processes: when its upstream gets the
// last new work, and whether a request is cut off. Takes --seed N.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "bench/figure.h"
#include "bench/path_fleet.h"
#include "bench/sim_setup.h"

namespace cuminjunction {
namespace {

// Longer than most requests take, so that some are in flight when it leaves.
constexpr int64_t kServiceUs = 50000;

int RunBench(uint64_t seed) {
  FigurePrinter printer("drain");
  PathFleet fleet({.upstreams = 3, .entries = 2, .service_us = kServiceUs});
  if (!fleet.Start()) {
    std::fprintf(stderr, "drain: the fleet did not start\n");
    return 1;
  }
  LoadSettings load;
  load.seed = seed;
  load.targets = fleet.EntryTargets();
  load.flows = {{.per_second = 100}, {.method = "POST", .per_second = 100}};
  load.duration_ms = 8000;
  LoadResult result;
  std::thread callers([&] { result = RunLoad(load); });
  absl::SleepFor(absl::Seconds(2));
  const int64_t left_at_us = absl::ToUnixMicros(absl::Now());
  fleet.LeaveAgent(0);
  const bool ended = fleet.AwaitAgent(0);
  callers.join();

  int64_t last_us = left_at_us;
  int64_t before = 0;
  for (const Execution& execution : fleet.Executions()) {
    if (execution.upstream != 0)
      continue;
    last_us = std::max(last_us, execution.at_us);
    before += execution.at_us < left_at_us ? 1 : 0;
  }
  uint64_t cut_off = 0;
  for (const LoadFlowResult& flow : result.flows)
    cut_off += flow.Count(CallEnd::kBroken) + flow.Count(CallEnd::kUnknown);
  printer.AtMost("last_new_work",
                 static_cast<double>(last_us - left_at_us) / 1e6, "s", 2);
  printer.AtMost("cut_off", static_cast<double>(cut_off), "count", 0);
  // Without requests before there was nothing to drain.
  printer.AtLeast("executions_before", static_cast<double>(before), "count",
                  50);
  printer.AtLeast("ended_by_itself", ended ? 1 : 0, "count", 1);
  printer.AtLeast("in_time", result.flows[0].InTime(), "ratio", 0.99);
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::RunBench(cuminjunction::SeedFromArguments(argc, argv));
}
