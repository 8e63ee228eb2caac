// The failure detection of MemberTable.

#include <algorithm>
#include <map>
#include <string>

#include "membership/member_table.h"

namespace cuminjunction {

namespace {

// Members of a region that send to this entry.
struct RegionCount {
  int64_t direct_members = 0;
  int64_t silent_members = 0;
};

// Postpones the deadlines of the record; infinite ones stay infinite.
void Postpone(absl::Duration step, MemberRecord* record) {
  record->evidence_deadline += step;
  record->direct_evidence_expiry += step;
  record->death_deadline += step;
}

}  // namespace

void MemberTable::Tick(absl::Time now) {
  this->AllowForLateness(now);
  this->JudgeRegions(now);
  std::vector<uint64_t> expired;
  for (auto& [name_hash, record] : this->records) {
    this->JudgeMember(&record, now);
    if (now > record.removal_deadline)
      expired.push_back(name_hash);
  }
  for (const uint64_t name_hash : expired) {
    const Member& member = this->records[name_hash].member;
    const auto owner = this->by_address.find({member.host, member.port});
    if (owner != this->by_address.end() && owner->second == name_hash)
      this->by_address.erase(owner);
    this->records.erase(name_hash);
  }
}

// A paused process receives nothing, so the pause is added to every deadline,
// plus the same again, at most suspect_after_ms: heartbeats that arrived during
// the pause may have been dropped because the socket buffer was full.
void MemberTable::AllowForLateness(absl::Time now) {
  const absl::Duration lateness = now - this->next_tick_at;
  if (lateness > absl::Milliseconds(this->options.late_tolerance_ms)) {
    const absl::Duration margin =
        std::min(lateness, absl::Milliseconds(this->options.suspect_after_ms));
    for (auto& [name_hash, record] : this->records)
      Postpone(lateness + margin, &record);
  }
  this->next_tick_at = now + absl::Milliseconds(this->options.tick_interval_ms);
}

// A region is silent when more than half of its members that sent to this
// entry and have not ended are silent. Members that die one by one end, and so
// leave the count, before they make up half.
void MemberTable::JudgeRegions(absl::Time now) {
  std::map<std::string, RegionCount> regions;
  for (const auto& [name_hash, record] : this->records) {
    if (record.direct_sequence == 0 || HasEnded(record.member.state) ||
        record.member.state == MemberState::kLeaving)
      continue;
    RegionCount& count = regions[record.member.region];
    ++count.direct_members;
    if (!HasDirectEvidence(record, now))
      ++count.silent_members;
  }
  this->silent_regions.clear();
  for (const auto& [region, count] : regions) {
    const int64_t min_silent = region == this->self.region
                                   ? this->options.min_silent_in_own_region
                                   : 1;
    if (count.silent_members >= min_silent &&
        count.silent_members * 2 > count.direct_members)
      this->silent_regions.insert(region);
  }
}

void MemberTable::JudgeMember(MemberRecord* record, absl::Time now) {
  const MemberState state = record->member.state;
  const bool is_direct = record->direct_sequence > 0;
  if (this->silent_regions.contains(record->member.region) &&
      !HasDirectEvidence(*record, now)) {
    this->ApplyEvent("region_silence", record, now, false);
  } else if (state == MemberState::kUnreachable) {
    this->ApplyEvent("region_return", record, now, false);
    // Evidence that other entries relayed during the partition counts now.
    if (now <= record->evidence_deadline)
      this->ApplyEvent(AnnouncementEvent(record->announced_state), record, now,
                       false);
  } else if (now > record->evidence_deadline && IsAnnounced(state)) {
    this->ApplyEvent("silence", record, now, is_direct);
  }
  if (now > record->death_deadline)
    this->ApplyEvent("death", record, now, record->judged_locally);
}

}  // namespace cuminjunction
