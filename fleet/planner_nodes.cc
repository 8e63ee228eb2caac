#include "fleet/planner_nodes.h"

#include <algorithm>
#include <utility>

#include "base/time.h"
#include "submission/prior_starts.h"

namespace cuminjunction {

namespace {

using boost::asio::ip::tcp;

// At this interval two pings are answered within a second even if a connection
// reset loses one.
constexpr absl::Duration kPingInterval = absl::Milliseconds(400);

// A ping that was sent within this time brings a timestamp that is recent
// enough for the next order.
constexpr absl::Duration kRecentPing = absl::Milliseconds(100);

// A connection on which nothing arrives for this long is closed: three ping
// intervals and the round trip to another region (24 ms).
constexpr absl::Duration kPongTimeout = absl::Milliseconds(1300);

// Delay before the next attempt to connect.
constexpr absl::Duration kRetryDelay = absl::Milliseconds(250);

}  // namespace

PlannerNodes::PlannerNodes(boost::asio::io_context* context,
                           std::string planner,
                           Log* log,
                           PlannerNodesHandlers handlers)
    : context(context),
      planner(std::move(planner)),
      log(log),
      handlers(std::move(handlers)) {}

PlannerNodes::~PlannerNodes() {
  this->Stop();
}

void PlannerNodes::Start(uint64_t new_epoch) {
  this->epoch = new_epoch;
  this->active = true;
  this->current_grant = absl::ZeroDuration();
}

void PlannerNodes::Stop() {
  this->active = false;
  for (auto& [vm, node] : this->nodes) {
    if (node.link)
      node.link->Close();
  }
  this->nodes.clear();
}

void PlannerNodes::Add(const std::string& vm, const NodeRow& row) {
  Node& node = this->nodes[vm];
  if (node.row.address == row.address) {
    if (node.retry_at == absl::InfiniteFuture())
      node.retry_at = absl::InfinitePast();
    return;
  }
  node.row = row;
  if (node.link)
    this->Disconnect(vm, &node,
                     std::make_error_code(std::errc::address_not_available));
  node.retry_at = absl::InfinitePast();
  if (this->active)
    this->Connect(vm, &node);
}

void PlannerNodes::Connect(const std::string& vm, Node* node) {
  node->answered = false;
  node->timestamp_us = 0;
  node->last_received = BootClock().Now();
  node->link = std::make_shared<FrameLink>(
      tcp::socket(*this->context),
      FrameHandlers{.on_open = nullptr,
                    .on_message =
                        [this, vm](std::string_view payload) {
                          return this->OnPayload(vm, payload);
                        },
                    .on_closed =
                        [this, vm](std::error_code reason) {
                          this->Disconnect(vm, &this->nodes.at(vm), reason);
                        }});
  this->Ping(vm, node);
  node->link->Connect(node->row.address);
}

void PlannerNodes::Disconnect(const std::string& vm,
                              Node* node,
                              std::error_code reason) {
  if (!node->link)
    return;
  node->link->Close();
  node->link = nullptr;
  node->store_unreachable = false;
  node->refused = reason == std::errc::connection_refused;
  node->retry_at = BootClock().Now() + kRetryDelay;
  if (!std::exchange(node->answered, false))
    return;
  this->log->Write(LogLine("node_lost", LogLevel::kWarning)
                       .Add("node", vm)
                       .Add("epoch", this->epoch)
                       .Add("error", reason));
  this->handlers.on_disconnected(vm, node->row.is_agent);
}

void PlannerNodes::Tick(absl::Duration grant, bool commits_failing) {
  if (!this->active)
    return;
  this->current_grant = grant;
  this->current_commits_failing = commits_failing;
  const absl::Time now = BootClock().Now();
  for (auto& [vm, node] : this->nodes) {
    if (node.link &&
        now - std::max(node.last_received, node.link->LastReceived()) >
            kPongTimeout)
      this->Disconnect(vm, &node, std::make_error_code(std::errc::timed_out));
    if (!node.link && now >= node.retry_at)
      this->Connect(vm, &node);
    else if (node.answered && now - node.last_ping_sent >= kPingInterval)
      this->Ping(vm, &node);
  }
}

void PlannerNodes::Ping(const std::string& vm, Node* node) {
  PlannerPing ping;
  ping.epoch = this->epoch;
  ping.planner = this->planner;
  ping.commits_failing = this->current_commits_failing;
  ping.evacuated_domains = this->evacuations;
  const absl::Time now = BootClock().Now();
  if (node->row.is_agent && node->timestamp_us > 0 &&
      this->current_grant > absl::ZeroDuration() &&
      this->handlers.may_grant(vm)) {
    ping.echoed_timestamp_us = node->timestamp_us;
    ping.grant_ms = absl::ToInt64Milliseconds(this->current_grant);
    this->handlers.on_granted(vm,
                              now + this->current_grant * kClockDriftFactor);
  }
  node->last_ping_sent = now;
  node->link->Send(EncodeFleetMessage(ping));
}

void PlannerNodes::PingNow(const std::string& vm) {
  const auto found = this->nodes.find(vm);
  if (found != this->nodes.end() && found->second.answered)
    this->Ping(vm, &found->second);
}

void PlannerNodes::PingUnlessRecent(const std::string& vm) {
  const auto found = this->nodes.find(vm);
  if (found != this->nodes.end() && found->second.answered &&
      BootClock().Now() - found->second.last_ping_sent >= kRecentPing)
    this->Ping(vm, &found->second);
}

Status PlannerNodes::OnPayload(const std::string& vm,
                               std::string_view payload) {
  BOOST_OUTCOME_TRY(message, DecodeFleetMessage(payload));
  Node& node = this->nodes.at(vm);
  node.last_received = BootClock().Now();
  if (const auto* pong = std::get_if<NodePong>(&message))
    this->OnPong(vm, &node, *pong);
  // A process that has not named itself by a pong may be another one.
  else if (node.answered)
    this->handlers.on_message(vm, std::move(message));
  return Ok();
}

void PlannerNodes::OnPong(const std::string& vm,
                          Node* node,
                          const NodePong& pong) {
  if (pong.highest_epoch > this->epoch) {
    // Posted, since the handler may close the connection that is being read.
    boost::asio::post(*this->context,
                      [this, highest_epoch = pong.highest_epoch] {
                        if (highest_epoch > this->epoch)
                          this->handlers.on_higher_epoch();
                      });
    return;
  }
  if (pong.vm != vm) {
    // The VM of the row has gone, and its address belongs to another one now.
    this->log->Write(LogLine("node_address_reused", LogLevel::kWarning)
                         .Add("node", vm)
                         .Add("answered_by", pong.vm));
    // Posted, since the connection is being read.
    boost::asio::post(*this->context, [this, vm, link = node->link] {
      const auto found = this->nodes.find(vm);
      if (found == this->nodes.end() || found->second.link != link)
        return;
      this->Disconnect(vm, &found->second,
                       std::make_error_code(std::errc::address_in_use));
      found->second.retry_at = absl::InfiniteFuture();
    });
    return;
  }
  const bool first_answer = !std::exchange(node->answered, true);
  node->timestamp_us = pong.timestamp_us;
  node->store_unreachable = pong.store_unreachable;
  node->refused = false;
  if (pong.rules_out_long_grants)
    this->handlers.on_long_grants_ruled_out();
  if (!first_answer)
    return;
  // Echoes the first timestamp at once, with a grant if one may be made.
  this->Ping(vm, node);
  this->handlers.on_connected(vm, node->row.is_agent);
}

bool PlannerNodes::NoEntryReachesStore(absl::Time now) const {
  return std::all_of(this->nodes.begin(), this->nodes.end(),
                     [&](const auto& vm_and_node) {
                       const Node& node = vm_and_node.second;
                       return node.row.is_agent || node.refused ||
                              (node.answered && node.store_unreachable &&
                               now - node.last_received <= kPongTimeout);
                     });
}

void PlannerNodes::Send(const std::string& vm, const FleetMessage& message) {
  const auto found = this->nodes.find(vm);
  if (found != this->nodes.end() && found->second.link)
    found->second.link->Send(EncodeFleetMessage(message));
}

void PlannerNodes::SetEvacuations(const EvacuatedDomains& domains) {
  this->evacuations = domains;
  for (auto& [vm, node] : this->nodes) {
    if (node.row.is_agent && node.answered)
      this->Ping(vm, &node);
  }
}

int64_t PlannerNodes::LatestTimestampUs(const std::string& vm) const {
  const auto found = this->nodes.find(vm);
  return found == this->nodes.end() ? 0 : found->second.timestamp_us;
}

std::vector<std::string> PlannerNodes::Agents() const {
  std::vector<std::string> agents;
  for (const auto& [vm, node] : this->nodes) {
    if (node.row.is_agent)
      agents.push_back(vm);
  }
  return agents;
}

std::vector<std::string> PlannerNodes::ConnectedAgents() const {
  std::vector<std::string> agents;
  for (const auto& [vm, node] : this->nodes) {
    if (node.row.is_agent && node.answered && node.link)
      agents.push_back(vm);
  }
  return agents;
}

void PlannerNodes::SendToEntries(const FleetMessage& message) {
  const std::string payload = EncodeFleetMessage(message);
  for (auto& [vm, node] : this->nodes) {
    if (!node.row.is_agent && node.answered && node.link)
      node.link->Send(payload);
  }
}

}  // namespace cuminjunction
