#ifndef MEMBERSHIP_MEMBER_TABLE_H_
#define MEMBERSHIP_MEMBER_TABLE_H_

// The member table of an entry. It merges the heartbeats and digests that the
// entry receives and detects failed members by their silence.
//
//   MemberTable table(chart, MemberTableOptions{}, self);
//   HeartbeatOutcome outcome = table.MergeHeartbeat(heartbeat, now);
//   std::vector<Digest> replies = table.MergeDigest(digest, now);
//   table.Tick(now);                      // every tick_interval_ms
//   for (const MemberChange& change : table.TakeChanges()) ...
//
// Evidence that a member is alive is direct (the member sends to this entry) or
// indirect (another entry reports it). Evidence is ordered by incarnation, then
// by sequence.
// Suspicion based on direct evidence is sent to the other entries, and each
// of them that holds a higher sequence refutes it. A region whose directly
// heard members mostly fall silent at once is judged unreachable by this entry
// alone; that judgement is never sent.
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
struct MemberRecord {
  Member member;
  // Highest sequence known by any path, and the highest heard directly (0 when
  // the member does not send to this entry).
  uint64_t sequence = 0;
  uint64_t direct_sequence = 0;
  // Time up to which the last direct evidence counts as current.
  absl::Time direct_evidence_expiry = absl::InfinitePast();
  // Deadlines: the next evidence, the refutation of a suspicion, and the
  // removal of an ended member.
  absl::Time evidence_deadline = absl::InfiniteFuture();
  absl::Time death_deadline = absl::InfiniteFuture();
  absl::Time removal_deadline = absl::InfiniteFuture();
  // State that the member announced last, whatever this entry judges it to be.
  MemberState announced_state = MemberState::kAlive;
  // Whether this entry judged the present state by itself.
  bool judged_locally = false;
};

// A change of the table, with the member as it is now.
struct MemberChange {
  Member member;
  MemberState previous_state = MemberState::kAlive;
  // Whether the incarnation was unknown before.
  bool appeared = false;
  // Whether the change comes from a message of the member itself or from a
  // judgement of this entry, so that this entry must send it to the others.
  bool observed_locally = false;

  bool operator==(const MemberChange&) const = default;
};

struct HeartbeatOutcome {
  bool lacks_announcement = false;
  // An incarnation that the sender has to exceed, or 0.
  uint64_t higher_incarnation = 0;

  bool operator==(const HeartbeatOutcome&) const = default;
};

class MemberTable {
 public:
  // `chart` is charts/member.yaml.
  MemberTable(Chart chart, const MemberTableOptions& options, Member self);

  // Merges a heartbeat of an agent.
  HeartbeatOutcome MergeHeartbeat(const Heartbeat& heartbeat, absl::Time now);

  // Merges a digest of another entry. Returns the digests to send back to it.
  std::vector<Digest> MergeDigest(const Digest& digest, absl::Time now);

  // Judges silence. A call that comes late moves all deadlines by the
  // lateness and more, since a paused process has received nothing.
  void Tick(absl::Time now);

  // The changes since the last call, at most one a member.
  std::vector<MemberChange> TakeChanges();

  // This entry itself. Every digest carries its state and configuration
  // version.
  const Member& Self() const { return this->self; }
  void SetSelfState(MemberState state) { this->self.state = state; }
  void SetSelfPort(uint16_t port) { this->self.port = port; }
  void SetConfigVersion(uint64_t version);

  // The summary of this entry with the next sequence.
  MemberSummary NextSelfSummary();

  // The record of this entry itself or of a member; nullopt when unknown.
  std::optional<FullRecord> FindFull(uint64_t name_hash) const;

  // All rows by name hash, without this entry.
  const std::map<uint64_t, MemberRecord>& Records() const {
    return this->records;
  }

  // All members with this entry first, for `status`.
  std::vector<Member> Members() const;

  // The entries that agents may choose, this one included, sorted by name.
  std::vector<EntryContact> EntryContacts() const;

