#include "daemon/agent_process.h"

#include <algorithm>
#include <future>
#include <utility>

#include "base/http_server.h"
#include "base/strings.h"
#include "daemon/config_task.h"
#include "daemon/incarnation.h"
#include "daemon/worker_task.h"
#include "membership/agent_heartbeat.h"
#include "request/agent_server.h"
#include "request/fair_agent_queue.h"
#include "task/charts.h"

namespace cuminjunction {

namespace {

// How long a new agent waits for a configuration of its peers before it acts
// without one.
constexpr absl::Duration kJoinTime = absl::Seconds(10);

Result<Endpoint> EndpointOfUrl(const std::string& url) {
  constexpr std::string_view prefix = "http://";
  if (!url.starts_with(prefix))
    return YamlError::kBadValue;
  return ParseEndpoint(url.substr(prefix.size()));
}

Endpoint AddressOf(const EntryContact& entry) {
  return {entry.host, entry.tcp_port};
}

}  // namespace

struct AgentProcess::Impl {
  Impl(const Settings& settings, Log* log)
      : settings(settings),
        log(log),
        incarnation(MakeIncarnation()),
        control("control"),
        net(&this->control,
            &this->metrics,
            [this](PeerMessage&& message, const PeerReply& reply) {
              this->OnPeerMessage(std::move(message), reply);
            }) {}
  ~Impl();

  Status Start();
  Status StartUpstream();
  Status StartWorker();
  Status StartControl();
  Status StartAdmin();
  HeartbeatOptions MakeHeartbeatOptions(uint16_t peer_port) const;
  void OnPeerMessage(PeerMessage&& message, const PeerReply& reply);
  void OnEntries(const std::vector<EntryContact>& entries);
  void OnDocument(uint64_t version,
                  const std::shared_ptr<const Document>& document);
  void AnnounceUpstreamState();
  void BeginDrain();
  int DistanceTo(const EntryContact& entry) const;

  Settings settings;
  Log* log;
  uint64_t incarnation;
  Metrics metrics;
  TaskCharts charts;

  EventThread control;
  PeerNet net;
  std::unique_ptr<ConfigTask> config;
  std::unique_ptr<AgentHeartbeat> heartbeat;
  std::unique_ptr<boost::asio::steady_timer> state_timer;
  bool announced_down = false;
  bool draining = false;

  EventThread request_thread{"requests"};
  FairAgentQueue* queue = nullptr;
  std::unique_ptr<AgentServer> server;
  ListenSettings bound;

