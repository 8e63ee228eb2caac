#ifndef MEMBERSHIP_DIGEST_QUEUE_H_
#define MEMBERSHIP_DIGEST_QUEUE_H_

// The changes that an entry has yet to send to the other entries.
//
//   queue.Add(table.TakeChanges());
//   Round round = queue.NextRound(&table, RoundKind::kRegular, now);
//   for (const Digest& digest : round.near) ...   // to peers of the own region
//
// A change is sent in three rounds, since datagrams get lost. The first round
// includes the full record, and a receiver that missed it requests it. Regular
// rounds also mention a slice of the members that this entry vouches for, so
// that every entry sees evidence of each member within refresh_ms.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "membership/member_table.h"
#include "membership/options.h"

namespace cuminjunction {

enum class RoundKind { kRegular, kChangesOnly };

// The digests of one round, at least one for each kind of peer. In a full mesh
// `far` is empty and all peers get those of `near`.
struct GossipRound {
  std::vector<Digest> near;
  std::vector<Digest> far;
};

class DigestQueue {
 public:
  explicit DigestQueue(const GossipOptions& options);

  // Queues the changes that this entry has to send.
  void Add(const std::vector<MemberChange>& changes, const MemberTable& table);

  // Whether changes are queued.
  bool HasChanges() const { return !this->queued_changes.empty(); }

  GossipRound NextRound(MemberTable* table, RoundKind kind, absl::Time now);

  // The entries that this entry sends its digests to.
  std::vector<Member> Peers(const MemberTable& table) const;

  // Whether this entry exchanges digests with other regions: in a full mesh
  // every entry, else the first by name of its region.
  bool IsRepresentative(const MemberTable& table) const;

 private:
  struct QueuedChange {
    int rounds_left = 0;
    bool with_record = false;
    bool observed_locally = false;
  };
  enum class Audience { kNear, kFar };

  bool IsIncluded(const QueuedChange& item,
                  const Member& member,
                  Audience audience) const;
  bool VouchesFor(const MemberRecord& record,
                  Audience audience,
                  const MemberTable& table,
                  absl::Time now) const;
  // Members whose changes are sent in the next round.
  std::vector<uint64_t> NextChanges() const;
  // Members that the next regular round mentions if this entry vouches for
  // them.
  std::vector<uint64_t> NextSlice(const MemberTable& table);
  std::vector<Digest> MakeDigests(MemberTable* table,
                                  Audience audience,
                                  const std::vector<uint64_t>& changed,
                                  const std::vector<uint64_t>& slice,
                                  absl::Time now) const;

  Topology topology;
  int64_t slice_count;
  std::string region;
  std::map<uint64_t, QueuedChange> queued_changes;
  // Name hash at which the next slice starts.
  uint64_t next_slice_hash = 0;
};

}  // namespace cuminjunction

#endif  // MEMBERSHIP_DIGEST_QUEUE_H_
