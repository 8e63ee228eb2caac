#ifndef FLEET_TESTING_PORT_PROCESS_H_
#define FLEET_TESTING_PORT_PROCESS_H_

// A process to which planners connect, for tests of what a planner sends it.
//
//   PortProcess process(settings, &log, on_connected, on_message);
//   process.Call([&] { process.Send(notice); });
//
// The handlers are called on the thread of the process, as Call() is.

#include <gtest/gtest.h>

#include <functional>
#include <utility>

#include "base/event_thread.h"
#include "fleet/planner_port.h"
#include "settings/settings.h"

namespace cuminjunction {

class PortProcess {
 public:
  PortProcess(
      const Settings& settings,
      Log* log,
      std::function<void()> on_connected,
      std::function<void(FleetMessage&&)> on_message,
      std::function<void(const PlannerPing&)> on_ping =
          [](const PlannerPing&) {})
      : thread("process"),
        port(&this->thread,
             settings.name,
             log,
             {.on_planner_connected = std::move(on_connected),
              .on_planner_disconnected = [] {},
              .is_store_unreachable = nullptr,
              .rules_out_long_grants = nullptr,
              .on_ping = std::move(on_ping),
              .on_message = std::move(on_message)}) {
    this->thread.Start();
    this->thread.Call([&] {
      const Endpoint address = Address(settings);
      EXPECT_TRUE(this->port.Listen(address.host, address.port));
    });
  }

  ~PortProcess() {
    this->thread.Call([this] { this->port.Close(); });
    this->thread.Stop();
  }

  // The address at which a process with these settings listens.
  static Endpoint Address(const Settings& settings) {
    return {"127.0.0.1", settings.listen.peer_port};
  }

  // Sends a message to the connected planner. Call it within Call().
  void Send(const FleetMessage& message) { this->port.Send(message); }

  // Runs `action` on the thread of the process and returns its result.
  template <class Action>
  auto Call(const Action& action) {
    return this->thread.Call(action);
  }

 private:
  EventThread thread;
  PlannerPort port;
};

}  // namespace cuminjunction

#endif  // FLEET_TESTING_PORT_PROCESS_H_
