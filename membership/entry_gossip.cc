#include "membership/entry_gossip.h"

#include <algorithm>
#include <utility>

namespace cuminjunction {

namespace {

// A departing entry repeats its announcement, since datagrams get lost.
constexpr int kDepartureRepeats = 3;

Member WithIncarnation(Member self) {
  if (self.incarnation == 0)
    self.incarnation = absl::ToUnixMillis(SystemClock().Now());
  return self;
}

std::vector<std::string> EncodeAll(const std::vector<Digest>& digests) {
  std::vector<std::string> out;
  out.reserve(digests.size());
  for (const Digest& digest : digests)
    out.push_back(EncodeMessage(digest));
  return out;
}

}  // namespace

EntryGossip::EntryGossip(EventThread* thread,
                         Chart chart,
                         const GossipOptions& options,
                         std::vector<EntryListener> listeners,
                         Metrics* metrics)
    : options(options),
      listeners(std::move(listeners)),
      table(std::move(chart), options.table, WithIncarnation(options.self)),
      queue(options),
      socket(&thread->Context(), metrics),
      tick_timer(thread->Context()),
      other_region_bytes(
          metrics->GetCounter("membership_other_region_bytes_total",
                              "direction=\"sent\"")) {}

Status EntryGossip::Open() {
  BOOST_OUTCOME_TRY(this->socket.Open(
      {this->options.self.host, this->options.self.port},
      [this](const Datagram& message, const UdpAddress& from) {
        this->OnDatagram(message, from);
      }));
  this->table.SetSelfPort(this->socket.Port());
  this->entry_contacts = this->table.EntryContacts();
  this->entry_contacts_hash = HashEntries(this->entry_contacts);
  const absl::Time now = this->clock.Now();
  this->ContactSeeds(now);
  this->ScheduleTick(now +
                     absl::Milliseconds(this->options.table.tick_interval_ms));
  return Ok();
}

void EntryGossip::Close() {
  this->tick_timer.cancel();
  this->socket.Close();
}

void EntryGossip::SetConfigVersion(uint64_t version) {
  if (version <= this->table.Self().config_version)
    return;
  this->table.SetConfigVersion(version);
  Acknowledgement notice;
  notice.config_version = version;
  const std::string bytes = EncodeMessage(notice);
  const absl::Time now = this->clock.Now();
  for (const auto& [name_hash, record] : this->table.Records()) {
    const Member& member = record.member;
    if (member.role == Role::kAgent &&
        MemberTable::HasDirectEvidence(record, now))
      this->Send(bytes, {member.host, member.port},
                 member.region != this->options.self.region);
  }
}

void EntryGossip::Leave() {
  this->AnnounceDeparture(MemberState::kLeaving);
}

void EntryGossip::Depart() {
  this->AnnounceDeparture(MemberState::kLeft);
}

void EntryGossip::AnnounceDeparture(MemberState state) {
  this->table.SetSelfState(state);
  // Agents learn from the changed list to heartbeat to other entries.
  this->entry_contacts = this->table.EntryContacts();
  this->entry_contacts_hash = HashEntries(this->entry_contacts);
  const absl::Time now = this->clock.Now();
  for (int i = 0; i < kDepartureRepeats; ++i)
    this->SendRound(RoundKind::kChangesOnly, now);
}

void EntryGossip::OnDatagram(const Datagram& message, const UdpAddress& from) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
    this->OnHeartbeat(*heartbeat, from);
  else if (const auto* digest = std::get_if<Digest>(&message))
    this->OnDigest(*digest, from);
  this->ReportChanges();
}

void EntryGossip::OnHeartbeat(const Heartbeat& heartbeat,
                              const UdpAddress& from) {
  const HeartbeatOutcome outcome =
      this->table.MergeHeartbeat(heartbeat, this->clock.Now());
  Acknowledgement acknowledgement;
  acknowledgement.sequence = heartbeat.summary.sequence;
  acknowledgement.config_version = this->table.Self().config_version;
  acknowledgement.lacks_announcement = outcome.lacks_announcement;
  acknowledgement.higher_incarnation = outcome.higher_incarnation;
  if (heartbeat.entries_hash != this->entry_contacts_hash)
    acknowledgement.entries = this->entry_contacts;
  const auto found = this->table.Records().find(heartbeat.summary.name_hash);
  const bool is_far = found != this->table.Records().end() &&
                      found->second.member.region != this->options.self.region;
  this->Send(EncodeMessage(acknowledgement), from, is_far);
}

