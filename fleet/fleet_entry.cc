#include "fleet/fleet_entry.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <thread>
#include <utility>

#include "absl/random/random.h"
#include "base/strings.h"
#include "base/time.h"
#include "fleet/fleet_entry_internal.h"
#include "platform/bodies.h"
#include "platform/calls.h"

namespace cuminjunction {

namespace {

constexpr std::chrono::milliseconds kTickInterval(100);

// How long after its acceptance or its cancellation a submission is sent to a
// new planner. Older ones are found by the planner's reads of the tables.
constexpr absl::Duration kNoticeRepeatTime = absl::Seconds(5);

// The platform's rules allow counts of waiting submissions that are 2 s old.
constexpr absl::Duration kMaxWaitingCountAge = absl::Milliseconds(1900);

// HTTP statuses 200 to 299 form one class, and so on.
constexpr unsigned kStatusesInClass = 100;

// After SIGTERM: time until the platform has seen that the entry is not ready
// (two readiness checks a second apart, and a margin), and time to deliver the
// last answers.
constexpr std::chrono::milliseconds kNotReadyGrace(2600);
constexpr std::chrono::milliseconds kFinalAnswersGrace(600);

// The submissions that an entry holds when it stops are settled this long
// before it no longer waits for open requests.
constexpr absl::Duration kStopAnswerMargin = absl::Milliseconds(100);

}  // namespace

Result<std::unique_ptr<FleetEntry>> FleetEntry::Start(const Settings& settings,
                                                      Log* log) {
  std::unique_ptr<FleetEntry> entry(new FleetEntry(settings, log));
  entry->thread.Start();
  const Status listening = entry->thread.Call([&] { return entry->Listen(); });
  if (!listening)
    return listening.error();
  log->Write(LogLine("started")
                 .Add("role", "entry")
                 .Add("name", settings.name)
                 .Add("failure_domain", settings.failure_domain));
  return entry;
}

FleetEntry::FleetEntry(const Settings& settings, Log* log)
    : settings(settings),
      log(log),
      thread("entry"),
      tick_timer(this->thread.Context()),
      next_relay_number(
          absl::Uniform<uint64_t>(absl::BitGen(),
                                  0,
                                  std::numeric_limits<int64_t>::max())) {}

FleetEntry::~FleetEntry() {
  // The event loop stops first, so that the handler of a timer that has expired
  // does not use a destroyed object.
  this->thread.Stop();
  this->front = nullptr;
  this->settler = nullptr;
  this->ready_front = nullptr;
  this->metrics_front = nullptr;
  this->port = nullptr;
  this->planner = nullptr;
  this->follower = nullptr;
  this->registration = nullptr;
  this->store = nullptr;
}

Status FleetEntry::Listen() {
  boost::asio::io_context* context = &this->thread.Context();
  const FleetSettings& fleet = this->settings.fleet;
  const ListenSettings& listen = this->settings.listen;
  this->store =
      std::make_unique<Store>(context, StoreOptions{fleet.store, kFleetPart});
  this->planner = std::make_unique<FleetPlanner>(
      context, this->store.get(), this->settings.name,
      ClaimDelay(fleet.processor_share), this->Retention(),
      absl::Milliseconds(fleet.evacuate_ms), this->log, &this->metrics);
  if (fleet.overload_control)
    this->planner->EnableOverloadControl();
  this->port = std::make_unique<PlannerPort>(
      &this->thread, this->settings.name, this->log,
      PlannerPortHandlers{
          .on_planner_connected = [this] { this->OnPlannerConnected(); },
          .on_planner_disconnected =
              [this] { this->view.commits_failing = false; },
          .is_store_unreachable =
              [this] {
                const bool lost = this->follower->IsStoreUnreachable();
                if (lost)
                  this->view.last_unreachable_report = BootClock().Now();
                return lost;
              },
          .rules_out_long_grants =
              [this] {
                return RulesOutLongGrants(this->view.last_unreachable_report,
                                          BootClock().Now());
              },
          .on_ping =
              [this](const PlannerPing& ping) {
                this->view.commits_failing = ping.commits_failing;
                this->last_echo = FromMicros(ping.echoed_timestamp_us);
              },
          .on_message =
              [this](FleetMessage&& message) {
                this->OnMessage(std::move(message));
              }});
  BOOST_OUTCOME_TRY(this->port->Listen(listen.host, listen.peer_port));
  this->settler = std::make_unique<SubmissionSettler>(
      context, this->store.get(), this->log, &this->metrics,
      SubmissionSettlerHandlers{
          .conditions =
              [this] {
                return GateConditions{
                    .reads_fail = this->follower->IsStoreUnreachable(),
                    .planner_available = this->MayPlannerStore(),
                    .planner_is_own = this->planner->IsPlanning()};
              },
          .relay =
              [this](StoreRequest request, absl::Time deadline,
                     std::function<void(const SubmissionReply&)> done) {
                return this->RelayToPlanner(std::move(request), deadline,
                                            std::move(done));
              }});
  this->front = std::make_unique<HttpFront>(
      context,
      HttpFrontOptions{.host = fleet.submissions.host,
                       .port = fleet.submissions.port,
                       .max_connections = static_cast<unsigned>(
                           this->settings.max_connections)},
      [this](HttpExchange* exchange) { this->OnRequest(exchange); });
  BOOST_OUTCOME_TRY(this->front->Start());
  this->ready_front = std::make_unique<HttpFront>(
      context,
      HttpFrontOptions{.host = fleet.ready.host, .port = fleet.ready.port},
      [this](HttpExchange* exchange) { this->OnReadyRequest(exchange); });
  BOOST_OUTCOME_TRY(this->ready_front->Start());
  this->metrics_front = std::make_unique<MetricsFront>(context, &this->metrics);
  BOOST_OUTCOME_TRY(
      this->metrics_front->Start({listen.host, fleet.metrics.port}));
  this->registration = std::make_unique<NodeRegistration>(
      context, this->store.get(),
      NodeRow{{listen.host, listen.peer_port}, false}, this->settings.name,
      this->log);
  this->registration->Start();
  this->follower = std::make_unique<PolicyFollower>(
      context, this->store.get(), absl::Milliseconds(fleet.evacuate_ms),
      this->log, &this->metrics,
      PolicyFollowerHandlers{.on_policy =
                                 [this](const FleetPolicy& policy) {
                                   this->planner->SetPolicy(policy);
                                 },
                             .on_evacuations =
                                 [this](const EvacuatedDomains& domains) {
                                   this->planner->SetEvacuations(domains);
                                 }});
  this->follower->Start();
  // An earlier process on this VM may just have reported the store as lost.
  this->view.last_unreachable_report = BootClock().Now();
  this->Tick();
  return Ok();
}

void FleetEntry::Tick() {
  // A planner that does not know of this entry yet may give long grants without
  // its report that the store is lost, so the report counts as made just now.
  if (!this->registration->IsRegistered())
    this->view.last_unreachable_report = BootClock().Now();
  this->view.connected = this->port->IsConnected();
  this->view.last_ping = this->port->LastPing();
  this->view.epoch = this->port->Epoch();
  this->view.evacuations_as_of = this->follower->AsOf();
  this->planner->Tick(this->view);
  const absl::Time now = BootClock().Now();
  while (!this->recently_accepted.empty() &&
         now - this->recently_accepted.front().first > kNoticeRepeatTime)
    this->recently_accepted.pop_front();
  while (!this->recently_cancelled.empty() &&
         now - this->recently_cancelled.front().first > kNoticeRepeatTime)
    this->recently_cancelled.pop_front();
  this->RemoveExpired(now);
  this->FollowStoreOutage(now);
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](std::error_code error) {
    if (!error)
      this->Tick();
  });
}

