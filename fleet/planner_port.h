#ifndef FLEET_PLANNER_PORT_H_
#define FLEET_PLANNER_PORT_H_

// Port of a process on which it accepts connections of planners.
//
//   PlannerPort port(&thread, "erie-a-1", &log, handlers);
//   Status listening = port.Listen("10.0.0.5", 7700);
//   port.Send(AcceptedNotice{submission});   // to the current planner
//
// The current planner is the one with the highest epoch that was received; its
// latest connection is used. Messages of planners with a lower epoch are
// answered with a NodePong that carries the highest one. All calls are made on
// the event thread.

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "base/event_thread.h"
#include "base/frame_link.h"
#include "base/log.h"
#include "fleet/fleet_message.h"

namespace cuminjunction {

struct PlannerPortHandlers {
  // A planner has connected and is the current one from now on.
  std::function<void()> on_planner_connected;
  // The connection of the current planner was closed.
  std::function<void()> on_planner_disconnected;
  // Returns true if the process is an entry that does not reach the store.
  // Called before each answer to a ping. Null for agents.
  std::function<bool()> is_store_unreachable;
  // Returns NodePong::rules_out_long_grants. Null for agents.
  std::function<bool()> rules_out_long_grants;
  // A ping of the current planner has arrived and was answered.
  std::function<void(const PlannerPing&)> on_ping;
  // Any other message of the current planner has arrived.
  std::function<void(FleetMessage&&)> on_message;
};

class PlannerPort {
 public:
  // `thread` and `log` must outlive this object.
  PlannerPort(EventThread* thread,
              std::string vm,
              Log* log,
              PlannerPortHandlers handlers);
  ~PlannerPort();
  PlannerPort(const PlannerPort&) = delete;
  PlannerPort& operator=(const PlannerPort&) = delete;

  // Starts to accept connections. Fails with the system's error.
  Status Listen(const std::string& host, uint16_t port);

  // Sends a message to the current planner. Drops it if none is connected.
  void Send(const FleetMessage& message);

  bool IsConnected() const { return this->planner_link != nullptr; }
  // Epoch of the current planner, kept after it has disconnected; 0 before the
  // first one.
  uint64_t Epoch() const { return this->epoch; }
  // When the last ping of a current planner arrived, by the boot clock.
  absl::Time LastPing() const { return this->last_ping; }

  void Close();

 private:
  void Accept();
  void OpenConnection(boost::asio::ip::tcp::socket socket);
  Status OnPayload(const std::shared_ptr<FrameLink>& link,
                   std::string_view payload);
  void OnPing(const std::shared_ptr<FrameLink>& link, const PlannerPing& ping);
  void OnClosed(const std::shared_ptr<FrameLink>& link, std::error_code reason);

  std::string vm;
  Log* log;
  PlannerPortHandlers handlers;
  boost::asio::ip::tcp::acceptor acceptor;
  // All open connections, and the one of the current planner.
  std::set<std::shared_ptr<FrameLink>> links;
  std::shared_ptr<FrameLink> planner_link;
  uint64_t epoch = 0;
  absl::Time last_ping = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // FLEET_PLANNER_PORT_H_
