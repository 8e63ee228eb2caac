// Property test of the moves out of evacuated domains: whatever happens, the
// planner's own stops leave no more tasks of a step unavailable than it allows.

#include "submission/evacuation_moves.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/strings.h"
#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

constexpr int kVms = 6;
constexpr int kDomains = 3;
constexpr int kRounds = 120;

// The latest time after a start was ordered at which its task works.
constexpr absl::Duration kSlowestStart = absl::Milliseconds(1250 + 1600);

// A number from `min` to below `max`, also in the first cases, for which
// RapidCheck would choose small numbers.
int Pick(int min, int max) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(min, max));
}

// What is true in the fleet, of which the planner hears by messages.
class FleetModel {
 public:
  FleetModel() {
    for (uint32_t step = 0; step < 2; ++step) {
      Step spec = MakeStep(Pick(2, 7), 700);
      spec.long_running = true;
      spec.max_unavailable = Pick(0, 4);
      this->submission.steps.push_back(spec);
    }
    this->submission.id = kId;
    this->submission.queue = "plans";
    this->TakeOver();
  }

  // One round: something happens, messages arrive, and the planner plans.
  void Round() {
    this->now += absl::Milliseconds(Pick(20, 600));
    this->CarryOutStops();
    const int vm = Pick(0, kVms);
    switch (Pick(0, 60)) {
      case 0:
      case 1:
      case 2:
        this->Evacuate();
        break;
      case 3:
        this->connected[vm] = false;
        this->LoseRefusedStarts(vm);
        this->planner.OnDisconnected(Vm(vm));
        break;
      case 4:
        // The runner restarts.
        ++this->born_ms[vm];
        std::erase_if(this->runs, [&](const auto& entry) {
          return entry.second.vm == Vm(vm);
        });
        this->Report(vm);
        break;
      case 5:
        this->FailOneRun();
        break;
      case 6:
        this->TakeOver();
        break;
      default:
        for (int silent = 0; silent < kVms; ++silent) {
          if (!this->connected[silent] && Pick(0, 4) == 0)
            this->Report(silent);
        }
    }
    this->Apply(this->planner.Plan(this->now));
  }

  int moves = 0;

 private:
  struct Run {
    std::string vm;
    uint32_t run = 0;
    absl::Time works_from;
    // When a stop that was ordered is carried out.
    absl::Time stops_at = absl::InfiniteFuture();
    // When the planner hears that the start was refused.
    absl::Time refused_at = absl::InfiniteFuture();
  };

  static std::string Vm(int number) { return StrCat("vm-", number); }

  void TakeOver() {
    this->planner = Scheduler();
    this->planner.SetPolicy(MakePolicy());
    this->planner.SetEvacuations(this->evacuated, this->now);
    this->planner.Add(this->submission, std::nullopt,
                      UnresolvedRunsBefore(++this->epoch), this->now,
                      this->now);
    for (int vm = 0; vm < kVms; ++vm) {
      this->planner.ExpectWorker(Vm(vm), this->now + absl::Seconds(60));
      this->connected[vm] = false;
      this->LoseRefusedStarts(vm);
      if (Pick(0, 5) > 0)
        this->Report(vm);
    }
  }

  // Starts whose refusal is in transit when a connection is lost are not in the
  // next report.
  void LoseRefusedStarts(int vm) {
    std::erase_if(this->runs, [&](const auto& entry) {
      return entry.second.vm == Vm(vm) &&
             entry.second.refused_at != absl::InfiniteFuture();
    });
  }

  void Report(int vm) {
    this->connected[vm] = true;
    WorkerReport report = MakeReport(Vm(vm), this->born_ms[vm]);
    report.info.failure_domain = StrCat("domain-", vm % kDomains);
    for (const auto& [task, run] : this->runs) {
      if (run.vm == Vm(vm))
        report.running.push_back({task, run.run, "", 0, false});
    }
    this->planner.MergeReport(report, this->now);
  }

  void Evacuate() {
    EvacuatedDomains domains;
    for (int domain = 0; domain < kDomains; ++domain) {
      if (Pick(0, 2) == 0)
        domains.names.insert(StrCat("domain-", domain));
    }
    this->evacuated = domains;
    this->planner.SetEvacuations(domains, this->now);
  }

  void End(std::map<TaskRef, Run>::iterator run, RunOutcome outcome) {
    const EndedRun end{++this->ends, run->first, run->second.run, outcome, ""};
    const std::string vm = run->second.vm;
    this->runs.erase(run);
    if (this->connected[vm.back() - '0'])
      this->planner.OnEnded(vm, end, this->now);
  }

  void FailOneRun() {
    for (auto run = this->runs.begin(); run != this->runs.end(); ++run) {
      if (run->second.refused_at == absl::InfiniteFuture() && Pick(0, 4) == 0) {
        this->End(run, RunOutcome::kFailed);
        return;
      }
    }
  }

  void CarryOutStops() {
    for (auto run = this->runs.begin(); run != this->runs.end();) {
      const auto next = std::next(run);
      if (run->second.refused_at <= this->now) {
        const auto [task, refused] = *run;
        this->runs.erase(run);
        this->planner.OnStartResult(refused.vm, task, refused.run,
                                    StartOutcome::kNoCapacity, this->now);
      } else if (run->second.stops_at <= this->now) {
        this->End(run, RunOutcome::kStopped);
      }
      run = next;
    }
  }

  uint32_t Unavailable(uint32_t step) const {
    uint32_t unavailable = this->submission.steps[step].count;
    for (const auto& [task, run] : this->runs) {
      if (task.step == step && run.works_from <= this->now &&
          run.stops_at == absl::InfiniteFuture())
        --unavailable;
    }
    return unavailable;
  }

  void Apply(const Orders& orders) {
    for (const StopOrder& stop : orders.stops) {
      const auto run = this->runs.find(stop.task);
      if (run == this->runs.end() || run->second.run != stop.run)
        continue;
      if (run->second.stops_at == absl::InfiniteFuture())
        run->second.stops_at = this->now + absl::Milliseconds(Pick(0, 2000));
      if (stop.reason != kEvacuatedReason)
        continue;
      ++this->moves;
      RC_ASSERT(this->Unavailable(stop.task.step) <=
                this->submission.steps[stop.task.step].max_unavailable);
    }
    for (const StartOrder& start : orders.starts) {
      RC_ASSERT(!this->runs.contains(start.task));
      Run run{start.vm, start.run, this->now + kSlowestStart};
      if (Pick(0, 6) == 0) {
        run.works_from = absl::InfiniteFuture();
        run.refused_at = this->now + absl::Milliseconds(Pick(0, 1300));
      }
      this->runs[start.task] = run;
    }
  }

  absl::Time now = absl::FromUnixSeconds(1000);
  Submission submission;
  Scheduler planner;
  uint64_t epoch = 1;
  uint64_t ends = 0;
  EvacuatedDomains evacuated;
  std::map<int, bool> connected;
  std::map<int, int64_t> born_ms;
  std::map<TaskRef, Run> runs;
};

// Guards against a stop that makes more tasks of a step unavailable than it
// allows, which breaks a rule of the platform, and against two runs of one
// task.
RC_GTEST_PROP(EvacuationMovesTest, StopsLeaveEnoughTasksOfEachStep, ()) {
  FleetModel fleet;
  for (int round = 0; round < kRounds; ++round)
    fleet.Round();
  RC_CLASSIFY(fleet.moves > 0, "with moves");
  RC_CLASSIFY(fleet.moves > 5, "with more than 5 moves");
}

}  // namespace
}  // namespace cuminjunction
