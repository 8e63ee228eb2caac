#include "fleet/fleet_planner.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

// A planner without a ping for this long is assumed to have failed if its lease
// row does not change either. It pings every 400 ms.
constexpr absl::Duration kPlannerPingTimeout = absl::Milliseconds(1300);

// From this long after a ping on the lease row is watched, so that a frozen
// planner is replaced soon after the timeout.
constexpr absl::Duration kPlannerPingLate = absl::Milliseconds(600);

// Time that an entry waits after the planner's connection was closed before it
// tries to claim the lease: a running planner reconnects within 250 ms.
constexpr absl::Duration kReconnectGrace = absl::Milliseconds(350);

// Grant while the store answers. Longer than a short network cut of a VM (5.5 s
// on the sites) less the age of the echoed timestamp, and short enough that the
// work of a lost VM starts again within 7 s.
constexpr absl::Duration kGrant = absl::Milliseconds(6000);

// Grant while no entry reaches the store, so that no work is lost to an outage
// (up to 9 s on the sites) and the takeover after it. The last such grant is
// made kLeasePeriod after the last commit.
const absl::Duration kLongGrant = absl::Milliseconds(8500);

// Allowance for a message in transit.
const absl::Duration kGrantSlack = absl::Milliseconds(100);

// If an entry has not reported for this long that it does not reach the store,
// no long grant can be in force.
const absl::Duration kLongGrantsRuledOutAfter =
    kLeasePeriod + kLongGrant * kClockDriftFactor + absl::Seconds(1);

// Bounds of the delay before a plan, in which events are collected. A plan that
// takes long is followed by a delay of the same length, so that an entry with a
// small part of a core still answers callers and renews its lease in time.
constexpr absl::Duration kMinPlanPause = absl::Milliseconds(2);
constexpr absl::Duration kMaxPlanPause = absl::Milliseconds(250);

constexpr absl::Duration kWaitingNoticeInterval = absl::Milliseconds(400);

// Limit of the runs in one message, which keeps it below the maximum frame
// length: texts have up to 4,000 bytes.
constexpr size_t kMaxRunsInMessage = 25;

// Starts to one VM that are kept as possibly in transit before those whose runs
// are no longer placed there are removed.
constexpr size_t kMinSentStarts = 200;

// Limit of the states in one message.
constexpr size_t kMaxStatesInMessage = 2000;

}  // namespace

bool RulesOutLongGrants(absl::Time last_unreachable_report, absl::Time now) {
  return now - last_unreachable_report >= kLongGrantsRuledOutAfter;
}

FleetPlanner::FleetPlanner(boost::asio::io_context* context,
                           Store* store,
                           const std::string& vm,
                           absl::Duration claim_delay,
                           absl::Duration retention,
                           absl::Duration evacuation_bound,
                           Log* log,
                           Metrics* metrics)
    : context(context),
      store(store),
      batcher(context, store),
      vm(vm),
      retention(retention),
      evacuation_bound(evacuation_bound),
      log(log),
      starts_total(metrics->GetCounter("planner_starts_total")),
      stops_total(metrics->GetCounter("planner_stops_total")),
      evacuation_moves_total(
          metrics->GetCounter("planner_evacuation_moves_total")),
      ends_total(metrics->GetCounter("planner_ends_total")),
      takeovers_total(metrics->GetCounter("planner_takeovers_total")),
      held_tasks(metrics->GetGauge("planner_held_tasks")),
      evacuated_domains(metrics->GetGauge("planner_evacuated_domains")),
      metrics(metrics),
      start_wait_seconds(metrics->GetHistogram("planner_start_wait_seconds")),
      store_wait_seconds(metrics->GetHistogram("planner_store_wait_seconds")),
      load_seconds(metrics->GetHistogram("planner_load_seconds")),
      nodes(context,
            vm,
            log,
            {.on_connected =
                 [this](const std::string& node, bool is_agent) {
                   this->ClearVacancy(node);
                   if (!is_agent && this->scheduler) {
                     this->SendStates(this->scheduler->AllStates());
                     this->next_waiting_notice = absl::InfinitePast();
                   }
                   this->log->Write(LogLine("node_connected")
                                        .Add("node", node)
                                        .Add("agent", is_agent));
                 },
             .on_disconnected =
                 [this](const std::string& node, bool is_agent) {
                   if (!is_agent || !this->scheduler)
                     return;
                   this->deferred.erase(node);
                   this->sent_starts.erase(node);
                   this->scheduler->OnDisconnected(node);
                   this->FailQueries(
                       [&](const SentQuery& query) { return query.vm == node; },
                       BootClock().Now());
                 },
             .on_long_grants_ruled_out = [this] { this->OnNoLongGrants(); },
             .may_grant =
                 [this](const std::string& node) {
                   return this->scheduler && this->scheduler->MayGrant(node) &&
                          !this->vacant.Contains(node) &&
                          !this->lease.MayBeReleased();
                 },
             .on_granted =
                 [this](const std::string& node, absl::Time grant_deadline) {
                   if (this->scheduler)
                     this->scheduler->ExtendGrant(node, grant_deadline);
                 },
             .on_message =
                 [this](const std::string& node, FleetMessage&& message) {
                   if (this->scheduler)
                     this->OnNodeMessage(node, std::move(message));
                 },
             .on_higher_epoch = [this] { this->StepDown(); }}),
      lease(context,
            store,
            vm,
            claim_delay,
            log,
            {.on_claimed = [this](uint64_t epoch) { this->OnClaimed(epoch); },
             .on_lease_lost = [this] { this->StepDown(); }}),
      plan_timer(*context) {}

