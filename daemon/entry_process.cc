#include "daemon/entry_process.h"

#include <algorithm>
#include <future>
#include <utility>
#include <vector>

#include "admin/api.h"
#include "base/http_server.h"
#include "base/strings.h"
#include "daemon/claims_task.h"
#include "daemon/entry_admin.h"
#include "daemon/incarnation.h"
#include "daemon/version_survey.h"
#include "request/chooser_policy.h"
#include "task/charts.h"

namespace cuminjunction {

namespace {

// How long a new entry waits to hear of its peers' configuration before it
// serves with what it has.
constexpr absl::Duration kJoinTime = absl::Seconds(10);

UpstreamState ToUpstreamState(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return UpstreamState::kReady;
    case MemberState::kSuspect:
      return UpstreamState::kSuspect;
    case MemberState::kUnreachable:
      return UpstreamState::kUnreachable;
    case MemberState::kLeaving:
    case MemberState::kLeft:
      return UpstreamState::kLeaving;
    case MemberState::kUpstreamDown:
    case MemberState::kDead:
      return UpstreamState::kDown;
  }
  return UpstreamState::kDown;
}

UpstreamInfo ToUpstream(const Member& member) {
  UpstreamInfo info;
  info.name = member.name;
  info.host = member.host;
  info.port = member.tcp_port;
  info.failure_domain = member.failure_domain;
  info.region = member.region;
  info.services = member.services;
  info.state = ToUpstreamState(member.state);
  info.incarnation = member.incarnation;
  return info;
}

}  // namespace

struct EntryProcess::Impl {
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
  Status LoadCharts();
  Status StartControl();
  Status StartShards();
  void StartStoreTasks();
  Status StartAdmin();
  EntryOptions MakeShardOptions(uint32_t shard, uint16_t port) const;
  void OnPeerMessage(PeerMessage&& message, const PeerReply& reply);
  void OnMembers(const std::vector<MemberChange>& changes);
  void SpreadUpstreams();
  void OnDocument(uint64_t version,
                  const std::shared_ptr<const Document>& document);
  void NudgeWorker(const std::string& worker);
  void NoticeVersion(uint64_t version, const Member& entry);
  EntryParts Parts();

  struct Shard {
    std::unique_ptr<EventThread> thread;
    std::unique_ptr<EntryFront> front;
  };

  Settings settings;
  Log* log;
  uint64_t incarnation;
  Metrics metrics;
  TaskCharts task_charts;
  Chart member_chart;
  std::unique_ptr<RequestChart> request_chart;
  std::atomic<bool> serving = false;

  std::unique_ptr<ClaimsTask> claims;
  std::vector<Shard> shards;
  ListenSettings bound;

  EventThread control;
  PeerNet net;
  std::unique_ptr<ConfigTask> config;
  std::unique_ptr<EntryGossip> gossip;
  std::unique_ptr<VersionSurvey> survey;
  std::unique_ptr<StoreReader> store_reader;
  std::unique_ptr<PlannerTask> planner;
  std::unique_ptr<EntryAdmin> admin_services;
  std::unique_ptr<HttpServer> admin;
};

EntryProcess::Impl::~Impl() {
  this->admin.reset();
  this->planner.reset();
  this->store_reader.reset();
  if (this->gossip) {
    this->control.Call([this] {
      this->config->Stop();
      this->gossip->Close();
      this->net.Close();
    });
  }
  this->control.Stop();
  for (Shard& shard : this->shards) {
    shard.front->Stop();
    shard.thread->Stop();
  }
}

Status EntryProcess::Impl::Start() {
  BOOST_OUTCOME_TRYV(this->LoadCharts());
  this->claims = std::make_unique<ClaimsTask>(
      this->settings.platform.table_url, this->settings.platform.timeout_ms,
      &this->metrics);
  BOOST_OUTCOME_TRYV(this->StartShards());
  BOOST_OUTCOME_TRYV(this->StartControl());
  this->StartStoreTasks();
  BOOST_OUTCOME_TRYV(this->StartAdmin());
  this->serving = true;
  return Ok();
}

