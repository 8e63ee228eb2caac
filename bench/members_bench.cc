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
#include <time.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/strings.h"
#include "bench/figure.h"
#include "membership/agent_heartbeat.h"
#include "membership/entry_gossip.h"

namespace cuminjunction {
namespace {

constexpr int kEntriesPerRegion = 4;
constexpr int kAgentThreads = 2;
constexpr int kBaselineAgents = 200;
constexpr int kTargetAgents = 800;
constexpr std::array<int, 5> kSteps = {10, 50, 100, 200, 400};
constexpr double kBytesTarget = 14'000;
constexpr double kCoreTarget = 3.5;
constexpr double kMemoryTarget = 64;
constexpr double kLeaveTarget = 2;

// Agents that leave, die and lose their upstream in the detection part.
constexpr size_t kVictims = 5;

// The most that the detection part waits; a death takes about 14 s.
constexpr int64_t kDetectionWaitMs = 16'000;

// Failure domains by region: 7 in 3 regions, as in the target size.
const std::vector<std::pair<std::string, std::string>> kDomains = {
    {"erie", "erie-a"},   {"erie", "erie-b"},   {"erie", "erie-c"},
    {"huron", "huron-a"}, {"huron", "huron-b"}, {"huron", "huron-c"},
    {"tahoe", "tahoe-a"},
};

double SecondsNow() {
  return absl::ToDoubleSeconds(SteadyClock().Now() - absl::UnixEpoch());
}

void Sleep(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

double ThreadSeconds(EventThread* thread) {
  return thread->Call([] {
    timespec used = {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) +
           static_cast<double>(used.tv_nsec) / 1e9;
  });
}

double CountBytes(Metrics* metrics) {
  const uint64_t sent =
      metrics->GetCounter("membership_bytes_total", "direction=\"sent\"")
          .Value();
  const uint64_t received =
      metrics->GetCounter("membership_bytes_total", "direction=\"received\"")
          .Value();
  return static_cast<double>(sent + received);
}

double CountOtherRegionBytes(Metrics* metrics) {
  return static_cast<double>(
      metrics
          ->GetCounter("membership_other_region_bytes_total",
                       "direction=\"sent\"")
          .Value());
}

// When each entry first reported a member in a state.
class Reports {
 public:
  void Add(const std::vector<MemberChange>& changes) {
    const double now = SecondsNow();
    absl::MutexLock lock(&this->mutex);
    for (const MemberChange& change : changes)
      this->times[{change.member.name, change.member.state}].push_back(now);
  }

  // Seconds from `start` until `entries` of them had reported all the members
  // in the state, or 0 if they have not.
  double Delay(const std::vector<std::string>& members,
               MemberState state,
               size_t entries,
               double start) {
    absl::MutexLock lock(&this->mutex);
    double last = start;
    for (const std::string& member : members) {
      const std::vector<double>& seen = this->times[{member, state}];
      if (seen.size() < entries)
        return 0;
      last = std::max(last, seen[entries - 1]);
    }
    return last - start;
  }

 private:
  absl::Mutex mutex;
  std::map<std::pair<std::string, MemberState>, std::vector<double>> times;
};

// What one node used between two readings.
struct Usage {
  double bytes = 0;
  double other_region_bytes = 0;
  double cpu_seconds = 0;
};

Usage operator-(const Usage& a, const Usage& b) {
  return {a.bytes - b.bytes, a.other_region_bytes - b.other_region_bytes,
          a.cpu_seconds - b.cpu_seconds};
}

// An entry with a thread of its own.
struct EntryNode {
  explicit EntryNode(const std::string& name) : thread(name) {}

  Metrics metrics;
  EventThread thread;
  std::unique_ptr<EntryGossip> gossip;
};

struct AgentNode {
  Metrics metrics;
  EventThread* thread = nullptr;
  std::unique_ptr<AgentHeartbeat> heartbeat;
};

class BenchFleet {
 public:
  BenchFleet(Topology topology, const Chart& chart) {
    this->listener_thread.Start();
    this->lone_thread.Start();
    for (EventThread& thread : this->agent_threads)
      thread.Start();
    for (size_t i = 0; i < 3 * kEntriesPerRegion; ++i)
      this->AddEntry(topology, chart, i);
  }

  ~BenchFleet() {
    for (auto& agent : this->agents)
      agent->thread->Call([&] { agent->heartbeat->Close(); });
    for (auto& entry : this->entries) {
      entry->thread.Call([&] { entry->gossip->Close(); });
      entry->thread.Stop();
    }
    this->lone_thread.Stop();
    for (EventThread& thread : this->agent_threads)
      thread.Stop();
    this->listener_thread.Stop();
  }

  // Adds agents until there are `count`. The first has a thread of its own.
  void Grow(int count) {
    while (static_cast<int>(this->agents.size()) < count)
      this->AddAgent(this->agents.size());
  }

  size_t EntryCount() const { return this->entries.size(); }

  std::vector<Usage> ReadEntries() {
    std::vector<Usage> out;
    for (auto& entry : this->entries)
      out.push_back({CountBytes(&entry->metrics),
                     CountOtherRegionBytes(&entry->metrics),
                     ThreadSeconds(&entry->thread)});
    return out;
  }

  // All agents together; the processor time is that of the lone one.
  Usage ReadAgents() {
    Usage out;
    for (auto& agent : this->agents)
      out.bytes += CountBytes(&agent->metrics);
    out.cpu_seconds = ThreadSeconds(&this->lone_thread);
    return out;
  }

  // Whether every entry knows every member.
  bool HasSettled() {
    const size_t members = this->entries.size() + this->agents.size();
    return std::all_of(
        this->entries.begin(), this->entries.end(), [&](const auto& entry) {
          return entry->thread.Call(
              [&] { return entry->gossip->Members().size() == members; });
        });
  }

  // Runs `action` on each of the agents [first, first + kVictims) and returns
  // their names.
  std::vector<std::string> ForVictims(
      size_t first,
      const std::function<void(AgentHeartbeat*)>& action) {
    std::vector<std::string> names;
    for (size_t i = first; i < first + kVictims; ++i) {
      AgentNode* agent = this->agents[i].get();
      names.push_back(StrCat("agent-", i));
      agent->thread->Call([&] { action(agent->heartbeat.get()); });
    }
    return names;
  }

  Reports reports;

 private:
  Member MakeSelf(const std::string& name, Role role, size_t domain) {
    Member self;
    self.name = name;
    self.role = role;
    self.host = "127.0.0.1";
    self.tcp_port = 8000;
    self.region = kDomains[domain].first;
    self.failure_domain = kDomains[domain].second;
    if (role == Role::kAgent)
      self.services = {"hamper-line-control"};
    self.config_version = 100'000;
    return self;
  }

  void AddEntry(Topology topology, const Chart& chart, size_t index) {
    GossipOptions options;
    // Four entries in each region, over its failure domains.
    const std::array<size_t, 12> domains = {0, 1, 2, 0, 3, 4, 5, 3, 6, 6, 6, 6};
    const std::string name = StrCat("entry-", index);
    options.self = this->MakeSelf(name, Role::kEntry, domains.at(index));
    options.view.topology = topology;
    options.seeds = this->seeds;
    EntryListener listener;
    listener.thread = &this->listener_thread;
    listener.on_changes = [this](const std::vector<MemberChange>& changes) {
      this->reports.Add(changes);
    };
    auto node = std::make_unique<EntryNode>(name);
    node->gossip = std::make_unique<EntryGossip>(
        &node->thread, chart, options, std::vector<EntryListener>{listener},
        &node->metrics);
    node->thread.Start();
    node->thread.Call([&] {
      if (!node->gossip->Open())
        std::fprintf(stderr, "%s can't open its socket\n", name.c_str());
      const uint16_t port = node->gossip->Self().port;
      // The first entry of each region.
      if (index % kEntriesPerRegion == 0)
        this->seeds.push_back({"127.0.0.1", port});
    });
    this->entries.push_back(std::move(node));
  }

  void AddAgent(size_t index) {
    HeartbeatOptions options;
    options.self = this->MakeSelf(StrCat("agent-", index), Role::kAgent,
                                  index % kDomains.size());
    options.seeds = this->seeds;
    auto node = std::make_unique<AgentNode>();
    node->thread = index == 0 ? &this->lone_thread
                              : &this->agent_threads.at(index % kAgentThreads);
    AgentListener listener;
    listener.thread = &this->listener_thread;
    node->heartbeat = std::make_unique<AgentHeartbeat>(
        node->thread, options, listener, &node->metrics);
    node->thread->Call([&] {
      if (!node->heartbeat->Open())
        std::fprintf(stderr, "agent %zu can't open its socket\n", index);
    });
    this->agents.push_back(std::move(node));
  }

  EventThread listener_thread{"listener"};
  EventThread lone_thread{"lone-agent"};
  std::array<EventThread, kAgentThreads> agent_threads = {
      EventThread("agents-0"), EventThread("agents-1")};
  std::vector<UdpAddress> seeds;
  std::vector<std::unique_ptr<EntryNode>> entries;
  std::vector<std::unique_ptr<AgentNode>> agents;
};

// Figures of one step, by metric.
using Figures = std::map<std::string, double>;

// Counts over two heartbeat intervals, which are two digest intervals too.
Figures Measure(BenchFleet* fleet, int agents) {
  constexpr int64_t kWindowMs = 5'000;
  const std::vector<Usage> entries_before = fleet->ReadEntries();
  const Usage agents_before = fleet->ReadAgents();
  const double start = SecondsNow();
  Sleep(kWindowMs);
  const std::vector<Usage> entries_after = fleet->ReadEntries();
  const Usage agent_use = fleet->ReadAgents() - agents_before;
  const double seconds = SecondsNow() - start;
  Figures out;
  for (size_t i = 0; i < entries_after.size(); ++i) {
    const Usage used = entries_after[i] - entries_before[i];
    const double share = 1 / (seconds * entries_after.size());
    out["entry_bytes_mean"] += used.bytes * share;
    out["entry_other_region_bytes_mean"] += used.other_region_bytes * share;
    out["entry_core_mean"] += used.cpu_seconds * share * 100;
    out["entry_bytes_busiest"] =
        std::max(out["entry_bytes_busiest"], used.bytes / seconds);
    out["entry_core_busiest"] =
        std::max(out["entry_core_busiest"], used.cpu_seconds / seconds * 100);
  }
  out["agent_bytes"] = agent_use.bytes / seconds / agents;
  out["agent_core"] = agent_use.cpu_seconds / seconds * 100;
  return out;
}

// Waits until every entry knows every member, and until the changes of the
// start are told.
void Settle(BenchFleet* fleet) {
  constexpr int kMaxPolls = 40;
  constexpr int64_t kPollMs = 100;
  constexpr int64_t kRestMs = 2'600;
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
  constexpr int64_t kPollMs = 100;
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
  for (const int agents : kSteps) {
    fleet.Grow(agents);
    Settle(&fleet);
    steps[agents] = Measure(&fleet, agents);
  }
  PrintSteps(steps, &printer);
  const Figures neighbourhoods = Measure(&baseline, kBaselineAgents);
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