void EntryGossip::OnDigest(const Digest& digest, const UdpAddress& from) {
  const std::vector<Digest> replies =
      this->table.MergeDigest(digest, this->clock.Now());
  const std::optional<FullRecord> sender =
      this->table.FindFull(digest.sender.name_hash);
  const bool is_far =
      sender && sender->member.region != this->options.self.region;
  for (const Digest& reply : replies)
    this->Send(EncodeMessage(reply), from, is_far);
  this->ReportConfigVersion(digest.sender);
}

void EntryGossip::ReportConfigVersion(const MemberSummary& sender) {
  const uint64_t version = sender.config_version;
  const uint64_t newest_known =
      std::max(this->newest_config_version, this->table.Self().config_version);
  if (version <= newest_known)
    return;
  // The full record of a new entry follows; the version is noticed then.
  const std::optional<FullRecord> full = this->table.FindFull(sender.name_hash);
  if (!full)
    return;
  this->newest_config_version = version;
  for (const EntryListener& listener : this->listeners) {
    if (listener.on_config_version)
      listener.thread->Post([notify = listener.on_config_version, version,
                             entry = full->member] { notify(version, entry); });
  }
}

void EntryGossip::ScheduleTick(absl::Time at) {
  this->tick_timer.expires_after(
      absl::ToChronoMicroseconds(at - this->clock.Now()));
  this->tick_timer.async_wait(
      [this, at](const boost::system::error_code& error) {
        if (error)
          return;
        this->Tick();
        const absl::Duration interval =
            absl::Milliseconds(this->options.table.tick_interval_ms);
        // After a pause the missed ticks are not made up for.
        this->ScheduleTick(std::max(at + interval, this->clock.Now()));
      });
}

void EntryGossip::Tick() {
  const absl::Time now = this->clock.Now();
  this->table.Tick(now);
  this->ReportChanges();
  if (now >= this->next_round_at) {
    this->next_round_at =
        now + absl::Milliseconds(this->options.digest_interval_ms);
    this->SendRound(RoundKind::kRegular, now);
  } else if (this->queue.HasChanges()) {
    this->SendRound(RoundKind::kChangesOnly, now);
  }
  if (now >= this->next_seeds_at)
    this->ContactSeeds(now);
}

void EntryGossip::SendRound(RoundKind kind, absl::Time now) {
  const std::vector<Member> peers = this->queue.Peers(this->table);
  const GossipRound round = this->queue.NextRound(&this->table, kind, now);
  const std::vector<std::string> near = EncodeAll(round.near);
  const std::vector<std::string> far = EncodeAll(round.far);
  for (const Member& peer : peers) {
    const bool is_far = peer.region != this->options.self.region;
    const auto& datagrams = is_far && !far.empty() ? far : near;
    for (const std::string& bytes : datagrams)
      this->Send(bytes, {peer.host, peer.port}, is_far);
  }
}

// A seed that is a member gets the rounds already. One that is not, or that
// was given up, is contacted with the record of this entry; so two sides that
// gave each other up during a long cut find each other again.
void EntryGossip::ContactSeeds(absl::Time now) {
  this->next_seeds_at =
      now + absl::Milliseconds(this->options.seed_interval_ms);
  std::set<UdpAddress> known = {{this->options.self.host, this->socket.Port()}};
  for (const auto& [name_hash, record] : this->table.Records()) {
    if (!HasEnded(record.member.state))
      known.insert({record.member.host, record.member.port});
  }
  for (const UdpAddress& seed : this->options.seeds) {
    if (known.contains(seed))
      continue;
    Digest digest;
    digest.sender = this->table.NextSelfSummary();
    digest.records = {*this->table.FindFull(digest.sender.name_hash)};
    this->Send(EncodeMessage(digest), seed, false);
  }
}

void EntryGossip::ReportChanges() {
  const std::vector<MemberChange> changes = this->table.TakeChanges();
  if (changes.empty())
    return;
  this->entry_contacts = this->table.EntryContacts();
  this->entry_contacts_hash = HashEntries(this->entry_contacts);
  this->queue.Add(changes, this->table);
  for (const EntryListener& listener : this->listeners) {
    if (listener.on_changes)
      listener.thread->Post(
          [notify = listener.on_changes, changes] { notify(changes); });
  }
  const bool has_departure =
      std::any_of(changes.begin(), changes.end(), [](const auto& change) {
        return change.observed_locally &&
               change.member.state == MemberState::kLeaving;
      });
  if (has_departure)
    this->SendRound(RoundKind::kChangesOnly, this->clock.Now());
}

void EntryGossip::Send(const std::string& bytes,
                       const UdpAddress& to,
                       bool is_far) {
  this->socket.Send(bytes, to);
  if (is_far)
    this->other_region_bytes.Add(bytes.size() + kIpUdpHeaderBytes);
}

}  // namespace cuminjunction
