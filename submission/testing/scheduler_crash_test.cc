// Tests of the scheduler with runners that crash under a task.

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/strings.h"
#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

class SchedulerCrashTest : public SchedulerTest {
 protected:
  // The runner of the VM returns as another incarnation after a crash that hit
  // these starts, each at this age.
  void Crash(const std::string& vm,
             const std::vector<StartOrder>& lost,
             int64_t age_ms = 10,
             bool confirmed = true) {
    RunnerCrash crash{this->born_ms[vm] + 1, {}};
    for (const StartOrder& start : lost)
      crash.runs.push_back({start.task, start.run, confirmed, age_ms});
    this->Report(vm, crash);
  }

  // Plans until nothing more can start. Returns all starts.
  std::vector<StartOrder> PlanAll() {
    std::vector<StartOrder> starts;
    for (bool more = true; more;) {
      const Orders orders = this->Plan();
      starts.insert(starts.end(), orders.starts.begin(), orders.starts.end());
      more = orders.more;
    }
    return starts;
  }

  void Report(const std::string& vm, const RunnerCrash& crash) {
    this->born_ms[vm] = crash.born_ms;
    WorkerReport report = MakeReport(vm, crash.born_ms + 1);
    report.crashes = {crash};
    this->scheduler.MergeReport(report, this->now);
  }

  std::map<std::string, int64_t> born_ms;
};

// Guards against a step of many suspects that stops the work of all others: the
// tasks of the step were counted anew for each of them in each plan, as those
// of a gang were (review/12).
TEST_F(SchedulerCrashTest, ManySuspectsAreCountedOnce) {
  constexpr uint32_t count = 1000;
  WorkerReport report = MakeReport("vm-1");
  report.info.capacity = {4000, 0, 0};
  this->scheduler.MergeReport(report, this->now);
  Step step = MakeStep(count, 1);
  step.size.memory_mib = 0;
  this->Add(MakeSubmission(kId, {step}));
  const std::vector<StartOrder> starts = this->PlanAll();
  ASSERT_EQ(starts.size(), count);
  this->Crash("vm-1", starts);
  this->now += absl::Seconds(10);
  EXPECT_LE(this->Plan().counted_tasks, 2u * count);
}

// Guards against the same for the other tasks of the VMs that may take a
// suspect: all of them were visited for each suspect, to find the last start
// and the work at risk.
TEST_F(SchedulerCrashTest, TheTasksBesideSuspectsAreCountedOnce) {
  constexpr uint32_t count = 1000;
  WorkerReport report = MakeReport("vm-1");
  report.info.capacity = {4000, 0, 0};
  this->scheduler.MergeReport(report, this->now);
  Step step = MakeStep(count, 1);
  step.size.memory_mib = 0;
  const std::string other = "00000000000000b2";
  this->Add(MakeSubmission(kId, {step}));
  const std::vector<StartOrder> starts = this->PlanAll();
  ASSERT_EQ(starts.size(), count);
  report = MakeReport("vm-2");
  report.info.capacity = {4000, 0, 0};
  this->scheduler.MergeReport(report, this->now);
  this->Add(MakeSubmission(other, {step}));
  ASSERT_EQ(this->PlanAll().size(), count);
  this->Crash("vm-1", starts);
  this->now += absl::Seconds(10);
  const Orders orders = this->Plan();
  EXPECT_LE(orders.counted_tasks, 4u * count);
  // Each VM takes one suspect, apart from other starts.
  EXPECT_EQ(orders.starts.size(), 2u);
}

// Guards against a count of crashes that is lost with the planner: the next one
// would start the task until it has seen all of them by itself.
TEST_F(SchedulerCrashTest, TheNextPlannerKnowsEarlierCrashes) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  const Submission submission = MakeSubmission(kId, {MakeStep(1, 500)});
  this->Add(submission);
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 1u);
  this->Crash("vm-1", first.starts);
  const auto dirty = this->scheduler.TakeDirty();
  ASSERT_EQ(dirty.size(), 1u);

  Scheduler next;
  next.SetPolicy(MakePolicy());
  next.Add(submission, dirty[0].second, {}, this->now, this->now);
  next.MergeReport(MakeReport("vm-2"), this->now);
  const Orders second = next.Plan(this->now);
  ASSERT_EQ(second.starts.size(), 1u);
  WorkerReport report = MakeReport("vm-2", 9);
  report.crashes = {
      {1, {{second.starts[0].task, second.starts[0].run, true, 10}}}};
  next.MergeReport(report, this->now);
  EXPECT_EQ(next.TakeGivenUp().size(), 1u);
  EXPECT_TRUE(next.Plan(this->now).starts.empty());
}

