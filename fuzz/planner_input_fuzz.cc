// What a planner reads of other processes and writers: messages, rows, bodies
// of callers and the operator's configuration, in any order. Whatever it is,
// the planner goes on and can plan.
//
// The input is a sequence of parts: a byte for the kind, two bytes for the
// length, and the content.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "fleet/fleet_message.h"
#include "platform/bodies.h"
#include "submission/scheduler.h"

namespace {

using namespace cuminjunction;  // NOLINT(google-build-using-namespace)

constexpr size_t kHeader = 3;

// Larger submissions are well-formed, but too slow to plan here.
constexpr uint32_t kMaxTasks = 2000;

class Planner {
 public:
  Planner() {
    FleetPolicy policy;
    policy.version = 1;
    Queue queue;
    queue.name = "plans";
    queue.service = "line";
    queue.max_attempts = 2;
    policy.queues.push_back(queue);
    this->scheduler.SetPolicy(policy);
  }

  void Take(uint8_t kind, std::string_view content) {
    switch (kind % 5) {
      case 0:
        this->TakeMessage(content);
        break;
      case 1:
        if (const auto row = Decode<SubmissionRow>(content)) {
          this->Add(row.value().submission, this->progress);
          this->scheduler.AddEnded(row.value().submission.id, "plans",
                                   row.value().final_state, this->now);
        }
        break;
      case 2:
        if (auto row = Decode<Progress>(content))
          this->progress = std::move(row.value());
        break;
      case 3:
        if (auto submission = ParseSubmission(content)) {
          submission.value().id = "00000000000000a1";
          submission.value().queue = "plans";
          this->Add(submission.value(), std::nullopt);
        }
        break;
      default:
        if (const auto policy = ParsePolicy(content))
          this->scheduler.SetPolicy(policy.value());
    }
    this->now += absl::Milliseconds(100);
    this->scheduler.ExpireGrants(this->now);
    this->scheduler.Plan(this->now);
    for (const auto& [id, row] : this->scheduler.TakeDirty()) {
      if (IsFinal(row.state)) {
        this->scheduler.EndedRow(id, this->now);
        this->scheduler.MarkStored(id, row.state, this->now);
      }
    }
    this->scheduler.TakeChanges();
    this->scheduler.AllStates();
    this->scheduler.WaitingCounts();
  }

 private:
  void Add(const Submission& submission,
           const std::optional<Progress>& stored) {
    uint64_t tasks = 0;
    for (const Step& step : submission.steps)
      tasks += step.count;
    if (tasks * submission.occurrences <= kMaxTasks)
      this->scheduler.Add(submission, stored, UnresolvedRunsBefore(2),
                          this->now, this->now);
  }

  void TakeMessage(std::string_view content) {
    auto message = DecodeFleetMessage(content);
    if (!message)
      return;
    EncodeFleetMessage(message.value());
    if (const auto* notice = std::get_if<WorkerNotice>(&message.value())) {
      this->scheduler.MergeReport(
          {"vm-1", notice->info, notice->alive, notice->running, notice->ended,
           notice->crashes, notice->more_ends},
          this->now);
    } else if (const auto* info =
                   std::get_if<RunnerInfoNotice>(&message.value())) {
      this->scheduler.UpdateInfo("vm-1", info->info, info->alive);
    } else if (const auto* ends =
                   std::get_if<EndedRunsNotice>(&message.value())) {
      for (const EndedRun& end : ends->ended_runs)
        this->scheduler.OnEnded("vm-1", end, this->now);
    } else if (const auto* refused =
                   std::get_if<StartRefused>(&message.value())) {
      this->scheduler.OnStartResult("vm-1", refused->task, refused->run,
                                    static_cast<StartOutcome>(refused->outcome),
                                    this->now);
    } else if (const auto* sample =
                   std::get_if<InterferenceSample>(&message.value())) {
      for (const auto& [image, ratio] : sample->latency_ratios)
        this->scheduler.AddLatencySample("vm-1", image, ratio,
                                         sample->filling_load, this->now);
      this->scheduler.NextInterferenceOn("vm-1");
    } else if (const auto* pairs =
                   std::get_if<InterferenceNotice>(&message.value())) {
      this->scheduler.MergeInterference(pairs->pairs);
    } else if (const auto* accepted =
                   std::get_if<AcceptedNotice>(&message.value())) {
      this->Add(accepted->submission, std::nullopt);
    } else if (const auto* cancelled =
                   std::get_if<CancelledNotice>(&message.value())) {
      this->scheduler.Cancel(cancelled->submission, this->now);
    } else if (std::holds_alternative<WorkerVacated>(message.value())) {
      this->scheduler.OnVacated("vm-1", this->now);
    }
  }

  absl::Time now = absl::FromUnixSeconds(1000);
  Scheduler scheduler;
  std::optional<Progress> progress;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  std::string_view input(reinterpret_cast<const char*>(data), size);
  Planner planner;
  while (input.size() >= kHeader) {
    const auto kind = static_cast<uint8_t>(input[0]);
    const size_t length = static_cast<uint8_t>(input[1]) |
                          static_cast<size_t>(static_cast<uint8_t>(input[2]))
                              << 8U;
    input.remove_prefix(kHeader);
    const std::string_view content = input.substr(0, length);
    input.remove_prefix(content.size());
    planner.Take(kind, content);
  }
  return 0;
}
