#ifndef MEMBERSHIP_OPTIONS_H_
#define MEMBERSHIP_OPTIONS_H_

// Options of the membership tasks. All times are in milliseconds. The defaults
// are those of docs/membership.md, which derives them from the budget per node.

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "membership/member.h"

namespace cuminjunction {

// Where a membership datagram goes to.
struct UdpAddress {
  std::string host;
  uint16_t port = 0;

  bool operator==(const UdpAddress&) const = default;
  bool operator<(const UdpAddress& other) const {
    return std::tie(this->host, this->port) < std::tie(other.host, other.port);
  }
};

enum class Topology {
  // Every entry sends its digests to every other entry.
  kFullMesh,
  // The entries of a region form a full mesh, and one entry of each region
  // exchanges digests with those of the other regions. Kept as the baseline
  // that bench/members_bench.cc compares with.
  kNeighbourhoods,
};

// Failure detection and size of the member table of an entry.
struct MemberTableOptions {
  Topology topology = Topology::kFullMesh;
  // Silence after which a member that heartbeats to this entry is suspected:
  // three heartbeats.
  int64_t suspect_after_ms = 7500;
  // Time that a suspected member has to refute the suspicion.
  int64_t dead_after_ms = 6000;
  // Silence after which a member known only from other entries is suspected:
  // three rounds of refresh_ms.
  int64_t indirect_suspect_after_ms = 180000;
  // Time after which an unreachable member counts as dead. Regions lose
  // contact for minutes.
  int64_t unreachable_dead_after_ms = 1800000;
  // How long a member that left or died is remembered. Longer than any other
  // entry can still hold it as alive.
  int64_t tombstone_ms = 600000;
  // Interval at which Tick() is called, and the lateness of a call above which
  // the process assumes that it was paused.
  int64_t tick_interval_ms = 250;
  int64_t late_tolerance_ms = 250;
  // Members that must fall silent together before the own region counts as
  // unreachable. One rack holds 3 VMs, so a rack alone does not suffice.
  int64_t min_silent_in_own_region = 4;
  // Bound of the table, ended members included.
  size_t max_members = 4096;
};

struct GossipOptions {
  // Name, addresses, failure domain and region of this entry. Port 0 lets the
  // kernel choose the UDP port; incarnation 0 takes the time of the start.
  Member self;
  // Membership addresses of entries to contact first.
  std::vector<UdpAddress> seeds;
  MemberTableOptions table;
  // Interval of digests in which nothing changed.
  int64_t digest_interval_ms = 2500;
  // Interval of digests while changes are queued.
  int64_t change_interval_ms = 250;
  // Time within which each member is mentioned to the other entries once.
  int64_t refresh_ms = 60000;
  // Interval at which seeds that are not known as members are contacted.
  int64_t seed_interval_ms = 6000;
};

struct HeartbeatOptions {
  // As in GossipOptions.
  Member self;
  // Membership addresses of entries to contact until an entry list is known.
  std::vector<UdpAddress> seeds;
  int64_t heartbeat_interval_ms = 2500;
  // Number of entries that the agent heartbeats to.
  size_t contact_count = 2;
  // Unanswered heartbeats in a row after which another entry is picked.
  int64_t max_unanswered = 3;
  // Time for which an entry that did not answer is not picked again.
  int64_t avoid_ms = 30000;
  // Interval and number of the repetitions of a leave announcement to an entry
  // that does not acknowledge it.
  int64_t leave_interval_ms = 200;
  int64_t leave_attempts = 8;
};

}  // namespace cuminjunction

#endif  // MEMBERSHIP_OPTIONS_H_
