#ifndef FLEET_VACANT_WORKERS_H_
#define FLEET_VACANT_WORKERS_H_

// The workers on which nothing can run, as stored for the next planner.
//
//   VacantWorkers vacant;
//   vacant.Load(row.key);                           // rows of kVacantTable
//   if (vacant.Add(vm)) lease.Write({{kVacantTable, vm, ""}}, ...);
//   if (const auto removal = vacant.StartRemoval(vm))
//     lease.Write({}, {{kVacantTable, vm}},
//                 [&, removal] { vacant.OnRemoved(vm, *removal); });
//   if (!vacant.Contains(vm)) ... grant ...
//
// A planner that takes over waits for silent workers, since an earlier planner
// may have started tasks there. It need not wait for a worker with a row in
// kVacantTable: its runner has ended, its grants have expired, or it runs
// nothing and gets no tasks. The planner makes no grant to such a worker until
// the removal of the row is stored, so the row is never out of date.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cuminjunction {

class VacantWorkers {
 public:
  // Adds a worker whose row is in the store.
  void Load(const std::string& vm) { this->workers[vm].state = State::kVacant; }

  // Adds a worker. Returns true if its row has to be written.
  bool Add(const std::string& vm) {
    State& state = this->workers[vm].state;
    const bool needs_row = state != State::kVacant;
    state = State::kVacant;
    return needs_row;
  }

  // True if no grant may be made to the worker.
  bool Contains(const std::string& vm) const {
    return this->workers.contains(vm);
  }

  // If the worker is vacant, returns the number of the removal of its row,
  // which has to be written.
  std::optional<uint64_t> StartRemoval(const std::string& vm) {
    const auto found = this->workers.find(vm);
    if (found == this->workers.end() || found->second.state == State::kRemoving)
      return std::nullopt;
    found->second = {State::kRemoving, ++this->last_removal};
    return this->last_removal;
  }

  // The removal of this number is stored. Returns false if the worker has
  // become vacant again since.
  bool OnRemoved(const std::string& vm, uint64_t removal) {
    const auto found = this->workers.find(vm);
    if (found == this->workers.end() ||
        found->second.state != State::kRemoving ||
        found->second.removal != removal)
      return false;
    this->workers.erase(found);
    return true;
  }

  void Clear() { this->workers.clear(); }

 private:
  // kRemoving: the removal of the row is under way. kUnknown is the state of a
  // worker before Add() has set another one.
  enum class State { kUnknown, kVacant, kRemoving };

  struct Worker {
    State state = State::kUnknown;
    // Number of the last removal of its row.
    uint64_t removal = 0;
  };

  std::map<std::string, Worker> workers;
  uint64_t last_removal = 0;
};

}  // namespace cuminjunction

#endif  // FLEET_VACANT_WORKERS_H_
