#include "task/state.h"

#include <algorithm>

#include "base/time.h"

namespace cuminjunction {

namespace {

template <class Map>
auto FindEntry(const Map& map, const std::string& id) -> const
    typename Map::mapped_type* {
  const auto found = map.find(id);
  return found == map.end() ? nullptr : &found->second;
}

// Changes a counter of a map and drops it at zero.
void AddToCount(std::map<std::string, int>* counts,
                const std::string& key,
                int step) {
  if (((*counts)[key] += step) == 0)
    counts->erase(key);
}

template <class Set, class Value>
void UpdateSet(Set* set, const Value& value, int sign) {
  if (sign > 0)
    set->insert(value);
  else
    set->erase(value);
}

bool HasLostAssignment(const WorkerRow& row) {
  return std::any_of(row.assignments.begin(), row.assignments.end(),
                     [&](const Assignment& a) { return a.epoch < row.epoch; });
}

bool WaitsForDependency(const TaskRow& row) {
  return row.state == TaskState::kBlocked ||
         (row.state == TaskState::kParked &&
          row.park_reason == ParkReason::kDependencyFailed);
}

}  // namespace

// Avoids parsing the rows that this planner wrote itself, which are half of the
// rows that it reads.
bool State::IsUpToDate(const Row& row) const {
  if (row.key.starts_with(kTaskPrefix)) {
    const TaskEntry* task = this->FindTask(row.key.substr(kTaskPrefix.size()));
    return task != nullptr && task->version >= row.version;
  }
  if (row.key.starts_with(kWorkerPrefix)) {
    const WorkerEntry* worker =
        this->FindWorker(row.key.substr(kWorkerPrefix.size()));
    return worker != nullptr && worker->version >= row.version;
  }
  return false;
}

Status State::Apply(const Row& row) {
  if (this->IsUpToDate(row))
    return Ok();
  return this->Restore(row);
}

Status State::Restore(const Row& row) {
  if (row.deleted) {
    this->Remove(row.key);
    return Ok();
  }
  if (row.key.starts_with(kTaskPrefix)) {
    BOOST_OUTCOME_TRY(task, ParseTask(row));
    this->PutTask({std::move(task), row.version});
  } else if (row.key.starts_with(kWorkerPrefix)) {
    BOOST_OUTCOME_TRY(worker, ParseWorker(row));
    this->PutWorker({std::move(worker), row.version});
  } else if (row.key.starts_with(kOwnerPrefix)) {
    BOOST_OUTCOME_TRY(owner, ParseOwner(row));
    OwnerEntry& known = this->owners[owner.name];
    if (row.version >= known.version) {
      this->changed_owners.insert(owner.name);
      known = {std::move(owner), row.version};
    }
  }
  return Ok();
}

void State::Remove(const std::string& key) {
  if (key.starts_with(kTaskPrefix)) {
    this->EraseTask(key.substr(kTaskPrefix.size()));
  } else if (key.starts_with(kWorkerPrefix)) {
    const std::string id = key.substr(kWorkerPrefix.size());
    const auto found = this->workers.find(id);
    if (found == this->workers.end())
      return;
    this->IndexWorker(found->second.row, false);
    this->workers.erase(found);
  } else if (key.starts_with(kOwnerPrefix)) {
    this->owners.erase(key.substr(kOwnerPrefix.size()));
  }
}

void State::Apply(const Batch& batch, uint64_t version) {
  const auto version_of = [version](uint64_t known) {
    return version == 0 ? known : version;
  };
  for (const auto& [id, entry] : batch.Tasks())
    this->PutTask({entry.row, version_of(entry.version)});
  for (const auto& [id, entry] : batch.Workers())
    this->PutWorker({entry.row, version_of(entry.version)});
  for (const auto& [name, entry] : batch.Owners())
    this->owners[name] = {entry.row, version_of(entry.version)};
  for (const auto& [id, known] : batch.Deleted())
    this->EraseTask(id);
}

void State::ApplyDecision(const Batch& batch,
                          const std::string& task,
                          const std::string& worker) {
  const TaskEntry* task_entry = FindEntry(batch.Tasks(), task);
  if (task_entry != nullptr)
    this->PutTask(*task_entry);
  const WorkerEntry* worker_entry = FindEntry(batch.Workers(), worker);
  if (worker_entry != nullptr)
    this->PutWorker(*worker_entry);
}

void State::PutTask(TaskEntry entry) {
  const auto found = this->tasks.find(entry.row.id);
  if (found == this->tasks.end()) {
    this->IndexTask(entry.row, 1);
    const std::string id = entry.row.id;
    this->tasks.emplace(id, std::move(entry));
    return;
  }
  if (entry.version < found->second.version)
    return;
  this->RecordOutcome(found->second.row, entry.row);
  this->IndexTask(found->second.row, -1);
  found->second = std::move(entry);
  this->IndexTask(found->second.row, 1);
}

void State::EraseTask(const std::string& id) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end())
    return;
  this->IndexTask(found->second.row, -1);
  this->tasks.erase(found);
}

