#include "task/explain.h"

#include <nlohmann/json.hpp>

#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

std::vector<std::pair<std::string, double>> ScoreParts(
    const PlacementScore& score) {
  return {{"total", score.Total()},     {"fit", score.fit},
          {"spread", score.spread},     {"interference", score.interference},
          {"locality", score.locality}, {"moving", score.moving}};
}

// An explanation from the task's row alone.
std::string ExplainRow(const TaskRow& task) {
  switch (task.state) {
    case TaskState::kBlocked:
      return StrCat("waits for ", StrJoin(task.depends_on, ", "));
    case TaskState::kPending:
      return "waits for its turn and for room";
    case TaskState::kStarting:
    case TaskState::kRunning:
    case TaskState::kResumed:
      return StrCat("attempt ", task.attempt, " was placed on ", task.worker);
    case TaskState::kCheckpointing:
      return StrCat("is being evicted: ", task.reason);
    case TaskState::kStopped:
      return StrCat("was evicted and waits to resume: ", task.reason);
    case TaskState::kFailed:
      return StrCat("failed ", task.failures,
                    " times and is tried again: ", task.reason);
    case TaskState::kParked:
      return StrCat("is parked (", ToString(task.park_reason),
                    "): ", task.reason);
    case TaskState::kFinished:
      return StrCat("finished in attempt ", task.attempt);
    case TaskState::kCancelled:
      return StrCat("was cancelled: ", task.reason);
  }
  return "";
}

}  // namespace

std::string_view ErrorTraits<ExplainError>::Message(ExplainError error) {
  switch (error) {
    case ExplainError::kUnknownTask:
      return "no such task";
  }
  return "unknown explain error";
}

std::string ToJson(const Explanation& explanation) {
  nlohmann::ordered_json json = {{"task", explanation.task},
                                 {"state", explanation.state},
                                 {"worker", explanation.worker},
                                 {"why", explanation.why},
                                 {"decided_us", explanation.decided_us},
                                 {"candidates", explanation.candidates}};
  json["scores"] = nlohmann::ordered_json::object();
  for (const auto& [name, value] : explanation.scores)
    json["scores"][name] = value;
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

Explainer::Record& Explainer::RecordFor(const std::string& task) {
  const auto [found, is_new] = this->records.try_emplace(task);
  if (is_new)
    this->record_order.push_back(task);
  if (this->record_order.size() > this->max_records) {
    this->records.erase(this->record_order.front());
    this->record_order.pop_front();
  }
  return this->records.at(task);
}

void Explainer::RecordPlacement(const TaskRow& task,
                                const WorkerRow& worker,
                                const PlacementScore& score,
                                size_t candidates,
                                absl::Time now) {
  Record& record = this->RecordFor(task.id);
  record.why = StrCat("placed on ", worker.id, ", the best of ", candidates,
                      " workers with room");
  record.decided_us = ToMicros(now);
  record.score = score;
  record.candidates = static_cast<int64_t>(candidates);
  record.state = TaskState::kStarting;
  if (this->log == nullptr)
    return;
  LogLine line("place");
  line.Add("task", task.id)
      .Add("attempt", static_cast<uint64_t>(task.attempt) + 1)
      .Add("account", task.account)
      .Add("urgency", ToString(task.urgency))
      .Add("worker", worker.id)
      .Add("candidates", static_cast<uint64_t>(candidates));
  for (const auto& [name, value] : ScoreParts(score))
    line.Add(name, value);
  this->log->Write(line);
}

void Explainer::RecordWait(const TaskRow& task,
                           std::string_view reason,
                           absl::Time now) {
  Record& record = this->RecordFor(task.id);
  if (record.state == TaskState::kPending && record.why == reason)
    return;
  record = {std::string(reason), ToMicros(now), {}, 0, TaskState::kPending};
  if (this->log != nullptr)
    this->log->Write(
        LogLine("wait").Add("task", task.id).Add("reason", reason));
}

void Explainer::RecordEviction(const TaskRow& task,
                               std::string_view reason,
                               absl::Time now) {
  this->RecordFor(task.id) = {
      std::string(reason), ToMicros(now), {}, 0, TaskState::kCheckpointing};
  if (this->log != nullptr) {
    this->log->Write(LogLine("evict")
                         .Add("task", task.id)
                         .Add("worker", task.worker)
                         .Add("reason", reason));
  }
}

Result<Explanation> Explainer::Explain(const std::string& task,
                                       const State& state) const {
  const TaskEntry* entry = state.FindTask(task);
  if (entry == nullptr)
    return ExplainError::kUnknownTask;
  const TaskRow& row = entry->row;
  Explanation out;
  out.task = task;
  out.state = ToString(row.state);
  out.worker = row.worker;
  out.why = ExplainRow(row);
  const auto found = this->records.find(task);
  if (found == this->records.end())
    return out;
  const Record& record = found->second;
  const bool is_current =
      (row.IsPlaced() && record.state == TaskState::kStarting) ||
      (row.IsWaiting() && record.state == TaskState::kPending) ||
      (row.state == TaskState::kCheckpointing && record.state == row.state);
  if (!is_current)
    return out;
  out.why = StrCat(out.why, "; ", record.why);
  out.decided_us = record.decided_us;
  if (row.IsPlaced()) {
    out.scores = ScoreParts(record.score);
    out.candidates = record.candidates;
  }
  return out;
}

}  // namespace cuminjunction
