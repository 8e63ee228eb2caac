#include "fleet/fleet_agent.h"

#include <chrono>
#include <thread>
#include <utility>

#include "base/strings.h"
#include "base/time.h"
#include "fleet/evacuation_guard.h"
#include "platform/bodies.h"
#include "platform/calls.h"

namespace cuminjunction {

namespace {

// The runner opens few connections; other processes on its VM may open some.
constexpr unsigned kMaxConnections = 64;

// Starts within this interval are sent in one notice. They change the count of
// waiting submissions, which may be 2 s old.
constexpr std::chrono::milliseconds kStartedNoticeInterval(100);

// How long a stopping agent waits until a runner that has announced its end is
// gone for certain, which takes up to 500 ms.
constexpr absl::Duration kMaxWaitForRunnerEnd = absl::Milliseconds(700);

// Time to deliver the last message to the planner.
constexpr std::chrono::milliseconds kLastMessageGrace(50);

HttpReply JsonReply(unsigned status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace

Result<std::unique_ptr<FleetAgent>> FleetAgent::Start(const Settings& settings,
                                                      Log* log) {
  std::unique_ptr<FleetAgent> agent(new FleetAgent(settings, log));
  agent->thread.Start();
  const Status listening = agent->thread.Call([&] { return agent->Listen(); });
  if (!listening)
    return listening.error();
  log->Write(LogLine("started")
                 .Add("role", "agent")
                 .Add("name", settings.name)
                 .Add("failure_domain", settings.failure_domain));
  return agent;
}

FleetAgent::FleetAgent(const Settings& settings, Log* log)
    : settings(settings),
      log(log),
      thread("agent"),
      started_notice_timer(this->thread.Context()) {}

FleetAgent::~FleetAgent() {
  // The event loop stops first, so that the handler of a timer that has expired
  // does not use a destroyed object.
  this->thread.Stop();
  if (this->guard)
    this->guard->Close();
  this->front = nullptr;
  this->metrics_front = nullptr;
  this->port = nullptr;
  this->registration = nullptr;
  this->guard = nullptr;
  this->adviser = nullptr;
  this->runner = nullptr;
  this->store = nullptr;
}

Status FleetAgent::Listen() {
  boost::asio::io_context* context = &this->thread.Context();
  const FleetSettings& fleet = this->settings.fleet;
  this->store =
      std::make_unique<Store>(context, StoreOptions{fleet.store, kFleetPart});
  this->runner = std::make_unique<Runner>(context, fleet.runner);
  if (fleet.adviser.port != 0)
    this->adviser = std::make_unique<Adviser>(context, fleet.adviser);
  this->guard = std::make_unique<RunnerGuard>(
      context, this->runner.get(),
      RunnerGuardOptions{absl::Milliseconds(fleet.max_lease_ms)}, this->log,
      &this->metrics,
      RunnerGuardHandlers{
          .on_changed = [this] { this->SendRunnerReport(); },
          .on_ended =
              [this](int64_t born_ms, std::vector<EndedRun>&& ends) {
                this->port->Send(EndedRunsNotice{born_ms, std::move(ends)});
              },
          .on_refused =
              [this](const TaskRef& task, uint32_t run, StartOutcome outcome) {
                this->OnStartRefused(task, run, outcome);
              },
          .on_started =
              [this](const TaskRef& task) { this->QueueStartedNotice(task); },
          .on_sample =
              [this](const std::vector<ServingLatency>& serving,
                     const FillingLoad& filling) {
                InterferenceSample notice;
                for (const ServingLatency& tail : serving)
                  notice.latency_ratios.emplace_back(tail.image, tail.ratio);
                notice.filling_load = filling;
                this->port->Send(notice);
              }});
  this->port = std::make_unique<PlannerPort>(
      &this->thread, this->settings.name, this->log,
      PlannerPortHandlers{
          .on_planner_connected =
              [this] {
                this->orders_seen = 0;
                this->SendRunnerReport();
                // A planner that took over has no evidence on pairs yet.
                this->port->Send(
                    InterferenceNotice{0, this->guard->ExportPairs()});
              },
          .on_planner_disconnected = [] {},
          .is_store_unreachable = nullptr,
          .rules_out_long_grants = nullptr,
          .on_ping = [this](const PlannerPing& ping) { this->OnPing(ping); },
          .on_message =
              [this](FleetMessage&& message) {
                this->OnMessage(std::move(message));
              }});
  const ListenSettings& listen = this->settings.listen;
  BOOST_OUTCOME_TRY(this->port->Listen(listen.host, listen.peer_port));
  this->front = std::make_unique<HttpFront>(
      context,
      HttpFrontOptions{.host = fleet.heartbeats.host,
                       .port = fleet.heartbeats.port,
                       .max_connections = kMaxConnections},
      [this](HttpExchange* exchange) { this->OnRunnerRequest(exchange); });
  BOOST_OUTCOME_TRY(this->front->Start());
  this->metrics_front = std::make_unique<MetricsFront>(context, &this->metrics);
  BOOST_OUTCOME_TRY(
      this->metrics_front->Start({listen.host, fleet.metrics.port}));
  this->registration = std::make_unique<NodeRegistration>(
      context, this->store.get(),
      NodeRow{{listen.host, listen.peer_port}, true}, this->settings.name,
      this->log);
  this->registration->Start();
  this->guard->Begin();
  return Ok();
}

void FleetAgent::Shutdown() {
  if (this->thread.Call([this] { return this->guard->IsShuttingDown(); })) {
    const absl::Time deadline = BootClock().Now() + kMaxWaitForRunnerEnd;
    bool announced = false;
    while (!announced && BootClock().Now() < deadline) {
      announced = this->thread.Call([this] { return this->AnnounceVacancy(); });
      std::this_thread::sleep_for(kLastMessageGrace);
    }
  }
  this->log->Write(LogLine("stopped").Add("role", "agent"));
}

bool FleetAgent::AnnounceVacancy() {
  if (!this->guard->AreRunsKnown() || this->guard->IsRunnerAlive())
    return false;
  this->vacated = true;
  this->guard->Close();
  this->log->Write(
      LogLine("worker_vacated").Add("born_ms", this->guard->BornMs()));
  this->port->Send(WorkerVacated{this->guard->BornMs()});
  return true;
}

void FleetAgent::OnRunnerRequest(HttpExchange* exchange) {
  const auto call = ParseRunnerCall(exchange->method, exchange->path);
  unsigned status = 404;
  if (call && call->kind == RunnerCallKind::kHeartbeat) {
    status = this->OnHeartbeat(call->runner, exchange->body);
  } else if (call) {
    status = this->OnShutdown(call->runner, exchange->body);
  }
  this->front->Answer(exchange, JsonReply(status, "{}"));
}

unsigned FleetAgent::OnHeartbeat(const std::string& runner_name,
                                 const std::string& body) {
  const auto heartbeat = ParseRunnerHeartbeat(runner_name, body);
  if (!heartbeat) {
    this->log->Write(LogLine("heartbeat_refused", LogLevel::kWarning)
                         .Add("runner", runner_name)
                         .Add("error", heartbeat.error()));
    return 400;
  }
  const RunnerInfo& received = heartbeat.value().info;
  // A delayed heartbeat may be of an earlier incarnation or older than the
  // last.
  const bool same_incarnation = received.runner == this->runner_info.runner &&
                                received.born_ms == this->runner_info.born_ms;
  if ((received.born_ms < this->runner_info.born_ms &&
       received.born_ms != this->guard->BornMs()) ||
      (same_incarnation && heartbeat.value().sequence <= this->last_sequence))
    return 200;
  this->last_sequence = heartbeat.value().sequence;
  this->guard->SetIncarnationId(received.runner, received.born_ms);
  // A runner that has announced its shutdown is never ready again, so an
  // earlier one with the same id has.
  if (!received.draining && std::exchange(this->unnamed_shutdown, false))
    this->guard->CancelShutdown(received.born_ms);
  if (received == this->runner_info)
    return 200;
  this->log->Write(LogLine("runner_heard")
                       .Add("runner", received.runner)
                       .Add("born_ms", received.born_ms)
                       .Add("draining", received.draining)
                       .Add("millicores", received.capacity.millicores));
  this->runner_info = received;
  this->UpdateEvacuated();
  this->guard->SetProcessors(received.capacity.millicores);
  if (received.draining)
    this->guard->OnRunnerDraining(received.born_ms);
  this->SendRunnerInfo();
  return 200;
}

unsigned FleetAgent::OnShutdown(const std::string& runner_name,
                                const std::string& body) {
  const auto shutdown = ParseRunnerShutdown(body);
  if (!shutdown) {
    this->log->Write(LogLine("shutdown_refused", LogLevel::kWarning)
                         .Add("runner", runner_name)
                         .Add("error", shutdown.error()));
    return 400;
  }
  const int64_t present = this->runner_info.born_ms;
  const bool named = shutdown.value().born_ms != 0;
  const int64_t leaving = named ? shutdown.value().born_ms : present;
  this->log->Write(LogLine("runner_left")
                       .Add("runner", runner_name)
                       .Add("born_ms", shutdown.value().born_ms)
                       .Add("present_born_ms", present));
  // Another incarnation may have the same id.
  if (runner_name != this->runner_info.runner)
    return 200;
  this->guard->OnRunnerShutdown(leaving);
  if (leaving != present)
    return 200;
  this->unnamed_shutdown = !named;
  this->runner_info.draining = true;
  this->SendRunnerInfo();
  return 200;
}

void FleetAgent::UpdateEvacuated() {
  EvacuatedDomains own;
  for (const std::string& domain :
       {this->settings.failure_domain, this->runner_info.failure_domain}) {
    if (this->evacuations.Contains(domain))
      own.names.insert(domain);
  }
  if (own == this->own_evacuations)
    return;
  this->own_evacuations = std::move(own);
  const bool evacuated = !this->own_evacuations.names.empty();
  this->log->Write(LogLine("evacuation_heard")
                       .Add("domain", evacuated
                                          ? *this->own_evacuations.names.begin()
                                          : this->settings.failure_domain)
                       .Add("evacuated", evacuated)
                       .Add("epoch", this->port->Epoch()));
  this->guard->SetEvacuated(evacuated);
}

void FleetAgent::OnStartRefused(const TaskRef& task,
                                uint32_t run,
                                StartOutcome outcome) {
  this->metrics
      .GetCounter("agent_starts_refused_total",
                  StrCat("outcome=\"", ToString(outcome), "\""))
      .Add();
  this->port->Send(StartRefused{task, run, static_cast<uint8_t>(outcome)});
}

void FleetAgent::OnPing(const PlannerPing& ping) {
  if (ping.evacuated_domains != this->evacuations) {
    this->evacuations = ping.evacuated_domains;
    this->UpdateEvacuated();
  }
  if (ping.grant_ms > 0 && !this->vacated)
    this->guard->SetGrantDeadline(FromMicros(ping.echoed_timestamp_us) +
                                  absl::Milliseconds(ping.grant_ms));
}

void FleetAgent::OnMessage(FleetMessage&& message) {
  if (this->vacated)
    return;
  if (const auto* starts = std::get_if<StartRuns>(&message)) {
    this->orders_seen = starts->number;
    const absl::Time deadline =
        StartDeadline(starts->echoed_timestamp_us, BootClock().Now(),
                      absl::Milliseconds(this->settings.fleet.evacuate_ms));
    for (const RunOrder& order : starts->runs) {
      if (order.text >= starts->texts.size()) {
        this->log->Write(LogLine("order_damaged", LogLevel::kError)
                             .Add("submission", order.task.submission));
        continue;
      }
      this->guard->Start(starts->born_ms, order, starts->texts[order.text],
                         deadline);
    }
  } else if (const auto* stops = std::get_if<StopRuns>(&message)) {
    for (const StopRun& stop : stops->runs)
      this->guard->Stop(stop.task, stop.run);
  } else if (const auto* confirm = std::get_if<ConfirmEndedRuns>(&message)) {
    this->guard->ConfirmEnds(confirm->born_ms, confirm->last_number);
  } else if (const auto* pairs = std::get_if<InterferenceNotice>(&message)) {
    this->guard->MergePairs(pairs->pairs);
  } else if (const auto* request = std::get_if<PermitRequest>(&message)) {
    this->OnPermitRequest(*request);
  } else if (const auto* describe = std::get_if<DescribeRuns>(&message)) {
    for (const RunOrder& order : describe->runs)
      this->guard->Describe(order);
  }
}

void FleetAgent::OnPermitRequest(const PermitRequest& request) {
  if (!this->adviser) {
    this->log->Write(LogLine("adviser_missing", LogLevel::kError)
                         .Add("submission", request.step.submission));
    this->port->Send(PermitAnswer{request.number, false, {}, 0});
    return;
  }
  this->adviser->Ask(
      {request.step, request.runners}, absl::Milliseconds(request.timeout_ms),
      [this, number = request.number, epoch = request.epoch,
       submission = request.step.submission](AdviserReply&& reply) {
        if (reply.error)
          this->log->Write(LogLine("adviser_failed", LogLevel::kWarning)
                               .Add("submission", submission)
                               .Add("error", reply.error));
        // Another planner may have asked under the same number.
        if (epoch != this->port->Epoch())
          return;
        this->port->Send(PermitAnswer{
            number, !reply.error, std::move(reply.granted), reply.valid_ms});
      });
}

void FleetAgent::SendRunnerReport() {
  // A report sent before the runs are known would show them as ended.
  if (!this->guard->AreRunsKnown())
    return;
  WorkerNotice notice;
  notice.last_received_number = this->orders_seen;
  notice.info = this->runner_info;
  // An incarnation that has sent no heartbeat receives no work yet: its id and
  // capacity are not known.
  notice.alive = this->guard->IsRunnerAlive() &&
                 this->runner_info.born_ms == this->guard->BornMs();
  notice.info.born_ms = this->guard->BornMs();
  notice.running = this->guard->Running();
  notice.ended = this->guard->Ended();
  notice.more_ends = this->guard->HasMoreEnds();
  notice.crashes = this->guard->Crashes();
  this->port->Send(notice);
}

void FleetAgent::QueueStartedNotice(const TaskRef& task) {
  const bool timer_pending = !this->started_notice.submissions.empty();
  this->started_notice.submissions.insert(task.submission);
  if (timer_pending)
    return;
  this->started_notice_timer.expires_after(kStartedNoticeInterval);
  this->started_notice_timer.async_wait([this](std::error_code error) {
    if (!error)
      this->port->Send(std::exchange(this->started_notice, {}));
  });
}

void FleetAgent::SendRunnerInfo() {
  if (!this->guard->AreRunsKnown())
    return;
  RunnerInfoNotice notice;
  notice.info = this->runner_info;
  notice.info.born_ms = this->guard->BornMs();
  notice.alive = this->guard->IsRunnerAlive() &&
                 this->runner_info.born_ms == this->guard->BornMs();
  this->port->Send(notice);
}

}  // namespace cuminjunction
