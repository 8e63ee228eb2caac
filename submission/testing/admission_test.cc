// Refusals of submissions that can't be of use.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/strings.h"
#include "submission/overload.h"
#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

constexpr char kNewId[] = "ffffffffffffffff";

Queue MakeQueue(const std::string& name,
                int64_t priority,
                double stretch,
                int64_t objective_ms) {
  Queue queue = MakePolicy().queues.front();
  queue.name = name;
  queue.priority = priority;
  queue.stretch = stretch;
  queue.objective_ms = objective_ms;
  return queue;
}

Submission MakeNew(uint32_t count, int64_t millicores, int64_t estimate_ms) {
  Step step = MakeStep(count, millicores);
  step.estimate_ms = estimate_ms;
  Submission submission = MakeSubmission(kNewId, {step});
  submission.queue = "plans";
  return submission;
}

// 100 s of more urgent work for the whole capacity.
ServiceLoad MakeLoad() {
  return {"line",
          4000,
          {{0, 256'000, 400'000'000, 400'000'000, {1000, 100, 0}, 1000}}};
}

bool IsRefused(const Submission& submission,
               const Queue& queue,
               const ServiceLoad& load,
               absl::Duration age = absl::ZeroDuration()) {
  return FindCertainBacklog(submission, queue, &load, age).has_value();
}

// Load pattern: a backlog of urgent work. Guards against refusing what isn't
// certain to be late, or may not be refused at all.
TEST(FindCertainBacklogTest, RefusesOnlyWhatIsCertain) {
  const Queue queue = MakeQueue("plans", 2, 2, 1000);
  const Submission submission = MakeNew(2, 1000, 1000);
  // Limit 3 * (2 * 2 * 1 + 1) = 15 s; least wait 100 / 2 - 2 = 48 s.
  const ServiceLoad load = MakeLoad();
  const auto backlog =
      FindCertainBacklog(submission, queue, &load, absl::ZeroDuration());
  ASSERT_TRUE(backlog.has_value());
  EXPECT_EQ(*backlog, absl::Seconds(100));
  EXPECT_FALSE(
      FindCertainBacklog(submission, queue, nullptr, absl::ZeroDuration()));
  // By the time that a notice is old, the work may have been done.
  EXPECT_FALSE(IsRefused(submission, queue, MakeLoad(), absl::Seconds(40)));
  EXPECT_FALSE(
      IsRefused(submission, queue, MakeLoad(), absl::InfiniteDuration()));
  // Work of the same priority does not block.
  EXPECT_FALSE(
      IsRefused(submission, MakeQueue("plans", 0, 2, 1000), MakeLoad()));
  // Smaller tasks find space that those of the backlog leave.
  EXPECT_FALSE(IsRefused(MakeNew(2, 900, 1000), queue, MakeLoad()));
  // The backlog turns hopeless before the submission does.
  ServiceLoad brief = MakeLoad();
  brief.queued[0].stays_ahead_ms = 8000;
  EXPECT_FALSE(IsRefused(submission, queue, brief));
  Submission exempt = submission;
  exempt.scheduled = true;
  EXPECT_FALSE(IsRefused(exempt, queue, MakeLoad()));
  exempt = submission;
  exempt.steps[0].long_running = true;
  EXPECT_FALSE(IsRefused(exempt, queue, MakeLoad()));
  exempt = submission;
  exempt.steps[0].fills = true;
  EXPECT_FALSE(IsRefused(exempt, queue, MakeLoad()));
}

// Load pattern: none. A chain that is longer than its own limit is refused
// without a backlog.
TEST(FindCertainBacklogTest, RefusesAChainThatIsTooLongByItself) {
  const ServiceLoad idle = {"line", 4000, {}};
  EXPECT_TRUE(IsRefused(MakeNew(1, 1000, 10'000),
                        MakeQueue("plans", 2, 0.05, 100), idle));
  EXPECT_FALSE(IsRefused(MakeNew(1, 1000, 10'000),
                         MakeQueue("plans", 2, 0.1, 100), idle));
}

// Guards against a decision by damaged figures, and against queues that are out
// of range.
TEST(FindCertainBacklogTest, DamagedFiguresRefuseNothing) {
  const Queue queue = MakeQueue("plans", 2, 2, 1000);
  const Submission submission = MakeNew(2, 1000, 1000);
  const auto with = [&](auto change) {
    ServiceLoad load = MakeLoad();
    change(&load);
    return IsRefused(submission, queue, load);
  };
  EXPECT_TRUE(with([](ServiceLoad*) {}));
  EXPECT_FALSE(with([](ServiceLoad* load) { load->capacity_millicores = 0; }));
  EXPECT_FALSE(with([](ServiceLoad* load) { load->capacity_millicores = -1; }));
  EXPECT_FALSE(with([](ServiceLoad* load) { load->queued[0].priority = -1; }));
  EXPECT_FALSE(with([](ServiceLoad* load) { load->queued[0].work = -1; }));
  EXPECT_FALSE(with([](ServiceLoad* load) {
    load->queued[0].blocking_work = kMaxAmount + 1;
  }));
  EXPECT_FALSE(with([](ServiceLoad* load) {
    load->queued[0].longest_blocking_ms = std::numeric_limits<int64_t>::min();
  }));
  for (const double stretch : {std::nan(""), HUGE_VAL}) {
    EXPECT_FALSE(IsRefused(submission, MakeQueue("plans", 2, stretch, 1000),
                           MakeLoad()));
  }
  EXPECT_FALSE(IsRefused(
      submission, MakeQueue("plans", 2, 2, std::numeric_limits<int64_t>::max()),
      MakeLoad()));
  // A negative priority counts as the most urgent.
  EXPECT_FALSE(
      IsRefused(submission, MakeQueue("plans", -7, 2, 1000), MakeLoad()));
}

using ServiceLoadsTest = SchedulerTest;

// Guards against a refusal by a planner that has just taken over and does not
// know the capacity of all VMs yet.
TEST_F(ServiceLoadsTest, NothingBlocksUntilAllVmsHaveReported) {
  this->scheduler.ExpectWorker("vm-2", this->now + absl::Seconds(3));
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  Submission submission = MakeSubmission(kId, {MakeStep(9, 1000)});
  submission.accepted_ms = absl::ToUnixMillis(this->now);
  this->Add(submission);
  std::vector<ServiceLoad> loads = this->scheduler.ServiceLoads(this->now);
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_EQ(loads[0].capacity_millicores, 4000);
  ASSERT_EQ(loads[0].queued.size(), 1u);
  EXPECT_EQ(loads[0].queued[0].work, 9'000'000);
  EXPECT_EQ(loads[0].queued[0].blocking_work, 0);
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  loads = this->scheduler.ServiceLoads(this->now);
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_EQ(loads[0].capacity_millicores, 8000);
  EXPECT_EQ(loads[0].queued[0].blocking_work, 9'000'000);
}

// Load pattern: callers that were refused for the same backlog. Guards against
// their return at the same time.
TEST(RetryAfterOverloadTest, IsSpreadAndBounded) {
  std::set<int64_t> seconds;
  for (int i = 0; i < 100; ++i)
    seconds.insert(RetryAfterOverload(absl::Seconds(10), i / 100.0));
  EXPECT_EQ(*seconds.begin(), 10);
  EXPECT_EQ(*seconds.rbegin(), 15);
  EXPECT_EQ(seconds.size(), 6u);
  EXPECT_EQ(RetryAfterOverload(absl::ZeroDuration(), 0.5), 1);
  EXPECT_EQ(RetryAfterOverload(absl::InfiniteDuration(), 0.5),
            kMaxOverloadRetryAfter);
}

// A real planner with a backlog, whose tasks take up to kEstimateFactor times
// longer or shorter than estimated.
class RefusalRun {
 public:
  explicit RefusalRun(uint64_t seed) : random(seed) {
    this->new_queue =
        MakeQueue("plans", 2, this->Draw(0.5, 2.5), this->DrawInt(50, 1500));
    FleetPolicy policy = MakePolicy();
    policy.queues = {this->new_queue, MakeQueue("checks", 0, this->Draw(3, 20),
                                                this->DrawInt(5000, 60000))};
    this->scheduler.SetPolicy(policy);
    this->all_shorter = this->DrawInt(0, 1) == 0;
    const int64_t vms = this->DrawInt(1, 4);
    for (int64_t vm = 0; vm < vms; ++vm) {
      WorkerReport report = MakeReport(StrCat("vm-", vm));
      report.info.capacity = {this->DrawInt(2, 10) * 500,
                              this->DrawInt(500, 1500), 0};
      this->scheduler.MergeReport(report, this->now);
    }
    const int64_t backlog = this->DrawInt(1, 60);
    for (int64_t number = 0; number < backlog; ++number)
      this->AddUrgent(number);
    const int64_t plans = this->DrawInt(0, 3);
    for (int64_t plan = 0; plan < plans; ++plan)
      this->Advance();
  }

  // Returns whether a submission is refused, and sets `ended_in_time` to
  // whether it would have ended within its limit.
  bool Refuses(bool* ended_in_time) {
    Submission submission =
        MakeNew(static_cast<uint32_t>(this->DrawInt(1, 4)),
                this->DrawInt(1, 6) * 300, this->DrawInt(50, 1500));
    submission.steps[0].size.memory_mib = this->DrawInt(1, 5) * 50;
    submission.accepted_ms = absl::ToUnixMillis(this->now);
    const std::vector<ServiceLoad> loads =
        this->scheduler.ServiceLoads(this->now);
    const auto backlog = FindCertainBacklog(
        submission, this->new_queue, &loads.at(0), absl::Milliseconds(1));
    if (!backlog)
      return false;
    const absl::Time limit =
        this->now +
        kLateFactor *
            absl::Milliseconds(
                this->new_queue.stretch * kEstimateFactor *
                    static_cast<double>(submission.steps[0].estimate_ms) +
                static_cast<double>(this->new_queue.objective_ms));
    this->scheduler.Add(submission, std::nullopt, {}, this->now, this->now);
    while (this->now <= limit && this->scheduler.IsLive(kNewId))
      this->Advance();
    *ended_in_time = !this->scheduler.IsLive(kNewId);
    return true;
  }

 private:
  double Draw(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(this->random);
  }
  int64_t DrawInt(int64_t from, int64_t to) {
    return std::uniform_int_distribution<int64_t>(from, to)(this->random);
  }

  void AddUrgent(int64_t number) {
    std::vector<Step> steps;
    const int64_t count = this->DrawInt(1, 2);
    for (int64_t index = 0; index < count; ++index) {
      Step step = MakeStep(static_cast<uint32_t>(this->DrawInt(1, 30)),
                           this->DrawInt(1, 3) * 300);
      step.size.memory_mib = this->DrawInt(1, 3) * 50;
      step.estimate_ms = this->DrawInt(100, 3000);
      if (index > 0)
        step.after = {0};
      steps.push_back(step);
    }
    Submission submission =
        MakeSubmission(StrCat(absl::Hex(number + 1, absl::kZeroPad16)), steps);
    submission.queue = "checks";
    submission.accepted_ms =
        absl::ToUnixMillis(this->now) - this->DrawInt(0, 20000);
    this->scheduler.Add(submission, std::nullopt, {}, this->now, this->now);
  }

  void Advance() {
    for (auto run = this->running.begin(); run != this->running.end();) {
      if (run->first > this->now) {
        ++run;
        continue;
      }
      const StartOrder& start = run->second;
      this->scheduler.OnEnded(
          start.vm,
          {++this->ends, start.task, start.run, RunOutcome::kDone, ""},
          this->now);
      run = this->running.erase(run);
    }
    const Orders orders = this->scheduler.Plan(this->now);
    for (const StartOrder& start : orders.starts) {
      const double factor = this->all_shorter
                                ? 1 / kEstimateFactor
                                : std::pow(kEstimateFactor, this->Draw(-1, 1));
      this->running.emplace_back(
          this->now + absl::Milliseconds(factor * static_cast<double>(
                                                      start.step->estimate_ms)),
          start);
    }
    this->now += absl::Milliseconds(20);
  }

  std::mt19937_64 random;
  Queue new_queue;
  absl::Time now = absl::FromUnixSeconds(1000);
  Scheduler scheduler;
  uint64_t ends = 0;
  // All tasks take only half of their estimates.
  bool all_shorter = false;
  std::vector<std::pair<absl::Time, StartOrder>> running;
};

// Load pattern: a backlog of urgent work on VMs of any size. Guards against a
// refusal of a submission that could have ended within its limit.
RC_GTEST_PROP(FindCertainBacklogTest, ARefusedSubmissionCanNotEndInTime, ()) {
  bool ended_in_time = false;
  const bool refused =
      RefusalRun(*rc::gen::arbitrary<uint64_t>()).Refuses(&ended_in_time);
  RC_CLASSIFY(refused);
  RC_ASSERT(!ended_in_time);
}

// The property above must see refusals to mean anything.
TEST(FindCertainBacklogTest, SomeOfManyRunsAreRefused) {
  int refused = 0;
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    bool ended_in_time = false;
    refused += RefusalRun(seed).Refuses(&ended_in_time);
    EXPECT_FALSE(ended_in_time) << seed;
  }
  EXPECT_GE(refused, 20);
}

}  // namespace
}  // namespace cuminjunction
