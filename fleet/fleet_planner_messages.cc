// A planner's handling of the messages of the other processes, and its marks of
// vacant workers.

#include <string_view>
#include <utility>

#include "base/time.h"
#include "fleet/fleet_planner.h"

namespace cuminjunction {

namespace {

// A commit takes rows in this order, so that a mark is not stored before the
// ends that were queued with it.
static_assert(std::string_view(kProgressTable) < kVacantTable);
static_assert(std::string_view(kSubmissionTable) < kVacantTable);

}  // namespace

void FleetPlanner::OnNodeMessage(const std::string& node,
                                 FleetMessage&& message) {
  if (!this->DeferMessage(node, &message))
    this->HandleNodeMessage(node, std::move(message));
}

bool FleetPlanner::DeferMessage(const std::string& node,
                                FleetMessage* message) {
  if (this->vacant.Contains(node)) {
    // A worker can become vacant while it is connected: its grants have expired
    // because none could be made.
    this->ClearVacancy(node);
    this->Defer(node, std::move(*message));
    return true;
  }
  if (!this->deferred.contains(node) && this->HasSubmissionsOf(*message))
    return false;
  this->Defer(node, std::move(*message));
  this->ReadUnknownSubmissions();
  return true;
}

bool FleetPlanner::HasSubmissionsOf(const FleetMessage& message) const {
  if (const auto* notice = std::get_if<WorkerNotice>(&message))
    return this->scheduler->HasSubmissionsOf(notice->running, notice->ended);
  if (const auto* ends_notice = std::get_if<EndedRunsNotice>(&message))
    return this->scheduler->HasSubmissionsOf({}, ends_notice->ended_runs);
  return true;
}

void FleetPlanner::Defer(const std::string& node, FleetMessage&& message) {
  this->deferred[node].push_back(
      {std::move(message), this->submission_reads + 1});
}

void FleetPlanner::HandleDeferredMessages(uint64_t read) {
  bool all_handled = true;
  auto messages = std::exchange(this->deferred, {});
  for (auto& [node, list] : messages) {
    if (this->vacant.Contains(node)) {
      this->deferred[node] = std::move(list);
      this->ClearVacancy(node);
      continue;
    }
    while (!list.empty() && (list.front().read <= read ||
                             this->HasSubmissionsOf(list.front().message))) {
      FleetMessage message = std::move(list.front().message);
      list.pop_front();
      this->HandleNodeMessage(node, std::move(message));
    }
    if (list.empty())
      continue;
    this->deferred[node] = std::move(list);
    all_handled = false;
  }
  if (!all_handled)
    this->ReadUnknownSubmissions();
}

void FleetPlanner::HandleNodeMessage(const std::string& node,
                                     FleetMessage&& message) {
  const absl::Time now = BootClock().Now();
  if (auto* notice = std::get_if<WorkerNotice>(&message)) {
    this->OnWorkerNotice(node, std::move(*notice));
  } else if (const auto* info = std::get_if<RunnerInfoNotice>(&message)) {
    this->scheduler->UpdateInfo(node, info->info, info->alive);
  } else if (const auto* refused = std::get_if<StartRefused>(&message)) {
    this->log->Write(
        LogLine("start_refused")
            .Add("submission", refused->task.submission)
            .Add("step", static_cast<uint64_t>(refused->task.step))
            .Add("index", static_cast<uint64_t>(refused->task.index))
            .Add("run", static_cast<uint64_t>(refused->run))
            .Add("vm", node)
            .Add("outcome", static_cast<uint64_t>(refused->outcome)));
    this->scheduler->OnStartResult(node, refused->task, refused->run,
                                   static_cast<StartOutcome>(refused->outcome),
                                   now);
    // The answer brings a newer timestamp for the next order, and the ping the
    // evacuations that this planner knows of. An order of many starts is
    // refused by as many messages.
    if (refused->outcome == static_cast<uint8_t>(StartOutcome::kExpired) ||
        refused->outcome == static_cast<uint8_t>(StartOutcome::kEvacuated))
      this->nodes.PingUnlessRecent(node);
  } else if (const auto* started = std::get_if<StartedNotice>(&message)) {
    for (const std::string& id : started->submissions)
      this->scheduler->OnStarted(id);
    return;
  } else if (const auto* ends_notice = std::get_if<EndedRunsNotice>(&message)) {
    for (const EndedRun& end : ends_notice->ended_runs) {
      this->ends_total.Add();
      this->log->Write(LogLine("end")
                           .Add("submission", end.task.submission)
                           .Add("step", static_cast<uint64_t>(end.task.step))
                           .Add("index", static_cast<uint64_t>(end.task.index))
                           .Add("run", static_cast<uint64_t>(end.run))
                           .Add("vm", node)
                           .Add("number", end.number)
                           .Add("how", ToString(end.outcome)));
      this->scheduler->OnEnded(node, end, now);
      this->ends_to_confirm[node] = {ends_notice->born_ms, end.number};
    }
  } else if (const auto* sample = std::get_if<InterferenceSample>(&message)) {
    for (const auto& [image, latency_ratio] : sample->latency_ratios)
      this->scheduler->AddLatencySample(node, image, latency_ratio,
                                        sample->filling_load, now);
    auto pairs = this->scheduler->NextInterferenceOn(node);
    if (!pairs.empty())
      this->nodes.Send(
          node, InterferenceNotice{this->lease.Epoch(), std::move(pairs)});
    return;
  } else if (const auto* pairs = std::get_if<InterferenceNotice>(&message)) {
    this->scheduler->MergeInterference(pairs->pairs);
    return;
  } else if (std::holds_alternative<WorkerVacated>(message)) {
    if (this->scheduler->OnVacated(node, now))
      this->MarkVacant(node);
  } else if (const auto* answer = std::get_if<PermitAnswer>(&message)) {
    this->OnPermitAnswer(*answer);
  } else if (const auto* accepted = std::get_if<AcceptedNotice>(&message)) {
    // An earlier planner may already have read it from the table and started
    // it. While commits fail it is left to the feed.
    if (!this->CommitsFailing(now))
      this->AddSubmission(accepted->submission, std::nullopt);
  } else if (const auto* request = std::get_if<StoreRequest>(&message)) {
    this->OnStoreRequest(node, *request);
  } else if (const auto* cancelled = std::get_if<CancelledNotice>(&message)) {
    this->scheduler->Cancel(cancelled->submission, now);
  }
  this->SchedulePlan();
}

void FleetPlanner::OnWorkerNotice(const std::string& node,
                                  WorkerNotice&& notice) {
  for (const EndedRun& end : notice.ended)
    this->ends_to_confirm[node] = {notice.info.born_ms, end.number};
  WorkerReport report{.vm = node,
                      .info = notice.info,
                      .alive = notice.alive,
                      .running = notice.running,
                      .ended = notice.ended,
                      .crashes = notice.crashes,
                      .more_ends = notice.more_ends};
  for (const SentStart& run : this->sent_starts[node].runs) {
    if (run.number > notice.last_received_number)
      report.running.push_back({run.task, run.run, "", 0, true});
  }
  this->log->Write(LogLine("worker_reported")
                       .Add("vm", node)
                       .Add("runner", notice.info.runner)
                       .Add("born_ms", notice.info.born_ms)
                       .Add("alive", notice.alive)
                       .Add("draining", notice.info.draining)
                       .Add("running", notice.running.size())
                       .Add("ended", notice.ended.size())
                       .Add("more_ends", notice.more_ends)
                       .Add("crashes", notice.crashes.size()));
  const bool first_report = !this->scheduler->MayGrant(node);
  this->scheduler->MergeReport(report, BootClock().Now());
  for (const GivenUpTask& task : this->scheduler->TakeGivenUp())
    this->LogGivenUp(task);
  // The agent can start tasks only with a grant.
  if (first_report)
    this->nodes.PingNow(node);
  this->DescribeTo(node);
}

void FleetPlanner::LogGivenUp(const GivenUpTask& given_up) {
  const TaskRef& task = given_up.task;
  for (const CrashRecord& record : given_up.crashes)
    this->log->Write(LogLine("task_given_up", LogLevel::kWarning)
                         .Add("submission", task.submission)
                         .Add("step", static_cast<uint64_t>(task.step))
                         .Add("index", static_cast<uint64_t>(task.index))
                         .Add("run", static_cast<uint64_t>(record.run))
                         .Add("vm", record.vm)
                         .Add("born_ms", record.born_ms)
                         .Add("confirmed", record.confirmed)
                         .Add("only_suspect",
                              record.evidence == CrashEvidence::kOnlySuspect));
}

void FleetPlanner::DescribeTo(const std::string& node) {
  const Worker* worker = this->scheduler->FindWorker(node);
  DescribeRuns describe;
  describe.epoch = this->lease.Epoch();
  for (const auto& [task, placed] : worker->placed) {
    if (!placed.fills && !placed.serves)
      continue;
    RunOrder order;
    order.task = task;
    order.run = placed.run;
    order.fills = placed.fills;
    order.latency_objective_ms = placed.latency_objective_ms;
    order.image = placed.image;
    order.millicores = placed.size.millicores;
    describe.runs.push_back(std::move(order));
  }
  if (!describe.runs.empty())
    this->nodes.Send(node, describe);
}

void FleetPlanner::MarkVacant(const std::string& node) {
  // The scheduler does not know yet what the messages that wait say. A mark
  // would keep them waiting.
  if (this->deferred.contains(node) || !this->vacant.Add(node))
    return;
  this->log->Write(LogLine("worker_vacant")
                       .Add("vm", node)
                       .Add("epoch", this->lease.Epoch()));
  // The next planner does not wait for the worker, so the ends that it has
  // reported are stored no later than the mark.
  this->Flush();
  this->lease.Write({{kVacantTable, node, ""}}, [] {});
}

void FleetPlanner::ClearVacancy(const std::string& node) {
  const auto removal = this->vacant.StartRemoval(node);
  if (!removal)
    return;
  this->lease.Write({}, {{kVacantTable, node}}, [this, node, removal] {
    if (!this->vacant.OnRemoved(node, *removal))
      return;
    this->nodes.PingNow(node);
    if (this->deferred.contains(node))
      this->ReadUnknownSubmissions();
  });
}

}  // namespace cuminjunction
