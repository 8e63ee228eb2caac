#include "daemon/fleet_planner.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

// A planner that was not heard for this long is taken for dead if its lease
// row stands still as well; it pings every 400 ms.
constexpr absl::Duration kPlannerSilence = absl::Milliseconds(1500);

// How long an entry waits after its connection to the planner ended: a living
// planner connects again within 250 ms.
constexpr absl::Duration kReconnectGrace = absl::Milliseconds(350);

// What agents are granted while the store answers: longer than a short cut of
// a VM (5.5 s on the sites) less the age of the stamp, and short enough that
// work of a lost VM starts again within 7 s.
constexpr absl::Duration kGrant = absl::Milliseconds(6000);

// What agents are granted while no entry reaches the store, so that no work is
// lost to an outage (up to 9 s on the sites) and the takeover after it. The
// last such grant is made kLeasePeriod after the last commit.
const absl::Duration kOutageGrant = absl::Milliseconds(8500);

// Factor for the rates of two clocks, and time for a message on its way.
constexpr double kClockMargin = 1.04;
const absl::Duration kGrantSlack = absl::Milliseconds(100);

// A planner whose last commit is older than this is in trouble.
constexpr absl::Duration kTroubleAfter = absl::Milliseconds(1300);

// An entry that has not told a planner for this long that it does not reach the
// store knows that no long grant can be in force.
const absl::Duration kLongGrantMemory =
    kLeasePeriod + kOutageGrant * kClockMargin + absl::Seconds(1);

// Events of one moment are planned together. A plan that takes long is followed
// by a pause of the same length, so that an entry with a small part of a core
// still answers callers and renews its lease in time.
constexpr absl::Duration kLeastRunPause = absl::Milliseconds(2);
constexpr absl::Duration kMostRunPause = absl::Milliseconds(250);

constexpr absl::Duration kWaitingInterval = absl::Milliseconds(400);

// Runs in one message, which keeps it below the longest frame: texts have up
// to 4,000 bytes.
constexpr size_t kMaxRunsInMessage = 25;

// Starts to one VM that are remembered as possibly on their way. A runner has
// room for fewer new tasks within the time of a message.
constexpr size_t kMaxSentRuns = 200;

// Notices in one message.
constexpr size_t kMaxStatesInMessage = 2000;

}  // namespace

bool RulesOutLongGrants(absl::Time last_lost_report, absl::Time now) {
  return now - last_lost_report >= kLongGrantMemory;
}

FleetPlanner::FleetPlanner(boost::asio::io_context* context,
                           Store* store,
                           const std::string& vm,
                           absl::Duration retention,
                           Log* log,
                           Metrics* metrics)
    : context(context),
      store(store),
      vm(vm),
      retention(retention),
      log(log),
      starts_total(metrics->GetCounter("planner_starts_total")),
      stops_total(metrics->GetCounter("planner_stops_total")),
      ends_total(metrics->GetCounter("planner_ends_total")),
      takeovers_total(metrics->GetCounter("planner_takeovers_total")),
      start_wait_seconds(metrics->GetHistogram("planner_start_wait_seconds")),
      store_wait_seconds(metrics->GetHistogram("planner_store_wait_seconds")),
      load_seconds(metrics->GetHistogram("planner_load_seconds")),
      nodes(context,
            vm,
            log,
            {.on_connected =
                 [this](const std::string& node, bool agent) {
                   if (!agent && this->scheduler) {
                     this->SendStates(this->scheduler->AllStates());
                     this->next_waiting = absl::InfinitePast();
                   }
                   this->log->Write(LogLine("node_connected")
                                        .Add("node", node)
                                        .Add("agent", agent));
                 },
             .on_lost =
                 [this](const std::string& node, bool agent) {
                   if (!agent || !this->scheduler)
                     return;
                   this->put_off.erase(node);
                   this->sent.erase(node);
                   this->scheduler->OnDisconnected(node);
                   this->FailQueries(
                       [&](const SentQuery& query) { return query.vm == node; },
                       BootClock().Now());
                 },
             .on_no_long_grants = [this] { this->OnNoLongGrants(); },
             .on_granted =
                 [this](const std::string& node, absl::Time end) {
                   if (this->scheduler)
                     this->scheduler->ExtendGrant(node, end);
                 },
             .on_message =
                 [this](const std::string& node, FleetMessage&& message) {
                   if (this->scheduler)
                     this->OnNodeMessage(node, std::move(message));
                 },
             .on_deposed = [this] { this->StepDown(); }}),
      lease(context,
            store,
            vm,
            log,
            {.on_claimed = [this](uint64_t epoch) { this->OnClaimed(epoch); },
             .on_deposed = [this] { this->StepDown(); }}),
      run_timer(*context) {}

