#ifndef TESTING_SOAK_FLEET_H_
#define TESTING_SOAK_FLEET_H_

// The processes of a soak, with the stand-ins around them and the links that
// faults are injected into.
//
//   Record record;
//   Fleet fleet(&record, seed, 0, absl::Milliseconds(600));
//   if (!fleet.Start(3, 6))
//     return false;
//   ...
//   fleet.End();

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/endpoint.h"
#include "base/event_thread.h"
#include "testing/soak/record.h"
#include "testing/support/child_process.h"
#include "testing/support/fault_proxy.h"
#include "testing/support/runner_standin.h"
#include "testing/support/store_standin.h"

namespace cuminjunction {

// The failure domains of the agents; the entries are in another one.
inline constexpr std::array<const char*, 2> kAgentDomains = {"domain-a",
                                                             "domain-b"};

// FleetSettings::evacuate_ms of all processes.
inline constexpr int64_t kEvacuateMs = 5000;

// The times in which something was disturbed.
class Disturbances {
 public:
  void Add(absl::Time from, absl::Time to) {
    this->spans.push_back({from, to});
  }
  // True if one of them overlaps this span.
  bool Overlap(absl::Time from, absl::Time to) const;

 private:
  struct Span {
    absl::Time from;
    absl::Time to;
  };
  std::vector<Span> spans;
};

// A process of the system with the links that faults are injected into.
struct Node {
  std::string name;
  bool agent = false;
  std::string domain = "domain";
  std::string settings_file;
  Endpoint front;
  Endpoint heartbeats;
  std::unique_ptr<FaultProxy> store_link;
  std::unique_ptr<FaultProxy> runner_link;
  std::unique_ptr<RunnerStandin> runner;
  ChildProcess process;
  // The process has been started at least once.
  std::atomic<bool> started = false;
  // A fault of the process itself lasts until then.
  absl::Time busy_until = absl::InfinitePast();
  Disturbances disturbances;
};

class Fleet {
 public:
  // `record` must outlive the fleet. The seed draws the runners that keep their
  // ids across crashes, of which there is this share. Each task runs for
  // `run_time`.
  Fleet(Record* record,
        uint64_t seed,
        double kept_ids,
        absl::Duration run_time);

  // Starts the stand-ins and the processes, but for those of the agents that
  // are added later. False when a stand-in can't be started.
  bool Start(int entry_count, int agent_count, int later_agent_count);

  // Starts the process of a node, which must not run.
  void StartNode(Node* node);

  // Kills the processes and closes the links.
  void End();

  // The folder of settings and logs.
  const std::string& Folder() const { return this->folder; }

  // The nodes of which the fleet consists from the start; the entries come
  // first.
  const std::vector<std::unique_ptr<Node>>& Nodes() const {
    return this->nodes;
  }
  const std::vector<Node*>& Entries() const { return this->entries; }
  const std::vector<Node*>& Agents() const { return this->agents; }
  // Agents that are added while the fleet runs.
  const std::vector<std::unique_ptr<Node>>& LaterAgents() const {
    return this->later_agents;
  }
  // All nodes or agents whose process has been started. Callable from any
  // thread.
  std::vector<Node*> StartedNodes() const;
  std::vector<Node*> StartedAgents() const;
  StoreStandin* Store() const { return this->store.get(); }
  // The times in which the store refused calls or lost replies.
  Disturbances* StoreDisturbances() { return &this->store_disturbances; }
  RunLedger* Ledger() { return &this->ledger; }

 private:
  // A node with its links and settings, without a process. Null when a stand-in
  // can't be started.
  std::unique_ptr<Node> MakeNode(int index, bool agent);
  void WriteSettings(Node* node);

  Record* record;
  std::mt19937_64 random;
  double kept_ids;
  absl::Duration run_time;
  std::string folder;
  EventThread links;
  std::unique_ptr<StoreStandin> store;
  Disturbances store_disturbances;
  RunLedger ledger;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Node*> entries;
  std::vector<Node*> agents;
  std::vector<std::unique_ptr<Node>> later_agents;
};

}  // namespace cuminjunction

#endif  // TESTING_SOAK_FLEET_H_