// Guards against counting one crash twice: agents report the latest crashes
// with each full report.
TEST_F(SchedulerCrashTest, ACrashThatIsReportedAgainCountsOnce) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  const Orders first = this->Plan();
  const RunnerCrash crash{
      5, {{first.starts[0].task, first.starts[0].run, true, 10}}};
  for (int i = 0; i < 5; ++i)
    this->Report("vm-1", crash);
  EXPECT_TRUE(this->scheduler.TakeGivenUp().empty());
  EXPECT_EQ(this->Plan().starts.size(), 1u);
}

// Guards against suspects that crash together again, so that the crash is no
// evidence against either.
TEST_F(SchedulerCrashTest, SuspectsStartApartFromEachOther) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(3, 500)}));
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 3u);
  this->now += absl::Seconds(3);
  this->Crash("vm-1", first.starts);
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  const Orders second = this->Plan();
  ASSERT_EQ(second.starts.size(), 2u);
  EXPECT_NE(second.starts[0].vm, second.starts[1].vm);
  // Nor are others started beside a suspect.
  this->Add(MakeSubmission("00000000000000b2", {MakeStep(1, 500)}));
  EXPECT_TRUE(this->Plan().starts.empty());
  this->now += kSuspectIsolation;
  EXPECT_EQ(this->Plan().starts.size(), 2u);
}

// Guards against a suspect that never runs on a fleet where tasks start all the
// time.
TEST_F(SchedulerCrashTest, ASuspectWaitsOnlySoLongForAVmWithoutStarts) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  this->Crash("vm-1", this->Plan().starts);
  bool started = false;
  for (int i = 0; i < 20 && !started; ++i) {
    // Sorts before the suspect's submission, so that its task starts first.
    Step small = MakeStep(1, 1);
    small.size.memory_mib = 1;
    this->Add(MakeSubmission(StrCat("00000000000000", 10 + i), {small}));
    for (const StartOrder& start : this->Plan().starts)
      started = started || start.task.submission == kId;
    this->now += absl::Milliseconds(100);
  }
  EXPECT_TRUE(started);
}

// Guards against a task that lasts being given up for crashes that it lives to
// see.
TEST_F(SchedulerCrashTest, ALongRunningTaskOutlivesCrashesOfOthers) {
  Step step = MakeStep(1, 500);
  step.long_running = true;
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {step}));
  for (int i = 0; i < 10; ++i) {
    const Orders orders = this->Plan();
    ASSERT_EQ(orders.starts.size(), 1u);
    this->now += absl::Seconds(30);
    this->Crash("vm-1", orders.starts, 30000);
  }
  EXPECT_TRUE(this->scheduler.TakeGivenUp().empty());
}

// Guards against a task that is started again after three crashes because one
// of them came before a reply to its start.
TEST_F(SchedulerCrashTest, ACrashUnderAnUnconfirmedStartCounts) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  this->Add(MakeSubmission("00000000000000b2", {MakeStep(1, 500)}));
  const auto crash = [&](int64_t age_ms, bool confirmed) {
    std::vector<StartOrder> lost;
    while (lost.size() < 2) {
      this->now += absl::Seconds(1);
      const Orders orders = this->Plan();
      lost.insert(lost.end(), orders.starts.begin(), orders.starts.end());
    }
    this->Crash("vm-1", lost, age_ms, confirmed);
  };
  crash(10, true);
  crash(2500, false);
  EXPECT_TRUE(this->scheduler.TakeGivenUp().empty());
  crash(10, true);
  EXPECT_EQ(this->scheduler.TakeGivenUp().size(), 1u);
}

// Guards against a task that lasts being given up because its starts were
// pending in crashes that are far apart.
TEST_F(SchedulerCrashTest, ARunThatLivedClearsItsTask) {
  Step step = MakeStep(1, 500);
  step.long_running = true;
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {step}));
  for (int i = 0; i < 20; ++i) {
    this->now += absl::Seconds(30);
    const Orders orders = this->Plan();
    ASSERT_EQ(orders.starts.size(), 1u);
    if (i % 2 == 0)
      this->Crash("vm-1", orders.starts, 2500, false);
    else
      this->Crash("vm-1", orders.starts, 30000);
  }
  EXPECT_TRUE(this->scheduler.TakeGivenUp().empty());
}