void FleetPlanner::SetPolicy(const FleetPolicy& new_policy) {
  this->policy = new_policy;
  if (this->scheduler) {
    this->scheduler->SetPolicy(new_policy);
    this->ScheduleRun();
  }
}

bool FleetPlanner::ShouldClaim(const PlannerView& view,
                               absl::Time now,
                               uint64_t* failing) {
  *failing = 0;
  if (this->policy.version == 0 || this->stopping)
    return false;
  if (view.connected) {
    this->lost_since = absl::InfinitePast();
    if (view.store_trouble) {
      *failing = view.epoch;
      return true;
    }
    return now - view.last_ping > kPlannerSilence;
  }
  if (this->lost_since == absl::InfinitePast())
    this->lost_since = now;
  return now - this->lost_since > kReconnectGrace ||
         view.last_ping == absl::InfinitePast();
}

void FleetPlanner::Tick(const PlannerView& view) {
  const absl::Time now = BootClock().Now();
  this->last_lost_report = view.last_lost_report;
  if (view.epoch > this->lease.Epoch())
    this->StepDown();
  if (!this->lease.IsHeld()) {
    uint64_t failing = 0;
    if (this->ShouldClaim(view, now, &failing))
      this->lease.Claim(failing);
    return;
  }
  this->lease.Renew();
  if (!this->scheduler)
    return;
  this->nodes.Tick(this->Grant(now), this->InTrouble(now));
  // Without a valid lease another planner may have granted more.
  if (now < this->lease.ValidUntil())
    this->scheduler->ExpireGrants(now);
  this->FailQueries(
      [now](const SentQuery& query) { return query.deadline < now; }, now);
  this->RepairFromFeeds(now);
  this->RemoveOutdated(now);
  this->SendWaiting(now);
  this->Run();
}

absl::Duration FleetPlanner::Grant(absl::Time now) const {
  if (!this->InTrouble(now))
    return kGrant;
  if (now < this->lease.ValidUntil() && this->nodes.AllEntriesLostStore(now))
    return kOutageGrant;
  // Another entry may reach the store and take over.
  return absl::ZeroDuration();
}

// When silent workers of the planner before this one have stopped for certain.
absl::Time FleetPlanner::EarlierAuthorityEnd(bool long_grants_made) const {
  const absl::Time last_commit = this->lease.PredecessorEnd();
  const absl::Duration after = long_grants_made
                                   ? kLeasePeriod + kOutageGrant * kClockMargin
                                   : kTroubleAfter + kGrant * kClockMargin;
  return last_commit + after + kGrantSlack;
}

void FleetPlanner::OnNoLongGrants() {
  if (!this->scheduler || !std::exchange(this->long_grants, false))
    return;
  const absl::Time end = this->EarlierAuthorityEnd(false);
  this->log->Write(
      LogLine("long_grants_ruled_out")
          .Add("epoch", this->lease.Epoch())
          .Add("workers_to_hear", this->scheduler->UnresolvedCount())
          .Add("wait_ms", absl::ToDoubleMilliseconds(end - BootClock().Now())));
  this->scheduler->LimitInheritedGrants(end);
}

bool FleetPlanner::InTrouble(absl::Time now) const {
  return now - this->lease.LastSuccess() > kTroubleAfter;
}

