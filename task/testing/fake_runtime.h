#ifndef TASK_TESTING_FAKE_RUNTIME_H_
#define TASK_TESTING_FAKE_RUNTIME_H_

// An in-memory runtime of a worker for tests. Tasks are entries that end after
// a given time, and every execution is recorded.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/strings.h"
#include "table/runtime.h"

namespace cuminjunction {

// One attempt that the runtime has started.
struct Execution {
  std::string task;
  uint32_t attempt = 0;
  std::string worker;
  std::string resume_object;
};

class FakeRuntime {
 public:
  // Returns the time of the VM's steady clock.
  using Now = std::function<absl::Time()>;
  // Returns the duration and the outcome of an attempt.
  using ExecutionPlan =
      std::function<std::pair<absl::Duration, AttemptEnd>(const TaskStart&)>;

  FakeRuntime(std::string worker, Now now, ExecutionPlan execution_plan)
      : worker(std::move(worker)),
        now(std::move(now)),
        execution_plan(std::move(execution_plan)) {
    this->Reboot();
  }

  // Ends all attempts on the VM at once, without reporting them as ended.
  void Reboot() {
    ++this->boot_count;
    this->running.clear();
    this->ended.clear();
    this->tombstones.clear();
    this->deadline.reset();
  }

  // Ends attempts whose duration has passed, and stops exclusive attempts at
  // the stop deadline.
  void Advance() {
    const absl::Time time = this->now();
    std::vector<std::string> stop;
    for (auto& [id, task] : this->running) {
      const bool expired = task.start.exclusive && this->IsExpired();
      if (expired || time >= task.ends_at)
        stop.push_back(id);
    }
    for (const std::string& id : stop) {
      const Task task = this->running.at(id);
      const bool finished =
          time >= task.ends_at && !(task.start.exclusive && this->IsExpired());
      this->End(id, finished ? task.end : AttemptEnd::kStopped);
    }
  }

  // Fails the first running attempt.
  void FailFirstRunning() {
    if (!this->running.empty())
      this->End(this->running.begin()->first, AttemptEnd::kFailed);
  }

  Status Start(const TaskStart& start) {
    this->Enter();
    if (this->down)
      return RuntimeError::kUnavailable;
    const auto found = this->running.find(start.task);
    if (found != this->running.end()) {
      if (found->second.start.attempt == start.attempt)
        return Ok();
      return RuntimeError::kAlreadyRunning;
    }
    // A stop of this attempt arrived before its start.
    if (this->tombstones.contains({start.task, start.attempt}))
      return RuntimeError::kNotFound;
    if (start.exclusive && this->IsExpired())
      return RuntimeError::kLeaseExpired;
    const auto [duration, end] = this->execution_plan(start);
    this->running[start.task] = {start, this->now() + duration, end};
    this->executions.push_back(
        {start.task, start.attempt, this->worker, start.resume_object});
    return Ok();
  }

  Status Stop(const std::string& task, uint32_t attempt) {
    this->Enter();
    if (this->down || this->stops_fail)
      return RuntimeError::kUnavailable;
    this->tombstones.insert({task, attempt});
    const auto found = this->running.find(task);
    if (found != this->running.end() && found->second.start.attempt == attempt)
      this->End(task, AttemptEnd::kStopped);
    const bool has_ended = std::any_of(
        this->ended.begin(), this->ended.end(), [&](const EndedTask& one) {
          return one.task == task && one.attempt == attempt;
        });
    return has_ended ? Ok() : Status(RuntimeError::kNotFound);
  }

  Result<std::string> Checkpoint(const std::string& task, uint32_t attempt) {
    this->Enter();
    if (this->down || this->checkpoints_fail)
      return RuntimeError::kUnavailable;
    const auto found = this->running.find(task);
    if (found == this->running.end() || found->second.start.attempt != attempt)
      return RuntimeError::kNotFound;
    return StrCat("checkpoint/", task, "/", attempt);
  }

  Status Throttle(const std::string& task, uint32_t attempt, double share) {
    this->Enter();
    const auto found = this->running.find(task);
    if (found == this->running.end() || found->second.start.attempt != attempt)
      return RuntimeError::kNotFound;
    found->second.share = share;
    return Ok();
  }

  Status Extend(absl::Time new_deadline) {
    this->Enter();
    if (this->down)
      return RuntimeError::kUnavailable;
    this->deadline = new_deadline;
    return Ok();
  }

  Result<RuntimeState> List() {
    this->Enter();
    if (this->down)
      return RuntimeError::kUnavailable;
    RuntimeState state;
    state.boot_id = StrCat(this->worker, "-boot-", this->boot_count);
    for (const auto& [id, task] : this->running)
      state.running.push_back({id, task.start.attempt, 0, 0, task.share});
    state.ended = this->ended;
    return state;
  }

  Status Forget(const std::string& task, uint32_t attempt) {
    this->Enter();
    if (this->down)
      return RuntimeError::kUnavailable;
    std::erase_if(this->ended, [&](const EndedTask& one) {
      return one.task == task && one.attempt == attempt;
    });
    return Ok();
  }

  const std::optional<absl::Time>& Deadline() const { return this->deadline; }

  // Returns the attempts that run now.
  std::vector<TaskStart> Running() const {
    std::vector<TaskStart> out;
    for (const auto& [id, task] : this->running)
      out.push_back(task.start);
    return out;
  }

  const std::vector<Execution>& Executions() const { return this->executions; }

  // Called at the start of each call. May advance the simulation before it
  // returns.
  std::function<void()> on_call;
  // While true, calls fail but running attempts continue.
  bool down = false;
  bool checkpoints_fail = false;
  bool stops_fail = false;

 private:
  struct Task {
    TaskStart start;
    absl::Time ends_at;
    AttemptEnd end = AttemptEnd::kSucceeded;
    double share = 1;
  };

  void Enter() {
    if (this->on_call)
      this->on_call();
    this->Advance();
  }

  bool IsExpired() const {
    return !this->deadline || this->now() >= *this->deadline;
  }

  void End(const std::string& id, AttemptEnd end) {
    const TaskStart start = this->running.at(id).start;
    this->running.erase(id);
    EndedTask report = {id, start.attempt, end, ""};
    if (end == AttemptEnd::kSucceeded)
      report.output_object = StrCat("output/", id, "/", start.attempt);
    this->ended.push_back(report);
  }

  std::string worker;
  Now now;
  ExecutionPlan execution_plan;
  int boot_count = 0;
  std::map<std::string, Task> running;
  std::vector<EndedTask> ended;
  std::set<std::pair<std::string, uint32_t>> tombstones;
  std::optional<absl::Time> deadline;
  std::vector<Execution> executions;
};

}  // namespace cuminjunction

#endif  // TASK_TESTING_FAKE_RUNTIME_H_
