#include "testing/support/emulated_worker.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/numbers.h"
#include "base/strings.h"
#include "testing/support/task_command.h"

namespace cuminjunction {

namespace {

std::string NameOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kSucceeded:
      return "succeeded";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kStopped:
      return "stopped";
  }
  return "";
}

}  // namespace

std::vector<std::pair<AttemptRecord, AttemptRecord>> FindOverlaps(
    const std::vector<AttemptRecord>& records) {
  std::map<std::string, std::vector<const AttemptRecord*>> by_task;
  for (const AttemptRecord& record : records) {
    if (record.exclusive)
      by_task[record.task].push_back(&record);
  }
  std::vector<std::pair<AttemptRecord, AttemptRecord>> out;
  for (const auto& [task, attempts] : by_task) {
    for (size_t i = 0; i < attempts.size(); ++i) {
      for (size_t j = i + 1; j < attempts.size(); ++j) {
        const AttemptRecord& a = *attempts[i];
        const AttemptRecord& b = *attempts[j];
        if (a.started < b.ended && b.started < a.ended)
          out.emplace_back(a, b);
      }
    }
  }
  return out;
}

EmulatedWorker::EmulatedWorker(EmulatedWorkerOptions options,
                               MemoryObjectStore* objects)
    : options(std::move(options)), objects(objects) {
  this->Boot(absl::InfinitePast());
}

EmulatedWorker::Attempt* EmulatedWorker::Find(const std::string& task,
                                              uint32_t attempt) {
  const auto found = this->running.find(task);
  if (found == this->running.end() || found->second.start.attempt != attempt)
    return nullptr;
  return &found->second;
}

double EmulatedWorker::ProgressAt(const Attempt& attempt,
                                  absl::Time now) const {
  const double rate = attempt.throttles.rbegin()->second;
  const double passed_ms =
      absl::ToDoubleMilliseconds(now - attempt.progress_at);
  const double progress = attempt.progress_ms + passed_ms * rate;
  if (!attempt.length_ms)
    return progress;
  return std::min(progress, static_cast<double>(*attempt.length_ms));
}

absl::Time EmulatedWorker::FinishTime(const Attempt& attempt) const {
  const double rate = attempt.throttles.rbegin()->second;
  if (!attempt.length_ms || rate <= 0)
    return absl::InfiniteFuture();
  const double left_ms =
      static_cast<double>(*attempt.length_ms) - attempt.progress_ms;
  return attempt.progress_at +
         absl::Milliseconds(std::max(left_ms, 0.0) / rate);
}

void EmulatedWorker::Record(const Attempt& attempt,
                            const std::string& end,
                            absl::Time at) {
  AttemptRecord& record = this->records[attempt.record];
  record.ended = at;
  record.end = end;
  record.progress_ms = std::llround(this->ProgressAt(attempt, at));
}

void EmulatedWorker::End(Attempt* attempt, AttemptEnd end, absl::Time at) {
  this->Record(*attempt, NameOf(end), at);
  const std::string task = attempt->start.task;
  EndedTask report = {task, attempt->start.attempt, end, ""};
  if (end == AttemptEnd::kSucceeded) {
    report.output_object = StrCat("output/", task, "/", report.attempt);
    (void)this->objects->Put(report.output_object, attempt->start.command);
  }
  this->ended.push_back(report);
  this->running.erase(task);
}

void EmulatedWorker::Advance(absl::Time now) {
  std::vector<std::string> tasks;
  for (const auto& [task, attempt] : this->running)
    tasks.push_back(task);
  for (const std::string& task : tasks) {
    Attempt& attempt = this->running.at(task);
    const absl::Time finish = this->FinishTime(attempt);
    const absl::Time stop =
        attempt.start.exclusive ? this->stop_deadline : absl::InfiniteFuture();
    if (finish <= now && finish <= stop)
      this->End(&attempt, attempt.end, finish);
    else if (stop <= now)
      this->End(&attempt, AttemptEnd::kStopped, stop);
  }
}

Result<EmulatedWorker::Attempt> EmulatedWorker::MakeAttempt(
    const TaskStart& start,
    absl::Time now) {
  const TaskCommand command = ParseTaskCommand(start.command);
  Attempt attempt;
  attempt.start = start;
  if (command.action != TaskAction::kRunForever)
    attempt.length_ms = command.length_ms;
  attempt.end = command.action == TaskAction::kSucceed ? AttemptEnd::kSucceeded
                                                       : AttemptEnd::kFailed;
  if (this->fails_starts) {
    attempt.length_ms = 0;
    attempt.end = AttemptEnd::kFailed;
  }
  attempt.usage = {command.millicores.value_or(start.size.millicores),
                   command.memory_mib.value_or(start.size.memory_mib),
                   start.size.accelerators};
  attempt.progress_at = now;
  attempt.throttles[now] = 1;
  if (start.resume_object.empty())
    return attempt;
  if (this->store_down)
    return RuntimeError::kUnavailable;
  const Result<std::string> saved = this->objects->Get(start.resume_object);
  if (!saved || !absl::SimpleAtod(saved.value(), &attempt.progress_ms))
    return RuntimeError::kNotFound;
  return attempt;
}

void EmulatedWorker::CountOvercommit() {
  Size committed;
  for (const auto& [task, attempt] : this->running)
    committed = committed + attempt.start.size;
  if (!Fits(committed, this->options.capacity))
    ++this->overcommits;
}

