#ifndef MEMBERSHIP_ENTRY_GOSSIP_H_
#define MEMBERSHIP_ENTRY_GOSSIP_H_

// The membership task of an entry.
//
//   EntryGossip gossip(&thread, chart, options, {listener}, &metrics);
//   Status opened = thread.Call([&] { return gossip.Open(); });
//   thread.Post([&] { gossip.SetConfigVersion(12); });
//   std::vector<Member> members = thread.Call([&] {
//     return gossip.Members();
//   });
//   thread.Call([&] { gossip.Close(); });
//
// The entry acknowledges the heartbeats of agents and exchanges digests with
// the other entries. All methods run on the event thread.

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/chart.h"
#include "base/error.h"
#include "base/event_thread.h"
#include "base/metrics.h"
#include "base/time.h"
#include "membership/digest_queue.h"
#include "membership/member.h"
#include "membership/member_table.h"
#include "membership/message.h"
#include "membership/options.h"
#include "membership/udp_socket.h"

namespace cuminjunction {

// Receiver of the events of an entry. The functions run on `thread`; either may
// be empty.
struct EntryListener {
  EventThread* thread = nullptr;
  // Members that appeared or changed their state, as soon as the entry detects
  // it. The configuration version of a member changes without a report:
  // Members() has it.
  std::function<void(std::vector<MemberChange> changes)> on_changes;
  // Another entry runs a configuration version above all that were reported
  // before and above that of this entry.
  std::function<void(uint64_t version, Member entry)> on_config_version;
};

class EntryGossip {
 public:
  // `chart` is charts/member.yaml. `thread` and `metrics` must outlive this
  // object.
  EntryGossip(EventThread* thread,
              Chart chart,
              const GossipOptions& options,
              std::vector<EntryListener> listeners,
              Metrics* metrics);

  // Binds the socket and contacts the seeds. Fails with the error of the
  // system.
  Status Open();
  // Closes the socket and stops the timer.
  void Close();

  // This entry first, then all other members.
  std::vector<Member> Members() const { return this->table.Members(); }
  const Member& Self() const { return this->table.Self(); }
  const MemberTable& Table() const { return this->table; }

  // The version in force at this entry. A higher one is passed to the agents
  // at once.
  void SetConfigVersion(uint64_t version);

  // Announces to the other entries and agents that this entry leaves, or that
  // it is gone.
  void Leave();
  void Depart();

 private:
  void OnDatagram(const Datagram& message, const UdpAddress& from);
  void OnHeartbeat(const Heartbeat& heartbeat, const UdpAddress& from);
  void OnDigest(const Digest& digest, const UdpAddress& from);
  void ReportConfigVersion(const MemberSummary& sender);

  void ScheduleTick(absl::Time at);
  void Tick();
  void SendRound(RoundKind kind, absl::Time now);
  void ContactSeeds(absl::Time now);
  void ReportChanges();
  void AnnounceDeparture(MemberState state);
  void Send(const std::string& bytes, const UdpAddress& to, bool is_far);

  GossipOptions options;
  std::vector<EntryListener> listeners;
  MemberTable table;
  DigestQueue queue;
  SteadyClock clock;
  UdpSocket socket;
  boost::asio::steady_timer tick_timer;
  absl::Time next_round_at = absl::InfinitePast();
  absl::Time next_seeds_at = absl::InfinitePast();
  uint64_t newest_config_version = 0;
  // Kept between changes of the table, since each heartbeat needs the hash.
  std::vector<EntryContact> entry_contacts;
  uint32_t entry_contacts_hash = 0;
  Counter& other_region_bytes;
};

}  // namespace cuminjunction

#endif  // MEMBERSHIP_ENTRY_GOSSIP_H_
