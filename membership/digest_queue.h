#ifndef MEMBERSHIP_DIGEST_QUEUE_H_
#define MEMBERSHIP_DIGEST_QUEUE_H_

// What an entry has to tell the other entries.
//
//   queue.Add(view.TakeChanges());
//   Round round = queue.NextRound(&view, RoundKind::kRegular, now);
//   for (const Digest& digest : round.near) ...   // to peers of the own region
//
// A change is told in three rounds, since datagrams get lost; the full record
// goes along in the first, and a receiver that missed it asks for it. Regular
// rounds also mention a slice of the members that this entry vouches for, so
// that every entry sees evidence of each member within refresh_ms.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "membership/options.h"
#include "membership/view.h"

namespace cuminjunction {

enum class RoundKind { kRegular, kChangesOnly };

// The digests of one round, at least one for each kind of peer. In a full mesh
// `far` is empty and all peers get those of `near`.
struct Round {
  std::vector<Digest> near;
  std::vector<Digest> far;
};

class DigestQueue {
 public:
  explicit DigestQueue(const GossipOptions& options);

  // Takes the changes that this entry has to tell.
  void Add(const std::vector<MemberChange>& changes, const View& view);

  // Whether changes wait to be told.
  bool HasChanges() const { return !this->items.empty(); }

  Round NextRound(View* view, RoundKind kind, absl::Time now);

  // The entries that this entry sends its digests to.
  std::vector<Member> Peers(const View& view) const;

  // Whether this entry exchanges digests with other regions: in a full mesh
  // every entry, else the first by name of its region.
  bool IsRepresentative(const View& view) const;

 private:
  struct Item {
    int rounds_left = 0;
    bool with_record = false;
    bool first_hand = false;
  };
  enum class Audience { kNear, kFar };

  bool IsFor(const Item& item, const Member& member, Audience audience) const;
  bool Vouches(const Record& record,
               Audience audience,
               const View& view,
               absl::Time now) const;
  // Members whose changes are told in the next round.
  std::vector<uint64_t> NextItems() const;
  // Members that the next regular round mentions if this entry vouches for
  // them.
  std::vector<uint64_t> NextSlice(const View& view);
  std::vector<Digest> Make(View* view,
                           Audience audience,
                           const std::vector<uint64_t>& told,
                           const std::vector<uint64_t>& slice,
                           absl::Time now) const;

  Topology topology;
  int64_t slices;
  std::string region;
  std::map<uint64_t, Item> items;
  // Name hash at which the next slice starts.
  uint64_t cursor = 0;
};

}  // namespace cuminjunction

#endif  // MEMBERSHIP_DIGEST_QUEUE_H_
