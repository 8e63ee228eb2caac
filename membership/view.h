#ifndef MEMBERSHIP_VIEW_H_
#define MEMBERSHIP_VIEW_H_

// The member table of an entry: merges what it hears and judges silence.
//
//   View view(chart, ViewOptions{}, self);
//   HeartbeatOutcome outcome = view.HearHeartbeat(heartbeat, now);
//   std::vector<Digest> replies = view.HearDigest(digest, now);
//   view.Tick(now);                      // every tick_interval_ms
//   for (const MemberChange& change : view.TakeChanges()) ...
//
// A member is heard directly (it sends to this entry) or indirectly (another
// entry mentions it). Evidence is ordered by incarnation, then by sequence.
// Suspicion of a directly heard member is told to the other entries, and each
// of them that holds a higher sequence refutes it. A region whose directly
// heard members mostly fall silent at once is judged unreachable by this entry
// alone; that judgement is never told.
//
// Time is an argument and must come from a clock that does not jump.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/chart.h"
#include "membership/member.h"
#include "membership/message.h"
#include "membership/options.h"

namespace cuminjunction {

// One row of the table.
struct Record {
  Member member;
  // Highest sequence known by any path, and the highest heard directly (0 when
  // the member does not send to this entry).
  uint64_t sequence = 0;
  uint64_t direct_sequence = 0;
  // Until when the last direct evidence counts as current.
  absl::Time direct_until = absl::InfinitePast();
  // Deadlines: the next evidence, the refutation of a suspicion, and the
  // removal of an ended member.
  absl::Time silent_at = absl::InfiniteFuture();
  absl::Time dead_at = absl::InfiniteFuture();
  absl::Time forget_at = absl::InfiniteFuture();
  // What the member announced last, under whatever it is judged to be now.
  MemberState announced = MemberState::kAlive;
  // Whether this entry judged the present state by itself.
  bool judged_here = false;
};

// A change of the table, with the member as it is now.
struct MemberChange {
  Member member;
  MemberState before = MemberState::kAlive;
  // Whether the incarnation was unknown before.
  bool appeared = false;
  // Whether this entry has it from the member itself or by its own judgement,
  // and so has to tell the other entries.
  bool first_hand = false;

  bool operator==(const MemberChange&) const = default;
};

struct HeartbeatOutcome {
  bool lacks_announcement = false;
  // An incarnation that the sender has to exceed, or 0.
  uint64_t higher_incarnation = 0;

  bool operator==(const HeartbeatOutcome&) const = default;
};

class View {
 public:
  // `chart` is charts/member.yaml.
  View(Chart chart, const ViewOptions& options, Member self);

  // Merges a heartbeat of an agent.
  HeartbeatOutcome HearHeartbeat(const Heartbeat& heartbeat, absl::Time now);

  // Merges a digest of another entry. Returns the digests to send back to it.
  std::vector<Digest> HearDigest(const Digest& digest, absl::Time now);

  // Judges silence. A call that comes late moves all deadlines by the
  // lateness and more, since a paused process has heard nobody.
  void Tick(absl::Time now);

  // The changes since the last call, at most one a member.
  std::vector<MemberChange> TakeChanges();

  // This entry itself. Its state and configuration version are told with every
  // digest.
  const Member& Self() const { return this->self; }
  void SetSelfState(MemberState state) { this->self.state = state; }
  void SetSelfPort(uint16_t port) { this->self.port = port; }
  void SetConfigVersion(uint64_t version);

  // The brief of this entry with the next sequence.
  Brief NextSelfBrief();

  // The record of this entry itself or of a member; nullopt when unknown.
  std::optional<FullRecord> FindFull(uint64_t name_hash) const;

  // All rows by name hash, without this entry.
  const std::map<uint64_t, Record>& Records() const { return this->records; }

  // All members with this entry first, for `status`.
  std::vector<Member> Members() const;

  // The entries that agents may choose, this one included, sorted by name.
  std::vector<EntryContact> EntryContacts() const;

  // Whether direct evidence of the member is current.
  static bool IsHeardDirectly(const Record& record, absl::Time now) {
    return now <= record.direct_until;
  }

  // Regions judged silent by the last Tick().
  const std::set<std::string>& SilentRegions() const {
    return this->silent_regions;
  }

  // New members that were refused because the table was full.
  uint64_t RefusedMembers() const { return this->refused; }

 private:
  struct PendingChange {
    MemberState before = MemberState::kAlive;
    bool appeared = false;
    bool first_hand = false;
  };

  // What the merge of a digest answers.
  struct Answer {
    std::vector<Brief> briefs;
    std::vector<FullRecord> records;
    std::vector<uint64_t> wanted;
    bool wants_all = false;
  };

  void HearSender(const Brief& brief, absl::Time now, Answer* answer);
  void HearRecord(const FullRecord& full, absl::Time now, Answer* answer);
  void HearBrief(const Brief& brief, absl::Time now, Answer* answer);
  void HearJudgement(const Brief& brief,
                     Record* record,
                     absl::Time now,
                     Answer* answer);
  void Want(uint64_t name_hash, absl::Time now, Answer* answer);
  void WantAll(uint64_t sender_hash, absl::Time now, Answer* answer);
  // Whether the question was not asked in the last second; counts as asked
  // then.
  bool MayAsk(uint64_t key, absl::Time now);
  std::vector<Digest> Pack(const Answer& answer);

  // Adds or replaces a record. Returns nullptr when the table is full or the
  // address belongs to a higher incarnation, which is stored in
  // `higher_incarnation`.
  Record* Upsert(const Member& member,
                 absl::Time now,
                 bool first_hand,
                 uint64_t* higher_incarnation);
  bool MakeRoom();
  bool ClaimAddress(const Member& member,
                    absl::Time now,
                    uint64_t* higher_incarnation);

  void AcceptDirect(const Brief& brief, Record* record, absl::Time now);
  void AcceptIndirect(const Brief& brief, Record* record, absl::Time now);
  // From now on other entries tell of the member.
  void ExpectIndirectly(Record* record, absl::Time now);
  void Announce(const Brief& brief,
                Record* record,
                absl::Time now,
                bool first_hand);

  // Takes over the newest sequence, announced state and configuration version.
  // Returns whether the brief is news.
  static bool Note(const Brief& brief, Record* record);
  // The event of charts/member.yaml of an announced state.
  static std::string AnnouncementEvent(MemberState state);

  // Takes the transition of the chart, if it has one. Returns whether the
  // state changed.
  bool Apply(const std::string& event,
             Record* record,
             absl::Time now,
             bool first_hand);
  void NoteChange(const Record& record,
                  MemberState before,
                  bool appeared,
                  bool first_hand);

  void AllowForLateness(absl::Time now);
  void JudgeRegions(absl::Time now);
  void JudgeMember(Record* record, absl::Time now);

  Chart chart;
  ViewOptions options;
  Member self;
  uint64_t self_hash;
  uint64_t self_sequence = 0;
  std::map<uint64_t, Record> records;
  std::map<UdpAddress, uint64_t> by_address;
  std::map<uint64_t, PendingChange> changes;
  // Until when a record, or all briefs of an entry, is not asked for again.
  std::map<uint64_t, absl::Time> asked_until;
  std::set<std::string> silent_regions;
  absl::Time next_tick_at = absl::InfiniteFuture();
  uint64_t refused = 0;
};

}  // namespace cuminjunction

#endif  // MEMBERSHIP_VIEW_H_
