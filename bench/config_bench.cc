// Bench "config": how fast an accepted change is in force everywhere, that no
// node reverts, and what the distribution costs a node. Virtual time, so the
// figures do not depend on the machine.

#include <cstdlib>
#include <vector>

#include "bench/config_world.h"
#include "bench/figure.h"

namespace cuminjunction {
namespace {

// From the design page.
constexpr double kInForceTargetS = 4;
constexpr double kBytesTarget = 14000;
// 1,700 changes a day.
constexpr int64_t kChangeIntervalMs = 24 * 3600 * 1000 / 1700;

double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty())
    return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(last * share)];
}

void MeasureFaults(uint64_t seed, FigurePrinter* printer) {
  ConfigWorldOptions options;
  options.seed = seed;
  options.loss = 0.02;
  options.race_share = 0.2;
  options.replacement_interval_ms = 3000;
  options.outage_interval_ms = 180000;
  options.outage_ms = 60000;
  options.faults.lost_reply_share = 0.05;
  options.faults.late_write_share = 0.02;
  options.faults.delay_ms = 20;
  ConfigWorld world(options);
  world.Run();
  const ConfigWorldResults results = world.Results();
  printer->AtMost("in_force_max", Quantile(results.in_force_s, 1), "s",
                  kInForceTargetS);
  printer->Show("in_force_median", Quantile(results.in_force_s, 0.5), "s");
  printer->AtMost("in_force_after_outage_max",
                  Quantile(results.in_force_after_outage_s, 1), "s",
                  kInForceTargetS);
  printer->AtMost("reverts", results.reverts, "count", 0);
  printer->AtMost("divergences", results.divergences, "count", 0);
  printer->AtMost("never_in_force", results.never_in_force, "count", 0);
  printer->AtMost("not_ready", results.not_ready, "count", 0);
  printer->Show("join_max", results.join_max_s, "s");
  printer->AtLeast("changes",
                   static_cast<double>(results.in_force_s.size() +
                                       results.in_force_after_outage_s.size()),
                   "count", options.changes);
  printer->Show("changes_that_met_an_outage",
                static_cast<double>(results.in_force_after_outage_s.size()),
                "count");
  printer->Show("conflicts", results.conflicts, "count");
  printer->Show("refused_in_outages", results.unavailable, "count");
  printer->Show("settled_later", results.settled_later, "count");
  printer->Show("replacements", results.replacements, "count");
  printer->Show("outages", results.outages, "count");
}

ConfigWorldResults MeasureBytes(uint64_t seed, bool always_whole) {
  ConfigWorldOptions options;
  options.seed = seed;
  options.agents = 10;
  options.entries = 3;
  options.jobs = 5000;
  options.changes = always_whole ? 10 : 50;
  options.change_interval_ms = kChangeIntervalMs;
  options.always_whole = always_whole;
  ConfigWorld world(options);
  world.Run();
  return world.Results();
}

int Main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  FigurePrinter printer("config");
  MeasureFaults(seed, &printer);
  const ConfigWorldResults deltas = MeasureBytes(seed, false);
  printer.AtMost("bytes_per_node", deltas.bytes_per_node_s, "B/s",
                 kBytesTarget);
  printer.Show("document", static_cast<double>(deltas.document_bytes), "B");
  printer.Show("bytes_per_node_whole_texts",
               MeasureBytes(seed, true).bytes_per_node_s, "B/s");
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::Main(argc, argv);
}
