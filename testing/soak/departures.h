#ifndef TESTING_SOAK_DEPARTURES_H_
#define TESTING_SOAK_DEPARTURES_H_

// Runners that drain, leave and come back, drawn from a sequence of their own.
// A runner says that it drains and serves on for some time. It then tells its
// agent that it leaves and ends at once when that is acknowledged, else some
// seconds later.
//
//   Departures departures(&fleet, seed);
//   departures.Start();
//   ...
//   departures.Stop();

#include <atomic>
#include <cstdint>
#include <random>
#include <thread>
#include <vector>

#include "absl/time/time.h"
#include "testing/soak/fleet.h"

namespace cuminjunction {

class Departures {
 public:
  // The fleet must outlive this.
  Departures(Fleet* fleet, uint64_t seed) : fleet(fleet), random(seed + 4) {}

  // The runner of each agent that is there from the start drains again and
  // again from now on.
  void Start();

  // Returns once each runner that drains has left.
  void Stop();

  // Number of runners that have left.
  int Count() const { return this->count; }

 private:
  // The departures of one runner.
  void Run(Node* node, uint64_t seed);

  Fleet* fleet;
  std::mt19937_64 random;
  std::vector<std::thread> threads;
  std::atomic<bool> stop = false;
  std::atomic<int> count = 0;
};

}  // namespace cuminjunction

#endif  // TESTING_SOAK_DEPARTURES_H_
