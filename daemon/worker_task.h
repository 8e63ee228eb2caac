#ifndef DAEMON_WORKER_TASK_H_
#define DAEMON_WORKER_TASK_H_

// The worker half of an agent on a thread of its own. Calls of the table and
// the runtime block this thread and no other.

#include <boost/asio/steady_timer.hpp>
#include <string>

#include "base/event_thread.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/time.h"
#include "settings/settings.h"
#include "table/http_runtime.h"
#include "table/http_table.h"
#include "task/worker_agent.h"

namespace cuminjunction {

class WorkerTask {
 public:
  // `charts`, `log` and `metrics` must outlive this object.
  WorkerTask(const Settings& settings,
             const std::string& process,
             const TaskCharts* charts,
             Log* log,
             Metrics* metrics);
  ~WorkerTask();
  WorkerTask(const WorkerTask&) = delete;
  WorkerTask& operator=(const WorkerTask&) = delete;

  // The worker's row has changed.
  void Nudge();

 private:
  using Agent = WorkerAgent<HttpTable, HttpRuntime, SteadyClock, SystemClock>;

  void Tick();
  void ScheduleTick();

  HttpTable table;
  HttpRuntime runtime;
  SteadyClock steady;
  SystemClock wall;
  Agent agent;
  Gauge& registered;
  EventThread thread;
  boost::asio::steady_timer timer;
};

}  // namespace cuminjunction

#endif  // DAEMON_WORKER_TASK_H_
