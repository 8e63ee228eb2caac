#ifndef BENCH_FLEET_H_
#define BENCH_FLEET_H_

// A small fleet of real processes on loopback: upstream stand-ins, an agent
// beside each, and entries.
//
//   Fleet fleet({.upstreams = 3, .entries = 2});
//   if (!fleet.Start()) ...
//   LoadSettings load;
//   load.targets = fleet.EntryTargets();
//   ...
//   fleet.KillAgent(1);
//   fleet.RestartAgent(1);
//   fleet.Stop();
//   fleet.Executions();   // of all upstreams, over kills and restarts
//
// Without membership the fleet itself tells the entries about a new incarnation
// of an agent.

#include <csignal>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bench/process.h"
#include "testing/support/load_generator.h"

namespace cuminjunction {

struct FleetSettings {
  int upstreams = 3;
  int entries = 1;
  int shards = 2;
  int64_t service_us = 5000;
  int slots = 8;
  // Entries log each decision to a file in the folder of the fleet.
  bool log_decisions = true;
};

// One execution at an upstream.
struct Execution {
  std::string key;
  int upstream = 0;
  int64_t at_us = 0;
};

class Fleet {
 public:
  explicit Fleet(FleetSettings settings);
  // Ends all processes and removes the folder.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all and waits until the entries answer. False when one can't start.
  bool Start();
  void Stop();

  std::vector<LoadTarget> EntryTargets() const;
  std::vector<LoadTarget> UpstreamTargets() const;

  // Ends without notice (SIGKILL).
  void KillUpstream(int i) { Kill(this->upstreams[At(i)].get()); }
  void KillAgent(int i) { Kill(this->agents[At(i)].get()); }
  void KillEntry(int i) { Kill(this->entries[At(i)].get()); }
  // Asks to leave (SIGTERM); AwaitEnd() waits for it.
  void LeaveAgent(int i) { this->agents[At(i)]->process.Signal(SIGTERM); }
  void LeaveEntry(int i) { this->entries[At(i)]->process.Signal(SIGTERM); }
  // False when the process had to be killed.
  bool AwaitAgent(int i) { return this->agents[At(i)]->process.Wait(); }
  bool AwaitEntry(int i) { return this->entries[At(i)]->process.Wait(); }
  bool RestartUpstream(int i) { return this->StartUpstream(At(i)); }
  bool RestartAgent(int i);
  bool RestartEntry(int i) { return this->StartEntry(At(i)); }

  // Calls `pin` with the id of each thread of an entry.
  void PinEntry(int i, void (*pin)(pid_t thread)) const;

  std::vector<Execution> Executions() const;

 private:
  struct Member {
    ChildProcess process;
    uint16_t port = 0;
    uint64_t incarnation = 0;
  };

  static size_t At(int i) { return static_cast<size_t>(i); }
  static void Kill(Member* member);
  static bool Launch(Member* member, std::vector<std::string> argv);
  bool StartUpstream(size_t i);
  bool StartAgent(size_t i);
  bool StartEntry(size_t i);
  void SendMembers(const Member& entry) const;
  bool AwaitReady() const;
  std::string ExecutionsFile(size_t upstream) const;

  FleetSettings settings;
  std::string folder;
  std::vector<std::unique_ptr<Member>> upstreams;
  std::vector<std::unique_ptr<Member>> agents;
  std::vector<std::unique_ptr<Member>> entries;
};

}  // namespace cuminjunction

#endif  // BENCH_FLEET_H_
