#include "task/expand.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <charconv>
#include <string_view>
#include <vector>

#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

// Maximum number of tasks created in one transaction, which is limited to 100
// rows including the owner's.
constexpr int64_t kMaxTasksCreated = 90;

std::string TaskId(const std::string& name, uint64_t generation, int64_t i) {
  return StrCat(name, ".", generation, ".", i);
}

// The generation and index of a task id; zeros when it has none.
std::pair<uint64_t, int64_t> ParseTaskId(const std::string& id) {
  std::pair<uint64_t, int64_t> out = {0, 0};
  const size_t second = id.rfind('.');
  const size_t first =
      second == std::string::npos ? second : id.rfind('.', second - 1);
  if (first == std::string::npos)
    return out;
  std::from_chars(id.data() + first + 1, id.data() + second, out.first);
  std::from_chars(id.data() + second + 1, id.data() + id.size(), out.second);
  return out;
}

TaskRow MakeTask(const Declaration& declaration,
                 const OwnerRow& owner,
                 int64_t index,
                 uint64_t config_version,
                 absl::Time now) {
  TaskRow task;
  task.id = TaskId(declaration.name, owner.generation, index);
  task.account = declaration.account;
  task.owner = declaration.name;
  task.kind = declaration.kind;
  task.urgency = declaration.urgency;
  task.size = declaration.size;
  task.command = declaration.command;
  task.depends_on = declaration.depends_on;
  task.config_version = config_version;
  task.created_us = ToMicros(now);
  return task;
}

bool IsDeclaredAs(const TaskRow& task, const Declaration& declaration) {
  return task.account == declaration.account &&
         task.urgency == declaration.urgency && task.size == declaration.size &&
         task.command == declaration.command &&
         task.depends_on == declaration.depends_on;
}

uint32_t Checksum(const Declaration& declaration) {
  const std::string text =
      StrCat(declaration.account, "\n", ToString(declaration.kind), "\n",
             ToString(declaration.urgency), "\n", declaration.size.millicores,
             "\n", declaration.size.memory_mib, "\n",
             declaration.size.accelerators, "\n", declaration.command, "\n",
             StrJoin(declaration.depends_on, ","), "\n", declaration.count);
  boost::crc_32_type crc;
  crc.process_bytes(text.data(), text.size());
  return crc.checksum();
}

// True when the task's worker, if it has one, is neither draining nor fenced.
bool IsOnStayingWorker(const TaskRow& task, const State& state) {
  if (!task.HoldsCapacity())
    return true;
  const WorkerEntry* worker = state.FindWorker(task.worker);
  return worker != nullptr && worker->row.state != WorkerState::kDraining &&
         worker->row.state != WorkerState::kFenced;
}

void CancelAndDeleteAll(const OwnerTasks& tasks,
                        const State& state,
                        const std::string& reason,
                        Plan* plan) {
  const std::vector<std::string> ids(tasks.all.begin(), tasks.all.end());
  for (const std::string& id : ids) {
    const TaskRow& task = state.FindTask(id)->row;
    if (!task.IsFinal())
      (void)plan->Cancel(id, reason);
    else if (!task.HoldsCapacity())
      (void)plan->Delete(id);
  }
}

// Creates `number` tasks of the owner, or as many as one transaction allows.
void CreateTasks(const Declaration& declaration,
                 const OwnerEntry& owner,
                 OwnerRow changed,
                 int64_t number,
                 uint64_t config_version,
                 absl::Time now,
                 Plan* plan) {
  std::vector<TaskRow> created;
  const int64_t created_count = std::min(number, kMaxTasksCreated);
  for (int64_t i = 0; i < created_count; ++i) {
    created.push_back(MakeTask(declaration, changed, changed.next_index,
                               config_version, now));
    ++changed.next_index;
  }
  (void)plan->Expand(owner, changed, created);
}

// Replicas of a service: those that have ended, those on workers that stay or
// on none, in the order in which to keep them, and those on workers that are
// draining or fenced.
struct Replicas {
  std::vector<std::string> ended;
  std::vector<std::string> staying;
  std::vector<std::string> on_drained_workers;
  int64_t placed = 0;
};

