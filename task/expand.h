#ifndef TASK_EXPAND_H_
#define TASK_EXPAND_H_

// Creates, updates and cancels task rows as the configuration document
// declares.
//
//   std::map<std::string, Declaration> declared = Declarations(document);
//   ExpandOwner("packing-plan", declared, version, state, now, &plan);
//   UpdateDependents("packing-plan", declared, state, &plan);
//
// Both functions compare the planner's state with the declarations and add the
// next steps towards them to the plan. They may run at any time, any number of
// times:
//   - A batch job or watcher has one task <name>.<generation>.<index> for each
//     index below the count. Each is created once.
//   - A service has as many live replicas as declared, not counting those on
//     workers that are being drained. Each new replica gets a new index.
//   - Tasks of removed jobs and services are cancelled. Their rows are deleted
//     once they hold no capacity.
// A task that holds capacity keeps its declaration until it ends or is evicted.

#include <cstdint>
#include <map>
#include <string>

#include "absl/time/time.h"
#include "config/document.h"
#include "task/plan.h"
#include "task/state.h"

namespace cuminjunction {

// The part of a job's or service's declaration that its tasks depend on.
struct Declaration {
  std::string name;
  std::string account;
  TaskKind kind = TaskKind::kBatch;
  Urgency urgency = Urgency::kBatch;
  Size size;
  std::string command;
  std::vector<std::string> depends_on;
  int64_t count = 0;

  bool operator==(const Declaration&) const = default;
};

// All jobs and services of a document by name. Services whose upstreams run
// outside the fleet have the count 0.
std::map<std::string, Declaration> Declarations(const Document& document);

// Adds the next steps for the tasks of one job or service to the plan. Does
// nothing when its row is of a newer configuration version.
void ExpandOwner(const std::string& name,
                 const std::map<std::string, Declaration>& declared,
                 uint64_t config_version,
                 const State& state,
                 absl::Time now,
                 Plan* plan);

// Ordered so that a task's state is the largest of its dependencies' states.
enum class DependencyState { kMet, kWaiting, kFailed };

// The state of a dependency on a job or service. It is met when a batch job has
// finished, or when a watcher or a service has a task placed.
DependencyState CheckDependency(
    const std::string& name,
    const std::map<std::string, Declaration>& declared,
    const State& state);

// Unblocks or parks the tasks that depend on a job or service.
void UpdateDependents(const std::string& name,
                      const std::map<std::string, Declaration>& declared,
                      const State& state,
                      Plan* plan);

}  // namespace cuminjunction

#endif  // TASK_EXPAND_H_
