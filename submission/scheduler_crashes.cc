// The scheduler's handling of crashed runners: evidence against tasks, tasks
// that are given up, and where suspects are started again.

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "submission/scheduler.h"

namespace cuminjunction {

namespace {

// Crashes of a VM that are remembered, so that each is counted once. An agent
// reports the latest crashes again to a new planner and after a restart of its
// runner.
constexpr size_t kMaxKnownCrashes = 32;

bool IsRecorded(const TaskSlot& slot, const std::string& vm, int64_t born_ms) {
  return std::any_of(slot.crashes.begin(), slot.crashes.end(),
                     [&](const CrashRecord& record) {
                       return record.vm == vm && record.born_ms == born_ms;
                     });
}

}  // namespace

void Scheduler::RecordCrash(const std::string& vm,
                            const RunnerCrash& crash,
                            absl::Time now) {
  std::set<int64_t>& known = this->GetOrAddWorker(vm).known_crashes;
  if (!known.insert(crash.born_ms).second)
    return;
  if (known.size() > kMaxKnownCrashes)
    known.erase(known.begin());
  const std::vector<CrashEvidence> evidence = JudgeCrash(crash.runs);
  std::vector<TaskRef> affected;
  for (size_t i = 0; i < crash.runs.size(); ++i) {
    const LostRun& lost = crash.runs[i];
    ActiveSubmission* active = this->FindActive(lost.task.submission);
    TaskSlot* slot = active == nullptr ? nullptr : FindSlot(active, lost.task);
    if (slot == nullptr || slot->phase == TaskPhase::kDone ||
        IsRecorded(*slot, vm, crash.born_ms))
      continue;
    if (OutlivedItsStart(lost) &&
        std::erase_if(slot->crashes, [](const CrashRecord& record) {
          return record.evidence != CrashEvidence::kBystander;
        }) > 0)
      this->dirty.insert(lost.task.submission);
    // A task that lasts is bound to see crashes that are not its own.
    if (active->submission.steps[lost.task.step].long_running &&
        evidence[i] == CrashEvidence::kBystander)
      continue;
    slot->crashes.push_back(
        {vm, crash.born_ms, lost.run, lost.confirmed, evidence[i]});
    slot->crashed_at = now;
    slot->failed_vm = vm;
    this->dirty.insert(lost.task.submission);
    affected.push_back(lost.task);
  }
  this->GiveUpCulprits(affected);
}

void Scheduler::GiveUpCulprits(const std::vector<TaskRef>& affected) {
  for (;;) {
    // The one with the strongest evidence first: its end explains the crashes,
    // which then are no evidence against the others.
    const TaskRef* culprit = nullptr;
    std::tuple<size_t, size_t> strongest;
    for (const TaskRef& task : affected) {
      ActiveSubmission* active = this->FindActive(task.submission);
      const TaskSlot* slot = FindSlot(active, task);
      if (slot == nullptr || !ShouldGiveUp(slot->crashes))
        continue;
      const auto only_suspect = static_cast<size_t>(
          std::count_if(slot->crashes.begin(), slot->crashes.end(),
                        [](const CrashRecord& record) {
                          return record.evidence == CrashEvidence::kOnlySuspect;
                        }));
      const std::tuple<size_t, size_t> strength(only_suspect,
                                                slot->crashes.size());
      if (culprit == nullptr || strength > strongest) {
        culprit = &task;
        strongest = strength;
      }
    }
    if (culprit == nullptr)
      return;
    ActiveSubmission* active = this->FindActive(culprit->submission);
    std::vector<CrashRecord> crashes = FindSlot(active, *culprit)->crashes;
    this->EndSubmission(active, SubmissionState::kFailed);
    this->ExplainCrashes(crashes);
    this->given_up.push_back({*culprit, std::move(crashes)});
  }
}

void Scheduler::ExplainCrashes(const std::vector<CrashRecord>& crashes) {
  // The evidence against the culprit, by crash.
  std::map<std::pair<std::string, int64_t>, int> explained;
  for (const CrashRecord& record : crashes)
    explained[{record.vm, record.born_ms}] = EvidenceWeight(record);
  for (const auto& [id, active] : this->live) {
    for (OccurrenceSlots& occurrence : active->occurrences) {
      for (StepSlots& step : occurrence.steps) {
        for (TaskSlot& slot : step.tasks)
          std::erase_if(slot.crashes, [&](const CrashRecord& record) {
            const auto found = explained.find({record.vm, record.born_ms});
            return found != explained.end() &&
                   EvidenceWeight(record) <= found->second;
          });
      }
    }
  }
}

std::vector<GivenUpTask> Scheduler::TakeGivenUp() {
  return std::exchange(this->given_up, {});
}

void Scheduler::RefreshCrashRisk(Worker* worker,
                                 Orders* orders,
                                 absl::Time now) {
  if (std::exchange(worker->crash_risk_plan, this->plan_number) ==
      this->plan_number)
    return;
  orders->counted_tasks += worker->placed.size();
  worker->crash_risk = CrashRisk();
  CrashRisk& risk = worker->crash_risk;
  for (const auto& [task, placed] : worker->placed) {
    risk.last_start = std::max(risk.last_start, placed.placed_at);
    risk.work += absl::ToDoubleSeconds(now - placed.placed_at) *
                 static_cast<double>(placed.size.millicores) / 1000.0;
  }
}

Worker* Scheduler::ChooseWorkerForSuspect(const TaskSlot& slot,
                                          const WorkerCost& cost_on,
                                          Orders* orders,
                                          absl::Time now,
                                          double* cost) {
  const bool may_wait = now - slot.crashed_at < kMaxSuspectWait;
  Worker* best = nullptr;
  std::tuple<bool, bool, double> best_rank;
  for (auto& [vm, worker] : this->workers) {
    this->RefreshCrashRisk(worker.get(), orders, now);
    const bool disturbed =
        now - worker->crash_risk.last_start < kSuspectIsolation;
    if (disturbed && may_wait)
      continue;
    const auto found = cost_on(worker.get());
    if (!found)
      continue;
    const std::tuple<bool, bool, double> rank(vm == slot.failed_vm, disturbed,
                                              worker->crash_risk.work);
    if (best != nullptr && rank >= best_rank)
      continue;
    best = worker.get();
    best_rank = rank;
    *cost = *found;
  }
  return best;
}

}  // namespace cuminjunction