Status EntryProcess::Impl::LoadCharts() {
  std::vector<YamlProblem> problems;
  const std::string& directory = this->settings.charts;
  BOOST_OUTCOME_TRY(tasks, LoadTaskCharts(directory, &problems));
  this->task_charts = std::move(tasks);
  BOOST_OUTCOME_TRY(member, LoadChart(directory + "/member.yaml", &problems));
  this->member_chart = std::move(member);
  BOOST_OUTCOME_TRY(request, LoadChart(directory + "/request.yaml", &problems));
  BOOST_OUTCOME_TRY(checked, RequestChart::Compile(request));
  this->request_chart = std::make_unique<RequestChart>(checked);
  return Ok();
}

EntryOptions EntryProcess::Impl::MakeShardOptions(uint32_t shard,
                                                  uint16_t port) const {
  EntryOptions options;
  options.process = this->settings.name;
  options.incarnation = this->incarnation;
  options.shard = shard;
  options.http.host = this->settings.listen.host;
  options.http.port = port;
  options.http.max_connections =
      static_cast<unsigned>(this->settings.max_connections);
  options.drain_grace_ms = static_cast<int>(this->settings.drain_grace_ms);
  return options;
}

Status EntryProcess::Impl::StartShards() {
  this->bound = this->settings.listen;
  ChooserPolicySettings policy;
  policy.chooser.failure_domain = this->settings.failure_domain;
  policy.chooser.region = this->settings.region;
  policy.link_bytes_per_second = kLinkBytesPerSecond / this->settings.shards;
  for (int64_t i = 0; i < this->settings.shards; ++i) {
    const auto number = static_cast<uint32_t>(i);
    Shard shard;
    shard.thread = std::make_unique<EventThread>(StrCat("shard", number));
    shard.thread->Start();
    shard.front = std::make_unique<EntryFront>(
        shard.thread.get(),
        this->MakeShardOptions(number, this->bound.request_port),
        this->request_chart.get(),
        std::make_unique<ChooserPolicy>(policy, this->incarnation + number),
        this->claims.get(), this->log, &this->metrics);
    this->shards.push_back(std::move(shard));
    // All shards listen on the port that the first one got.
    BOOST_OUTCOME_TRY(port, this->shards.back().front->Start());
    this->bound.request_port = port;
  }
  return Ok();
}

Status EntryProcess::Impl::StartControl() {
  this->control.Start();
  BOOST_OUTCOME_TRY(peer_port, this->control.Call([this] {
    return this->net.Listen(this->settings.listen.host,
                            this->settings.listen.peer_port);
  }));
  this->bound.peer_port = peer_port;
  ConfigNodeOptions config_options;
  config_options.expected_peers = 0;
  config_options.name = this->settings.name;
  for (const Endpoint& seed : this->settings.seeds) {
    if (seed.port != this->settings.listen.membership_port ||
        seed.host != this->settings.listen.host)
      ++config_options.expected_peers;
  }
  config_options.join_deadline = SteadyClock().Now() + kJoinTime;
  this->config = std::make_unique<ConfigTask>(
      &this->control, &this->net, config_options,
      [this](uint64_t version,
             const std::shared_ptr<const Document>& document) {
        this->OnDocument(version, document);
      },
      [this] { this->store_reader->Resync(); }, this->log);
  this->config->SetSelf({this->settings.listen.host, peer_port});
  GossipOptions options;
  options.self.name = this->settings.name;
  options.self.role = Role::kEntry;
  options.self.incarnation = this->incarnation;
  options.self.host = this->settings.listen.host;
  options.self.port = this->settings.listen.membership_port;
  options.self.tcp_port = peer_port;
  options.self.failure_domain = this->settings.failure_domain;
  options.self.region = this->settings.region;
  for (const Endpoint& seed : this->settings.seeds)
    options.seeds.push_back({seed.host, seed.port});
  EntryListener listener;
  listener.thread = &this->control;
  listener.on_changes = [this](const std::vector<MemberChange>& changes) {
    this->OnMembers(changes);
  };
  listener.on_config_version = [this](uint64_t version, const Member& entry) {
    this->NoticeVersion(version, entry);
  };
  this->gossip = std::make_unique<EntryGossip>(
      &this->control, this->member_chart, options,
      std::vector<EntryListener>{listener}, &this->metrics);
  this->survey =
      std::make_unique<VersionSurvey>(&this->net, this->gossip.get());
  return this->control.Call([this]() -> Status {
    this->config->Start();
    BOOST_OUTCOME_TRYV(this->gossip->Open());
    this->bound.membership_port = this->gossip->Self().port;
    return Ok();
  });
}

