// Cost of planning the backlog of a large fleet after a takeover.
//
//   bench_takeover [SUBMISSIONS]
//
// One planner takes over 160 idle VMs with this many submissions waiting, and
// plans until all that fits has started. Then it plans a full fleet.

#include <cstdlib>
#include <string>

#include "bench/figure.h"
#include "bench/fleet.h"
#include "submission/testing/large_fleet.h"

namespace cuminjunction {
namespace {

constexpr int kDefaultSubmissions = 230;
constexpr double kMicroseconds = 1e6;
constexpr double kMilliseconds = 1e3;

// A fifth of the cost of a full scan for each task, 4.4 us on the machine of
// the first measurement.
constexpr double kMaxStartMicroseconds = 0.9;

int Main(int argc, char** argv) {
  const int submissions = argc > 1 ? std::atoi(argv[1]) : kDefaultSubmissions;
  const absl::Time now = absl::FromUnixSeconds(1000);
  Scheduler scheduler;
  scheduler.SetPolicy(LargeFleetPolicy());
  const uint32_t tasks = AddLargeBacklog(&scheduler, submissions, now);
  for (int worker = 0; worker < kLargeFleetWorkers; ++worker)
    scheduler.MergeReport(LargeFleetReport(worker), now);
  size_t starts = 0;
  uint64_t evaluations = 0;
  double longest = 0;
  double total = 0;
  for (bool more = true; more;) {
    const double begin = ThreadSeconds();
    const Orders orders = scheduler.Plan(now);
    const double seconds = ThreadSeconds() - begin;
    longest = std::max(longest, seconds);
    total += seconds;
    starts += orders.starts.size();
    evaluations += orders.evaluations;
    more = orders.more;
  }
  FigurePrinter printer("takeover");
  printer.Show("tasks", tasks, "count");
  printer.Show("starts", static_cast<double>(starts), "count");
  printer.AtMost("start", total / static_cast<double>(starts) * kMicroseconds,
                 "us", kMaxStartMicroseconds);
  printer.Show("evaluations_per_start",
               static_cast<double>(evaluations) / static_cast<double>(starts),
               "count");
  printer.Show("longest_plan", longest * kMilliseconds, "ms");
  const double begin = ThreadSeconds();
  scheduler.Plan(now);
  printer.Show("plan_of_full_fleet", (ThreadSeconds() - begin) * kMilliseconds,
               "ms");
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::Main(argc, argv);
}
