#ifndef TESTING_SOAK_FAULTS_H_
#define TESTING_SOAK_FAULTS_H_

// The schedule of faults of a soak, drawn from its seed. Series of faults
// overlap: one may begin before the last one has ended.
//
//   Faults faults(&fleet, &record, &random, seed);
//   while (...) {
//     faults.Step();
//     absl::SleepFor(absl::Milliseconds(10));
//   }
//   faults.HealAll();

#include <cstdint>
#include <functional>
#include <map>
#include <random>

#include "absl/time/time.h"
#include "testing/soak/fleet.h"
#include "testing/soak/record.h"

namespace cuminjunction {

class Faults {
 public:
  // The others must outlive this.
  Faults(Fleet* fleet, Record* record, std::mt19937_64* random, uint64_t seed)
      : fleet(fleet),
        record(record),
        random(random),
        crash_random(seed + 1),
        late_random(seed + 2),
        write_random(seed + 3),
        takeover_random(seed + 5) {}

  // Begins and ends what is due.
  void Step();

  // Waits until all faults have ended.
  void HealAll();

  // Starts processes again that have ended by themselves.
  void RestartEnded();

  // Number of faults without crashes of runners, late orders, late writes and
  // takeovers.
  int Count() const { return this->count; }

 private:
  void Inject();
  void DisturbProcess(Node* node);
  // Kills the process of a node, and starts it again after this pause.
  void Kill(Node* node, absl::Duration pause);
  // Stops the process of a node as the platform does, and starts it again.
  // Returns the time until then.
  absl::Duration Terminate(Node* node);
  // Takes note that the process of a node is disturbed for this time.
  void SetBusy(Node* node, absl::Duration length);
  void DisturbLink(Node* node, FaultProxy* link);
  void DisturbStore();
  // Crashes the runner of one agent. Returns the pause until the next crash.
  absl::Duration CrashRunner();
  // Lets the runner of one agent carry out a share of its calls late for some
  // time. Returns the pause until the next such series.
  absl::Duration DelayOrders();
  // Lets the store carry out the next transactions that store submissions late.
  // Returns the pause until the next such series.
  absl::Duration DelayWrites();
  // Ends the process of one entry, which may plan, while the store can be
  // reached badly by another entry or an agent alone, and an agent is added.
  // Returns the pause until the next such series.
  absl::Duration DisturbTakeover();
  void After(absl::Duration pause, std::function<void()> action);
  void RunDue();
  absl::Duration Between(double least_s, double most_s) {
    return absl::Seconds(
        std::uniform_real_distribution<double>(least_s, most_s)(*this->random));
  }
  // The pause until a fault of one kind comes again. It is shorter in a large
  // fleet, so that each node has as many faults as in a small one.
  absl::Duration Scaled(absl::Duration pause) const;
  size_t Pick(size_t size) {
    return std::uniform_int_distribution<size_t>(0, size - 1)(*this->random);
  }

  Fleet* fleet;
  Record* record;
  std::mt19937_64* random;
  // Of the crashes of runners, which come beside the schedule of other faults.
  std::mt19937_64 crash_random;
  // Of late orders, which come beside it too.
  std::mt19937_64 late_random;
  // Of late transactions of the store.
  std::mt19937_64 write_random;
  // Of takeovers, which come beside the schedule of other faults.
  std::mt19937_64 takeover_random;
  // Number of agents that have been added.
  size_t added = 0;
  // Ends of faults, by the time when they are due.
  std::multimap<absl::Time, std::function<void()>> due;
  absl::Time next = absl::InfinitePast();
  absl::Time next_crash = absl::InfinitePast();
  absl::Time next_late = absl::InfinitePast();
  absl::Time next_late_write = absl::InfinitePast();
  absl::Time next_takeover = absl::InfinitePast();
  int count = 0;
};

}  // namespace cuminjunction

#endif  // TESTING_SOAK_FAULTS_H_
