#ifndef TESTING_SOAK_CLIENTS_H_
#define TESTING_SOAK_CLIENTS_H_

// Callers that submit work, read its state and cancel some of it, and the
// runners' heartbeats.
//
//   Clients clients(&fleet, &record, seed);
//   clients.Start();
//   ...
//   clients.StopCalls();
//   ... clients.Ask(&client, id, entry) ...
//   clients.StopBeats();

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/http_client.h"
#include "testing/soak/fleet.h"
#include "testing/soak/record.h"

namespace cuminjunction {

class Clients {
 public:
  // Number of tasks of each submission.
  static constexpr int kTasks = 5;

  // The others must outlive the clients.
  Clients(Fleet* fleet, Record* record, uint64_t seed)
      : fleet(fleet), record(record), seed(seed) {}

  void Start();
  // Ends the callers once their calls have ended.
  void StopCalls();
  void StopBeats();

  // Reads the state of a submission at one entry.
  void Ask(HttpClient* client, const std::string& id, const Node& entry);

  // Number of submissions that were sent.
  int Submitted() const { return this->submitted; }

 private:
  void Call(int number);
  // Cancels a submission; sends the call again until it is acknowledged.
  void Cancel(HttpClient* client, std::mt19937_64* dice, const std::string& id);
  // Hands a submission in. If it is neither accepted nor refused for certain,
  // the caller gives up and cancels it.
  void Submit(HttpClient* client, std::mt19937_64* dice, int number);
  void SendHeartbeat(HttpClient* client, const Node& node);
  // Sends the runners' heartbeats, at once when a runner is born or begins to
  // drain, and lets their tasks end in time.
  void Beat();

  Fleet* fleet;
  Record* record;
  uint64_t seed;
  std::vector<std::thread> callers;
  std::thread beats;
  std::atomic<bool> stop_calls = false;
  std::atomic<bool> stop_beats = false;
  std::atomic<int> submitted = 0;
  int64_t sequence = 0;
};

}  // namespace cuminjunction

#endif  // TESTING_SOAK_CLIENTS_H_