void FleetPlanner::SetPolicy(const FleetPolicy& new_policy) {
  this->policy = new_policy;
  if (this->scheduler) {
    this->scheduler->SetPolicy(new_policy);
    this->SchedulePlan();
  }
}

bool FleetPlanner::ShouldClaim(const PlannerView& view,
                               absl::Time now,
                               uint64_t* failing_epoch) {
  *failing_epoch = 0;
  if (this->policy.version == 0 || this->stopping)
    return false;
  if (!view.connected || now - view.last_ping > kPlannerPingLate)
    this->lease.Observe();
  if (view.connected) {
    this->disconnected_since = absl::InfinitePast();
    if (view.commits_failing) {
      *failing_epoch = view.epoch;
      return true;
    }
    return now - view.last_ping > kPlannerPingTimeout;
  }
  if (this->disconnected_since == absl::InfinitePast())
    this->disconnected_since = now;
  return now - this->disconnected_since > kReconnectGrace ||
         view.last_ping == absl::InfinitePast();
}

void FleetPlanner::Tick(const PlannerView& view) {
  const absl::Time now = BootClock().Now();
  this->last_unreachable_report = view.last_unreachable_report;
  this->evacuations_as_of = view.evacuations_as_of;
  if (view.epoch > this->lease.Epoch())
    this->StepDown();
  if (!this->lease.IsHeld()) {
    uint64_t failing_epoch = 0;
    if (this->ShouldClaim(view, now, &failing_epoch))
      this->lease.Claim(failing_epoch);
    return;
  }
  this->lease.Renew();
  if (!this->scheduler)
    return;
  this->nodes.Tick(this->CurrentGrant(now), this->CommitsFailing(now));
  // Once the lease has expired, another planner may have made later grants.
  if (now < this->lease.Expiry())
    for (const std::string& node : this->scheduler->ExpireGrants(now))
      this->MarkVacant(node);
  for (const std::string& node : this->scheduler->IdleLeavingWorkers(now))
    this->MarkVacant(node);
  this->FailQueries(
      [now](const SentQuery& query) { return query.deadline < now; }, now);
  this->ReconcileFromFeeds(now);
  this->RemoveExpiredSubmissions(now);
  this->RemoveFences(now);
  this->SendWaitingCounts(now);
  this->PlanAndSend();
  this->LogHeldTasks(now);
  this->LogEvacuations(now);
}

absl::Duration FleetPlanner::CurrentGrant(absl::Time now) const {
  if (!this->CommitsFailing(now))
    return kGrant;
  if (now < this->lease.Expiry() && this->nodes.NoEntryReachesStore(now))
    return kLongGrant;
  // Another entry may reach the store and take over, so no grant is made.
  return absl::ZeroDuration();
}

absl::Time FleetPlanner::InheritedGrantDeadline(bool long_grants_made) const {
  const absl::Duration grant =
      (long_grants_made ? kLongGrant : kGrant) * kClockDriftFactor;
  if (this->lease.NoGrantAfterLastCommit())
    return this->lease.PredecessorLastCommit() + grant + kGrantSlack;
  const absl::Duration commit_to_grant =
      long_grants_made ? kLeasePeriod : kCommitsFailingAfter;
  return this->lease.PredecessorLastCommit() + commit_to_grant + grant +
         kGrantSlack;
}

void FleetPlanner::OnNoLongGrants() {
  if (!this->scheduler || !std::exchange(this->long_grants_possible, false))
    return;
  const absl::Time grant_deadline = this->InheritedGrantDeadline(false);
  this->log->Write(
      LogLine("long_grants_ruled_out")
          .Add("epoch", this->lease.Epoch())
          .Add("workers_to_hear", this->scheduler->UnresolvedCount())
          .Add("wait_ms",
               absl::ToDoubleMilliseconds(grant_deadline - BootClock().Now())));
  this->scheduler->LimitInheritedGrants(grant_deadline);
}

bool FleetPlanner::CommitsFailing(absl::Time now) const {
  return now - this->lease.LastCommitTime() > kCommitsFailingAfter;
}

