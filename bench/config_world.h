#ifndef BENCH_CONFIG_WORLD_H_
#define BENCH_CONFIG_WORLD_H_

// Entries, agents, operators and a store in virtual time, around the real
// ConfigNode, ConfigStore and ReadStore.
//
//   ConfigWorld world(options);
//   world.Run();
//   double worst = world.Results().in_force_s.back();
//
// Agents send heartbeats to two entries; heartbeats and their acknowledgements
// carry the version, and a node with a new version notifies the peers it knows.
// A new entry learns the agents of its region from the other entries, as it
// does from the digests of the membership. Messages are lost, VMs are replaced,
// the store fails and loses replies, and operators submit changes on the same
// base.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/distribution.h"
#include "config/store.h"
#include "testing/support/faulty_store.h"

namespace cuminjunction {

struct ConfigWorldOptions {
  uint64_t seed = 1;
  int agents = 800;
  int entries = 12;
  // Size of the document.
  int jobs = 200;
  int changes = 1000;
  int64_t change_interval_ms = 1000;
  // Share of messages that are lost.
  double loss = 0;
  // Share of changes with a second operator on the same base.
  double race_share = 0;
  // Milliseconds between replacements of a random VM; 0 for none.
  int64_t replacement_interval_ms = 0;
  // Milliseconds between outages of the store, and how long each lasts.
  int64_t outage_interval_ms = 0;
  int64_t outage_ms = 0;
  StoreFaults faults;
  // Agents fetch all sections for each change; the baseline.
  bool always_whole = false;
};

struct ConfigWorldResults {
  // Seconds from acceptance to the last ready node, sorted: of changes while
  // the store was up, and of those that met an outage, counted from its end.
  std::vector<double> in_force_s;
  std::vector<double> in_force_after_outage_s;
  // Changes that were not in force everywhere at the end.
  int never_in_force = 0;
  // Places, or the whole, that went back to a lower version.
  int reverts = 0;
  // Nodes with a version whose content differs from another node's, or two
  // changes that were told to have the same version.
  int divergences = 0;
  int conflicts = 0;
  int unavailable = 0;
  int settled_later = 0;
  int replacements = 0;
  int outages = 0;
  // Places that run but are not ready at the end, and the longest time that a
  // place took from its start until it was ready, in seconds.
  int not_ready = 0;
  double join_max_s = 0;
  // Bytes of configuration an agent sends and receives each second, headers of
  // TCP and IP included.
  double bytes_per_node_s = 0;
  size_t document_bytes = 0;
};

class ConfigWorld {
 public:
  explicit ConfigWorld(const ConfigWorldOptions& options);

  void Run();
  ConfigWorldResults Results() const;

 private:
  struct Place {
    std::unique_ptr<ConfigNode> node;
    // nullptr for an agent.
    std::unique_ptr<ConfigStore<FaultyTable>> store;
    StoreCursor cursor;
    int incarnation = 0;
    int region = 0;
    bool is_up = false;
    bool is_ready = false;
    absl::Time started_at;
    // The highest version that was in force here, over all incarnations.
    uint64_t in_force = 0;
    std::set<int> known_agents;
    int64_t bytes = 0;
  };
  struct Event {
    absl::Time at;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.sequence) <
             std::tie(this->at, this->sequence);
    }
  };

  void After(int64_t ms, std::function<void()> run);
  void AfterMicros(int64_t us, std::function<void()> run);
  void Repeat(int64_t ms, const std::function<void()>& run);
  double Draw();
  int Pick(int count);

  bool IsEntry(int place) const { return place < this->options.entries; }
  int HomeOf(int agent, int index) const;
  int Distance(int a, int b) const;
  void Send(int from, int to, size_t bytes, std::function<void()> deliver);

  void StartPlace(int place);
  void StopPlace(int place);
  void ReplaceSomeone();
  void SetOutage(bool down);

  void Heartbeat(int agent, int home);
  void GreetEntries(int entry);
  void Tell(int from, int to, size_t bytes);
  void LearnAgents(int entry, int other);
  void Announce(int place);
  void Pump(int place);
  void Ask(int place, const OutgoingConfigRequest& out);
  void PollStore(int entry);
  void AfterChange(int place);

  Document MakeDocument() const;
  Document Edit(const Document& document);
  void MakeChange();
  void SubmitChange(DocumentChange submission, int entry);
  void SettleOpen();
  void NoteHead();
  void NoteReady(int place);
  void NoteJoin(const Place& place);
  void NoteInForce();

  ConfigWorldOptions options;
  std::mt19937_64 random;
  FaultyTable table;
  absl::Time now = absl::UnixEpoch();
  uint64_t sequence = 0;
  std::priority_queue<Event> events;
  std::vector<Place> places;
  int64_t link_busy_until_us = 0;

  bool is_running = true;
  int submitted = 0;
  std::map<std::string, Document> documents_by_id;
  std::map<uint64_t, Document> documents;
  std::map<uint64_t, std::string> ids;
  std::map<uint64_t, uint64_t> digests;
  std::vector<DocumentChange> open;
  std::map<uint64_t, absl::Time> accepted_at;
  std::map<uint64_t, absl::Time> in_force_at;
  uint64_t in_force = 0;
  std::multiset<uint64_t> ready_versions;
  std::vector<std::pair<absl::Time, absl::Time>> outage_spans;
  absl::Time measured_from;
  ConfigWorldResults results;
};

}  // namespace cuminjunction

#endif  // BENCH_CONFIG_WORLD_H_
