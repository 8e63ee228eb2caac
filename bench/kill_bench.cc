// Upstreams, agents and entries are stopped and killed under load, over real
// processes. First only planned stops, which must cut off nothing; then kills.
// Takes --seed N.

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "bench/figure.h"
#include "bench/path_fleet.h"
#include "bench/sim_setup.h"

namespace cuminjunction {
namespace {

constexpr size_t kReads = 0;
constexpr size_t kOrders = 1;

LoadSettings MakeLoad(const PathFleet& fleet,
                      uint64_t seed,
                      std::string prefix) {
  LoadSettings load;
  load.seed = seed;
  load.key_prefix = std::move(prefix);
  load.targets = fleet.EntryTargets();
  load.flows = {{.per_second = 800, .resends = 2},
                {.method = "POST", .per_second = 200, .resends = 2}};
  load.duration_ms = 10000;
  return load;
}

// The readiness of the entries as a load balancer sees it, asked for every 50
// ms.
class LoadBalancer {
 public:
  LoadBalancer(const PathFleet* fleet, size_t entries)
      : fleet(fleet), ready(entries) {
    for (std::atomic<bool>& entry : this->ready)
      entry = true;
    this->poller = std::thread([this] { this->Poll(); });
  }

  ~LoadBalancer() {
    this->stopping = true;
    this->poller.join();
  }
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;

  const std::vector<std::atomic<bool>>* Ready() const { return &this->ready; }

 private:
  void Poll() {
    HttpClient client;
    while (!this->stopping) {
      for (size_t i = 0; i < this->ready.size(); ++i)
        this->ready[i] =
            this->fleet->IsEntryReady(static_cast<int>(i), &client);
      absl::SleepFor(absl::Milliseconds(50));
    }
  }

  const PathFleet* fleet;
  std::vector<std::atomic<bool>> ready;
  std::atomic<bool> stopping = false;
  std::thread poller;
};

// Runs the load while `faults` happen.
LoadResult RunWith(const PathFleet& fleet,
                   LoadSettings load,
                   const std::function<void()>& faults) {
  const LoadBalancer balancer(&fleet, load.targets.size());
  load.ready = balancer.Ready();
  LoadResult result;
  std::thread callers([&] { result = RunLoad(load); });
  absl::SleepFor(absl::Seconds(1));
  faults();
  callers.join();
  return result;
}

void StopAsPlanned(PathFleet* fleet) {
  fleet->LeaveAgent(0);
  fleet->AwaitAgent(0);
  fleet->RestartAgent(0);
  absl::SleepFor(absl::Seconds(1));
  fleet->LeaveEntry(0);
  fleet->AwaitEntry(0);
  fleet->RestartEntry(0);
}

void KillEach(PathFleet* fleet) {
  fleet->KillUpstream(0);
  absl::SleepFor(absl::Milliseconds(500));
  fleet->RestartUpstream(0);
  absl::SleepFor(absl::Seconds(1));
  fleet->KillAgent(1);
  absl::SleepFor(absl::Milliseconds(500));
  fleet->RestartAgent(1);
  absl::SleepFor(absl::Seconds(1));
  fleet->KillEntry(1);
  absl::SleepFor(absl::Milliseconds(500));
  fleet->RestartEntry(1);
}

uint64_t CutOff(const LoadFlowResult& flow) {
  return flow.Count(CallEnd::kBroken) + flow.Count(CallEnd::kUnknown);
}

// Executions of orders beyond their first, and of orders that were reported as
// not run.
void CheckOrders(const PathFleet& fleet,
                 const LoadFlowResult& orders,
                 FigurePrinter* printer) {
  std::multiset<std::string> ran;
  for (const Execution& execution : fleet.Executions())
    ran.insert(execution.key);
  uint64_t twice = 0;
  for (const auto& keys : orders.keys) {
    for (const std::string& key : keys)
      twice += ran.count(key) > 1 ? 1 : 0;
  }
  uint64_t false_not_run = 0;
  for (const std::string& key : orders.Keys(CallEnd::kNotRun))
    false_not_run += ran.contains(key) ? 1 : 0;
  printer->AtMost("orders_run_twice", static_cast<double>(twice), "count", 0);
  printer->AtMost("false_not_run", static_cast<double>(false_not_run), "count",
                  0);
}

void Show(const LoadFlowResult& flow,
          const std::string& name,
          FigurePrinter* printer) {
  for (size_t i = 0; i < kCallEndCount; ++i) {
    const auto end = static_cast<CallEnd>(i);
    printer->Show(name + "_" + std::string(ToString(end)),
                  static_cast<double>(flow.Count(end)), "count");
  }
}

int RunBench(uint64_t seed) {
  FigurePrinter printer("kill");
  PathFleet fleet({.upstreams = 4, .entries = 2});
  if (!fleet.Start()) {
    std::fprintf(stderr, "kill: the fleet did not start\n");
    return 1;
  }
  LoadSettings load = MakeLoad(fleet, seed, "planned");
  // Here a broken connection counts even if the caller would send again.
  load.flows[kReads].resends = 0;
  const LoadResult planned =
      RunWith(fleet, load, [&] { StopAsPlanned(&fleet); });
  printer.AtMost("cut_off_by_planned_stops",
                 static_cast<double>(CutOff(planned.flows[kReads]) +
                                     CutOff(planned.flows[kOrders])),
                 "count", 0);
  Show(planned.flows[kReads], "planned_reads", &printer);
  Show(planned.flows[kOrders], "planned_orders", &printer);

  const LoadResult killed = RunWith(fleet, MakeLoad(fleet, seed, "killed"),
                                    [&] { KillEach(&fleet); });
  printer.AtLeast("reads_in_time", killed.flows[kReads].InTime(), "ratio",
                  0.999);
  CheckOrders(fleet, killed.flows[kOrders], &printer);
  printer.AtMost(
      "wrong_answers",
      static_cast<double>(killed.flows[kReads].Count(CallEnd::kWrongAnswer) +
                          killed.flows[kOrders].Count(CallEnd::kWrongAnswer)),
      "count", 0);
  Show(killed.flows[kReads], "killed_reads", &printer);
  Show(killed.flows[kOrders], "killed_orders", &printer);
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::RunBench(cuminjunction::SeedFromArguments(argc, argv));
}
