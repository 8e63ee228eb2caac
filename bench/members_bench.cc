// Cost of membership per node and its detection times, with real UDP sockets
// on loopback.
//
// 12 entries in 3 regions stay the same while agents are added in steps. After
// each step the fleet settles, then bytes and processor time are counted over
// two heartbeat intervals. A line fitted through the steps gives the value at
// 800 agents. Each entry has a thread of its own, as it has in the daemon, so
// that wake-ups are not shared; one agent has one too, the others share two.
//
// A second fleet of 200 agents exchanges digests in neighbourhoods, the
// baseline that docs/membership.md weighs.

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "base/strings.h"
#include "bench/figure.h"
#include "bench/members_fleet.h"

namespace cuminjunction {
namespace {

constexpr int kBaselineAgents = 200;
constexpr int kTargetAgents = 800;
constexpr std::array<int, 5> kSteps = {10, 50, 100, 200, 400};
constexpr double kBytesTarget = 14'000;
constexpr double kCoreTarget = 3.5;
constexpr double kMemoryTarget = 64;
constexpr double kLeaveTarget = 2;

// Two heartbeat intervals, which are two digest intervals too.
constexpr int64_t kWindowMs = 5'000;

// Polls for a settled fleet and for detection, and the rest after the former,
// in which the changes of the start are told.
constexpr int kMaxPolls = 40;
constexpr int64_t kPollMs = 100;
constexpr int64_t kRestMs = 2'600;

// The most that the detection part waits; a death takes about 14 s.
constexpr int64_t kDetectionWaitMs = 16'000;

void Sleep(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// Figures of one step by metric.
using Figures = std::map<std::string, double>;

// Counts from its construction on.
class Window {
 public:
  Window(BenchFleet* fleet, int agents)
      : fleet(fleet),
        agents(agents),
        entries_before(fleet->ReadEntries()),
        agents_before(fleet->ReadAgents()),
        start(SecondsNow()) {}

  Figures Read() const;

 private:
  BenchFleet* fleet;
  int agents;
  std::vector<Usage> entries_before;
  Usage agents_before;
  double start;
};

Figures Window::Read() const {
  const std::vector<Usage> entries_after = this->fleet->ReadEntries();
  const Usage agent_use = this->fleet->ReadAgents() - this->agents_before;
  const double seconds = SecondsNow() - this->start;
  Figures out;
  for (size_t i = 0; i < entries_after.size(); ++i) {
    const Usage used = entries_after[i] - this->entries_before[i];
    const double share = 1 / (seconds * entries_after.size());
    out["entry_bytes_mean"] += used.bytes * share;
    out["entry_other_region_bytes_mean"] += used.other_region_bytes * share;
    out["entry_core_mean"] += used.cpu_seconds * share * 100;
    out["entry_bytes_busiest"] =
        std::max(out["entry_bytes_busiest"], used.bytes / seconds);
    out["entry_core_busiest"] =
        std::max(out["entry_core_busiest"], used.cpu_seconds / seconds * 100);
  }
  out["agent_bytes"] = agent_use.bytes / seconds / this->agents;
  out["agent_core"] = agent_use.cpu_seconds / seconds * 100;
  return out;
}

// Waits until every entry knows every member, and until the changes of the
// start are told.
void Settle(BenchFleet* fleet) {
  for (int i = 0; i < kMaxPolls && !fleet->HasSettled(); ++i)
    Sleep(kPollMs);
  if (!fleet->HasSettled())
    std::fprintf(stderr, "the fleet has not settled\n");
  Sleep(kRestMs);
}

struct Line {
  double slope = 0;
  double base = 0;
  double At(double x) const { return this->base + this->slope * x; }
};

// Least squares.
Line Fit(const std::map<int, Figures>& steps, const std::string& metric) {
  double n = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [x, figures] : steps) {
    const double y = figures.at(metric);
    n += 1;
    sum_x += x;
    sum_y += y;
    sum_xx += static_cast<double>(x) * x;
    sum_xy += x * y;
  }
  Line line;
  line.slope = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  line.base = (sum_y - line.slope * sum_x) / n;
  return line;
}

std::string UnitOf(const std::string& metric) {
  return metric.find("bytes") != std::string::npos ? "B/s" : "% of a core";
}

void PrintSteps(const std::map<int, Figures>& steps, FigurePrinter* printer) {
  for (const auto& [agents, figures] : steps) {
    for (const auto& [metric, value] : figures)
      printer->Show(StrCat(metric, "_at_", agents), value, UnitOf(metric));
  }
  for (const auto& [metric, unused] : steps.begin()->second) {
    const Line line = Fit(steps, metric);
    const std::string name = StrCat(metric, "_at_", kTargetAgents);
    // The cost of an agent does not depend on their number; the largest step
    // keeps noise from making its value too small.
    const double value =
        std::max(line.At(kTargetAgents), steps.rbegin()->second.at(metric));
    printer->Show(StrCat(metric, "_slope"), line.slope,
                  StrCat(UnitOf(metric), " an agent"));
    printer->AtMost(name, value, UnitOf(metric),
                    UnitOf(metric) == "B/s" ? kBytesTarget : kCoreTarget);
  }
}

// Prints a delay; 0 means that it never happened.
void PrintDelay(const std::string& metric,
                double seconds,
                FigurePrinter* printer) {
  if (seconds > 0)
    printer->Show(metric, seconds, "s");
  else
    printer->AtLeast(metric, 0, "s", 1e-9);
}

void Detect(BenchFleet* fleet, BenchFleet* baseline, FigurePrinter* printer) {
  const double start = SecondsNow();
  const size_t entries = fleet->EntryCount();
  const auto down = [](AgentHeartbeat* agent) { agent->SetUpstreamDown(true); };
  const auto lost = fleet->ForVictims(100, down);
  const auto lost_baseline = baseline->ForVictims(100, down);
  const auto left =
      fleet->ForVictims(50, [](AgentHeartbeat* agent) { agent->Leave([] {}); });
  const auto dead =
      fleet->ForVictims(20, [](AgentHeartbeat* agent) { agent->Close(); });
  const auto delay = [&](const auto& members, MemberState state) {
    return fleet->reports.Delay(members, state, entries, start);
  };
  for (int64_t waited = 0; waited < kDetectionWaitMs; waited += kPollMs) {
    if (delay(dead, MemberState::kDead) > 0)
      break;
    Sleep(kPollMs);
  }
  const double leave = delay(left, MemberState::kLeaving);
  // A leave that was not seen everywhere took longer than the whole part.
  printer->AtMost("leave_seen_by_all_entries",
                  leave > 0 ? leave : SecondsNow() - start, "s", kLeaveTarget);
  PrintDelay("suspicion_at_all_entries", delay(dead, MemberState::kSuspect),
             printer);
  PrintDelay("death_at_all_entries", delay(dead, MemberState::kDead), printer);
  PrintDelay("upstream_down_at_all_entries",
             delay(lost, MemberState::kUpstreamDown), printer);
  PrintDelay("upstream_down_at_all_entries_neighbourhoods",
             baseline->reports.Delay(lost_baseline, MemberState::kUpstreamDown,
                                     entries, start),
             printer);
}

int RunBench() {
  std::vector<YamlProblem> problems;
  const Result<Chart> chart = LoadChart(
      StrCat(CUMINJUNCTION_SOURCE_DIR, "/charts/member.yaml"), &problems);
  if (!chart) {
    std::fprintf(stderr, "charts/member.yaml can't be read\n");
    return 1;
  }
  FigurePrinter printer("members");
  BenchFleet fleet(Topology::kFullMesh, chart.value());
  BenchFleet baseline(Topology::kNeighbourhoods, chart.value());
  baseline.Grow(kBaselineAgents);
  std::map<int, Figures> steps;
  Figures neighbourhoods;
  for (const int agents : kSteps) {
    fleet.Grow(agents);
    Settle(&fleet);
    const Window window(&fleet, agents);
    const Window baseline_window(&baseline, kBaselineAgents);
    Sleep(kWindowMs);
    steps[agents] = window.Read();
    neighbourhoods = baseline_window.Read();
  }
  PrintSteps(steps, &printer);
  for (const std::string metric : {"entry_bytes_mean", "entry_bytes_busiest",
                                   "entry_other_region_bytes_mean"})
    printer.Show(StrCat(metric, "_neighbourhoods_at_", kBaselineAgents),
                 neighbourhoods.at(metric), UnitOf(metric));
  Detect(&fleet, &baseline, &printer);
  rusage used = {};
  getrusage(RUSAGE_SELF, &used);
  // All nodes of both fleets together stay below the target of one.
  printer.AtMost("memory_of_all_nodes",
                 static_cast<double>(used.ru_maxrss) / 1024, "MiB",
                 kMemoryTarget);
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main() {
  return cuminjunction::RunBench();
}
