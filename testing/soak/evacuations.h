#ifndef TESTING_SOAK_EVACUATIONS_H_
#define TESTING_SOAK_EVACUATIONS_H_

// The operator of a soak, who evacuates one failure domain of the agents after
// the other for some seconds.
//
//   Evacuations evacuations(&fleet, seed);
//   evacuations.Start();
//   ...
//   evacuations.Stop();
//   if (evacuations.Forbid(node.domain, start.at)) ...

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/time.h"
#include "testing/soak/fleet.h"

namespace cuminjunction {

class Evacuations {
 public:
  // The fleet must outlive this.
  Evacuations(Fleet* fleet, uint64_t seed) : fleet(fleet), random(seed + 6) {}

  void Start();

  // Ends the evacuation in force. May be called once.
  void Stop();

  // True if no task may start in the domain at this time. Call it after Stop().
  bool Forbid(const std::string& domain, absl::Time at) const;

  // Number of evacuations that have ended.
  size_t Count() const { return this->spans.size(); }

 private:
  // A time in which nothing may start in the domain.
  struct Span {
    std::string domain;
    absl::Time from;
    absl::Time to;
  };

  void Run();

  Fleet* fleet;
  std::mt19937_64 random;
  std::thread thread;
  std::atomic<bool> stop = false;
  std::vector<Span> spans;
};

}  // namespace cuminjunction

#endif  // TESTING_SOAK_EVACUATIONS_H_
