// The part of View that judges silence.

#include <algorithm>
#include <map>
#include <string>

#include "membership/view.h"

namespace cuminjunction {

namespace {

// Members of a region that send to this entry.
struct RegionCount {
  int64_t heard_before = 0;
  int64_t silent = 0;
};

// Moves a deadline; one in the infinite stays there.
void Postpone(absl::Duration step, Record* record) {
  record->silent_at += step;
  record->direct_until += step;
  record->dead_at += step;
}

}  // namespace

void View::Tick(absl::Time now) {
  this->AllowForLateness(now);
  this->JudgeRegions(now);
  std::vector<uint64_t> forgotten;
  for (auto& [name_hash, record] : this->records) {
    this->JudgeMember(&record, now);
    if (now > record.forget_at)
      forgotten.push_back(name_hash);
  }
  for (const uint64_t name_hash : forgotten) {
    const Member& member = this->records[name_hash].member;
    const auto owner = this->by_address.find({member.host, member.port});
    if (owner != this->by_address.end() && owner->second == name_hash)
      this->by_address.erase(owner);
    this->records.erase(name_hash);
  }
}

// During a pause nobody was heard, so the pause is added to every deadline.
// On top comes as much again, up to the suspicion deadline: heartbeats that
// arrived during the pause may have been dropped at the full socket buffer.
void View::AllowForLateness(absl::Time now) {
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
void View::JudgeRegions(absl::Time now) {
  std::map<std::string, RegionCount> regions;
  for (const auto& [name_hash, record] : this->records) {
    if (record.direct_sequence == 0 || HasEnded(record.member.state) ||
        record.member.state == MemberState::kLeaving)
      continue;
    RegionCount& count = regions[record.member.region];
    ++count.heard_before;
    if (!IsHeardDirectly(record, now))
      ++count.silent;
  }
  this->silent_regions.clear();
  for (const auto& [region, count] : regions) {
    const int64_t least = region == this->self.region
                              ? this->options.least_silent_in_own_region
                              : 1;
    if (count.silent >= least && count.silent * 2 > count.heard_before)
      this->silent_regions.insert(region);
  }
}

void View::JudgeMember(Record* record, absl::Time now) {
  const MemberState state = record->member.state;
  const bool is_direct = record->direct_sequence > 0;
  if (this->silent_regions.contains(record->member.region) &&
      !IsHeardDirectly(*record, now)) {
    this->Apply("region_silence", record, now, false);
  } else if (state == MemberState::kUnreachable) {
    this->Apply("region_return", record, now, false);
    // Evidence that other entries passed on during the cut counts now.
    if (now <= record->silent_at)
      this->Apply(AnnouncementEvent(record->announced), record, now, false);
  } else if (now > record->silent_at && IsAnnounced(state)) {
    this->Apply("silence", record, now, is_direct);
  }
  if (now > record->dead_at)
    this->Apply("death", record, now, record->judged_here);
}

}  // namespace cuminjunction