Replicas FindReplicas(const OwnerTasks& tasks, const State& state) {
  Replicas out;
  for (const std::string& id : tasks.all) {
    const TaskRow& task = state.FindTask(id)->row;
    if (task.IsFinal()) {
      out.ended.push_back(id);
      continue;
    }
    if (!IsOnStayingWorker(task, state)) {
      out.on_drained_workers.push_back(id);
      continue;
    }
    out.staying.push_back(id);
    out.placed += task.IsPlaced() ? 1 : 0;
  }
  std::sort(out.staying.begin(), out.staying.end(),
            [&](const std::string& a, const std::string& b) {
              const TaskRow& left = state.FindTask(a)->row;
              const TaskRow& right = state.FindTask(b)->row;
              if (left.HoldsCapacity() != right.HoldsCapacity())
                return left.HoldsCapacity();
              return ParseTaskId(a) < ParseTaskId(b);
            });
  return out;
}

// Cancels surplus replicas. Replicas on workers that are being drained are
// cancelled once their replacements are placed.
void TrimReplicas(const Declaration& declaration,
                  const Replicas& replicas,
                  const State& state,
                  Plan* plan) {
  for (const std::string& id : replicas.ended) {
    if (!state.FindTask(id)->row.HoldsCapacity())
      (void)plan->Delete(id);
  }
  for (size_t i = static_cast<size_t>(declaration.count);
       i < replicas.staying.size(); ++i)
    (void)plan->Cancel(replicas.staying[i], "more replicas than declared");
  if (replicas.placed < declaration.count)
    return;
  for (const std::string& id : replicas.on_drained_workers)
    (void)plan->Cancel(id, "replaced, since its worker is drained");
}

void CancelUndeclared(const Declaration& declaration,
                      const OwnerTasks& tasks,
                      uint64_t generation,
                      const State& state,
                      Plan* plan) {
  const std::vector<std::string> ids(tasks.all.begin(), tasks.all.end());
  for (const std::string& id : ids) {
    const auto [task_generation, index] = ParseTaskId(id);
    const bool is_undeclared =
        task_generation != generation ||
        (declaration.kind != TaskKind::kReplica && index >= declaration.count);
    if (is_undeclared && !state.FindTask(id)->row.IsFinal())
      (void)plan->Cancel(id, "no longer declared");
  }
}

void RedeclareWaiting(const Declaration& declaration,
                      uint64_t config_version,
                      const OwnerTasks& tasks,
                      const State& state,
                      Plan* plan) {
  const std::vector<std::string> ids(tasks.all.begin(), tasks.all.end());
  for (const std::string& id : ids) {
    const TaskRow& task = state.FindTask(id)->row;
    if (task.IsFinal() || task.HoldsCapacity() ||
        task.config_version > config_version || IsDeclaredAs(task, declaration))
      continue;
    const TaskRow declared =
        MakeTask(declaration, OwnerRow(), 0, config_version, absl::UnixEpoch());
    const bool retry = task.park_reason == ParkReason::kFailures ||
                       task.park_reason == ParkReason::kNoWorkerFits;
    if (plan->Redeclare(id, declared) && retry)
      (void)plan->Retry(id);
  }
}

// Evicts, cancels or parks the tasks of an owner that an operator has stopped,
// or retries them after the owner is resumed.
void ApplyStopRequest(bool stopped,
                      const OwnerTasks& tasks,
                      const State& state,
                      Plan* plan) {
  const std::vector<std::string> ids(tasks.all.begin(), tasks.all.end());
  for (const std::string& id : ids) {
    const TaskRow& task = state.FindTask(id)->row;
    const bool parked_by_operator = task.state == TaskState::kParked &&
                                    task.park_reason == ParkReason::kOperator;
    if (!stopped && parked_by_operator)
      (void)plan->Retry(id);
    else if (stopped && task.IsPlaced() && task.IsExclusive())
      (void)plan->Evict(id, "stopped by an operator");
    else if (stopped && task.IsPlaced())
      (void)plan->Cancel(id, "stopped by an operator");
    else if (stopped && task.IsWaiting())
      (void)plan->Park(id, ParkReason::kOperator, "stopped by an operator");
  }
}

