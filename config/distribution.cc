#include "config/distribution.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/frame.h"
#include "base/strings.h"

namespace cuminjunction {

ConfigNode::ConfigNode(ConfigNodeOptions options)
    : options(std::move(options)) {}

Result<bool> ConfigNode::OnStoreDelta(const Delta& delta) {
  const Result<bool> applied = this->state.Apply(delta);
  this->store_reached = this->store_reached || applied.has_value();
  return applied;
}

void ConfigNode::OnPeerVersion(const std::string& peer,
                               uint64_t version,
                               int distance,
                               absl::Time /*now*/) {
  Peer& peer_state = this->peers[peer];
  // Messages of one peer may arrive out of order.
  peer_state.version = std::max(peer_state.version, version);
  peer_state.distance = distance;
  if (peer_state.notified_version < this->state.Version())
    this->next_notice_at = absl::InfinitePast();
}

void ConfigNode::OnPeerLost(const std::string& peer) {
  this->peers.erase(peer);
  if (this->transfer && this->transfer->peer == peer)
    this->transfer.reset();
}

uint64_t ConfigNode::HighestPeerVersion() const {
  uint64_t highest = 0;
  for (const auto& [name, peer] : this->peers)
    highest = std::max(highest, peer.version);
  return highest;
}

// Prefers the peer with the highest version, then the nearest. A node without
// any configuration prefers the nearest, since it needs all sections and later
// changes follow as a small delta. Ties are broken by a hash of both names,
// which spreads the nodes over their peers.
std::string ConfigNode::ChoosePeer(absl::Time now) const {
  std::string best;
  auto best_rank = std::make_tuple(false, uint64_t{0}, uint64_t{0}, 0U);
  const bool is_empty = this->state.Version() == 0;
  for (const auto& [name, peer] : this->peers) {
    if (peer.version <= this->state.Version())
      continue;
    const uint64_t nearness = 100 - static_cast<uint64_t>(peer.distance);
    const uint32_t tie_breaker = Crc32(StrCat(this->options.name, "/", name));
    const auto rank = std::make_tuple(
        peer.deprioritized_until <= now, is_empty ? nearness : peer.version,
        is_empty ? peer.version : nearness, tie_breaker);
    if (best.empty() || rank > best_rank) {
      best = name;
      best_rank = rank;
    }
  }
  return best;
}

void ConfigNode::Deprioritize(const std::string& peer, absl::Time now) {
  const auto found = this->peers.find(peer);
  if (found != this->peers.end())
    found->second.deprioritized_until =
        now + absl::Milliseconds(kPeerDeprioritizedMs);
}

std::optional<OutgoingConfigRequest> ConfigNode::Poll(absl::Time now) {
  if (this->transfer && this->transfer->deadline > now)
    return std::nullopt;
  if (this->transfer) {
    this->Deprioritize(this->transfer->peer, now);
    this->transfer.reset();
  }
  const std::string peer = this->ChoosePeer(now);
  if (peer.empty())
    return std::nullopt;
  Transfer started;
  started.peer = peer;
  started.id = this->next_id++;
  started.deadline = now + absl::Milliseconds(kConfigRequestTimeoutMs);
  this->transfer = started;
  const bool whole = this->needs_whole || this->options.always_whole;
  return OutgoingConfigRequest{peer,
                               {started.id, this->state.Version(), whole}};
}

bool ConfigNode::IsNoticeDue(Peer* peer, absl::Time now) const {
  const uint64_t version = this->state.Version();
  if (peer->notified_version < version) {
    peer->notified_version = version;
    peer->repeat_ms = kNoticeRepeatMs;
  } else if (peer->version >= version || now < peer->repeat_at) {
    return false;
  } else {
    peer->repeat_ms = std::min(2 * peer->repeat_ms, kMaxNoticeRepeatMs);
  }
  peer->repeat_at = now + absl::Milliseconds(peer->repeat_ms);
  return true;
}

std::vector<std::string> ConfigNode::DueNotices(absl::Time now) {
  std::vector<std::string> due;
  const uint64_t version = this->state.Version();
  if (version == 0 ||
      (version == this->last_notice_version && now < this->next_notice_at))
    return due;
  this->last_notice_version = version;
  this->next_notice_at = absl::InfiniteFuture();
  for (auto& [name, peer] : this->peers) {
    if (this->IsNoticeDue(&peer, now))
      due.push_back(name);
    if (peer.version < version)
      this->next_notice_at = std::min(this->next_notice_at, peer.repeat_at);
  }
  return due;
}

std::vector<ConfigPart> ConfigNode::Answer(const ConfigRequest& request) {
  const bool is_cached =
      !this->cached_answer.empty() &&
      this->cached_request.base_version == request.base_version &&
      this->cached_request.whole == request.whole &&
      this->cached_version == this->state.Version();
  if (!is_cached) {
    this->cached_request = request;
    this->cached_version = this->state.Version();
    this->cached_answer =
        Encode(request.whole ? this->state.Whole()
                             : this->state.Since(request.base_version));
  }
  const size_t size = this->cached_answer.size();
  const size_t count = (size + kMaxPartBytes - 1) / kMaxPartBytes;
  std::vector<ConfigPart> parts;
  for (size_t i = 0; i < count; ++i) {
    parts.push_back(
        {request.id, static_cast<uint32_t>(i), static_cast<uint32_t>(count),
         this->cached_answer.substr(i * kMaxPartBytes, kMaxPartBytes)});
  }
  return parts;
}

bool ConfigNode::AcceptsPart(const ConfigPart& part) const {
  return part.count > 0 && part.count <= kMaxParts && part.index < part.count &&
         part.bytes.size() <= kMaxPartBytes &&
         (this->transfer->count == 0 || this->transfer->count == part.count);
}

Result<bool> ConfigNode::OnPart(const std::string& peer,
                                const ConfigPart& part,
                                absl::Time now) {
  // The part belongs to an earlier request and is no longer needed.
  if (!this->transfer || this->transfer->peer != peer ||
      this->transfer->id != part.id)
    return false;
  if (!this->AcceptsPart(part)) {
    this->Deprioritize(peer, now);
    this->transfer.reset();
    return ConfigError::kDamagedDelta;
  }
  this->transfer->count = part.count;
  this->transfer->parts[part.index] = part.bytes;
  this->transfer->deadline = now + absl::Milliseconds(kConfigRequestTimeoutMs);
  if (this->transfer->parts.size() < part.count)
    return false;
  const Transfer completed = std::move(*this->transfer);
  this->transfer.reset();
  const Result<bool> applied = this->ApplyTransfer(completed);
  if (!applied) {
    this->needs_whole = true;
    this->Deprioritize(peer, now);
  }
  return applied;
}

Result<bool> ConfigNode::ApplyTransfer(const Transfer& completed) {
  std::string bytes;
  for (const auto& [index, part] : completed.parts)
    bytes += part;
  BOOST_OUTCOME_TRY(delta, Decode<Delta>(bytes));
  BOOST_OUTCOME_TRY(applied, this->state.Apply(delta));
  if (applied) {
    this->needs_whole = false;
    return true;
  }
  // The peer was replaced and has a lower version than it reported, or another
  // source delivered this version first.
  const auto found = this->peers.find(completed.peer);
  if (found != this->peers.end())
    found->second.version = delta.to;
  return false;
}

bool ConfigNode::IsReady(absl::Time now) {
  if (this->ready)
    return true;
  const bool has_enough_peers =
      static_cast<int>(this->peers.size()) >= this->options.expected_peers;
  const bool has_any_peer = !this->peers.empty();
  const bool has_sources = this->store_reached || has_enough_peers ||
                           (has_any_peer && now >= this->options.join_deadline);
  this->ready =
      has_sources && this->state.Version() >= this->HighestPeerVersion();
  return this->ready;
}

}  // namespace cuminjunction