void FleetPlanner::StepDown() {
  if (!this->lease.IsHeld() && !this->scheduler)
    return;
  this->log->Write(
      LogLine("planner_stopped").Add("epoch", this->lease.Epoch()));
  ++this->term;
  this->lease.Drop();
  this->nodes.Stop();
  this->scheduler = nullptr;
  this->ends_to_confirm.clear();
  this->deferred.clear();
  this->vacant.Clear();
  this->sent_starts.clear();
  this->queries.clear();
  this->stale_progress.clear();
  this->held_lines.clear();
  this->fences = StoredFences();
  this->next_fence_read = absl::InfinitePast();
  this->held_tasks.Set(0);
  this->evacuated_domains.Set(0);
  this->logged_evacuations = {};
  this->evacuation_lines_from = absl::InfiniteFuture();
  this->starts_held = false;
  this->SetLoadGauges({});
  this->reading_submissions = false;
  this->feeds_in_progress.clear();
  this->disconnected_since = absl::InfinitePast();
}

void FleetPlanner::Shutdown(std::function<void()> done) {
  this->stopping = true;
  this->lease.Release([this, done = std::move(done)] {
    this->StepDown();
    done();
  });
}

void FleetPlanner::SchedulePlan() {
  if (std::exchange(this->plan_scheduled, true))
    return;
  this->plan_timer.expires_after(absl::ToChronoMicroseconds(this->plan_pause));
  this->plan_timer.async_wait([this](std::error_code error) {
    this->plan_scheduled = false;
    if (!error && this->scheduler)
      this->PlanAndSend();
  });
}

void FleetPlanner::PlanAndSend() {
  // The next planner may already order starts.
  if (this->lease.MayBeReleased())
    return;
  const absl::Time plan_start = BootClock().Now();
  this->UpdateStartsHeld(plan_start);
  const Orders orders = this->scheduler->Plan(plan_start);
  this->SendOrders(orders);
  const std::vector<StateChange> changes = this->scheduler->TakeChanges();
  if (!changes.empty())
    this->SendStates(changes);
  this->Flush();
  this->plan_pause =
      std::clamp(BootClock().Now() - plan_start, kMinPlanPause, kMaxPlanPause);
  if (orders.more)
    this->SchedulePlan();
}

void FleetPlanner::SendOrders(const Orders& orders) {
  std::map<std::string, StartRuns> starts;
  std::map<std::string, StopRuns> stops;
  const auto send = [this](const std::string& node, StartRuns* message) {
    message->epoch = this->lease.Epoch();
    SentStarts& node_starts = this->sent_starts[node];
    message->number = ++node_starts.last_number;
    message->born_ms = this->scheduler->FindWorker(node)->info.born_ms;
    message->echoed_timestamp_us = this->nodes.LatestTimestampUs(node);
    for (const RunOrder& order : message->runs)
      node_starts.runs.push_back({message->number, order.task, order.run});
    this->RemoveEndedStarts(node, &node_starts);
    this->nodes.Send(node, *message);
    *message = {};
  };
  std::map<std::string, const std::string*> last_text;
  for (const StopOrder& stop : orders.stops) {
    this->stops_total.Add();
    if (stop.reason == kEvacuatedReason)
      this->evacuation_moves_total.Add();
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

void FleetPlanner::RemoveEndedStarts(const std::string& node,
                                     SentStarts* starts) const {
  if (starts->runs.size() < starts->next_removal_size)
    return;
  const auto& placed = this->scheduler->FindWorker(node)->placed;
  std::erase_if(starts->runs, [&](const SentStart& start) {
    const auto found = placed.find(start.task);
    return found == placed.end() || found->second.run != start.run;
  });
  starts->next_removal_size = std::max(kMinSentStarts, 2 * starts->runs.size());
}

void FleetPlanner::Flush() {
  const auto dirty = this->scheduler->TakeDirty();
  if (dirty.empty() && this->ends_to_confirm.empty())
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
    // row may be removed only once the final state is stored.
    puts.push_back(
        {kSubmissionTable, id,
         Encode(this->scheduler->EndedRow(id, SystemClock().Now()))});
    finished.push_back({id, progress.state});
  }
  if (!dirty.empty())
    removes.swap(this->stale_progress);
  auto confirms = std::exchange(this->ends_to_confirm, {});
  this->lease.Write(
      std::move(puts), removes,
      [this, confirms = std::move(confirms), finished = std::move(finished),
       flush_time = BootClock().Now()] {
        this->store_wait_seconds.Observe(BootClock().Now() - flush_time);
        for (const auto& [node, end] : confirms)
          this->nodes.Send(node, ConfirmEndedRuns{this->lease.Epoch(),
                                                  end.first, end.second});
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

void FleetPlanner::SendWaitingCounts(absl::Time now) {
  if (now < this->next_waiting_notice)
    return;
  this->next_waiting_notice = now + kWaitingNoticeInterval;
  // Sent also when nothing has changed, since entries ignore outdated counts.
  this->nodes.SendToEntries(
      WaitingNotice{this->lease.Epoch(), this->scheduler->WaitingCounts()});
  this->SendServiceLoads(now);
}

}  // namespace cuminjunction