// Guards against a crash that is taken off the records of the task that had
// just started when the task given up for it was only pending there.
TEST_F(SchedulerCrashTest, AWeakerSuspectDoesNotExplainACrash) {
  const std::string culprit = "00000000000000b2";
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  this->Add(MakeSubmission(culprit, {MakeStep(1, 500)}));
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 2u);
  const TaskRef weaker{kId, 0, 0, 0};
  const TaskRef stronger{culprit, 0, 0, 0};
  this->Report("vm-1",
               {1, {{weaker, 1, false, 2500}, {stronger, 1, true, 10}}});
  this->Report("vm-1", {2, {{weaker, 2, true, 10}}});
  this->Report("vm-1", {3, {{weaker, 3, true, 10}}});
  ASSERT_EQ(this->scheduler.TakeGivenUp().size(), 1u);
  this->Report("vm-1", {4, {{stronger, 2, true, 10}}});
  const std::vector<GivenUpTask> given_up = this->scheduler.TakeGivenUp();
  ASSERT_EQ(given_up.size(), 1u);
  EXPECT_EQ(given_up[0].crashes.size(), 2u);
}

// A fleet whose runners crash 10 ms after the start of certain tasks and return
// after 3 s, in steps of 10 ms of a simulated clock. This share of the orders
// gets no answer, is sent again after 0.9 s, and is carried out after 2 to 12
// s.
class CrashingFleet {
 public:
  explicit CrashingFleet(int vms, double late_share = 0)
      : late_share(late_share) {
    this->scheduler.SetPolicy(MakePolicy());
    for (int i = 0; i < vms; ++i) {
      Vm& vm = this->vms[StrCat("vm-", i)];
      vm.name = StrCat("vm-", i);
      this->scheduler.MergeReport(MakeReport(vm.name, vm.born_ms), this->now);
    }
  }

  // Submits one step of six tasks, of which the first crashes its runners.
  void Submit(const std::string& id, bool deadly) {
    if (deadly)
      this->deadly.insert(id);
    this->scheduler.Add(MakeSubmission(id, {MakeStep(6, 250)}), std::nullopt,
                        {}, this->now, this->now);
  }

  void Step() {
    this->now += absl::Milliseconds(10);
    for (auto& [name, vm] : this->vms)
      this->Advance(&vm);
    for (const StartOrder& start : this->scheduler.Plan(this->now).starts) {
      Vm& vm = this->vms.at(start.vm);
      if (vm.back_at != absl::InfiniteFuture())
        this->scheduler.OnStartResult(vm.name, start.task, start.run,
                                      StartOutcome::kRefused, this->now);
      else
        vm.pending[start.task] = {start.run, this->now, this->now, {}};
    }
    for (auto& [name, vm] : this->vms)
      this->SendPending(&vm);
    for (const GivenUpTask& task : this->scheduler.TakeGivenUp())
      this->given_up.insert(task.task.submission);
    this->scheduler.TakeDirty();
  }

  Scheduler scheduler;
  std::set<std::string> deadly;
  std::set<std::string> given_up;
  std::map<TaskRef, int> crashes;

 private:
  struct Run {
    uint32_t run = 0;
    absl::Time started_at;
    bool confirmed = true;
    absl::Time ordered_at = absl::InfinitePast();
  };
  struct Pending {
    uint32_t run = 0;
    absl::Time ordered_at;
    absl::Time next_attempt;
    // When the runner carries out the orders that got no answer.
    std::vector<absl::Time> late;
  };
  struct Vm {
    std::string name;
    int64_t born_ms = 1;
    uint64_t next_end = 1;
    absl::Time back_at = absl::InfiniteFuture();
    std::map<TaskRef, Run> runs;
    std::map<TaskRef, Pending> pending;
    std::vector<RunnerCrash> crashes;
  };