void ExpandDeclared(const Declaration& declaration,
                    uint64_t config_version,
                    const State& state,
                    absl::Time now,
                    Plan* plan) {
  const OwnerEntry* existing = state.FindOwner(declaration.name);
  OwnerEntry owner;
  owner.row.name = declaration.name;
  if (existing != nullptr)
    owner = *existing;
  OwnerRow changed = owner.row;
  if (owner.row.generation == 0 || owner.row.removed ||
      owner.row.kind != declaration.kind) {
    changed.kind = declaration.kind;
    changed.removed = false;
    changed.next_index = 0;
    ++changed.generation;
  }
  changed.config_version = config_version;
  changed.declaration = Checksum(declaration);
  const OwnerTasks& tasks = state.TasksOf(declaration.name);
  CancelUndeclared(declaration, tasks, changed.generation, state, plan);
  RedeclareWaiting(declaration, config_version, tasks, state, plan);
  ApplyStopRequest(owner.row.stopped, tasks, state, plan);
  if (owner.row.stopped)
    return;
  int64_t missing = declaration.count - changed.next_index;
  if (declaration.kind == TaskKind::kReplica) {
    const Replicas replicas = FindReplicas(tasks, state);
    missing = declaration.count - static_cast<int64_t>(replicas.staying.size());
    TrimReplicas(declaration, replicas, state, plan);
  }
  // The version is recorded with each change of the declaration, so that a
  // planner with an older configuration can't revert it.
  if (missing > 0 || changed.generation != owner.row.generation ||
      changed.declaration != owner.row.declaration)
    CreateTasks(declaration, owner, changed, std::max<int64_t>(missing, 0),
                config_version, now, plan);
}

}  // namespace

std::map<std::string, Declaration> Declarations(const Document& document) {
  std::map<std::string, Declaration> out;
  for (const auto& [name, service] : document.services) {
    out[name] = {name,
                 service.account,
                 TaskKind::kReplica,
                 service.urgency,
                 service.size,
                 "",
                 service.depends_on,
                 service.replicas};
  }
  for (const auto& [name, job] : document.jobs) {
    const TaskKind kind =
        job.kind == JobKind::kBatch ? TaskKind::kBatch : TaskKind::kWatcher;
    out[name] = {name,     job.account, kind,           job.urgency,
                 job.size, job.command, job.depends_on, job.count};
  }
  return out;
}

void ExpandOwner(const std::string& name,
                 const std::map<std::string, Declaration>& declared,
                 uint64_t config_version,
                 const State& state,
                 absl::Time now,
                 Plan* plan) {
  const OwnerEntry* owner = state.FindOwner(name);
  if (owner != nullptr && owner->row.config_version > config_version)
    return;
  const auto found = declared.find(name);
  if (found != declared.end()) {
    if (owner != nullptr || found->second.count > 0)
      ExpandDeclared(found->second, config_version, state, now, plan);
    return;
  }
  if (owner == nullptr)
    return;
  if (!owner->row.removed) {
    OwnerRow changed = owner->row;
    changed.removed = true;
    changed.config_version = config_version;
    (void)plan->Expand(*owner, changed, {});
  }
  CancelAndDeleteAll(state.TasksOf(name), state,
                     "removed from the configuration", plan);
}

DependencyState CheckDependency(
    const std::string& name,
    const std::map<std::string, Declaration>& declared,
    const State& state) {
  const auto found = declared.find(name);
  if (found == declared.end())
    return DependencyState::kFailed;
  const Declaration& declaration = found->second;
  const OwnerTasks& tasks = state.TasksOf(name);
  if (declaration.kind != TaskKind::kBatch) {
    const bool is_up = tasks.placed >= std::min<int64_t>(declaration.count, 1);
    return is_up ? DependencyState::kMet : DependencyState::kWaiting;
  }
  const OwnerEntry* owner = state.FindOwner(name);
  if (owner == nullptr || owner->row.next_index < declaration.count)
    return DependencyState::kWaiting;
  if (tasks.finished >= declaration.count)
    return DependencyState::kMet;
  if (tasks.parked > 0 || tasks.live + tasks.finished < declaration.count)
    return DependencyState::kFailed;
  return DependencyState::kWaiting;
}

void UpdateDependents(const std::string& name,
                      const std::map<std::string, Declaration>& declared,
                      const State& state,
                      Plan* plan) {
  const auto found = state.Dependents().find(name);
  if (found == state.Dependents().end())
    return;
  const std::set<std::string> ids = found->second;
  for (const std::string& id : ids) {
    const TaskRow& task = state.FindTask(id)->row;
    DependencyState worst = DependencyState::kMet;
    std::string failed;
    for (const std::string& dependency : task.depends_on) {
      const DependencyState dependency_state =
          CheckDependency(dependency, declared, state);
      if (dependency_state == DependencyState::kFailed)
        failed = dependency;
      worst = std::max(worst, dependency_state);
    }
    if (task.state == TaskState::kBlocked && worst == DependencyState::kMet)
      (void)plan->Unblock(id);
    else if (task.state == TaskState::kBlocked &&
             worst == DependencyState::kFailed)
      (void)plan->Park(id, ParkReason::kDependencyFailed,
                       StrCat("dependency ", failed, " failed"));
    else if (task.state == TaskState::kParked && worst == DependencyState::kMet)
      (void)plan->Retry(id);
  }
}

}  // namespace cuminjunction