void State::RecordOutcome(const TaskRow& before, const TaskRow& after) {
  const bool ended = before.HoldsCapacity() && !after.HoldsCapacity() &&
                     before.attempt == after.attempt;
  const bool failed = after.failures > before.failures;
  if (ended && (failed || after.state == TaskState::kFinished)) {
    this->outcomes.push_back(
        {after.id, after.owner, after.account, before.worker, failed});
  }
}

void State::IndexTask(const TaskRow& row, int sign) {
  this->changed_owners.insert(row.owner);
  OwnerTasks& tasks = this->owner_tasks[row.owner];
  UpdateSet(&tasks.all, row.id, sign);
  tasks.live += row.IsFinal() ? 0 : sign;
  tasks.finished += row.state == TaskState::kFinished ? sign : 0;
  tasks.parked += row.state == TaskState::kParked ? sign : 0;
  if (row.HoldsCapacity())
    this->IndexPlacement(row, &tasks, sign);
  if (tasks.all.empty())
    this->owner_tasks.erase(row.owner);
  if (row.IsWaiting()) {
    this->IndexWaiting(row, sign);
    auto& ids = this->waiting_sizes[row.size];
    UpdateSet(&ids, row.id, sign);
    if (ids.empty())
      this->waiting_sizes.erase(row.size);
  }
  if (WaitsForDependency(row)) {
    for (const std::string& dependency : row.depends_on) {
      auto& ids = this->dependents[dependency];
      UpdateSet(&ids, row.id, sign);
      if (ids.empty())
        this->dependents.erase(dependency);
    }
  }
  if (row.state == TaskState::kParked &&
      row.park_reason == ParkReason::kNoWorkerFits)
    UpdateSet(&this->no_worker_fits, row.id, sign);
}

void State::IndexPlacement(const TaskRow& row, OwnerTasks* tasks, int sign) {
  tasks->placed += sign;
  Size& committed = this->committed_by_account[row.account];
  committed = sign > 0 ? committed + row.size : committed - row.size;
  if (committed == Size())
    this->committed_by_account.erase(row.account);
  Size& committed_to_urgency =
      this->committed_by_urgency[static_cast<size_t>(row.urgency)];
  committed_to_urgency = sign > 0 ? committed_to_urgency + row.size
                                  : committed_to_urgency - row.size;
  if (sign > 0) {
    const WorkerEntry* worker = this->FindWorker(row.worker);
    if (worker != nullptr)
      this->counted_locations[row.id] = {worker->row.rack,
                                         worker->row.failure_domain};
  }
  const auto location = this->counted_locations.find(row.id);
  if (location == this->counted_locations.end())
    return;
  AddToCount(&tasks->racks, location->second.first, sign);
  AddToCount(&tasks->failure_domains, location->second.second, sign);
  if (sign < 0)
    this->counted_locations.erase(location);
}

void State::IndexWaiting(const TaskRow& row, int sign) {
  auto& queues = this->waiting[static_cast<size_t>(row.urgency)];
  const std::pair<int64_t, std::string> place = {row.created_us, row.id};
  if (sign > 0 && row.not_before_us > this->backoffs_released_until_us) {
    this->delayed.insert({row.not_before_us, row.id});
    return;
  }
  if (sign > 0) {
    queues[row.account].insert(place);
    return;
  }
  this->delayed.erase({row.not_before_us, row.id});
  const auto queue = queues.find(row.account);
  if (queue == queues.end())
    return;
  queue->second.erase(place);
  if (queue->second.empty())
    queues.erase(queue);
}

