#include "membership/view.h"

#include <algorithm>
#include <utility>

namespace cuminjunction {

namespace {

constexpr char kDeath[] = "death";
constexpr char kReplacement[] = "replacement";
constexpr char kSilence[] = "silence";

// Bounds of one datagram: about 21 bytes a brief and 130 bytes a record keep
// it below 1,200 bytes, which no usual path fragments.
constexpr size_t kMaxBriefs = 40;
constexpr size_t kMaxRecords = 6;

// Time to wait for a wanted record before another entry is asked for it.
constexpr int64_t kAskAgainMs = 1000;

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

View::View(Chart chart, const ViewOptions& options, Member self)
    : chart(std::move(chart)), options(options), self(std::move(self)) {
  this->self_hash = HashName(this->self.name);
}

HeartbeatOutcome View::HearHeartbeat(const Heartbeat& heartbeat,
                                     absl::Time now) {
  HeartbeatOutcome outcome;
  const Brief& brief = heartbeat.brief;
  if (brief.name_hash == this->self_hash)
    return outcome;
  const auto found = this->records.find(brief.name_hash);
  Record* record = found == this->records.end() ? nullptr : &found->second;
  if (record && record->member.incarnation > brief.incarnation) {
    outcome.higher_incarnation = record->member.incarnation;
    return outcome;
  }
  if (!record || record->member.incarnation < brief.incarnation) {
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
  if (record->member.state == MemberState::kLeft && !IsDeparture(brief.state))
    outcome.higher_incarnation = brief.incarnation;
  this->AcceptDirect(brief, record, now);
  if (heartbeat.is_last)
    this->ExpectIndirectly(record, now);
  return outcome;
}

void View::ExpectIndirectly(Record* record, absl::Time now) {
  record->direct_sequence = 0;
  record->direct_until = absl::InfinitePast();
  record->silent_at = now + absl::Milliseconds(this->options.indirect_after_ms);
}

std::vector<Digest> View::HearDigest(const Digest& digest, absl::Time now) {
  Answer answer;
  if (digest.sender.name_hash == this->self_hash)
    return {};
  for (const FullRecord& full : digest.records)
    this->HearRecord(full, now, &answer);
  this->HearSender(digest.sender, now, &answer);
  for (const Brief& brief : digest.briefs)
    this->HearBrief(brief, now, &answer);
  for (const uint64_t name_hash : digest.wanted) {
    const std::optional<FullRecord> full = this->FindFull(name_hash);
    if (full)
      answer.records.push_back(*full);
  }
  if (digest.wants_all) {
    for (const auto& [name_hash, record] : this->records) {
      if (IsHeardDirectly(record, now) && IsAnnounced(record.member.state))
        answer.briefs.push_back(MakeBrief(record.member, record.sequence));
    }
  }
  return this->Pack(answer);
}

void View::HearSender(const Brief& brief, absl::Time now, Answer* answer) {
  const auto found = this->records.find(brief.name_hash);
  if (found == this->records.end() ||
      found->second.member.incarnation < brief.incarnation) {
    this->Want(brief.name_hash, now, answer);
    this->WantAll(brief.name_hash, now, answer);
    return;
  }
  Record& record = found->second;
  if (record.member.incarnation > brief.incarnation) {
    answer->records.push_back({record.member, record.sequence});
    return;
  }
  // Between neighbourhoods only some entries send to each other, and the role
  // moves among them; so nobody may expect to hear a particular one.
  const bool is_relay = this->options.topology == Topology::kNeighbourhoods &&
                        record.member.region != this->self.region;
  // After a silence, or at the first contact, the sender knows of members
  // what this entry missed.
  if ((record.direct_sequence == 0 && !is_relay) ||
      !IsAnnounced(record.member.state))
    this->WantAll(brief.name_hash, now, answer);
  if (is_relay)
    this->AcceptIndirect(brief, &record, now);
  else
    this->AcceptDirect(brief, &record, now);
}

void View::HearRecord(const FullRecord& full, absl::Time now, Answer* answer) {
  const Brief brief = MakeBrief(full.member, full.sequence);
  const auto found = this->records.find(brief.name_hash);
  const bool is_new = found == this->records.end() ||
                      found->second.member.incarnation < brief.incarnation;
  if (brief.name_hash != this->self_hash && is_new) {
    if (HasEnded(brief.state))
      return;
    uint64_t higher_incarnation = 0;
    if (!this->Upsert(full.member, now, false, &higher_incarnation))
      return;
  }
  this->HearBrief(brief, now, answer);
}

void View::HearBrief(const Brief& brief, absl::Time now, Answer* answer) {
  if (brief.name_hash == this->self_hash) {
    // Somebody knows a later incarnation of this name: a clock stepped back
    // between two starts. This process is the present one.
    if (brief.incarnation > this->self.incarnation)
      this->self.incarnation = brief.incarnation + 1;
    return;
  }
  const auto found = this->records.find(brief.name_hash);
  if (found == this->records.end() ||
      found->second.member.incarnation < brief.incarnation) {
    if (!HasEnded(brief.state))
      this->Want(brief.name_hash, now, answer);
    return;
  }
  Record& record = found->second;
  if (record.member.incarnation > brief.incarnation) {
    if (!HasEnded(record.member.state))
      answer->records.push_back({record.member, record.sequence});
    return;
  }
  if (IsAnnounced(brief.state))
    this->AcceptIndirect(brief, &record, now);
  else
    this->HearJudgement(brief, &record, now, answer);
}

// Another entry suspects the member or holds it for dead, after its heartbeat
// of that sequence.
void View::HearJudgement(const Brief& brief,
                         Record* record,
                         absl::Time now,
                         Answer* answer) {
  if (brief.state == MemberState::kUnreachable)
    return;
  const bool knows_later = record->sequence > brief.sequence &&
                           IsAnnounced(record->member.state) &&
                           IsHeardDirectly(*record, now);
  if (knows_later || IsDeparture(record->member.state)) {
    answer->briefs.push_back(MakeBrief(record->member, record->sequence));
    return;
  }
  if (record->sequence > brief.sequence ||
      record->member.state == MemberState::kUnreachable)
    return;
  record->sequence = brief.sequence;
  const bool is_death = brief.state == MemberState::kDead;
  this->Apply(is_death ? kDeath : kSilence, record, now, false);
}

bool View::MayAsk(uint64_t key, absl::Time now) {
  const auto found = this->asked_until.find(key);
  if (found != this->asked_until.end() && now < found->second)
    return false;
  if (this->asked_until.size() >= this->options.max_members)
    this->asked_until.clear();
  this->asked_until[key] = now + absl::Milliseconds(kAskAgainMs);
  return true;
}

void View::Want(uint64_t name_hash, absl::Time now, Answer* answer) {
  if (this->MayAsk(name_hash, now))
    answer->wanted.push_back(name_hash);
}

// An answer is a digest too. Without the limit in time, two entries that both
// lack something of the other would answer each other without end.
void View::WantAll(uint64_t sender_hash, absl::Time now, Answer* answer) {
  if (this->MayAsk(~sender_hash, now))
    answer->wants_all = true;
}

std::vector<Digest> View::Pack(const Answer& answer) {
  std::vector<Digest> out;
  Answer rest = answer;
  while (rest.wants_all || !rest.briefs.empty() || !rest.records.empty() ||
         !rest.wanted.empty()) {
    Digest digest;
    digest.sender = this->NextSelfBrief();
    digest.wants_all = std::exchange(rest.wants_all, false);
    // Briefs and records go into datagrams of their own.
    if (!rest.records.empty())
      digest.records = TakeFront(&rest.records, kMaxRecords);
    else
      digest.briefs = TakeFront(&rest.briefs, kMaxBriefs);
    digest.wanted = TakeFront(&rest.wanted, kMaxBriefs);
    out.push_back(std::move(digest));
  }
  return out;
}

Record* View::Upsert(const Member& member,
                     absl::Time now,
                     bool first_hand,
                     uint64_t* higher_incarnation) {
  const uint64_t name_hash = HashName(member.name);
  const bool is_known = this->records.contains(name_hash);
  if (!this->ClaimAddress(member, now, higher_incarnation))
    return nullptr;
  if (!is_known && !this->MakeRoom()) {
    ++this->refused;
    return nullptr;
  }
  Record& record = this->records[name_hash];
  const MemberState before =
      is_known ? record.member.state : MemberState::kAlive;
  if (is_known)
    this->by_address.erase({record.member.host, record.member.port});
  record = Record();
  record.member = member;
  record.member.state = MemberState::kAlive;
  record.silent_at = now + absl::Milliseconds(this->options.indirect_after_ms);
  this->by_address[{member.host, member.port}] = name_hash;
  this->NoteChange(record, before, true, first_hand);
  return &record;
}

// Forgets the ended member that would be forgotten next if the table is full.
bool View::MakeRoom() {
  if (this->records.size() < this->options.max_members)
    return true;
  auto oldest = this->records.end();
  for (auto it = this->records.begin(); it != this->records.end(); ++it) {
    if (HasEnded(it->second.member.state) &&
        (oldest == this->records.end() ||
         it->second.forget_at < oldest->second.forget_at))
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
bool View::ClaimAddress(const Member& member,
                        absl::Time now,
                        uint64_t* higher_incarnation) {
  const auto owner = this->by_address.find({member.host, member.port});
  if (owner == this->by_address.end() || owner->second == HashName(member.name))
    return true;
  const auto found = this->records.find(owner->second);
  if (found == this->records.end())
    return true;
  Record& previous = found->second;
  if (previous.member.incarnation > member.incarnation) {
    *higher_incarnation = previous.member.incarnation;
    return false;
  }
  this->Apply(kReplacement, &previous, now, true);
  return true;
}

void View::AcceptDirect(const Brief& brief, Record* record, absl::Time now) {
  // A departure goes to every entry, but only the entries that the member
  // heartbeats to may expect more from it.
  if (IsDeparture(brief.state) && record->direct_sequence == 0) {
    this->AcceptIndirect(brief, record, now);
    return;
  }
  if (brief.sequence > record->direct_sequence) {
    record->direct_sequence = brief.sequence;
    record->direct_until =
        now + absl::Milliseconds(this->options.suspect_after_ms);
    record->silent_at = record->direct_until;
  }
  this->Announce(brief, record, now, true);
}

void View::AcceptIndirect(const Brief& brief, Record* record, absl::Time now) {
  const bool is_news = brief.sequence > record->sequence;
  if (is_news && !IsHeardDirectly(*record, now)) {
    // An agent that another entry hears has moved there. Entries always send
    // to each other, so one that is heard only through others stays silent.
    if (record->member.role == Role::kAgent)
      this->ExpectIndirectly(record, now);
    record->silent_at =
        now + absl::Milliseconds(this->options.indirect_after_ms);
  }
  // Life on the other side of a cut does not make it reachable from here.
  const bool is_cut_off = record->member.state == MemberState::kUnreachable &&
                          this->silent_regions.contains(record->member.region);
  if (is_cut_off && !IsDeparture(brief.state)) {
    this->Note(brief, record);
    return;
  }
  this->Announce(brief, record, now, record->judged_here);
}

// Takes over an announced state. A departure counts whatever its sequence,
// since nothing that the incarnation announced before can undo it.
void View::Announce(const Brief& brief,
                    Record* record,
                    absl::Time now,
                    bool first_hand) {
  const bool is_news = this->Note(brief, record);
  if (is_news || IsDeparture(brief.state))
    this->Apply(AnnouncementEvent(brief.state), record, now, first_hand);
}

std::string View::AnnouncementEvent(MemberState state) {
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

bool View::Note(const Brief& brief, Record* record) {
  if (brief.sequence <= record->sequence)
    return false;
  record->sequence = brief.sequence;
  record->member.config_version = brief.config_version;
  record->announced = brief.state;
  return true;
}

bool View::Apply(const std::string& event,
                 Record* record,
                 absl::Time now,
                 bool first_hand) {
  const MemberState before = record->member.state;
  const Result<std::string> next =
      this->chart.Next(std::string(StateName(before)), event);
  const std::optional<MemberState> state =
      next ? StateOf(next.value()) : std::nullopt;
  if (!state || *state == before)
    return false;
  record->member.state = *state;
  record->judged_here = first_hand && !IsAnnounced(*state);
  record->dead_at = absl::InfiniteFuture();
  record->forget_at = absl::InfiniteFuture();
  if (*state == MemberState::kSuspect)
    record->dead_at = now + absl::Milliseconds(this->options.dead_after_ms);
  if (*state == MemberState::kUnreachable)
    record->dead_at =
        now + absl::Milliseconds(this->options.unreachable_for_ms);
  if (HasEnded(*state))
    record->forget_at = now + absl::Milliseconds(this->options.tombstone_ms);
  this->NoteChange(*record, before, false, first_hand);
  return true;
}

void View::NoteChange(const Record& record,
                      MemberState before,
                      bool appeared,
                      bool first_hand) {
  const auto [change, is_first] = this->changes.try_emplace(
      HashName(record.member.name), PendingChange{before, false, false});
  change->second.appeared |= appeared;
  change->second.first_hand |= first_hand;
}

std::vector<MemberChange> View::TakeChanges() {
  std::vector<MemberChange> out;
  for (const auto& [name_hash, change] : this->changes) {
    const auto found = this->records.find(name_hash);
    if (found == this->records.end())
      continue;
    const Member& member = found->second.member;
    if (change.appeared || change.before != member.state)
      out.push_back(
          {member, change.before, change.appeared, change.first_hand});
  }
  this->changes.clear();
  return out;
}

void View::SetConfigVersion(uint64_t version) {
  this->self.config_version = std::max(this->self.config_version, version);
}

Brief View::NextSelfBrief() {
  return MakeBrief(this->self, ++this->self_sequence);
}

std::optional<FullRecord> View::FindFull(uint64_t name_hash) const {
  if (name_hash == this->self_hash)
    return FullRecord{this->self, this->self_sequence};
  const auto found = this->records.find(name_hash);
  if (found == this->records.end())
    return std::nullopt;
  return FullRecord{found->second.member, found->second.sequence};
}

std::vector<Member> View::Members() const {
  std::vector<Member> out = {this->self};
  for (const auto& [name_hash, record] : this->records)
    out.push_back(record.member);
  return out;
}

std::vector<EntryContact> View::EntryContacts() const {
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