  std::unique_ptr<WorkerTask> worker;
  std::unique_ptr<HttpServer> admin;
};

AgentProcess::Impl::~Impl() {
  this->admin.reset();
  this->worker.reset();
  if (this->server) {
    this->server->Stop();
    this->request_thread.Stop();
  }
  if (this->heartbeat) {
    this->control.Call([this] {
      this->state_timer->cancel();
      this->config->Stop();
      this->heartbeat->Close();
      this->net.Close();
    });
  }
  this->control.Stop();
}

Status AgentProcess::Impl::Start() {
  if (!this->settings.upstream.url.empty()) {
    BOOST_OUTCOME_TRYV(this->StartUpstream());
  }
  if (!this->settings.worker.runtime_url.empty()) {
    BOOST_OUTCOME_TRYV(this->StartWorker());
  }
  BOOST_OUTCOME_TRYV(this->StartControl());
  return this->StartAdmin();
}

Status AgentProcess::Impl::StartUpstream() {
  BOOST_OUTCOME_TRY(upstream, EndpointOfUrl(this->settings.upstream.url));
  AgentOptions options;
  options.process = this->settings.name;
  options.incarnation = this->incarnation;
  options.host = this->settings.listen.host;
  options.port = this->settings.listen.agent_port;
  options.services = this->settings.upstream.announces;
  options.upstream.host = upstream.host;
  options.upstream.port = upstream.port;
  options.upstream.connections =
      static_cast<int>(this->settings.upstream.connections);
  options.probe_path = this->settings.upstream.probe_path;
  QueueSettings queue_settings;
  queue_settings.slots = static_cast<uint32_t>(this->settings.upstream.slots);
  auto fair = std::make_unique<FairAgentQueue>(queue_settings);
  this->queue = fair.get();
  this->request_thread.Start();
  this->server =
      std::make_unique<AgentServer>(&this->request_thread, options,
                                    std::move(fair), this->log, &this->metrics);
  BOOST_OUTCOME_TRY(port, this->server->Start());
  this->bound.agent_port = port;
  return Ok();
}

Status AgentProcess::Impl::StartWorker() {
  std::vector<YamlProblem> problems;
  BOOST_OUTCOME_TRY(loaded, LoadTaskCharts(this->settings.charts, &problems));
  this->charts = std::move(loaded);
  this->worker = std::make_unique<WorkerTask>(
      this->settings, UniqueProcessName(this->settings, this->incarnation),
      &this->charts, this->log, &this->metrics);
  return Ok();
}

HeartbeatOptions AgentProcess::Impl::MakeHeartbeatOptions(
    uint16_t peer_port) const {
  HeartbeatOptions options;
  Member& self = options.self;
  self.name = this->settings.name;
  self.role = Role::kAgent;
  self.incarnation = this->incarnation;
  self.host = this->settings.listen.host;
  self.port = this->settings.listen.membership_port;
  self.tcp_port = this->bound.agent_port;
  self.peer_port = peer_port;
  self.failure_domain = this->settings.failure_domain;
  self.region = this->settings.region;
  self.services = this->settings.upstream.announces;
  for (const Endpoint& seed : this->settings.seeds)
    options.seeds.push_back({seed.host, seed.port});
  return options;
}

Status AgentProcess::Impl::StartControl() {
  this->control.Start();
  BOOST_OUTCOME_TRY(peer_port, this->control.Call([this] {
    return this->net.Listen(this->settings.listen.host,
                            this->settings.listen.peer_port);
  }));
  this->bound.peer_port = peer_port;
  ConfigNodeOptions options;
  options.name = this->settings.name;
  options.expected_peers = static_cast<int>(
      std::min(this->settings.seeds.size(), HeartbeatOptions().contacts));
  options.join_deadline = SteadyClock().Now() + kJoinTime;
  this->config = std::make_unique<ConfigTask>(
      &this->control, &this->net, options,
      [this](uint64_t version,
             const std::shared_ptr<const Document>& document) {
        this->OnDocument(version, document);
      },
      /*start_over=*/std::function<void()>(), this->log);
  this->config->SetSelf({this->settings.listen.host, peer_port});
  AgentListener listener;
  listener.thread = &this->control;
  listener.on_entries = [this](const std::vector<EntryContact>& entries) {
    this->OnEntries(entries);
  };
  listener.on_config_version = [this](uint64_t version,
                                      const EntryContact& entry) {
    this->config->OnPeerVersion(entry.name, AddressOf(entry), version,
                                this->DistanceTo(entry));
  };
  this->heartbeat = std::make_unique<AgentHeartbeat>(
      &this->control, this->MakeHeartbeatOptions(peer_port),
      std::move(listener), &this->metrics);
  this->state_timer =
      std::make_unique<boost::asio::steady_timer>(this->control.Context());
  return this->control.Call([this]() -> Status {
    this->config->Start();
    this->AnnounceUpstreamState();
    BOOST_OUTCOME_TRYV(this->heartbeat->Open());
    this->bound.membership_port = this->heartbeat->Self().port;
    return Ok();
  });
}

Status AgentProcess::Impl::StartAdmin() {
  HttpServerOptions options;
  options.host = this->settings.listen.host;
  options.port = this->settings.listen.admin_port;
  options.threads = 1;
  BOOST_OUTCOME_TRY(
      started, HttpServer::Start(options, [this](const HttpRequest& request) {
        if (request.path == "/metrics")
          return HttpResponse{200, "text/plain", this->metrics.Text(), {}};
        if (request.path == "/healthz")
          return HttpResponse{200, "text/plain", "ok\n", {}};
        const bool ready =
            !this->server || this->server->State() == AgentState::kUp;
        if (request.path == "/readyz")
          return HttpResponse{ready ? 200 : 503,
                              "text/plain",
                              ready ? "ready\n" : "not ready\n",
                              {}};
        return HttpResponse{404, "text/plain", "not found\n", {}};
      }));
  this->admin = std::move(started);
  this->bound.admin_port = this->admin->Port();
  this->log->Write(LogLine("agent_started")
                       .Add("name", this->settings.name)
                       .Add("request_port", int{this->bound.agent_port})
                       .Add("admin_port", int{this->admin->Port()}));
  return Ok();
}

int AgentProcess::Impl::DistanceTo(const EntryContact& entry) const {
  return DistanceBetween(this->settings, entry.failure_domain, entry.region);
}

void AgentProcess::Impl::OnPeerMessage(PeerMessage&& message,
                                       const PeerReply& reply) {
  if (const auto* request = std::get_if<ConfigRequest>(&message)) {
    this->config->OnRequest(*request, reply);
  } else if (const auto* part = std::get_if<ConfigPart>(&message)) {
    this->config->OnPart(*part);
  } else if (const auto* notice = std::get_if<VersionNotice>(&message)) {
    this->config->OnNotice(*notice, reply);
  } else if (std::holds_alternative<WorkerChangeNotice>(message)) {
    if (this->worker)
      this->worker->Nudge();
  } else if (std::holds_alternative<DrainNotice>(message)) {
    this->BeginDrain();
  }
}

void AgentProcess::Impl::OnEntries(const std::vector<EntryContact>& entries) {
  this->log->Write(LogLine("entries_known")
                       .Add("count", static_cast<uint64_t>(entries.size())));
}

void AgentProcess::Impl::OnDocument(
    uint64_t version,
    const std::shared_ptr<const Document>& document) {
  this->heartbeat->SetConfigVersion(version);
  if (this->queue == nullptr)
    return;
  absl::flat_hash_map<std::string, int64_t> weights;
  for (const auto& [name, account] : document->accounts)
    weights[name] = account.weight;
  this->request_thread.Post([this, weights = std::move(weights)]() mutable {
    this->queue->SetWeights(std::move(weights));
  });
}

// The server's state is polled: it changes on another thread, and a change is
// announced at once by the heartbeat.
void AgentProcess::Impl::AnnounceUpstreamState() {
  constexpr std::chrono::milliseconds interval(200);
  const bool down =
      this->server != nullptr && this->server->State() == AgentState::kDown;
  if (down != this->announced_down) {
    this->announced_down = down;
    this->heartbeat->SetUpstreamDown(down);
  }
  this->state_timer->expires_after(interval);
  this->state_timer->async_wait([this](std::error_code error) {
    if (!error)
      this->AnnounceUpstreamState();
  });
}

void AgentProcess::Impl::BeginDrain() {
  if (this->draining)
    return;
  this->draining = true;
  this->log->Write(LogLine("drain_started").Add("name", this->settings.name));
  if (this->server) {
    this->server->Leave([this] {
      this->log->Write(
          LogLine("drain_finished").Add("name", this->settings.name));
    });
  }
  this->heartbeat->Leave([] {});
}

AgentProcess::AgentProcess(std::unique_ptr<Impl> impl)
    : impl(std::move(impl)) {}

AgentProcess::~AgentProcess() = default;

Result<std::unique_ptr<AgentProcess>> AgentProcess::Start(
    const Settings& settings,
    Log* log) {
  auto impl = std::make_unique<Impl>(settings, log);
  BOOST_OUTCOME_TRYV(impl->Start());
  return std::unique_ptr<AgentProcess>(new AgentProcess(std::move(impl)));
}

const ListenSettings& AgentProcess::Listening() const {
  return this->impl->bound;
}

void AgentProcess::Shutdown() {
  Impl* self = this->impl.get();
  if (self->server) {
    std::promise<void> answered;
    self->server->Leave([&answered] { answered.set_value(); });
    self->control.Post([self] { self->heartbeat->Leave([] {}); });
    answered.get_future().wait();
  }
  std::promise<void> departed;
  self->control.Post([self, &departed] {
    self->heartbeat->Depart([&departed] { departed.set_value(); });
  });
  departed.get_future().wait();
  self->log->Write(LogLine("agent_stopped").Add("name", self->settings.name));
}

}  // namespace cuminjunction
