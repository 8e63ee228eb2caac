#ifndef MEMBERSHIP_AGENT_HEARTBEAT_H_
#define MEMBERSHIP_AGENT_HEARTBEAT_H_

// The membership task of an agent.
//
//   AgentHeartbeat heartbeat(&thread, options, listener, &metrics);
//   Status opened = thread.Call([&] { return heartbeat.Open(); });
//   thread.Post([&] { heartbeat.SetConfigVersion(12); });
//   thread.Post([&] { heartbeat.Leave([] { ... }); });
//   ...
//   thread.Call([&] { heartbeat.Close(); });
//
// The agent heartbeats to a few entries that it picks. It picks another one
// when one does not answer, and announces changes of its own state at once.
// All methods run on the event thread.

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/event_thread.h"
#include "base/metrics.h"
#include "base/time.h"
#include "membership/member.h"
#include "membership/message.h"
#include "membership/options.h"
#include "membership/udp_socket.h"

namespace cuminjunction {

// Receiver of the events of an agent. The functions run on `thread`; either may
// be empty.
struct AgentListener {
  EventThread* thread = nullptr;
  // An entry has a configuration version above that of this process.
  std::function<void(uint64_t version, EntryContact entry)> on_config_version;
  // The list of entries changed.
  std::function<void(std::vector<EntryContact> entries)> on_entries;
};

class AgentHeartbeat {
 public:
  // `thread` and `metrics` must outlive this object.
  AgentHeartbeat(EventThread* thread,
                 const HeartbeatOptions& options,
                 AgentListener listener,
                 Metrics* metrics);

  // Binds the socket and sends the first heartbeats. Fails with the error of
  // the system.
  Status Open();
  // Closes the socket and stops the timers.
  void Close();

  const Member& Self() const { return this->self; }

  // The entries that the agent heartbeats to.
  std::vector<EntryContact> Contacts() const;

  // The version that this process runs, for `status`.
  void SetConfigVersion(uint64_t version);

  // Whether the upstream beside the agent answers.
  void SetUpstreamDown(bool is_down);

  // Announces that the agent takes no new work, or that it is gone, to every
  // entry it knows. `done` runs on the listener's thread when all have
  // acknowledged or the attempts are used up.
  void Leave(std::function<void()> done);
  void Depart(std::function<void()> done);

 private:
  struct Contact {
    EntryContact entry;
    int64_t unanswered = 0;
    bool has_announcement = false;
    uint32_t entries_hash = 0;
  };

  // A departure that is being announced.
  struct Departure {
    uint64_t sequence = 0;
    int64_t attempts_left = 0;
    std::set<UdpAddress> unacknowledged;
    std::function<void()> done;
  };

  void OnAcknowledgement(const Acknowledgement& acknowledgement,
                         const UdpAddress& from);
  void UpdateEntries(const std::vector<EntryContact>& entries);
  void ReportConfigVersion(uint64_t version, const UdpAddress& from);
  void RaiseIncarnation(uint64_t higher_incarnation);

  void ScheduleHeartbeat(absl::Time at);
  void SendScheduledHeartbeats();
  void SendHeartbeat(Contact* contact);
  void SendLastHeartbeat(const Contact& contact);
  void SendHeartbeats();
  void ReplaceSilentContacts(absl::Time now);
  void ChooseContacts(absl::Time now);
  std::vector<EntryContact> Candidates() const;

  void AnnounceDeparture(MemberState state, std::function<void()> done);
  void SendDeparture();
  void FinishDeparture();

  HeartbeatOptions options;
  AgentListener listener;
  Member self;
  SteadyClock clock;
  UdpSocket socket;
  boost::asio::steady_timer heartbeat_timer;
  boost::asio::steady_timer leave_timer;
  uint64_t sequence = 0;
  std::map<UdpAddress, Contact> contacts;
  std::vector<EntryContact> entries;
  // A list that came after the first takes effect with the next beat: while two
  // entries send different lists, an agent that acted on each at once would
  // switch contacts as fast as they answer.
  bool has_new_entries = false;
  std::map<UdpAddress, absl::Time> avoidance_expiry;
  Departure departure;
};

}  // namespace cuminjunction

#endif  // MEMBERSHIP_AGENT_HEARTBEAT_H_
