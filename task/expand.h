#ifndef TASK_EXPAND_H_
#define TASK_EXPAND_H_

// From the configuration document to task rows.
//
//   std::map<std::string, Declaration> declared = Declarations(document);
//   ExpandOwner("packing-plan", declared, version, state, now, &plan);
//   UpdateDependents("packing-plan", declared, state, &plan);
//
// Both look at the present picture and take the next steps that lead to what is
// declared, so that they may run at any time and as often as one likes:
//   - batch jobs and watchers have tasks <name>.<generation>.<index>, one for
//     each index below the count; each is created once;
//   - services have replicas under ever new indexes, as many live ones as
//     declared, not counting those on workers that are being drained;
//   - tasks of removed jobs and services are cancelled, and their rows deleted
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

// A job or a service with replicas, as far as its tasks are concerned.
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

// Everything that a document declares. Services whose upstreams run elsewhere
// have the count 0.
std::map<std::string, Declaration> Declarations(const Document& document);

// Takes the next steps for one job or service.
void ExpandOwner(const std::string& name,
                 const std::map<std::string, Declaration>& declared,
                 uint64_t config_version,
                 const State& state,
                 absl::Time now,
                 Plan* plan);

// Ordered so that the largest state of all dependencies is that of the task.
enum class DependencyState { kMet, kWaiting, kFailed };

// What a dependency on a job or service amounts to: a batch job must have
// finished, watchers and replicas must be placed.
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