void FleetEntry::Shutdown() {
  this->log->Write(LogLine("stopping").Add("role", "entry"));
  // After the answers there is time to deliver them.
  const absl::Time answer_deadline =
      BootClock().Now() +
      std::max(absl::Milliseconds(this->settings.fleet.stop_grace_ms) -
                   absl::FromChrono(2 * kFinalAnswersGrace),
               absl::FromChrono(kNotReadyGrace));
  this->thread.Call([this, answer_deadline] {
    this->stopping = true;
    this->settler->Stop(answer_deadline - kStopAnswerMargin);
    this->front->CloseConnectionsAfterAnswers();
    this->planner->Shutdown([] {});
  });
  std::this_thread::sleep_for(kNotReadyGrace);
  this->thread.Call([this] { this->front->StopListening(); });
  while (BootClock().Now() < answer_deadline &&
         this->thread.Call([this] { return this->front->OpenCount(); }) > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  std::this_thread::sleep_for(kFinalAnswersGrace);
  this->log->Write(LogLine("stopped").Add("role", "entry"));
}

bool FleetEntry::IsReady() const {
  return !this->stopping && this->follower->Policy().version > 0;
}

void FleetEntry::OnReadyRequest(HttpExchange* exchange) {
  const bool is_ready_call = IsReadyCall(exchange->method, exchange->path);
  const unsigned not_ready_status = is_ready_call ? 503 : 404;
  this->ready_front->Answer(
      exchange,
      {is_ready_call && this->IsReady() ? 200 : not_ready_status, {}, ""});
}

void FleetEntry::RecordAnswer(const HttpExchange& exchange, unsigned status) {
  this->metrics
      .GetHistogram("answer_seconds",
                    StrCat("method=\"", exchange.method, "\",class=\"",
                           status / kStatusesInClass, "xx\""))
      .Observe(BootClock().Now() - exchange.received);
}

void FleetEntry::Reply(HttpExchange* exchange,
                       unsigned status,
                       std::string body) {
  this->RecordAnswer(*exchange, status);
  this->front->Answer(
      exchange,
      {status, {{"Content-Type", "application/json"}}, std::move(body)});
}

void FleetEntry::OnRequest(HttpExchange* exchange) {
  const FleetPolicy& policy = this->follower->Policy();
  const std::string path = exchange->path.substr(0, exchange->path.find('?'));
  const std::string id = path.substr(path.rfind('/') + 1);
  if (policy.version == 0) {
    this->Refuse(exchange, 503, id, "no-configuration");
    return;
  }
  const Queue* queue = policy.Find(RequestHost(exchange->headers), path);
  if (queue == nullptr) {
    this->Refuse(exchange, 404, id, "no-such-queue");
    return;
  }
  if (exchange->limit != HttpLimit::kNone) {
    const unsigned status = exchange->limit == HttpLimit::kBody      ? 413
                            : exchange->limit == HttpLimit::kHeaders ? 431
                                                                     : 503;
    this->Refuse(exchange, status, id, "limit");
    return;
  }
  const std::string name = path.substr(queue->prefix.size());
  if (exchange->method == "GET" && name.empty()) {
    this->OnWaitingCount(exchange, *queue);
  } else if (!IsSubmissionId(name)) {
    this->Refuse(exchange, 400, id, "bad-id");
  } else if (exchange->method == "POST") {
    this->OnSubmit(exchange, *queue, name);
  } else if (exchange->method == "GET") {
    this->OnStateQuery(exchange, name);
  } else if (exchange->method == "DELETE") {
    this->OnCancel(exchange, name);
  } else {
    this->Refuse(exchange, 405, id, "bad-method");
  }
}

void FleetEntry::ReadState(
    const std::string& id,
    std::function<void(std::error_code, std::optional<SubmissionState>)> done) {
  this->store->ReadOne(
      kSubmissionTable, id, kStoreCallTimeout,
      [this, id, done = std::move(done)](RowsReply&& row) {
        if (row.error || row.rows.empty()) {
          done(row.error, std::nullopt);
          return;
        }
        const auto stored = Decode<SubmissionRow>(row.rows.front().value);
        if (stored && IsFinal(stored.value().final_state)) {
          done({}, stored.value().final_state);
          return;
        }
        this->store->ReadOne(kProgressTable, id, kStoreCallTimeout,
                             [id, done](RowsReply&& reply) {
                               SubmissionState state = SubmissionState::kQueued;
                               if (!reply.error && !reply.rows.empty()) {
                                 const auto progress =
                                     Decode<Progress>(reply.rows.front().value);
                                 if (progress)
                                   state = SubmissionState::kRunning;
                               }
                               done(reply.error, state);
                             });
      });
}

void FleetEntry::OnStateQuery(HttpExchange* exchange, const std::string& id) {
  const auto found = this->states.find(id);
  if (found != this->states.end()) {
    this->Reply(exchange, 200, StateBody(found->second));
    return;
  }
  // Another entry may have accepted the submission a moment ago.
  this->ReadState(
      id, [this, exchange, id](std::error_code error,
                               std::optional<SubmissionState> state) {
        if (error) {
          this->Refuse(exchange, 503, id, "store-unavailable");
        } else if (!state) {
          this->Refuse(exchange, 410, id, "unknown-submission");
        } else {
          this->SetState(id, *state);
          this->Reply(exchange, 200, StateBody(this->states.at(id)));
        }
      });
}

void FleetEntry::OnWaitingCount(HttpExchange* exchange, const Queue& queue) {
  if (BootClock().Now() - this->waiting_counts_at > kMaxWaitingCountAge) {
    this->Refuse(exchange, 503, "", "count-too-old");
    return;
  }
  const auto found = this->waiting_counts.find(queue.name);
  this->Reply(
      exchange, 200,
      WaitingBody(found == this->waiting_counts.end() ? 0 : found->second));
}

void FleetEntry::SetState(const std::string& id, SubmissionState state) {
  SubmissionState& current = this->states[id];
  if (IsFinal(current))
    return;
  current = state;
  if (IsFinal(state))
    this->expiry_queue.emplace_back(BootClock().Now(), id);
}

absl::Duration FleetEntry::Retention() const {
  return absl::Milliseconds(this->settings.fleet.state_retention_ms) *
         kRetentionFactor;
}

void FleetEntry::RemoveExpired(absl::Time now) {
  while (!this->expiry_queue.empty() &&
         now - this->expiry_queue.front().first > this->Retention()) {
    const std::string& id = this->expiry_queue.front().second;
    this->unresolved_ids.erase(id);
    const auto state = this->states.find(id);
    if (state != this->states.end() && IsFinal(state->second))
      this->states.erase(state);
    this->expiry_queue.pop_front();
  }
}

void FleetEntry::OnPlannerConnected() {
  for (const auto& [time, submission] : this->recently_accepted)
    this->port->Send(AcceptedNotice{submission});
  for (const auto& [time, id] : this->recently_cancelled)
    this->port->Send(CancelledNotice{id});
}

void FleetEntry::OnMessage(FleetMessage&& message) {
  if (const auto* notices = std::get_if<StateNotices>(&message)) {
    for (const StateNotice& notice : notices->states)
      this->SetState(notice.submission,
                     static_cast<SubmissionState>(notice.state));
  } else if (const auto* stored = std::get_if<StoreDone>(&message)) {
    auto relay = this->pending_relays.extract(stored->number);
    if (!relay.empty())
      relay.mapped()(
          {static_cast<SubmissionOutcome>(stored->outcome), stored->version});
  } else if (auto* counts = std::get_if<WaitingNotice>(&message)) {
    this->waiting_counts = std::move(counts->waiting);
    this->waiting_counts_at = BootClock().Now();
  } else if (auto* capacity = std::get_if<CapacityNotice>(&message)) {
    this->OnCapacityNotice(std::move(*capacity));
  }
}

}  // namespace cuminjunction
