#ifndef DAEMON_VERSION_SURVEY_H_
#define DAEMON_VERSION_SURVEY_H_

// Which configuration version each node runs, for `status`.
//
// An agent tells its version with each heartbeat, to two entries. Passing each
// of them on to all entries would cost every entry traffic for something that
// is rarely looked at, so an entry asks the others when somebody looks.
//
// All calls are made on the event thread of the parts.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "daemon/peer_net.h"
#include "membership/entry_gossip.h"

namespace cuminjunction {

class VersionSurvey {
 public:
  // The pointers must outlive this object.
  VersionSurvey(PeerNet* net, EntryGossip* gossip) : net(net), gossip(gossip) {}

  // Asks the other entries. Their replies are in Members() once they arrive.
  void Ask();

  // What this entry answers to the others.
  VersionsReply Answer() const;

  void OnReply(const VersionsReply& reply);

  // The members with the newest version known of each.
  std::vector<Member> Members() const;

 private:
  PeerNet* net;
  EntryGossip* gossip;
  std::map<std::string, uint64_t> reported;
};

}  // namespace cuminjunction

#endif  // DAEMON_VERSION_SURVEY_H_