  bool IsDeadly(const TaskRef& task) const {
    return task.index == 0 && this->deadly.contains(task.submission);
  }

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
  }

  // Sends the orders of the VM whose attempt is due, and carries out those that
  // are late.
  void SendPending(Vm* vm) {
    if (vm->back_at != absl::InfiniteFuture())
      return;
    for (auto entry = vm->pending.begin(); entry != vm->pending.end();) {
      if (this->Attempt(vm, entry->first, &entry->second))
        entry = vm->pending.erase(entry);
      else
        ++entry;
    }
  }

  // Returns true if the runner has carried out the order.
  bool Attempt(Vm* vm, const TaskRef& task, Pending* pending) {
    for (const absl::Time at : pending->late) {
      if (at > this->now)
        continue;
      vm->runs[task] = {pending->run, this->now, false, pending->ordered_at};
      return true;
    }
    if (this->now < pending->next_attempt)
      return false;
    if (!this->Chance(this->late_share)) {
      vm->runs[task] = {pending->run, this->now};
      return true;
    }
    pending->next_attempt += absl::Milliseconds(900);
    pending->late.push_back(
        this->now + absl::Seconds(std::uniform_real_distribution<double>(
                        2, 12)(this->random)));
    return false;
  }

  // Ends all runs of the VM. The age of a run without a confirmed start is the
  // time since its order.
  void Crash(Vm* vm) {
    RunnerCrash& crash = vm->crashes.emplace_back(RunnerCrash{vm->born_ms, {}});
    const auto age_ms = [&](absl::Time since) {
      return absl::ToInt64Milliseconds(this->now - since);
    };
    for (const auto& [task, run] : vm->runs) {
      // A report lists a run half a second after its start at the latest.
      const bool confirmed =
          run.confirmed || this->now - run.started_at > absl::Milliseconds(500);
      crash.runs.push_back(
          {task, run.run, confirmed,
           age_ms(confirmed ? run.started_at : run.ordered_at)});
    }
    for (const auto& [task, pending] : vm->pending)
      crash.runs.push_back(
          {task, pending.run, false, age_ms(pending.ordered_at)});
    vm->runs.clear();
    vm->pending.clear();
    vm->back_at = this->now + absl::Seconds(3);
  }

  void Advance(Vm* vm) {
    if (vm->back_at <= this->now) {
      vm->back_at = absl::InfiniteFuture();
      WorkerReport report = MakeReport(vm->name, ++vm->born_ms);
      report.crashes = vm->crashes;
      this->scheduler.MergeReport(report, this->now);
      return;
    }
    for (const auto& [task, run] : vm->runs) {
      if (!this->IsDeadly(task))
        continue;
      ++this->crashes[task];
      this->Crash(vm);
      return;
    }
    std::vector<TaskRef> done;
    for (const auto& [task, run] : vm->runs) {
      if (this->now - run.started_at >= absl::Milliseconds(640))
        done.push_back(task);
    }
    for (const TaskRef& task : done) {
      const uint32_t run = vm->runs.at(task).run;
      vm->runs.erase(task);
      this->scheduler.OnEnded(
          vm->name, {vm->next_end++, task, run, RunOutcome::kDone, ""},
          this->now);
    }
  }

  double late_share;
  std::mt19937 random{1};
  absl::Time now = absl::FromUnixSeconds(1000);
  std::map<std::string, Vm> vms;
};

// Guards against tasks that crash runner after runner, and against giving up
// tasks that only ran beside them.
TEST(CrashingFleetTest, OnlyTasksThatCrashRunnersAreGivenUpAndSoon) {
  CrashingFleet fleet(11);
  std::vector<std::string> sound;
  for (int i = 0; i < 150; ++i) {
    const std::string id = StrCat("00000000000", 10000 + i);
    fleet.Submit(id, i % 10 == 5);
    if (i % 10 != 5)
      sound.push_back(id);
    for (int step = 0; step < 14; ++step)
      fleet.Step();
  }
  for (int step = 0; step < 2000; ++step)
    fleet.Step();
  EXPECT_EQ(fleet.given_up, fleet.deadly);
  for (const auto& [task, crashes] : fleet.crashes)
    EXPECT_LE(crashes, 3) << task.submission;
  EXPECT_EQ(fleet.scheduler.LiveCount(), 0u);
  const std::vector<StateChange> states = fleet.scheduler.AllStates();
  EXPECT_EQ(states.size(), sound.size() + fleet.deadly.size());
}

// Guards against crashes that do not count because they came before a reply to
// the start: the task then crashes runner after runner.
TEST(CrashingFleetTest, TasksWhoseStartsAreCarriedOutLateAreGivenUp) {
  CrashingFleet fleet(11, 0.6);
  for (int i = 0; i < 150; ++i) {
    fleet.Submit(StrCat("00000000000", 10000 + i), i % 10 == 5);
    for (int step = 0; step < 14; ++step)
      fleet.Step();
  }
  for (int step = 0; step < 6000; ++step)
    fleet.Step();
  EXPECT_EQ(fleet.given_up, fleet.deadly);
  for (const auto& [task, crashes] : fleet.crashes)
    EXPECT_LE(crashes, 3) << task.submission;
  EXPECT_EQ(fleet.scheduler.LiveCount(), 0u);
}

}  // namespace
}  // namespace cuminjunction
