#ifndef SUBMISSION_TESTING_SCHEDULER_FIXTURE_H_
#define SUBMISSION_TESTING_SCHEDULER_FIXTURE_H_

// Fixture of the tests of the Scheduler, with a queue, a clock and helpers that
// make submissions and reports.
//
//   TEST_F(SchedulerTest, ...) {
//     this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
//     this->Add(MakeSubmission(kId, {MakeStep(2, 500)}));
//     const Orders orders = this->Plan();

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "submission/scheduler.h"

namespace cuminjunction {

inline constexpr char kId[] = "00000000000000a1";

inline FleetPolicy MakePolicy() {
  FleetPolicy policy;
  policy.version = 1;
  Queue queue;
  queue.name = "plans";
  queue.service = "line";
  queue.max_attempts = 2;
  queue.stretch = 2;
  queue.objective_ms = 1000;
  policy.queues.push_back(queue);
  return policy;
}

inline Step MakeStep(uint32_t count, int64_t millicores) {
  Step step;
  step.count = count;
  step.size = {millicores, 100, 0};
  step.estimate_ms = 1000;
  return step;
}

inline Submission MakeSubmission(const std::string& id,
                                 std::vector<Step> steps) {
  Submission submission;
  submission.id = id;
  submission.queue = "plans";
  submission.text = "text";
  submission.steps = std::move(steps);
  return submission;
}

inline WorkerReport MakeReport(const std::string& vm, int64_t born_ms = 1) {
  WorkerReport report;
  report.vm = vm;
  report.info.runner = "runner-" + vm;
  report.info.born_ms = born_ms;
  report.info.service = "line";
  report.info.capacity = {4000, 1000, 0};
  report.info.labels = {"a", "rack-1"};
  report.alive = true;
  return report;
}

class SchedulerTest : public testing::Test {
 protected:
  SchedulerTest() { this->scheduler.SetPolicy(MakePolicy()); }

  void Add(const Submission& submission, PriorRuns prior_runs = {}) {
    this->scheduler.Add(submission, std::nullopt, prior_runs, this->now,
                        this->now);
  }

  Orders Plan() { return this->scheduler.Plan(this->now); }

  void End(const StartOrder& start, RunOutcome outcome, uint64_t number = 1) {
    this->scheduler.OnEnded(
        start.vm, {number, start.task, start.run, outcome, ""}, this->now);
  }

  SubmissionState State(const std::string& id) {
    for (const StateChange& change : this->scheduler.AllStates()) {
      if (change.submission == id)
        return change.state;
    }
    return SubmissionState::kFailed;
  }

  absl::Time now = absl::FromUnixSeconds(1000);
  Scheduler scheduler;
};

}  // namespace cuminjunction

#endif  // SUBMISSION_TESTING_SCHEDULER_FIXTURE_H_
