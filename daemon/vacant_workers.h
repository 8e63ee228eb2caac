#ifndef DAEMON_VACANT_WORKERS_H_
#define DAEMON_VACANT_WORKERS_H_

// The workers on which nothing can run, as stored for the next planner.
//
//   VacantWorkers vacant;
//   vacant.Load(row.key);                           // rows of kVacantTable
//   if (vacant.Add(vm)) lease.Write({{kVacantTable, vm, ""}}, ...);
//   if (vacant.StartRemoval(vm))
//     lease.Write({}, {{kVacantTable, vm}}, [&] { vacant.OnRemoved(vm); });
//   if (!vacant.Contains(vm)) ... grant ...
//
// A planner that takes over waits for silent workers, since an earlier planner
// may have started tasks there. It need not wait for a worker with a row in
// kVacantTable: its runner has ended, its grants have expired, or it runs
// nothing and gets no tasks. The planner makes no grant to such a worker until
// the removal of the row is stored, so the row is never out of date.

#include <map>
#include <string>

namespace cuminjunction {

class VacantWorkers {
 public:
  // Adds a worker whose row is in the store.
  void Load(const std::string& vm) { this->workers[vm] = State::kVacant; }

  // Adds a worker. Returns true if its row has to be written.
  bool Add(const std::string& vm) {
    State& state = this->workers.try_emplace(vm, State::kUnknown).first->second;
    const bool needs_row = state != State::kVacant;
    state = State::kVacant;
    return needs_row;
  }

  // True if no grant may be made to the worker.
  bool Contains(const std::string& vm) const {
    return this->workers.contains(vm);
  }

  // Returns true if the worker is vacant and the removal of its row has to be
  // written.
  bool StartRemoval(const std::string& vm) {
    const auto found = this->workers.find(vm);
    if (found == this->workers.end() || found->second == State::kRemoving)
      return false;
    found->second = State::kRemoving;
    return true;
  }

  // The removal is stored. Returns false if the worker has become vacant again
  // since.
  bool OnRemoved(const std::string& vm) {
    const auto found = this->workers.find(vm);
    if (found == this->workers.end() || found->second != State::kRemoving)
      return false;
    this->workers.erase(found);
    return true;
  }

  void Clear() { this->workers.clear(); }

 private:
  // kRemoving: the removal of the row is under way. kUnknown is the state of a
  // worker before Add() has set another one.
  enum class State { kUnknown, kVacant, kRemoving };

  std::map<std::string, State> workers;
};

}  // namespace cuminjunction

#endif  // DAEMON_VACANT_WORKERS_H_