void State::ReleaseExpiredBackoffs(absl::Time now) {
  this->backoffs_released_until_us =
      std::max(this->backoffs_released_until_us, ToMicros(now));
  while (!this->delayed.empty() &&
         this->delayed.begin()->first <= this->backoffs_released_until_us) {
    const std::string id = this->delayed.begin()->second;
    this->delayed.erase(this->delayed.begin());
    this->IndexWaiting(this->tasks.at(id).row, 1);
  }
}

size_t State::WaitingCount() const {
  size_t count = this->delayed.size();
  for (const auto& queues : this->waiting) {
    for (const auto& [account, queue] : queues)
      count += queue.size();
  }
  return count;
}

void State::PutWorker(WorkerEntry entry) {
  const auto found = this->workers.find(entry.row.id);
  if (found == this->workers.end()) {
    this->IndexWorker(entry.row, true);
    const std::string id = entry.row.id;
    this->workers.emplace(id, std::move(entry));
    ++this->capacity_changes;
    return;
  }
  if (entry.version < found->second.version)
    return;
  const WorkerRow& before = found->second.row;
  const Size free_before = before.Free();
  const bool grows =
      !Fits(entry.row.Free(), free_before) || before.state != entry.row.state;
  this->capacity_changes += grows ? 1 : 0;
  this->IndexWorker(before, false);
  found->second = std::move(entry);
  this->IndexWorker(found->second.row, true);
}

void State::IndexWorker(const WorkerRow& row, bool add) {
  const int sign = add ? 1 : -1;
  if ((this->capacities[row.capacity] += sign) == 0)
    this->capacities.erase(row.capacity);
  if (row.state != WorkerState::kFenced) {
    this->capacity =
        add ? this->capacity + row.capacity : this->capacity - row.capacity;
  }
  if (HasLostAssignment(row))
    UpdateSet(&this->with_lost_assignments, row.id, sign);
  if (row.state == WorkerState::kDraining)
    UpdateSet(&this->draining, row.id, sign);
  if (row.state == WorkerState::kSuspect)
    UpdateSet(&this->suspect, row.id, sign);
  if (row.state != WorkerState::kReady)
    return;
  const Size free = row.Free();
  UpdateSet(&this->by_free_cores, std::pair(free.millicores, row.id), sign);
  if (free.accelerators > 0) {
    UpdateSet(&this->by_free_accelerators, std::pair(free.accelerators, row.id),
              sign);
  }
  if (add) {
    this->ready_index[row.id] = this->ready.size();
    this->ready.push_back(row.id);
    return;
  }
  // The last one takes the place of the one removed.
  const size_t index = this->ready_index.at(row.id);
  this->ready_index.erase(row.id);
  if (index + 1 != this->ready.size()) {
    this->ready[index] = this->ready.back();
    this->ready_index[this->ready[index]] = index;
  }
  this->ready.pop_back();
}

const TaskEntry* State::FindTask(const std::string& id) const {
  return FindEntry(this->tasks, id);
}

const WorkerEntry* State::FindWorker(const std::string& id) const {
  return FindEntry(this->workers, id);
}

const OwnerEntry* State::FindOwner(const std::string& name) const {
  return FindEntry(this->owners, name);
}

const OwnerTasks& State::TasksOf(const std::string& owner) const {
  static const OwnerTasks* const empty = new OwnerTasks();
  const OwnerTasks* found = FindEntry(this->owner_tasks, owner);
  return found == nullptr ? *empty : *found;
}

Size State::CommittedTo(const std::string& account) const {
  const Size* found = FindEntry(this->committed_by_account, account);
  return found == nullptr ? Size() : *found;
}

bool State::CanEverFit(const Size& size) const {
  return std::any_of(
      this->capacities.begin(), this->capacities.end(),
      [&](const auto& entry) { return Fits(size, entry.first); });
}

std::set<std::string> State::TakeChangedOwners() {
  return std::exchange(this->changed_owners, {});
}

std::vector<AttemptOutcome> State::TakeOutcomes() {
  return std::exchange(this->outcomes, {});
}

}  // namespace cuminjunction