void EntryProcess::Impl::StartStoreTasks() {
  const std::string process =
      UniqueProcessName(this->settings, this->incarnation);
  this->planner = std::make_unique<PlannerTask>(
      this->settings, process, &this->task_charts,
      [this](const std::string& worker) { this->NudgeWorker(worker); },
      this->log, &this->metrics);
  this->store_reader = std::make_unique<StoreReader>(
      this->settings.platform.table_url, this->settings.platform.timeout_ms,
      [this](std::optional<Delta> delta) {
        this->control.Post([this, delta = std::move(delta)] {
          if (delta)
            this->config->OnStoreDelta(*delta);
          else
            this->config->OnStoreUnchanged();
        });
      },
      this->log);
}

EntryParts EntryProcess::Impl::Parts() {
  EntryParts parts;
  parts.settings = &this->settings;
  parts.charts = &this->task_charts;
  parts.control = &this->control;
  parts.gossip = this->gossip.get();
  parts.survey = this->survey.get();
  parts.config = this->config.get();
  parts.net = &this->net;
  parts.store_reader = this->store_reader.get();
  parts.planner = this->planner.get();
  for (const Shard& shard : this->shards)
    parts.shards.push_back(shard.front.get());
  parts.metrics = &this->metrics;
  parts.log = this->log;
  parts.serving = &this->serving;
  return parts;
}

Status EntryProcess::Impl::StartAdmin() {
  this->admin_services = std::make_unique<EntryAdmin>(
      this->Parts(), UniqueProcessName(this->settings, this->incarnation));
  HttpServerOptions options;
  options.host = this->settings.listen.host;
  options.port = this->settings.listen.admin_port;
  BOOST_OUTCOME_TRY(started,
                    HttpServer::Start(options, [this](const HttpRequest& r) {
                      return HandleAdminRequest(*this->admin_services, r);
                    }));
  this->admin = std::move(started);
  this->bound.admin_port = this->admin->Port();
  this->log->Write(LogLine("entry_started")
                       .Add("name", this->settings.name)
                       .Add("request_port", int{this->bound.request_port})
                       .Add("admin_port", int{this->admin->Port()}));
  return Ok();
}

void EntryProcess::Impl::OnPeerMessage(PeerMessage&& message,
                                       const PeerReply& reply) {
  if (const auto* request = std::get_if<ConfigRequest>(&message))
    this->config->OnRequest(*request, reply);
  else if (const auto* part = std::get_if<ConfigPart>(&message))
    this->config->OnPart(*part);
  else if (const auto* notice = std::get_if<VersionNotice>(&message))
    this->config->OnNotice(*notice, reply);
  else if (std::holds_alternative<VersionsRequest>(message))
    reply(this->survey->Answer());
  else if (const auto* versions = std::get_if<VersionsReply>(&message))
    this->survey->OnReply(*versions);
}

