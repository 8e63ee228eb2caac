#ifndef SUBMISSION_TESTING_LARGE_FLEET_H_
#define SUBMISSION_TESTING_LARGE_FLEET_H_

// A fleet of the size of the users' large deployment, for tests and benches of
// the Scheduler.
//
//   Scheduler scheduler;
//   scheduler.SetPolicy(LargeFleetPolicy());
//   AddLargeBacklog(&scheduler, 230, now);
//   for (int worker = 0; worker < kLargeFleetWorkers; ++worker)
//     scheduler.MergeReport(LargeFleetReport(worker), now);

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/strings.h"
#include "submission/scheduler.h"

namespace cuminjunction {

inline constexpr int kLargeFleetWorkers = 160;
inline constexpr int kLargeFleetRack = 13;

inline FleetPolicy LargeFleetPolicy() {
  FleetPolicy policy;
  policy.version = 1;
  for (const auto& [name, priority] :
       std::vector<std::pair<std::string, int64_t>>{
           {"checks", 0}, {"plans", 2}, {"watchers", 0}}) {
    Queue queue;
    queue.name = name;
    queue.service = "line";
    queue.max_attempts = 4;
    queue.priority = priority;
    queue.stretch = 2;
    queue.objective_ms = 1000;
    policy.queues.push_back(queue);
  }
  return policy;
}

inline WorkerReport LargeFleetReport(int number) {
  WorkerReport report;
  report.vm = StrCat("side-", absl::Dec(number, absl::kZeroPad3));
  report.info.runner = "runner-" + report.vm;
  report.info.born_ms = 1;
  report.info.service = "line";
  report.info.capacity = {number % 3 == 0 ? 24000 : 16000, 64000, 0};
  report.info.labels = {"a", StrCat("rack-", number / kLargeFleetRack)};
  report.alive = true;
  return report;
}

// Of ten submissions six are small and urgent, three are large and filling, and
// one has tasks that last, with a latency objective.
inline Submission LargeFleetSubmission(int number) {
  Submission submission;
  submission.id = StrCat(absl::Hex(number * 7919, absl::kZeroPad16));
  submission.text.assign(300, 'x');
  Step step;
  if (number % 10 < 6) {
    submission.queue = "checks";
    step.count = 5 + static_cast<uint32_t>(number % 9);
    step.size = {700 + number % 7 * 100, 1900, 0};
    step.estimate_ms = 640;
  } else if (number % 10 < 9) {
    submission.queue = "plans";
    step.count = 60 + static_cast<uint32_t>(number % 40);
    step.size = {1500 + number % 5 * 150, 3200, 0};
    step.estimate_ms = 2700;
    step.fills = true;
    step.checkpointed = true;
    step.image = StrCat("plan-", number % 30);
  } else {
    submission.queue = "watchers";
    step.count = 24;
    step.size = {3200, 6400, 0};
    step.estimate_ms = 500;
    step.long_running = true;
    step.latency_objective_ms = 50;
    step.image = StrCat("watch-", number % 16);
  }
  submission.steps = {step};
  if (!step.long_running) {
    Step second = step;
    second.after = {0};
    submission.steps.push_back(second);
  }
  return submission;
}

// Adds `count` submissions that were accepted a moment before `now` and of
// which nothing has run. Returns the number of their tasks.
inline uint32_t AddLargeBacklog(Scheduler* scheduler,
                                int count,
                                absl::Time now) {
  uint32_t tasks = 0;
  for (int number = 0; number < count; ++number) {
    Submission submission = LargeFleetSubmission(number);
    submission.accepted_ms = absl::ToUnixMillis(now);
    for (const Step& step : submission.steps)
      tasks += step.count;
    scheduler->Add(submission, std::nullopt, UnresolvedRunsBefore(2), now, now);
  }
  return tasks;
}

}  // namespace cuminjunction

#endif  // SUBMISSION_TESTING_LARGE_FLEET_H_