  // Whether direct evidence of the member is current.
  static bool HasDirectEvidence(const MemberRecord& record, absl::Time now) {
    return now <= record.direct_evidence_expiry;
  }

  // Regions judged silent by the last Tick().
  const std::set<std::string>& SilentRegions() const {
    return this->silent_regions;
  }

  // New members that were refused because the table was full.
  uint64_t RefusedMembers() const { return this->refused; }

 private:
  struct PendingChange {
    MemberState previous_state = MemberState::kAlive;
    bool appeared = false;
    bool observed_locally = false;
  };

  // Contents of the digests that answer a received digest.
  struct DigestReply {
    std::vector<MemberSummary> summaries;
    std::vector<FullRecord> records;
    std::vector<uint64_t> requested;
    bool requests_all = false;
  };

  void MergeSender(const MemberSummary& summary,
                   absl::Time now,
                   DigestReply* reply);
  void MergeRecord(const FullRecord& full, absl::Time now, DigestReply* reply);
  void MergeSummary(const MemberSummary& summary,
                    absl::Time now,
                    DigestReply* reply);
  void MergeJudgement(const MemberSummary& summary,
                      MemberRecord* record,
                      absl::Time now,
                      DigestReply* reply);
  void RequestRecord(uint64_t name_hash, absl::Time now, DigestReply* reply);
  void RequestAllSummaries(uint64_t sender_hash,
                           absl::Time now,
                           DigestReply* reply);
  // Returns whether the key was not requested in the last second, and if so
  // records the request.
  bool AllowRequest(uint64_t key, absl::Time now);
  std::vector<Digest> MakeDigests(const DigestReply& reply);

  // Adds or replaces a record. Returns nullptr when the table is full or the
  // address belongs to a higher incarnation, which is stored in
  // `higher_incarnation`.
  MemberRecord* Upsert(const Member& member,
                       absl::Time now,
                       bool observed_locally,
                       uint64_t* higher_incarnation);
  bool EvictEnded();
  bool ClaimAddress(const Member& member,
                    absl::Time now,
                    uint64_t* higher_incarnation);

  void MergeDirectEvidence(const MemberSummary& summary,
                           MemberRecord* record,
                           absl::Time now);
  void MergeIndirectEvidence(const MemberSummary& summary,
                             MemberRecord* record,
                             absl::Time now);
  // Expects evidence of the member from other entries only, from `now` on.
  void ExpectIndirectEvidence(MemberRecord* record, absl::Time now);
  void MergeAnnouncedState(const MemberSummary& summary,
                           MemberRecord* record,
                           absl::Time now,
                           bool observed_locally);

  // Stores sequence, announced state and configuration version if the summary
  // has a higher sequence than the record. Returns whether it has.
  static bool UpdateIfNewer(const MemberSummary& summary, MemberRecord* record);
  // The event of charts/member.yaml of an announced state.
  static std::string AnnouncementEvent(MemberState state);

  // Makes the transition of the chart for the event, if there is one. Returns
  // whether the state changed.
  bool ApplyEvent(const std::string& event,
                  MemberRecord* record,
                  absl::Time now,
                  bool observed_locally);
  void RecordChange(const MemberRecord& record,
                    MemberState previous_state,
                    bool appeared,
                    bool observed_locally);

  void AllowForLateness(absl::Time now);
  void JudgeRegions(absl::Time now);
  void JudgeMember(MemberRecord* record, absl::Time now);

  Chart chart;
  MemberTableOptions options;
  Member self;
  uint64_t self_hash;
  uint64_t self_sequence = 0;
  std::map<uint64_t, MemberRecord> records;
  std::map<UdpAddress, uint64_t> by_address;
  std::map<uint64_t, PendingChange> changes;
  // Earliest time of the next request for a record, or for all summaries of an
  // entry (key ~name_hash).
  std::map<uint64_t, absl::Time> next_request_at;
  std::set<std::string> silent_regions;
  absl::Time next_tick_at = absl::InfiniteFuture();
  uint64_t refused = 0;
};

}  // namespace cuminjunction

#endif  // MEMBERSHIP_MEMBER_TABLE_H_
