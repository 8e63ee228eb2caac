#include "membership/digest_queue.h"

#include <algorithm>
#include <limits>

namespace cuminjunction {

namespace {

constexpr int kRoundsPerChange = 3;

// As in table.cc: keeps a datagram below 1,200 bytes.
constexpr size_t kMaxSummaries = 40;
constexpr size_t kMaxRecords = 6;

// Changes of one round; those beyond wait for the next one, so that a mass
// start does not flood the peers. Short ones have a bound of their own, so that
// a leaving member does not wait behind those that start.
constexpr size_t kMaxRoundRecords = 4 * kMaxRecords;
constexpr size_t kMaxRoundSummaries = 3 * kMaxSummaries;

// Packs the summaries and records of one round into digests.
class DigestPacker {
 public:
  explicit DigestPacker(MemberTable* table) : table(table) {
    this->StartDigest();
  }

  void Add(const MemberSummary& summary) {
    if (this->digests.back().summaries.size() >= kMaxSummaries ||
        this->digests.back().records.size() >= kMaxRecords)
      this->StartDigest();
    this->digests.back().summaries.push_back(summary);
  }

  void Add(const FullRecord& record) {
    if (this->digests.back().records.size() >= kMaxRecords ||
        this->digests.back().summaries.size() >= kMaxSummaries / 2)
      this->StartDigest();
    this->digests.back().records.push_back(record);
  }

  std::vector<Digest> TakeDigests() { return std::move(this->digests); }

 private:
  void StartDigest() {
    Digest digest;
    digest.sender = this->table->NextSelfSummary();
    this->digests.push_back(std::move(digest));
  }

  MemberTable* table;
  std::vector<Digest> digests;
};

int64_t CountSlices(const GossipOptions& options) {
  return std::max<int64_t>(1, options.refresh_ms / options.digest_interval_ms);
}

}  // namespace

DigestQueue::DigestQueue(const GossipOptions& options)
    : topology(options.table.topology),
      slice_count(CountSlices(options)),
      region(options.self.region) {}

void DigestQueue::Add(const std::vector<MemberChange>& changes,
                      const MemberTable& table) {
  const bool relays = this->topology == Topology::kNeighbourhoods &&
                      this->IsRepresentative(table);
  for (const MemberChange& change : changes) {
    // Unreachable is the judgement of one entry about its own links.
    if (change.member.state == MemberState::kUnreachable)
      continue;
    if (!change.observed_locally && !relays)
      continue;
    this->queued_changes[HashName(change.member.name)] = {
        kRoundsPerChange, change.appeared, change.observed_locally};
  }
}

GossipRound DigestQueue::NextRound(MemberTable* table,
                                   RoundKind kind,
                                   absl::Time now) {
  std::vector<uint64_t> slice;
  if (kind == RoundKind::kRegular)
    slice = this->NextSlice(*table);
  const std::vector<uint64_t> changed = this->NextChanges();
  GossipRound round;
  round.near = this->MakeDigests(table, Audience::kNear, changed, slice, now);
  if (this->topology == Topology::kNeighbourhoods &&
      this->IsRepresentative(*table))
    round.far = this->MakeDigests(table, Audience::kFar, changed, slice, now);
  for (const uint64_t name_hash : changed) {
    QueuedChange& item = this->queued_changes[name_hash];
    item.with_record = false;
    if (--item.rounds_left == 0)
      this->queued_changes.erase(name_hash);
  }
  return round;
}

std::vector<uint64_t> DigestQueue::NextChanges() const {
  std::vector<uint64_t> out;
  size_t record_count = 0;
  size_t summary_count = 0;
  for (const auto& [name_hash, item] : this->queued_changes) {
    size_t& count = item.with_record ? record_count : summary_count;
    if (count++ < (item.with_record ? kMaxRoundRecords : kMaxRoundSummaries))
      out.push_back(name_hash);
  }
  return out;
}

std::vector<Member> DigestQueue::Peers(const MemberTable& table) const {
  std::vector<Member> out;
  std::map<std::string, Member> representatives;
  for (const auto& [name_hash, record] : table.Records()) {
    const Member& member = record.member;
    if (member.role != Role::kEntry || HasEnded(member.state))
      continue;
    if (this->topology == Topology::kFullMesh ||
        member.region == this->region) {
      out.push_back(member);
      continue;
    }
    const auto [first, is_new] =
        representatives.try_emplace(member.region, member);
    if (member.name < first->second.name)
      first->second = member;
  }
  if (this->IsRepresentative(table)) {
    for (const auto& [region, member] : representatives)
      out.push_back(member);
  }
  return out;
}

bool DigestQueue::IsRepresentative(const MemberTable& table) const {
  if (this->topology == Topology::kFullMesh)
    return true;
  for (const auto& [name_hash, record] : table.Records()) {
    const Member& member = record.member;
    if (member.role == Role::kEntry && member.region == this->region &&
        IsAnnounced(member.state) && !HasEnded(member.state) &&
        member.name < table.Self().name)
      return false;
  }
  return true;
}

// A representative relays changes of other regions to its own region, and
// changes of its own region to the others.
bool DigestQueue::IsIncluded(const QueuedChange& item,
                             const Member& member,
                             Audience audience) const {
  if (item.observed_locally)
    return true;
  return (member.region == this->region) == (audience == Audience::kFar);
}

bool DigestQueue::VouchesFor(const MemberRecord& record,
                             Audience audience,
                             const MemberTable& table,
                             absl::Time now) const {
  if (!IsAnnounced(record.member.state) || HasEnded(record.member.state))
    return false;
  if (MemberTable::HasDirectEvidence(record, now))
    return true;
  if (this->topology == Topology::kFullMesh || !this->IsRepresentative(table))
    return false;
  return (record.member.region == this->region) == (audience == Audience::kFar);
}

std::vector<uint64_t> DigestQueue::NextSlice(const MemberTable& table) {
  std::vector<uint64_t> out;
  const auto& records = table.Records();
  const size_t count =
      (records.size() + this->slice_count - 1) / this->slice_count;
  auto it = records.lower_bound(this->next_slice_hash);
  for (size_t i = 0; i < count && it != records.end(); ++i, ++it)
    out.push_back(it->first);
  this->next_slice_hash = it == records.end() ? 0 : it->first;
  return out;
}

std::vector<Digest> DigestQueue::MakeDigests(
    MemberTable* table,
    Audience audience,
    const std::vector<uint64_t>& changed,
    const std::vector<uint64_t>& slice,
    absl::Time now) const {
  DigestPacker packer(table);
  for (const uint64_t name_hash : changed) {
    const QueuedChange& item = this->queued_changes.at(name_hash);
    const std::optional<FullRecord> full = table->FindFull(name_hash);
    if (!full || !this->IsIncluded(item, full->member, audience))
      continue;
    if (item.with_record)
      packer.Add(*full);
    else
      packer.Add(MakeSummary(full->member, full->sequence));
  }
  for (const uint64_t name_hash : slice) {
    const auto found = table->Records().find(name_hash);
    if (found != table->Records().end() &&
        this->VouchesFor(found->second, audience, *table, now))
      packer.Add(MakeSummary(found->second.member, found->second.sequence));
  }
  return packer.TakeDigests();
}

}  // namespace cuminjunction