void FleetPlanner::StepDown() {
  if (!this->lease.IsHeld() && !this->scheduler)
    return;
  this->log->Write(
      LogLine("planner_stopped").Add("epoch", this->lease.Epoch()));
  ++this->term;
  this->lease.Drop();
  this->nodes.End();
  this->scheduler = nullptr;
  this->to_confirm.clear();
  this->put_off.clear();
  this->sent.clear();
  this->queries.clear();
  this->stale_progress.clear();
  this->reading_unknown = false;
  this->feeds_running.clear();
  this->lost_since = absl::InfinitePast();
}

void FleetPlanner::Shutdown(std::function<void()> done) {
  this->stopping = true;
  this->lease.Release([this, done = std::move(done)] {
    this->StepDown();
    done();
  });
}

void FleetPlanner::OnNodeMessage(const std::string& node,
                                 FleetMessage&& message) {
  if (!this->PutOff(node, &message))
    this->TakeNodeMessage(node, std::move(message));
}

bool FleetPlanner::PutOff(const std::string& node, FleetMessage* message) {
  const auto waiting = this->put_off.find(node);
  bool known = waiting == this->put_off.end();
  if (const auto* notice = std::get_if<WorkerNotice>(message))
    known = known &&
            this->scheduler->HasSubmissionsOf(notice->running, notice->ended);
  else if (const auto* ends = std::get_if<EndNotices>(message))
    known = known && this->scheduler->HasSubmissionsOf({}, ends->ends);
  if (known)
    return false;
  this->put_off[node].push_back(std::move(*message));
  this->ReadUnknown();
  return true;
}

void FleetPlanner::TakePutOff() {
  auto messages = std::exchange(this->put_off, {});
  for (auto& [node, list] : messages) {
    for (FleetMessage& message : list)
      this->TakeNodeMessage(node, std::move(message));
  }
}

void FleetPlanner::TakeNodeMessage(const std::string& node,
                                   FleetMessage&& message) {
  const absl::Time now = BootClock().Now();
  if (auto* notice = std::get_if<WorkerNotice>(&message)) {
    this->OnWorkerNotice(node, std::move(*notice));
  } else if (const auto* info = std::get_if<InfoNotice>(&message)) {
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
  } else if (const auto* started = std::get_if<StartedNotice>(&message)) {
    for (const std::string& id : started->submissions)
      this->scheduler->OnStarted(id);
    return;
  } else if (const auto* ends = std::get_if<EndNotices>(&message)) {
    for (const EndedRun& end : ends->ends) {
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
      this->to_confirm[node] = {ends->born_ms, end.number};
    }
  } else if (const auto* looks = std::get_if<NeighbourNotice>(&message)) {
    for (const auto& [image, share] : looks->serving)
      this->scheduler->AddLatencySample(node, image, share, looks->filling,
                                        now);
    this->nodes.Send(node, PairsNotice{this->lease.Epoch(),
                                       this->scheduler->InterferenceOn(node)});
    return;
  } else if (const auto* pairs = std::get_if<PairsNotice>(&message)) {
    this->scheduler->MergeInterference(pairs->pairs);
    return;
  } else if (const auto* answer = std::get_if<PermitAnswer>(&message)) {
    this->OnPermitAnswer(*answer);
  } else if (const auto* accepted = std::get_if<AcceptedNotice>(&message)) {
    // An earlier planner may have found it in the table before.
    this->scheduler->Add(accepted->submission, std::nullopt,
                         UnresolvedRunsBefore(this->lease.Epoch()), now,
                         absl::Now());
  } else if (const auto* request = std::get_if<StoreRequest>(&message)) {
    this->OnStoreRequest(node, *request);
  } else if (const auto* cancelled = std::get_if<CancelledNotice>(&message)) {
    this->scheduler->Cancel(cancelled->submission);
  }
  this->ScheduleRun();
}

