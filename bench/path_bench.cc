// Cost of the request path over real processes: latency against calling the
// upstreams directly at half load, and requests a second of a trivial upstream
// through one entry on two cores that logs each decision. Takes --seed N.

#include <sched.h>

#include <cstdio>
#include <string>

#include "base/strings.h"
#include "bench/figure.h"
#include "bench/path_fleet.h"
#include "bench/sim_setup.h"

namespace cuminjunction {
namespace {

constexpr int kUpstreams = 3;
// Half of what 3 upstreams of 8 slots and 5 ms can serve.
constexpr double kHalfLoad = kUpstreams * 8 * 200 * 0.5;
constexpr double kThroughputTarget = 40000;
// Share of the requests answered within a second that counts as carried.
constexpr double kInTime = 0.99;

LoadSettings MakeLoad(uint64_t seed, double per_second, std::string prefix) {
  LoadSettings load;
  load.seed = seed;
  load.key_prefix = std::move(prefix);
  load.flows = {{.per_second = per_second}};
  load.warm_up_ms = 1000;
  load.duration_ms = 5000;
  return load;
}

bool CompareLatency(uint64_t seed, FigurePrinter* printer) {
  PathFleet fleet({.upstreams = kUpstreams});
  if (!fleet.Start())
    return false;
  LoadSettings load = MakeLoad(seed, kHalfLoad, "direct");
  load.targets = fleet.UpstreamTargets();
  const LoadFlowResult direct = RunLoad(load).flows[0];
  load.key_prefix = "path";
  load.targets = fleet.EntryTargets();
  const LoadFlowResult path = RunLoad(load).flows[0];
  printer->AtMost("p99_ratio", path.Quantile(0.99) / direct.Quantile(0.99),
                  "ratio", 1.5);
  printer->AtMost("added_p50",
                  (path.Quantile(0.5) - direct.Quantile(0.5)) / 1000, "ms",
                  0.5);
  printer->Show("direct_p50", direct.Quantile(0.5) / 1000, "ms");
  printer->Show("direct_p99", direct.Quantile(0.99) / 1000, "ms");
  printer->Show("path_p99", path.Quantile(0.99) / 1000, "ms");
  printer->AtLeast("path_in_time", path.InTime(), "ratio", 0.999);
  return true;
}

// Restricts a process to the first two processors that this one may use. Its
// threads must have been started by then.
void PinToTwo(pid_t pid) {
  cpu_set_t all;
  CPU_ZERO(&all);
  sched_getaffinity(0, sizeof(all), &all);
  cpu_set_t two;
  CPU_ZERO(&two);
  for (int cpu = 0; cpu < CPU_SETSIZE && CPU_COUNT(&two) < 2; ++cpu) {
    if (CPU_ISSET(cpu, &all))
      CPU_SET(cpu, &two);
  }
  sched_setaffinity(pid, sizeof(two), &two);
}

// The highest of the offered rates that is answered in time, with the trivial
// upstream. The offer grows until it is not.
bool MeasureThroughput(uint64_t seed, FigurePrinter* printer) {
  PathFleet fleet({.upstreams = 4, .service_us = 0});
  if (!fleet.Start())
    return false;
  fleet.PinEntry(0, &PinToTwo);
  double carried = 0;
  for (const double rate : {5000., 10000., 20000., 30000., 40000., 50000.}) {
    LoadSettings load = MakeLoad(seed, rate, StrCat("fast", rate));
    load.targets = fleet.EntryTargets();
    load.threads = 3;
    load.duration_ms = 3000;
    const double before_s = fleet.EntryProcessorSeconds(0);
    const LoadFlowResult result = RunLoad(load).flows[0];
    const double used_s = fleet.EntryProcessorSeconds(0) - before_s;
    const double sent = rate * static_cast<double>(load.duration_ms) / 1000;
    // 50 us on each of two cores make 40,000 requests a second.
    printer->Show(StrCat("entry_processor_at_", rate, "_per_second"),
                  used_s * 1e6 / sent, "us/request");
    printer->Show(StrCat("p99_at_", rate, "_per_second"),
                  result.Quantile(0.99) / 1000, "ms");
    if (result.InTime() < kInTime)
      break;
    carried = rate;
  }
  printer->AtLeast("requests_per_second", carried, "1/s", kThroughputTarget);
  return true;
}

int RunBench(uint64_t seed) {
  FigurePrinter printer("path");
  if (!CompareLatency(seed, &printer) || !MeasureThroughput(seed, &printer)) {
    std::fprintf(stderr, "path: the fleet did not start\n");
    return 1;
  }
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::RunBench(cuminjunction::SeedFromArguments(argc, argv));
}
