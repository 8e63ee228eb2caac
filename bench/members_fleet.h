#ifndef BENCH_MEMBERS_FLEET_H_
#define BENCH_MEMBERS_FLEET_H_

// A fleet of entries and agents on loopback in one process, for the members
// bench.
//
//   BenchFleet fleet(Topology::kFullMesh, chart);
//   fleet.Grow(100);
//   while (!fleet.HasSettled()) ...
//   std::vector<Usage> usage = fleet.ReadEntries();

#include <time.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/strings.h"
#include "membership/agent_heartbeat.h"
#include "membership/entry_gossip.h"

namespace cuminjunction {

inline constexpr int kEntriesPerRegion = 4;
inline constexpr int kAgentThreads = 2;

// Agents that leave, die and lose their upstream in the detection part.
inline constexpr size_t kVictims = 5;

// Failure domains by region: 7 in 3 regions, as in the target size.
inline const std::vector<std::pair<std::string, std::string>> kDomains = {
    {"erie", "erie-a"},   {"erie", "erie-b"},   {"erie", "erie-c"},
    {"huron", "huron-a"}, {"huron", "huron-b"}, {"huron", "huron-c"},
    {"tahoe", "tahoe-a"},
};

inline double SecondsNow() {
  return absl::ToDoubleSeconds(SteadyClock().Now() - absl::UnixEpoch());
}

inline double ThreadSeconds(EventThread* thread) {
  return thread->Call([] {
    timespec used = {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) +
           static_cast<double>(used.tv_nsec) / 1e9;
  });
}

inline double CountBytes(Metrics* metrics) {
  const uint64_t sent =
      metrics->GetCounter("membership_bytes_total", "direction=\"sent\"")
          .Value();
  const uint64_t received =
      metrics->GetCounter("membership_bytes_total", "direction=\"received\"")
          .Value();
  return static_cast<double>(sent + received);
}

inline double CountOtherRegionBytes(Metrics* metrics) {
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

inline Usage operator-(const Usage& a, const Usage& b) {
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
    options.table.topology = topology;
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

}  // namespace cuminjunction

#endif  // BENCH_MEMBERS_FLEET_H_