void FleetPlanner::OnStoreRequest(const std::string& node,
                                  const StoreRequest& request) {
  const std::string& id = request.submission.id;
  std::vector<StorePut> puts;
  if (request.cancel)
    puts.push_back({kCancellationTable, id, ""});
  // A known submission has its row already, which is written only once.
  else if (!this->scheduler->HasSubmission(id))
    puts.push_back(
        {kSubmissionTable, id, Encode(SubmissionRow{request.submission})});
  this->lease.Write(std::move(puts), [this, node, request] {
    if (request.cancel)
      this->scheduler->Cancel(request.submission.id);
    else
      this->scheduler->Add(request.submission, std::nullopt,
                           UnresolvedRunsBefore(this->lease.Epoch()),
                           BootClock().Now(), absl::Now());
    this->nodes.Send(node, StoreDone{this->lease.Epoch(), request.number});
    this->ScheduleRun();
  });
}

void FleetPlanner::OnWorkerNotice(const std::string& node,
                                  WorkerNotice&& notice) {
  for (const EndedRun& end : notice.ended)
    this->to_confirm[node] = {notice.info.born_ms, end.number};
  WorkerReport report{node, notice.info, notice.alive, notice.running,
                      notice.ended};
  for (const SentRun& run : this->sent[node].runs) {
    if (run.number > notice.orders_seen)
      report.running.push_back({run.task, run.run, "", 0, true});
  }
  this->log->Write(LogLine("worker_reported")
                       .Add("vm", node)
                       .Add("runner", notice.info.runner)
                       .Add("born_ms", notice.info.born_ms)
                       .Add("alive", notice.alive)
                       .Add("draining", notice.info.draining)
                       .Add("running", notice.running.size())
                       .Add("ended", notice.ended.size()));
  this->scheduler->MergeReport(report, BootClock().Now());
  this->DescribeTo(node);
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

void FleetPlanner::ScheduleRun() {
  if (std::exchange(this->run_scheduled, true))
    return;
  this->run_timer.expires_after(absl::ToChronoMicroseconds(this->run_pause));
  this->run_timer.async_wait([this](std::error_code error) {
    this->run_scheduled = false;
    if (!error && this->scheduler)
      this->Run();
  });
}

void FleetPlanner::Run() {
  const absl::Time begin = BootClock().Now();
  this->SendOrders(this->scheduler->Plan(begin));
  const std::vector<StateChange> changes = this->scheduler->TakeChanges();
  if (!changes.empty())
    this->SendStates(changes);
  this->Flush();
  this->run_pause =
      std::clamp(BootClock().Now() - begin, kLeastRunPause, kMostRunPause);
}

void FleetPlanner::SendOrders(const Orders& orders) {
  std::map<std::string, StartRuns> starts;
  std::map<std::string, StopRuns> stops;
  const auto send = [this](const std::string& node, StartRuns* message) {
    message->epoch = this->lease.Epoch();
    SentRuns& sent_runs = this->sent[node];
    message->number = ++sent_runs.last_number;
    for (const RunOrder& order : message->runs)
      sent_runs.runs.push_back({message->number, order.task, order.run});
    while (sent_runs.runs.size() > kMaxSentRuns)
      sent_runs.runs.pop_front();
    this->nodes.Send(node, *message);
    *message = {};
  };
  std::map<std::string, const std::string*> last_text;
  for (const StopOrder& stop : orders.stops) {
    this->stops_total.Add();
    stops[stop.vm].runs.push_back({stop.task, stop.run});
    this->log->Write(LogLine("stop")
                         .Add("submission", stop.task.submission)
                         .Add("step", static_cast<uint64_t>(stop.task.step))
                         .Add("index", static_cast<uint64_t>(stop.task.index))
                         .Add("run", static_cast<uint64_t>(stop.run))
                         .Add("vm", stop.vm)
                         .Add("reason", stop.reason));
  }
  for (auto& [node, message] : stops) {
    message.epoch = this->lease.Epoch();
    this->nodes.Send(node, message);
  }
  const absl::Time now = BootClock().Now();
  for (const PermitQuery& query : orders.queries)
    this->SendQuery(query, now);
  for (const StartOrder& start : orders.starts) {
    this->starts_total.Add();
    this->start_wait_seconds.Observe(now - start.ready_since);
    StartRuns& message = starts[start.vm];
    if (message.runs.size() >= kMaxRunsInMessage)
      send(start.vm, &message);
    if (message.texts.empty() || last_text[start.vm] != start.text) {
      message.texts.push_back(*start.text);
      last_text[start.vm] = start.text;
    }
    RunOrder order;
    order.task = start.task;
    order.run = start.run;
    order.checkpoint = start.checkpoint;
    order.text = static_cast<uint32_t>(message.texts.size() - 1);
    order.fills = start.step->fills;
    order.latency_objective_ms = start.step->latency_objective_ms;
    order.image = start.step->image;
    order.millicores = start.step->size.millicores;
    order.ticket = start.ticket;
    message.runs.push_back(std::move(order));
    this->log->Write(LogLine("start")
                         .Add("submission", start.task.submission)
                         .Add("step", static_cast<uint64_t>(start.task.step))
                         .Add("index", static_cast<uint64_t>(start.task.index))
                         .Add("run", static_cast<uint64_t>(start.run))
                         .Add("vm", start.vm)
                         .Add("image", start.step->image)
                         .Add("estimate_ms", start.step->estimate_ms)
                         .Add("millicores", start.step->size.millicores)
                         .Add("cost", start.cost));
  }
  for (auto& [node, message] : starts)
    send(node, &message);
}

void FleetPlanner::Flush() {
  const auto dirty = this->scheduler->TakeDirty();
  if (dirty.empty() && this->to_confirm.empty())
    return;
  std::vector<StorePut> puts;
  std::vector<StateChange> finished;
  std::vector<StoreRemove> removes;
  for (const auto& [id, progress] : dirty) {
    if (!IsFinal(progress.state)) {
      puts.push_back({kProgressTable, id, Encode(progress)});
      continue;
    }
    // The rows of a large commit are written in several steps, so the progress
    // may go only once the end is stored.
    puts.push_back({kSubmissionTable, id,
                    Encode(this->scheduler->EndedRow(id, absl::Now()))});
    finished.push_back({id, progress.state});
  }
  if (!dirty.empty())
    removes.swap(this->stale_progress);
  auto confirms = std::exchange(this->to_confirm, {});
  this->lease.Write(
      std::move(puts), removes,
      [this, confirms = std::move(confirms), finished = std::move(finished),
       flushed = BootClock().Now()] {
        this->store_wait_seconds.Observe(BootClock().Now() - flushed);
        for (const auto& [node, end] : confirms)
          this->nodes.Send(
              node, ConfirmEnds{this->lease.Epoch(), end.first, end.second});
        for (const StateChange& change : finished) {
          this->scheduler->MarkStored(change.submission, change.state,
                                      BootClock().Now());
          this->stale_progress.push_back({kProgressTable, change.submission});
          this->log->Write(LogLine("submission_ended")
                               .Add("submission", change.submission)
                               .Add("state", ToString(change.state)));
        }
        if (!finished.empty())
          this->SendStates(finished);
      });
}

void FleetPlanner::SendStates(const std::vector<StateChange>& changes) {
  StateNotices notices;
  notices.epoch = this->lease.Epoch();
  for (const StateChange& change : changes) {
    notices.states.push_back(
        {change.submission, static_cast<uint8_t>(change.state)});
    if (notices.states.size() >= kMaxStatesInMessage) {
      this->nodes.SendToEntries(notices);
      notices.states.clear();
    }
  }
  if (!notices.states.empty())
    this->nodes.SendToEntries(notices);
}

void FleetPlanner::SendWaiting(absl::Time now) {
  if (now < this->next_waiting)
    return;
  this->next_waiting = now + kWaitingInterval;
  // Sent also when nothing changed: an entry trusts only fresh counts.
  this->nodes.SendToEntries(
      WaitingNotice{this->lease.Epoch(), this->scheduler->WaitingCounts()});
}

}  // namespace cuminjunction