Status EmulatedWorker::Start(const TaskStart& start, absl::Time now) {
  this->Advance(now);
  if (this->down)
    return RuntimeError::kUnavailable;
  if (start.exclusive && this->stop_deadline <= now)
    return RuntimeError::kLeaseExpired;
  const auto newest = this->newest.find(start.task);
  // The command may arrive twice or late; an attempt runs once.
  if (newest != this->newest.end() && newest->second == start.attempt)
    return Ok();
  if (newest != this->newest.end() && newest->second > start.attempt)
    return RuntimeError::kNotFound;
  if (this->running.contains(start.task))
    return RuntimeError::kAlreadyRunning;
  Result<Attempt> made = this->MakeAttempt(start, now);
  if (!made)
    return made.error();
  Attempt attempt = std::move(made).value();
  attempt.record = this->records.size();
  AttemptRecord record;
  record.task = start.task;
  record.attempt = start.attempt;
  record.job = start.job;
  record.worker = this->options.name;
  record.boot_id = this->boot_id;
  record.size = start.size;
  record.exclusive = start.exclusive;
  record.started = now;
  record.resumed_ms = std::llround(attempt.progress_ms);
  this->records.push_back(std::move(record));
  this->newest[start.task] = start.attempt;
  this->running[start.task] = std::move(attempt);
  this->CountOvercommit();
  this->Advance(now);
  return Ok();
}

Status EmulatedWorker::Stop(const std::string& task,
                            uint32_t attempt,
                            absl::Time now) {
  this->Advance(now);
  if (this->down)
    return RuntimeError::kUnavailable;
  Attempt* found = this->Find(task, attempt);
  if (found != nullptr) {
    this->End(found, AttemptEnd::kStopped, now);
    return Ok();
  }
  const auto newest = this->newest.find(task);
  if (newest == this->newest.end() || newest->second < attempt)
    return RuntimeError::kNotFound;
  return Ok();
}

Result<std::string> EmulatedWorker::Checkpoint(const std::string& task,
                                               uint32_t attempt,
                                               absl::Time now) {
  this->Advance(now);
  if (this->down || this->store_down)
    return RuntimeError::kUnavailable;
  const Attempt* found = this->Find(task, attempt);
  if (found == nullptr)
    return RuntimeError::kNotFound;
  std::string name = StrCat("checkpoint/", task, "/", attempt);
  (void)this->objects->Put(name, StrCat(this->ProgressAt(*found, now)));
  return name;
}

Status EmulatedWorker::Throttle(const std::string& task,
                                uint32_t attempt,
                                double share,
                                absl::Time now) {
  this->Advance(now);
  if (this->down)
    return RuntimeError::kUnavailable;
  Attempt* found = this->Find(task, attempt);
  if (found == nullptr)
    return RuntimeError::kNotFound;
  found->progress_ms = this->ProgressAt(*found, now);
  found->progress_at = now;
  found->throttles[now] = std::clamp(share, 0.0, 1.0);
  return Ok();
}

Status EmulatedWorker::Extend(absl::Time deadline, absl::Time now) {
  this->Advance(now);
  if (this->down)
    return RuntimeError::kUnavailable;
  // A command that arrives late must not take a deadline back.
  this->stop_deadline = std::max(this->stop_deadline, deadline);
  return Ok();
}

RunningTask EmulatedWorker::Report(const Attempt& attempt,
                                   absl::Time now) const {
  RunningTask out;
  out.task = attempt.start.task;
  out.attempt = attempt.start.attempt;
  out.throttle = attempt.throttles.rbegin()->second;
  const absl::Time measured =
      now - absl::Milliseconds(this->options.usage_lag_ms);
  auto throttle = attempt.throttles.upper_bound(measured);
  if (throttle == attempt.throttles.begin())
    return out;
  --throttle;
  out.used_millicores = std::llround(
      static_cast<double>(attempt.usage.millicores) * throttle->second);
  out.used_memory_mib = attempt.usage.memory_mib;
  return out;
}

Result<RuntimeState> EmulatedWorker::List(absl::Time now) {
  this->Advance(now);
  if (this->down)
    return RuntimeError::kUnavailable;
  RuntimeState state;
  state.boot_id = this->boot_id;
  for (const auto& [task, attempt] : this->running)
    state.running.push_back(this->Report(attempt, now));
  state.ended = this->ended;
  return state;
}

Status EmulatedWorker::Forget(const std::string& task,
                              uint32_t attempt,
                              absl::Time now) {
  this->Advance(now);
  if (this->down)
    return RuntimeError::kUnavailable;
  std::erase_if(this->ended, [&](const EndedTask& ended) {
    return ended.task == task && ended.attempt == attempt;
  });
  return Ok();
}

void EmulatedWorker::Crash(absl::Time now) {
  this->Advance(now);
  for (const auto& [task, attempt] : this->running)
    this->Record(attempt, "lost", now);
  this->running.clear();
  this->ended.clear();
  this->newest.clear();
  this->stop_deadline = absl::InfinitePast();
  this->down = true;
}

void EmulatedWorker::Boot(absl::Time now) {
  this->Crash(now);
  this->down = false;
  ++this->boots;
  this->boot_id = StrCat(this->options.name, "-boot-", this->boots);
}

}  // namespace cuminjunction
