// Connections of an entry shard to agents, and the messages received on them.

#include <algorithm>
#include <boost/asio/ip/address.hpp>

#include "request/entry_state.h"

namespace cuminjunction {

namespace {

using boost::asio::ip::tcp;

// Prevents an overflow of the int that holds the factor of the reconnect delay.
constexpr int kMaxDoublings = 8;

}  // namespace

void EntryFront::ApplyUpstreams(
    const std::vector<UpstreamEndpoint>& upstreams) {
  if (this->stopped)
    return;
  absl::flat_hash_map<std::string, std::shared_ptr<Agent>> kept;
  std::vector<std::shared_ptr<Agent>> added;
  for (const UpstreamEndpoint& endpoint : upstreams) {
    const auto found = this->agents.find(endpoint.name);
    if (found != this->agents.end() &&
        found->second->endpoint.host == endpoint.host &&
        found->second->endpoint.port == endpoint.port) {
      found->second->endpoint = endpoint;
      kept[endpoint.name] = found->second;
      this->agents.erase(found);
      continue;
    }
    auto agent = std::make_shared<Agent>(&this->thread->Context(), endpoint);
    kept[endpoint.name] = agent;
    added.push_back(std::move(agent));
  }
  this->agents.swap(kept);
  for (const auto& [name, agent] : kept) {
    agent->retired = true;
    agent->ready = false;
    this->CloseIfUnused(agent.get());
  }
  for (const std::shared_ptr<Agent>& agent : added)
    this->Connect(agent);
  this->policy->SetUpstreams(upstreams);
  this->UpdateUnusableAgents();
}

void EntryFront::Connect(const std::shared_ptr<Agent>& agent) {
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(agent->endpoint.host, error);
  if (error) {
    this->log->Write(LogLine("agent_address_bad", LogLevel::kError)
                         .Add("upstream", agent->endpoint.name)
                         .Add("host", agent->endpoint.host));
    return;
  }
  agent->leaving = false;
  agent->timer.expires_after(
      std::chrono::milliseconds(this->options.connect_timeout_ms));
  agent->timer.async_wait([this, agent](std::error_code expired) {
    if (!expired && !this->stopped && !agent->retired && !agent->ready)
      this->OnConnectTimeout(agent);
  });
  agent->socket = tcp::socket(this->thread->Context());
  agent->socket.async_connect(tcp::endpoint(address, agent->endpoint.port),
                              [this, agent](std::error_code failure) {
                                if (this->stopped || agent->retired)
                                  return;
                                if (failure)
                                  this->ConnectLater(agent);
                                else
                                  this->OnConnected(agent);
                              });
}

void EntryFront::ConnectLater(const std::shared_ptr<Agent>& agent) {
  const int factor = 1 << std::min(agent->failures++, kMaxDoublings);
  agent->timer.expires_after(std::chrono::milliseconds(
      std::min(this->options.initial_reconnect_ms * factor, kMaxReconnectMs)));
  agent->timer.async_wait([this, agent](std::error_code error) {
    if (!error && !this->stopped && !agent->retired)
      this->Connect(agent);
  });
}

void EntryFront::OnConnected(const std::shared_ptr<Agent>& agent) {
  agent->link = std::make_shared<Link>(std::move(agent->socket), this);
  this->agents_by_link[agent->link.get()] = agent;
  agent->link->Start();
  agent->link->Send(Hello{kProtocolVersion, this->options.process,
                          this->options.incarnation});
}

// The completion handler of the closed socket, or OnClosed(), schedules the
// next connection attempt.
void EntryFront::OnConnectTimeout(const std::shared_ptr<Agent>& agent) {
  if (!agent->link) {
    boost::system::error_code ignored;
    agent->socket.close(ignored);
    return;
  }
  const std::shared_ptr<Link> link = agent->link;
  link->Close();
  this->OnClosed(link.get(), std::make_error_code(std::errc::timed_out));
}

void EntryFront::OnMessage(Link* link, Message&& message) {
  const auto found = this->agents_by_link.find(link);
  if (found == this->agents_by_link.end())
    return;
  const std::shared_ptr<Agent> agent = found->second;
  if (!agent->ready && !agent->leaving && !agent->retired &&
      !std::holds_alternative<Hello>(message)) {
    link->Close();
    this->OnClosed(link, MessageError::kUnexpected);
    return;
  }
  std::visit(
      [&]<class T>(T&& body) {
        this->Handle(agent.get(), std::forward<T>(body));
      },
      std::move(message));
}

void EntryFront::OnClosed(Link* link, std::error_code error) {
  const auto found = this->agents_by_link.find(link);
  if (found == this->agents_by_link.end())
    return;
  const std::shared_ptr<Agent> agent = found->second;
  this->agents_by_link.erase(found);
  this->OnConnectionLost(agent, error);
}

// Attempts whose Submit was never passed to the kernel certainly have not run.
// All others may have run.
void EntryFront::OnConnectionLost(const std::shared_ptr<Agent>& agent,
                                  std::error_code error) {
  const LogLevel level =
      IsProtocolError(error) ? LogLevel::kWarning : LogLevel::kInfo;
  if (IsProtocolError(error))
    this->damaged_total.Add();
  this->log->Write(LogLine("agent_connection_lost", level)
                       .Add("upstream", agent->endpoint.name)
                       .Add("error", error));
  agent->ready = false;
  this->UpdateUnusableAgents();
  const std::shared_ptr<Link> link = std::move(agent->link);
  agent->link = nullptr;
  std::vector<std::pair<uint64_t, Attempt*>> lost;
  for (const auto& [number, request] : this->requests) {
    for (Attempt& attempt : request->outstanding) {
      if (attempt.agent == agent)
        lost.emplace_back(number, &attempt);
    }
  }
  const absl::Time now = absl::Now();
  for (const auto& [number, attempt] : lost) {
    const uint32_t attempt_number = attempt->number;
    Request* request = this->requests[number].get();
    this->policy->OnFailure(agent->endpoint.name, now);
    if (link->MayHaveBeenWritten(attempt->position))
      this->OnAttemptBroken(request, attempt_number);
    else
      this->OnAttemptRefused(request, attempt_number, Refusal::kUpstreamDown);
  }
  if (!agent->retired && !this->stopped)
    this->ConnectLater(agent);
}

void EntryFront::CloseAgent(Agent* agent) {
  agent->retired = true;
  agent->ready = false;
  agent->timer.cancel();
  boost::system::error_code ignored;
  agent->socket.close(ignored);
  if (agent->link) {
    agent->link->CloseAfterWriting();
    this->agents_by_link.erase(agent->link.get());
  }
}

// Closes a connection that is sent no new attempts once its last attempt has
// ended. A leaving agent waits for this before it exits, so that no Submit is
// lost in flight.
void EntryFront::CloseIfUnused(Agent* agent) {
  if (agent->outstanding > 0)
    return;
  if (agent->retired) {
    this->CloseAgent(agent);
    return;
  }
  if (!agent->leaving || !agent->link)
    return;
  const auto found = this->agents_by_link.find(agent->link.get());
  if (found == this->agents_by_link.end())
    return;
  const std::shared_ptr<Agent> kept = found->second;
  this->agents_by_link.erase(found);
  agent->link->CloseAfterWriting();
  agent->link = nullptr;
  this->ConnectLater(kept);
}

void EntryFront::UpdateUnusableAgents() {
  this->unusable_agents.clear();
  for (const auto& [name, agent] : this->agents) {
    if (!agent->ready)
      this->unusable_agents.push_back(name);
  }
  this->ready_count = this->agents.size() - this->unusable_agents.size();
}

template <class T>
void EntryFront::Handle(Agent* agent, T&& /*message*/) {
  const std::shared_ptr<Link> link = agent->link;
  link->Close();
  this->OnClosed(link.get(), MessageError::kUnexpected);
}

void EntryFront::Handle(Agent* agent, Hello&& hello) {
  const std::shared_ptr<Link> link = agent->link;
  if (agent->ready || agent->leaving || hello.process != agent->endpoint.name) {
    link->Close();
    this->OnClosed(link.get(), MessageError::kWrongPeer);
    return;
  }
  agent->ready = !agent->retired;
  agent->failures = 0;
  agent->timer.cancel();
  this->UpdateUnusableAgents();
}

void EntryFront::Handle(Agent* agent, Leaving&& /*leaving*/) {
  agent->ready = false;
  agent->leaving = true;
  this->policy->OnLeaving(agent->endpoint.name);
  this->UpdateUnusableAgents();
  this->CloseIfUnused(agent);
}

void EntryFront::Handle(Agent* agent, AnswerHead&& head) {
  const auto [request, attempt] = this->FindAttempt(agent, head.id);
  if (attempt == nullptr || attempt->has_head) {
    this->late_total.Add();
    return;
  }
  attempt->has_head = true;
  attempt->answer = std::move(head);
  if (attempt->answer.bytes.size() == attempt->answer.body_size) {
    this->OnWholeAnswer(request, attempt);
    return;
  }
  attempt->answer.bytes.reserve(attempt->answer.body_size);
  this->front->HoldAhead(request->exchange, attempt->answer.body_size);
}

void EntryFront::Handle(Agent* agent, AnswerChunk&& chunk) {
  const auto [request, attempt] = this->FindAttempt(agent, chunk.id);
  if (attempt == nullptr) {
    this->late_total.Add();
    return;
  }
  std::string& body = attempt->answer.bytes;
  body.append(chunk.bytes);
  const bool complete = body.size() == attempt->answer.body_size;
  if (!attempt->has_head || body.size() > attempt->answer.body_size ||
      chunk.last != complete) {
    const std::shared_ptr<Link> link = agent->link;
    link->Close();
    this->OnClosed(link.get(), MessageError::kBadField);
    return;
  }
  if (complete)
    this->OnWholeAnswer(request, attempt);
}

void EntryFront::Handle(Agent* agent, AnswerBroken&& broken) {
  const auto [request, attempt] = this->FindAttempt(agent, broken.id);
  if (attempt == nullptr) {
    this->late_total.Add();
    return;
  }
  this->policy->OnFailure(agent->endpoint.name, absl::Now());
  this->OnAttemptBroken(request, broken.id.attempt);
}

void EntryFront::Handle(Agent* agent, Refused&& refused) {
  const auto [request, attempt] = this->FindAttempt(agent, refused.id);
  if (attempt == nullptr) {
    this->late_total.Add();
    return;
  }
  this->policy->OnRefused(agent->endpoint.name, refused.reason, refused.load,
                          absl::Now());
  this->OnAttemptRefused(request, refused.id.attempt, refused.reason);
}

}  // namespace cuminjunction
