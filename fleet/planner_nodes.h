#ifndef FLEET_PLANNER_NODES_H_
#define FLEET_PLANNER_NODES_H_

// The planner's connections to the other processes.
//
//   PlannerNodes nodes(&context, "erie-a-1", &log, handlers);
//   nodes.Start(epoch);
//   nodes.Add("erie-a-2", row);
//   nodes.Tick(grant, commits_failing);   // several times a second
//   nodes.Send("erie-a-2", StopRuns{...});

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/frame_link.h"
#include "base/log.h"
#include "fleet/fleet_message.h"
#include "fleet/node_row.h"

namespace cuminjunction {

struct PlannerNodesHandlers {
  // A connection is open and the node has answered the first ping on it.
  std::function<void(const std::string& vm, bool is_agent)> on_connected;
  // A connection on which the node had answered is closed.
  std::function<void(const std::string& vm, bool is_agent)> on_disconnected;
  // An entry has reported that no long grant can be in force.
  std::function<void()> on_long_grants_ruled_out;
  // Returns false while no grant may be made to this agent.
  std::function<bool(const std::string& vm)> may_grant;
  // A ping with a grant is about to be sent. `grant_deadline`, by the boot
  // clock of this process, is the latest time at which the node's runner may
  // run.
  std::function<void(const std::string& vm, absl::Time grant_deadline)>
      on_granted;
  std::function<void(const std::string& vm, FleetMessage&& message)> on_message;
  // A node has received messages of a planner with a higher epoch.
  std::function<void()> on_higher_epoch;
};

class PlannerNodes {
 public:
  // `context` and `log` must outlive this object.
  PlannerNodes(boost::asio::io_context* context,
               std::string planner,
               Log* log,
               PlannerNodesHandlers handlers);
  ~PlannerNodes();
  PlannerNodes(const PlannerNodes&) = delete;
  PlannerNodes& operator=(const PlannerNodes&) = delete;

  // Starts to connect to nodes, as the planner of this epoch.
  void Start(uint64_t epoch);

  // Closes all connections and removes all nodes.
  void Stop();

  // Sends a ping, with a grant if one may be made, to a node that has answered.
  void PingNow(const std::string& vm);

  // As PingNow(), unless a ping was sent to the node a short time ago.
  void PingUnlessRecent(const std::string& vm);

  // Returns true if the node was added.
  bool Contains(const std::string& vm) const {
    return this->nodes.contains(vm);
  }

  // Sets the evacuated failure domains that each ping carries, also after the
  // next Start(), and pings all agents at once.
  void SetEvacuations(const EvacuatedDomains& domains);

  // Latest NodePong::timestamp_us on the connection to the node; 0 for none.
  int64_t LatestTimestampUs(const std::string& vm) const;

  // Returns the VMs of all agents, connected or not.
  std::vector<std::string> Agents() const;

  // Adds a node or changes its address, and connects to it.
  void Add(const std::string& vm, const NodeRow& row);

  // Opens missing connections, sends pings that are due, and closes connections
  // whose node no longer answers. `grant` is how long agents may keep their
  // runners running from their latest timestamp on; zero grants nothing.
  void Tick(absl::Duration grant, bool commits_failing);

  // True if every running entry has recently reported that it does not reach
  // the store. An entry whose VM refuses connections is not running.
  bool NoEntryReachesStore(absl::Time now) const;

  // Sends a message to a node. Drops it if there is no connection.
  void Send(const std::string& vm, const FleetMessage& message);

  // Sends a message to all connected entries.
  void SendToEntries(const FleetMessage& message);

  // Returns the VMs of the agents that have answered on their connection.
  std::vector<std::string> ConnectedAgents() const;

 private:
  struct Node {
    NodeRow row;
    std::shared_ptr<FrameLink> link;
    // The node has answered on this connection.
    bool answered = false;
    // When the last message arrived, or the connection was begun.
    absl::Time last_received;
    // Infinite future while another VM has the address.
    absl::Time retry_at = absl::InfinitePast();
    absl::Time last_ping_sent = absl::InfinitePast();
    // Latest NodePong::timestamp_us on this connection; 0 for none.
    int64_t timestamp_us = 0;
    // The last pong reported that the node does not reach the store.
    bool store_unreachable = false;
    // The last connection was refused, so no process listens at the address.
    bool refused = false;
  };

  void Connect(const std::string& vm, Node* node);
  void Disconnect(const std::string& vm, Node* node, std::error_code reason);
  void Ping(const std::string& vm, Node* node);
  Status OnPayload(const std::string& vm, std::string_view payload);
  void OnPong(const std::string& vm, Node* node, const NodePong& pong);

  boost::asio::io_context* context;
  std::string planner;
  Log* log;
  PlannerNodesHandlers handlers;
  uint64_t epoch = 0;
  bool active = false;
  absl::Duration current_grant;
  bool current_commits_failing = false;
  EvacuatedDomains evacuations;
  std::map<std::string, Node> nodes;
};

}  // namespace cuminjunction

#endif  // FLEET_PLANNER_NODES_H_
