// Random fault schedules of the task core.
//
//   bench_schedules [COUNT [SEED]]   runs COUNT schedules from SEED on
//   bench_schedules 1 SEED           reruns one

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "bench/figure.h"
#include "task/testing/schedule.h"

namespace cuminjunction {
namespace {

constexpr uint64_t kDefaultCount = 10'000;

int Main(int argc, char** argv) {
  const uint64_t count =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultCount;
  const uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  ScheduleResult sum;
  size_t broken = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const ScheduleResult result = RunSchedule(MakeSchedule(seed));
    for (const std::string& violation : result.violations)
      std::fprintf(stderr, "seed %llu: %s\n",
                   static_cast<unsigned long long>(seed), violation.c_str());
    broken += result.violations.empty() ? 0 : 1;
    sum.executions += result.executions;
    sum.fenced += result.fenced;
    sum.evicted += result.evicted;
    sum.resumed += result.resumed;
  }
  const std::chrono::duration<double> seconds =
      std::chrono::steady_clock::now() - begin;
  FigurePrinter printer("schedules");
  printer.AtMost("broken_schedules", static_cast<double>(broken), "count", 0);
  printer.Show("schedules", static_cast<double>(count), "count");
  printer.Show("first_seed", static_cast<double>(first), "seed");
  printer.Show("executions", static_cast<double>(sum.executions), "count");
  printer.Show("new_epochs", static_cast<double>(sum.fenced), "count");
  printer.Show("evictions", static_cast<double>(sum.evicted), "count");
  printer.Show("resumed_attempts", static_cast<double>(sum.resumed), "count");
  printer.Show("duration", seconds.count(), "s");
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::Main(argc, argv);
}
