#include "membership/member_table.h"

#include <algorithm>
#include <utility>

namespace cuminjunction {

namespace {

constexpr char kDeath[] = "death";
constexpr char kReplacement[] = "replacement";
constexpr char kSilence[] = "silence";

// Bounds of one datagram: about 21 bytes a summary and 130 bytes a record keep
// it below 1,200 bytes, which no usual path fragments.
constexpr size_t kMaxSummaries = 40;
constexpr size_t kMaxRecords = 6;

// Interval between two requests for the same record, so that another entry can
// be asked.
constexpr int64_t kRequestIntervalMs = 1000;

bool IsDeparture(MemberState state) {
  return state == MemberState::kLeaving || state == MemberState::kLeft;
}

EntryContact MakeContact(const Member& member) {
  return {member.name,     member.host,           member.port,
          member.tcp_port, member.failure_domain, member.region};
}

// Moves the first `count` elements, or all that there are.
template <class T>
std::vector<T> TakeFront(std::vector<T>* from, size_t count) {
  const auto end = from->begin() + std::min(count, from->size());
  std::vector<T> out(std::make_move_iterator(from->begin()),
                     std::make_move_iterator(end));
  from->erase(from->begin(), end);
  return out;
}

}  // namespace

MemberTable::MemberTable(Chart chart,
                         const MemberTableOptions& options,
                         Member self)
    : chart(std::move(chart)), options(options), self(std::move(self)) {
  this->self_hash = HashName(this->self.name);
}

HeartbeatOutcome MemberTable::MergeHeartbeat(const Heartbeat& heartbeat,
                                             absl::Time now) {
  HeartbeatOutcome outcome;
  const MemberSummary& summary = heartbeat.summary;
  if (summary.name_hash == this->self_hash)
    return outcome;
  const auto found = this->records.find(summary.name_hash);
  MemberRecord* record =
      found == this->records.end() ? nullptr : &found->second;
  if (record && record->member.incarnation > summary.incarnation) {
    outcome.higher_incarnation = record->member.incarnation;
    return outcome;
  }
  if (!record || record->member.incarnation < summary.incarnation) {
    if (!heartbeat.announcement) {
      outcome.lacks_announcement = true;
      return outcome;
    }
    record = this->Upsert(*heartbeat.announcement, now, true,
                          &outcome.higher_incarnation);
    if (!record)
      return outcome;
  }
  // An incarnation that has left stays so; the sender needs a new one.
  if (record->member.state == MemberState::kLeft && !IsDeparture(summary.state))
    outcome.higher_incarnation = summary.incarnation;
  this->MergeDirectEvidence(summary, record, now);
  if (heartbeat.is_last)
    this->ExpectIndirectEvidence(record, now);
  return outcome;
}

void MemberTable::ExpectIndirectEvidence(MemberRecord* record, absl::Time now) {
  record->direct_sequence = 0;
  record->direct_evidence_expiry = absl::InfinitePast();
  record->evidence_deadline =
      now + absl::Milliseconds(this->options.indirect_suspect_after_ms);
}

std::vector<Digest> MemberTable::MergeDigest(const Digest& digest,
                                             absl::Time now) {
  DigestReply reply;
  if (digest.sender.name_hash == this->self_hash)
    return {};
  for (const FullRecord& full : digest.records)
    this->MergeRecord(full, now, &reply);
  this->MergeSender(digest.sender, now, &reply);
  for (const MemberSummary& summary : digest.summaries)
    this->MergeSummary(summary, now, &reply);
  for (const uint64_t name_hash : digest.requested) {
    const std::optional<FullRecord> full = this->FindFull(name_hash);
    if (full)
      reply.records.push_back(*full);
  }
  if (digest.requests_all) {
    for (const auto& [name_hash, record] : this->records) {
      if (HasDirectEvidence(record, now) && IsAnnounced(record.member.state))
        reply.summaries.push_back(MakeSummary(record.member, record.sequence));
    }
  }
  return this->MakeDigests(reply);
}

void MemberTable::MergeSender(const MemberSummary& summary,
                              absl::Time now,
                              DigestReply* reply) {
  const auto found = this->records.find(summary.name_hash);
  if (found == this->records.end() ||
      found->second.member.incarnation < summary.incarnation) {
    this->RequestRecord(summary.name_hash, now, reply);
    this->RequestAllSummaries(summary.name_hash, now, reply);
    return;
  }
  MemberRecord& record = found->second;
  if (record.member.incarnation > summary.incarnation) {
    reply->records.push_back({record.member, record.sequence});
    return;
  }
  // Between neighbourhoods only the representatives send to each other, and
  // that role moves, so no particular entry is expected to send.
  const bool is_relay = this->options.topology == Topology::kNeighbourhoods &&
                        record.member.region != this->self.region;
  // After a silence, or at the first contact, the sender has member states
  // that this entry missed.
  if ((record.direct_sequence == 0 && !is_relay) ||
      !IsAnnounced(record.member.state))
    this->RequestAllSummaries(summary.name_hash, now, reply);
  if (is_relay)
    this->MergeIndirectEvidence(summary, &record, now);
  else
    this->MergeDirectEvidence(summary, &record, now);
}

void MemberTable::MergeRecord(const FullRecord& full,
                              absl::Time now,
                              DigestReply* reply) {
  const MemberSummary summary = MakeSummary(full.member, full.sequence);
  const auto found = this->records.find(summary.name_hash);
  const bool is_new = found == this->records.end() ||
                      found->second.member.incarnation < summary.incarnation;
  if (summary.name_hash != this->self_hash && is_new) {
    if (HasEnded(summary.state))
      return;
    uint64_t higher_incarnation = 0;
    if (!this->Upsert(full.member, now, false, &higher_incarnation))
      return;
  }
  this->MergeSummary(summary, now, reply);
}

void MemberTable::MergeSummary(const MemberSummary& summary,
                               absl::Time now,
                               DigestReply* reply) {
  if (summary.name_hash == this->self_hash) {
    // Another entry has a higher incarnation of this name: the clock stepped
    // back between two starts. This process is the current one.
    if (summary.incarnation > this->self.incarnation)
      this->self.incarnation = summary.incarnation + 1;
    return;
  }
  const auto found = this->records.find(summary.name_hash);
  if (found == this->records.end() ||
      found->second.member.incarnation < summary.incarnation) {
    if (!HasEnded(summary.state))
      this->RequestRecord(summary.name_hash, now, reply);
    return;
  }
  MemberRecord& record = found->second;
  if (record.member.incarnation > summary.incarnation) {
    if (!HasEnded(record.member.state))
      reply->records.push_back({record.member, record.sequence});
    return;
  }
  if (IsAnnounced(summary.state))
    this->MergeIndirectEvidence(summary, &record, now);
  else
    this->MergeJudgement(summary, &record, now, reply);
}

// Merges the judgement of another entry that the member is suspect or dead,
// made after the heartbeat of that sequence.
void MemberTable::MergeJudgement(const MemberSummary& summary,
                                 MemberRecord* record,
                                 absl::Time now,
                                 DigestReply* reply) {
  if (summary.state == MemberState::kUnreachable)
    return;
  const bool knows_later = record->sequence > summary.sequence &&
                           IsAnnounced(record->member.state) &&
                           HasDirectEvidence(*record, now);
  if (knows_later || IsDeparture(record->member.state)) {
    reply->summaries.push_back(MakeSummary(record->member, record->sequence));
    return;
  }
  if (record->sequence > summary.sequence ||
      record->member.state == MemberState::kUnreachable)
    return;
  record->sequence = summary.sequence;
  const bool is_death = summary.state == MemberState::kDead;
  this->ApplyEvent(is_death ? kDeath : kSilence, record, now, false);
}

bool MemberTable::AllowRequest(uint64_t key, absl::Time now) {
  const auto found = this->next_request_at.find(key);
  if (found != this->next_request_at.end() && now < found->second)
    return false;
  if (this->next_request_at.size() >= this->options.max_members)
    this->next_request_at.clear();
  this->next_request_at[key] = now + absl::Milliseconds(kRequestIntervalMs);
  return true;
}

void MemberTable::RequestRecord(uint64_t name_hash,
                                absl::Time now,
                                DigestReply* reply) {
  if (this->AllowRequest(name_hash, now))
    reply->requested.push_back(name_hash);
}

// An reply is a digest too. Without the limit in time, two entries that both
// lack something of the other would reply each other without end.
void MemberTable::RequestAllSummaries(uint64_t sender_hash,
                                      absl::Time now,
                                      DigestReply* reply) {
  if (this->AllowRequest(~sender_hash, now))
    reply->requests_all = true;
}

std::vector<Digest> MemberTable::MakeDigests(const DigestReply& reply) {
  std::vector<Digest> out;
  DigestReply rest = reply;
  while (rest.requests_all || !rest.summaries.empty() ||
         !rest.records.empty() || !rest.requested.empty()) {
    Digest digest;
    digest.sender = this->NextSelfSummary();
    digest.requests_all = std::exchange(rest.requests_all, false);
    // Briefs and records go into datagrams of their own.
    if (!rest.records.empty())
      digest.records = TakeFront(&rest.records, kMaxRecords);
    else
      digest.summaries = TakeFront(&rest.summaries, kMaxSummaries);
    digest.requested = TakeFront(&rest.requested, kMaxSummaries);
    out.push_back(std::move(digest));
  }
  return out;
}

MemberRecord* MemberTable::Upsert(const Member& member,
                                  absl::Time now,
                                  bool observed_locally,
                                  uint64_t* higher_incarnation) {
  const uint64_t name_hash = HashName(member.name);
  const bool is_known = this->records.contains(name_hash);
  if (!this->ClaimAddress(member, now, higher_incarnation))
    return nullptr;
  if (!is_known && !this->EvictEnded()) {
    ++this->refused;
    return nullptr;
  }
  MemberRecord& record = this->records[name_hash];
  const MemberState previous_state =
      is_known ? record.member.state : MemberState::kAlive;
  if (is_known)
    this->by_address.erase({record.member.host, record.member.port});
  record = MemberRecord();
  record.member = member;
  record.member.state = MemberState::kAlive;
  record.evidence_deadline =
      now + absl::Milliseconds(this->options.indirect_suspect_after_ms);
  this->by_address[{member.host, member.port}] = name_hash;
  this->RecordChange(record, previous_state, true, observed_locally);
  return &record;
}

// If the table is full, removes the ended member with the earliest removal
// deadline. Returns false if there is none.
bool MemberTable::EvictEnded() {
  if (this->records.size() < this->options.max_members)
    return true;
  auto oldest = this->records.end();
  for (auto it = this->records.begin(); it != this->records.end(); ++it) {
    if (HasEnded(it->second.member.state) &&
        (oldest == this->records.end() ||
         it->second.removal_deadline < oldest->second.removal_deadline))
      oldest = it;
  }
  if (oldest == this->records.end())
    return false;
  const Member& member = oldest->second.member;
  const auto owner = this->by_address.find({member.host, member.port});
  if (owner != this->by_address.end() && owner->second == oldest->first)
    this->by_address.erase(owner);
  this->changes.erase(oldest->first);
  this->records.erase(oldest);
  return true;
}

// A process at the address of another name is its successor if it started
// later.
bool MemberTable::ClaimAddress(const Member& member,
                               absl::Time now,
                               uint64_t* higher_incarnation) {
  const auto owner = this->by_address.find({member.host, member.port});
  if (owner == this->by_address.end() || owner->second == HashName(member.name))
    return true;
  const auto found = this->records.find(owner->second);
  if (found == this->records.end())
    return true;
  MemberRecord& previous = found->second;
  if (previous.member.incarnation > member.incarnation) {
    *higher_incarnation = previous.member.incarnation;
    return false;
  }
  this->ApplyEvent(kReplacement, &previous, now, true);
  return true;
}

void MemberTable::MergeDirectEvidence(const MemberSummary& summary,
                                      MemberRecord* record,
                                      absl::Time now) {
  // A departure goes to every entry, but only the entries that the member
  // heartbeats to may expect more from it.
  if (IsDeparture(summary.state) && record->direct_sequence == 0) {
    this->MergeIndirectEvidence(summary, record, now);
    return;
  }
  if (summary.sequence > record->direct_sequence) {
    record->direct_sequence = summary.sequence;
    record->direct_evidence_expiry =
        now + absl::Milliseconds(this->options.suspect_after_ms);
    record->evidence_deadline = record->direct_evidence_expiry;
  }
  this->MergeAnnouncedState(summary, record, now, true);
}

void MemberTable::MergeIndirectEvidence(const MemberSummary& summary,
                                        MemberRecord* record,
                                        absl::Time now) {
  const bool is_newer = summary.sequence > record->sequence;
  if (is_newer && !HasDirectEvidence(*record, now)) {
    // An agent that heartbeats to another entry has moved there. Entries always
    // send to each other, so one with indirect evidence only counts as silent.
    if (record->member.role == Role::kAgent)
      this->ExpectIndirectEvidence(record, now);
    record->evidence_deadline =
        now + absl::Milliseconds(this->options.indirect_suspect_after_ms);
  }
  // Being alive on the other side of a network partition does not make the
  // member reachable from here.
  const bool is_partitioned_region =
      record->member.state == MemberState::kUnreachable &&
      this->silent_regions.contains(record->member.region);
  if (is_partitioned_region && !IsDeparture(summary.state)) {
    this->UpdateIfNewer(summary, record);
    return;
  }
  this->MergeAnnouncedState(summary, record, now, record->judged_locally);
}

// Merges an announced state. A departure counts whatever its sequence,
// since nothing that the incarnation announced before can undo it.
void MemberTable::MergeAnnouncedState(const MemberSummary& summary,
                                      MemberRecord* record,
                                      absl::Time now,
                                      bool observed_locally) {
  const bool is_newer = this->UpdateIfNewer(summary, record);
  if (is_newer || IsDeparture(summary.state))
    this->ApplyEvent(AnnouncementEvent(summary.state), record, now,
                     observed_locally);
}

std::string MemberTable::AnnouncementEvent(MemberState state) {
  switch (state) {
    case MemberState::kUpstreamDown:
      return "upstream_failure";
    case MemberState::kLeaving:
      return "leave";
    case MemberState::kLeft:
      return "depart";
    default:
      return "heartbeat";
  }
}

bool MemberTable::UpdateIfNewer(const MemberSummary& summary,
                                MemberRecord* record) {
  if (summary.sequence <= record->sequence)
    return false;
  record->sequence = summary.sequence;
  record->member.config_version = summary.config_version;
  record->announced_state = summary.state;
  return true;
}

bool MemberTable::ApplyEvent(const std::string& event,
                             MemberRecord* record,
                             absl::Time now,
                             bool observed_locally) {
  const MemberState previous_state = record->member.state;
  const Result<std::string> next =
      this->chart.Next(std::string(StateName(previous_state)), event);
  const std::optional<MemberState> state =
      next ? ParseMemberState(next.value()) : std::nullopt;
  if (!state || *state == previous_state)
    return false;
  record->member.state = *state;
  record->judged_locally = observed_locally && !IsAnnounced(*state);
  record->death_deadline = absl::InfiniteFuture();
  record->removal_deadline = absl::InfiniteFuture();
  if (*state == MemberState::kSuspect)
    record->death_deadline =
        now + absl::Milliseconds(this->options.dead_after_ms);
  if (*state == MemberState::kUnreachable)
    record->death_deadline =
        now + absl::Milliseconds(this->options.unreachable_dead_after_ms);
  if (HasEnded(*state))
    record->removal_deadline =
        now + absl::Milliseconds(this->options.tombstone_ms);
  this->RecordChange(*record, previous_state, false, observed_locally);
  return true;
}

void MemberTable::RecordChange(const MemberRecord& record,
                               MemberState previous_state,
                               bool appeared,
                               bool observed_locally) {
  const auto [change, is_first] =
      this->changes.try_emplace(HashName(record.member.name),
                                PendingChange{previous_state, false, false});
  change->second.appeared |= appeared;
  change->second.observed_locally |= observed_locally;
}

std::vector<MemberChange> MemberTable::TakeChanges() {
  std::vector<MemberChange> out;
  for (const auto& [name_hash, change] : this->changes) {
    const auto found = this->records.find(name_hash);
    if (found == this->records.end())
      continue;
    const Member& member = found->second.member;
    if (change.appeared || change.previous_state != member.state)
      out.push_back({member, change.previous_state, change.appeared,
                     change.observed_locally});
  }
  this->changes.clear();
  return out;
}

void MemberTable::SetConfigVersion(uint64_t version) {
  this->self.config_version = std::max(this->self.config_version, version);
}

MemberSummary MemberTable::NextSelfSummary() {
  return MakeSummary(this->self, ++this->self_sequence);
}

std::optional<FullRecord> MemberTable::FindFull(uint64_t name_hash) const {
  if (name_hash == this->self_hash)
    return FullRecord{this->self, this->self_sequence};
  const auto found = this->records.find(name_hash);
  if (found == this->records.end())
    return std::nullopt;
  return FullRecord{found->second.member, found->second.sequence};
}

std::vector<Member> MemberTable::Members() const {
  std::vector<Member> out = {this->self};
  for (const auto& [name_hash, record] : this->records)
    out.push_back(record.member);
  return out;
}

std::vector<EntryContact> MemberTable::EntryContacts() const {
  std::vector<EntryContact> out;
  if (!IsDeparture(this->self.state))
    out.push_back(MakeContact(this->self));
  for (const auto& [name_hash, record] : this->records) {
    const Member& member = record.member;
    if (member.role == Role::kEntry && !IsDeparture(member.state) &&
        !HasEnded(member.state))
      out.push_back(MakeContact(member));
  }
  std::sort(out.begin(), out.end(),
            [](const EntryContact& a, const EntryContact& b) {
              return a.name < b.name;
            });
  return out;
}

}  // namespace cuminjunction
