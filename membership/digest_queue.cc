#include "membership/digest_queue.h"

#include <algorithm>
#include <limits>

namespace cuminjunction {

namespace {

constexpr int kRounds = 3;

// As in view.cc: keeps a datagram below 1,200 bytes.
constexpr size_t kMaxBriefs = 40;
constexpr size_t kMaxRecords = 6;

// Changes of one round; those beyond wait for the next one, so that a mass
// start does not flood the peers. Short ones have a bound of their own, so that
// a leaving member does not wait behind those that start.
constexpr size_t kMaxRoundRecords = 4 * kMaxRecords;
constexpr size_t kMaxRoundBriefs = 3 * kMaxBriefs;

// Collects what one round tells into datagrams.
class Packer {
 public:
  explicit Packer(View* view) : view(view) { this->Open(); }

  void Add(const Brief& brief) {
    if (this->digests.back().briefs.size() >= kMaxBriefs ||
        this->digests.back().records.size() >= kMaxRecords)
      this->Open();
    this->digests.back().briefs.push_back(brief);
  }

  void Add(const FullRecord& record) {
    if (this->digests.back().records.size() >= kMaxRecords ||
        this->digests.back().briefs.size() >= kMaxBriefs / 2)
      this->Open();
    this->digests.back().records.push_back(record);
  }

  std::vector<Digest> Take() { return std::move(this->digests); }

 private:
  void Open() {
    Digest digest;
    digest.sender = this->view->NextSelfBrief();
    this->digests.push_back(std::move(digest));
  }

  View* view;
  std::vector<Digest> digests;
};

int64_t CountSlices(const GossipOptions& options) {
  return std::max<int64_t>(1, options.refresh_ms / options.digest_interval_ms);
}

}  // namespace

DigestQueue::DigestQueue(const GossipOptions& options)
    : topology(options.view.topology),
      slices(CountSlices(options)),
      region(options.self.region) {}

void DigestQueue::Add(const std::vector<MemberChange>& changes,
                      const View& view) {
  const bool relays = this->topology == Topology::kNeighbourhoods &&
                      this->IsRepresentative(view);
  for (const MemberChange& change : changes) {
    // Unreachable is the judgement of one entry about its own links.
    if (change.member.state == MemberState::kUnreachable)
      continue;
    if (!change.first_hand && !relays)
      continue;
    this->items[HashName(change.member.name)] = {kRounds, change.appeared,
                                                 change.first_hand};
  }
}

Round DigestQueue::NextRound(View* view, RoundKind kind, absl::Time now) {
  std::vector<uint64_t> slice;
  if (kind == RoundKind::kRegular)
    slice = this->NextSlice(*view);
  const std::vector<uint64_t> told = this->NextItems();
  Round round;
  round.near = this->Make(view, Audience::kNear, told, slice, now);
  if (this->topology == Topology::kNeighbourhoods &&
      this->IsRepresentative(*view))
    round.far = this->Make(view, Audience::kFar, told, slice, now);
  for (const uint64_t name_hash : told) {
    Item& item = this->items[name_hash];
    item.with_record = false;
    if (--item.rounds_left == 0)
      this->items.erase(name_hash);
  }
  return round;
}

std::vector<uint64_t> DigestQueue::NextItems() const {
  std::vector<uint64_t> out;
  size_t full = 0;
  size_t brief = 0;
  for (const auto& [name_hash, item] : this->items) {
    size_t& count = item.with_record ? full : brief;
    if (count++ < (item.with_record ? kMaxRoundRecords : kMaxRoundBriefs))
      out.push_back(name_hash);
  }
  return out;
}

std::vector<Member> DigestQueue::Peers(const View& view) const {
  std::vector<Member> out;
  std::map<std::string, Member> representatives;
  for (const auto& [name_hash, record] : view.Records()) {
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
  if (this->IsRepresentative(view)) {
    for (const auto& [region, member] : representatives)
      out.push_back(member);
  }
  return out;
}

bool DigestQueue::IsRepresentative(const View& view) const {
  if (this->topology == Topology::kFullMesh)
    return true;
  for (const auto& [name_hash, record] : view.Records()) {
    const Member& member = record.member;
    if (member.role == Role::kEntry && member.region == this->region &&
        IsAnnounced(member.state) && !HasEnded(member.state) &&
        member.name < view.Self().name)
      return false;
  }
  return true;
}

// What was learned from another region is relayed into the own one, and what
// was learned in the own region to the others.
bool DigestQueue::IsFor(const Item& item,
                        const Member& member,
                        Audience audience) const {
  if (item.first_hand)
    return true;
  return (member.region == this->region) == (audience == Audience::kFar);
}

bool DigestQueue::Vouches(const Record& record,
                          Audience audience,
                          const View& view,
                          absl::Time now) const {
  if (!IsAnnounced(record.member.state) || HasEnded(record.member.state))
    return false;
  if (View::IsHeardDirectly(record, now))
    return true;
  if (this->topology == Topology::kFullMesh || !this->IsRepresentative(view))
    return false;
  return (record.member.region == this->region) == (audience == Audience::kFar);
}

std::vector<uint64_t> DigestQueue::NextSlice(const View& view) {
  std::vector<uint64_t> out;
  const auto& records = view.Records();
  const size_t count = (records.size() + this->slices - 1) / this->slices;
  auto it = records.lower_bound(this->cursor);
  for (size_t i = 0; i < count && it != records.end(); ++i, ++it)
    out.push_back(it->first);
  this->cursor = it == records.end() ? 0 : it->first;
  return out;
}

std::vector<Digest> DigestQueue::Make(View* view,
                                      Audience audience,
                                      const std::vector<uint64_t>& told,
                                      const std::vector<uint64_t>& slice,
                                      absl::Time now) const {
  Packer packer(view);
  for (const uint64_t name_hash : told) {
    const Item& item = this->items.at(name_hash);
    const std::optional<FullRecord> full = view->FindFull(name_hash);
    if (!full || !this->IsFor(item, full->member, audience))
      continue;
    if (item.with_record)
      packer.Add(*full);
    else
      packer.Add(MakeBrief(full->member, full->sequence));
  }
  for (const uint64_t name_hash : slice) {
    const auto found = view->Records().find(name_hash);
    if (found != view->Records().end() &&
        this->Vouches(found->second, audience, *view, now))
      packer.Add(MakeBrief(found->second.member, found->second.sequence));
  }
  return packer.Take();
}

}  // namespace cuminjunction
