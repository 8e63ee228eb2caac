// Connections of the agent: listening, peers, leaving and shutdown.

#include <boost/asio/ip/address.hpp>

#include "request/agent_server.h"

namespace cuminjunction {

namespace {

using boost::asio::ip::tcp;

}  // namespace

AgentServer::AgentServer(EventThread* thread,
                         AgentOptions options,
                         std::unique_ptr<AgentQueue> queue,
                         Log* log,
                         Metrics* metrics)
    : thread(thread),
      options(std::move(options)),
      queue(std::move(queue)),
      log(log),
      acceptor(thread->Context()),
      deadline_timer(thread->Context()),
      probe_timer(thread->Context()),
      leave_timer(thread->Context()),
      started_total(metrics->GetCounter("agent_attempts_started_total")),
      answered_total(metrics->GetCounter("agent_attempts_answered_total")),
      broken_total(metrics->GetCounter("agent_attempts_broken_total")),
      refused_total(metrics->GetCounter("agent_attempts_refused_total")),
      duplicates_total(metrics->GetCounter("agent_submits_duplicate_total")),
      damaged_total(metrics->GetCounter("agent_links_damaged_total")),
      links_refused_total(metrics->GetCounter("agent_links_refused_total")) {}

AgentServer::~AgentServer() = default;

Result<uint16_t> AgentServer::Start() {
  return this->thread->Call([this] { return this->Listen(); });
}

void AgentServer::Leave(std::function<void()> done) {
  this->thread->Post([this, done = std::move(done)]() mutable {
    this->BeginLeaving(std::move(done));
  });
}

void AgentServer::Stop() {
  this->thread->Call([this] { this->CloseAll(); });
}

Result<uint16_t> AgentServer::Listen() {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(this->options.host, error);
  if (error)
    return std::error_code(error);
  const tcp::endpoint endpoint(address, this->options.port);
  this->acceptor.open(endpoint.protocol(), error);
  if (!error)
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    this->acceptor.bind(endpoint, error);
  if (!error)
    this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (error) {
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    return std::error_code(error);
  }
  this->caller = std::make_unique<HttpCaller>(
      &this->thread->Context(), this->options.upstream,
      [this](uint64_t call, HttpAnswer&& answer) {
        this->OnAnswer(call, std::move(answer));
      });
  this->Accept();
  this->StartHealthCheck();
  return this->acceptor.local_endpoint(error).port();
}

void AgentServer::Accept() {
  this->acceptor.async_accept(
      [this](std::error_code error, tcp::socket socket) {
        if (!this->acceptor.is_open())
          return;
        if (!error)
          this->AddPeer(std::move(socket));
        this->Accept();
      });
}

void AgentServer::AddPeer(tcp::socket socket) {
  const absl::Time now = absl::Now();
  absl::erase_if(this->peers, [&](auto& item) {
    Peer& peer = *item.second;
    const bool silent = peer.incarnation == 0 && peer.hello_deadline < now;
    if (silent)
      peer.link->Close();
    return silent;
  });
  if (this->peers.size() >= this->options.max_links) {
    this->links_refused_total.Add();
    return;
  }
  auto peer = std::make_unique<Peer>();
  peer->link = std::make_shared<Link>(std::move(socket), this);
  peer->hello_deadline =
      now + absl::Milliseconds(this->options.hello_timeout_ms);
  Link* link = peer->link.get();
  this->peers[link] = std::move(peer);
  link->Start();
  link->Send(Hello{kProtocolVersion, this->options.process,
                   this->options.incarnation});
  if (this->leaving)
    link->Send(Leaving{});
}

void AgentServer::Handle(Peer* peer, Hello&& hello) {
  if (peer->incarnation != 0) {
    this->ClosePeer(peer->link.get(), MessageError::kUnexpected);
    return;
  }
  peer->incarnation = hello.incarnation;
}

void AgentServer::ClosePeer(Link* link, std::error_code error) {
  // The link may be on the call stack, so it must outlive this call.
  const std::shared_ptr<Link> kept = link->shared_from_this();
  link->Close();
  this->OnClosed(link, error);
}

void AgentServer::OnClosed(Link* link, std::error_code error) {
  if (IsProtocolError(error)) {
    this->damaged_total.Add();
    this->log->Write(
        LogLine("agent_link_damaged", LogLevel::kWarning).Add("error", error));
  }
  this->peers.erase(link);
  this->RefuseWaitingOfLink(link);
  if (this->leaving)
    this->FinishLeavingIfIdle();
}

// Refuses the waiting attempts of a lost connection: their entry has reported
// them as unknown and awaits no answer. Running attempts continue.
void AgentServer::RefuseWaitingOfLink(Link* link) {
  const absl::Time now = absl::Now();
  std::vector<uint64_t> waiting;
  for (const auto& [handle, attempt] : this->attempts) {
    if (attempt->link.get() == link && attempt->phase != Phase::kRunning)
      waiting.push_back(handle);
  }
  for (const uint64_t handle : waiting)
    this->RefuseWaiting(handle, Refusal::kTombstone, now);
}

void AgentServer::BeginLeaving(std::function<void()> done) {
  if (this->leaving)
    return;
  this->leaving = true;
  this->leave_done = std::move(done);
  for (const auto& [link, peer] : this->peers)
    link->Send(Leaving{});
  this->UpdateState();
  this->FinishLeavingIfIdle();
}

// A Submit may be in flight on a connection that is still open. Closing the
// connection would leave the outcome of that attempt unknown, so the agent
// waits until the entries have closed their connections or leave_linger_ms has
// passed.
void AgentServer::FinishLeavingIfIdle() {
  if (!this->attempts.empty() || !this->leave_done)
    return;
  if (this->peers.empty()) {
    this->FinishLeaving();
    return;
  }
  this->leave_timer.expires_after(
      std::chrono::milliseconds(this->options.leave_linger_ms));
  this->leave_timer.async_wait([this](std::error_code error) {
    if (!error && this->attempts.empty())
      this->FinishLeaving();
  });
}

void AgentServer::FinishLeaving() {
  if (!this->leave_done)
    return;
  const std::function<void()> done = std::move(this->leave_done);
  this->leave_done = nullptr;
  this->leave_timer.cancel();
  for (const auto& [link, peer] : this->peers)
    link->CloseAfterWriting();
  this->peers.clear();
  done();
}

void AgentServer::CloseAll() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->deadline_timer.cancel();
  this->probe_timer.cancel();
  this->leave_timer.cancel();
  for (const auto& [link, peer] : this->peers)
    link->Close();
  this->peers.clear();
  this->attempts.clear();
  this->handles.clear();
  this->caller.reset();
}

}  // namespace cuminjunction