void EntryProcess::Impl::NoticeVersion(uint64_t version, const Member& entry) {
  const uint16_t port =
      entry.role == Role::kEntry ? entry.tcp_port : entry.peer_port;
  this->config->OnPeerVersion(
      entry.name, {entry.host, port}, version,
      DistanceBetween(this->settings, entry.failure_domain, entry.region));
}

void EntryProcess::Impl::OnMembers(const std::vector<MemberChange>& changes) {
  for (const MemberChange& change : changes) {
    const Member& member = change.member;
    this->log->Write(LogLine("member_changed")
                         .Add("member", member.name)
                         .Add("state", StateName(member.state))
                         .Add("incarnation", member.incarnation));
    if (member.name == this->settings.name)
      continue;
    // An agent is told of new versions by the entries that it heartbeats to.
    if (HasEnded(member.state))
      this->config->OnPeerLost(member.name);
    else if (member.role == Role::kEntry || change.first_hand)
      this->NoticeVersion(member.config_version, member);
  }
  this->SpreadUpstreams();
}

void EntryProcess::Impl::SpreadUpstreams() {
  std::vector<UpstreamInfo> infos;
  std::vector<UpstreamEndpoint> endpoints;
  // The link is shared by the shards of all entries of this region.
  int64_t sharers = 0;
  for (const Member& member : this->gossip->Members()) {
    if (member.role == Role::kEntry && member.region == this->settings.region &&
        IsEligible(member.state))
      sharers += this->settings.shards;
    if (member.role != Role::kAgent || member.services.empty())
      continue;
    infos.push_back(ToUpstream(member));
    if (IsEligible(member.state))
      endpoints.push_back(
          {member.name, member.host, member.tcp_port, member.services});
  }
  for (const Shard& shard : this->shards) {
    shard.front->SetUpstreams(endpoints);
    const int64_t rate = kLinkBytesPerSecond / std::max<int64_t>(1, sharers);
    shard.front->WithPolicy([infos, rate](RoutePolicy* policy) {
      auto* chooser = static_cast<ChooserPolicy*>(policy);
      chooser->SetMembers(infos, absl::Now());
      chooser->SetLinkRate(rate, absl::Now());
    });
  }
}

void EntryProcess::Impl::OnDocument(
    uint64_t version,
    const std::shared_ptr<const Document>& document) {
  this->gossip->SetConfigVersion(version);
  for (const Shard& shard : this->shards)
    shard.front->SetDocument(document);
  if (this->planner)
    this->planner->SetDocument(version, document);
}

void EntryProcess::Impl::NudgeWorker(const std::string& worker) {
  this->control.Post([this, worker] {
    for (const Member& member : this->gossip->Members()) {
      if (member.name == worker && member.role == Role::kAgent)
        this->net.Send({member.host, member.peer_port},
                       WorkerChangeNotice{worker});
    }
  });
}

EntryProcess::EntryProcess(std::unique_ptr<Impl> impl)
    : impl(std::move(impl)) {}

EntryProcess::~EntryProcess() = default;

Result<std::unique_ptr<EntryProcess>> EntryProcess::Start(
    const Settings& settings,
    Log* log) {
  auto impl = std::make_unique<Impl>(settings, log);
  BOOST_OUTCOME_TRYV(impl->Start());
  return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(impl)));
}

const ListenSettings& EntryProcess::Listening() const {
  return this->impl->bound;
}

void EntryProcess::Shutdown() {
  Impl* self = this->impl.get();
  self->serving = false;
  self->control.Call([self] { self->gossip->Leave(); });
  std::vector<std::promise<void>> drained(self->shards.size());
  for (size_t i = 0; i < self->shards.size(); ++i)
    self->shards[i].front->Drain([&drained, i] { drained[i].set_value(); });
  for (std::promise<void>& shard : drained)
    shard.get_future().wait();
  self->control.Call([self] { self->gossip->Depart(); });
  self->log->Write(LogLine("entry_stopped").Add("name", self->settings.name));
}

}  // namespace cuminjunction
