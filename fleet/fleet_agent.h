#ifndef FLEET_FLEET_AGENT_H_
#define FLEET_FLEET_AGENT_H_

// An agent on the users' platform: receives the heartbeats of the runner on its
// VM, executes the planner's orders there and reports the runs to the planner.
//
//   Result<std::unique_ptr<FleetAgent>> agent = FleetAgent::Start(settings,
//   &log);
//   ...
//   agent.value()->Shutdown();

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "base/event_thread.h"
#include "base/http_front.h"
#include "base/log.h"
#include "base/metrics.h"
#include "fleet/fleet_message.h"
#include "fleet/metrics_front.h"
#include "fleet/node_row.h"
#include "fleet/planner_port.h"
#include "fleet/runner_guard.h"
#include "platform/adviser.h"
#include "platform/runner.h"
#include "platform/store.h"
#include "settings/settings.h"
#include "submission/types.h"

namespace cuminjunction {

class FleetAgent {
 public:
  // Starts the agent's thread. Fails with the system's error when the agent
  // can't listen on one of its addresses.
  static Result<std::unique_ptr<FleetAgent>> Start(const Settings& settings,
                                                   Log* log);
  ~FleetAgent();
  FleetAgent(const FleetAgent&) = delete;
  FleetAgent& operator=(const FleetAgent&) = delete;

  // Logs the stop and leaves the runner its present lease. An agent that
  // restarts before the lease expires finds its tasks running. If the runner
  // has ended, tells the planner that the VM is vacant, which can take 800 ms.
  void Shutdown();

 private:
  FleetAgent(const Settings& settings, Log* log);

  Status Listen();
  void OnRunnerRequest(HttpExchange* exchange);
  // Returns the HTTP status of the answer.
  unsigned OnHeartbeat(const std::string& runner, const std::string& body);
  // Returns the HTTP status of the answer.
  unsigned OnShutdown(const std::string& runner, const std::string& body);
  void OnMessage(FleetMessage&& message);
  void OnPermitRequest(const PermitRequest& request);
  void OnPing(const PlannerPing& ping);
  // Tells the guard whether the failure domain of this VM, by the settings or
  // by the runner, is evacuated.
  void UpdateEvacuated();
  void OnStartRefused(const TaskRef& task, uint32_t run, StartOutcome outcome);
  // Sends the planner the runner's data and all its runs.
  void SendRunnerReport();
  // Sends the planner the runner's data without its runs.
  void SendRunnerInfo();
  void QueueStartedNotice(const TaskRef& task);
  // Stops orders to the runner and tells the planner that nothing runs on the
  // VM. Returns false, and does nothing, unless that is certain.
  bool AnnounceVacancy();

  Settings settings;
  Log* log;
  // AnnounceVacancy() has succeeded; orders and grants are ignored.
  bool vacated = false;
  Metrics metrics;
  EventThread thread;
  std::unique_ptr<Store> store;
  std::unique_ptr<NodeRegistration> registration;
  std::unique_ptr<Runner> runner;
  // Null without an adviser in the settings.
  std::unique_ptr<Adviser> adviser;
  std::unique_ptr<RunnerGuard> guard;
  std::unique_ptr<PlannerPort> port;
  std::unique_ptr<HttpFront> front;
  std::unique_ptr<MetricsFront> metrics_front;
  // Contents and sequence number of the last heartbeat of the runner's present
  // incarnation.
  RunnerInfo runner_info;
  int64_t last_sequence = 0;
  // The runner has announced a shutdown without naming the incarnation.
  bool unnamed_shutdown = false;
  // Submissions of which the runner has started a task; sent to the planner
  // when the timer expires.
  StartedNotice started_notice;
  boost::asio::steady_timer started_notice_timer;
  // The evacuated failure domains, by the last ping.
  EvacuatedDomains evacuations;
  // The evacuated ones among the failure domains of this VM.
  EvacuatedDomains own_evacuations;
  // Number of the last StartRuns received on the planner's connection.
  uint64_t orders_seen = 0;
};

}  // namespace cuminjunction

#endif  // FLEET_FLEET_AGENT_H_
