#ifndef DAEMON_PLANNER_TASK_H_
#define DAEMON_PLANNER_TASK_H_

// The planner of an entry on a thread of its own.
//
// Every entry runs one; the planner lease in the table keeps all but one from
// planning. Calls of the table block this thread and no other.

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/event_thread.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/time.h"
#include "daemon/settings.h"
#include "table/http_table.h"
#include "task/learned_scorer.h"
#include "task/planner_loop.h"

namespace cuminjunction {

class PlannerTask {
 public:
  using NudgeListener = std::function<void(const std::string& worker)>;

  // `process` is unique among processes and restarts. `charts`, `log` and
  // `metrics` must outlive this object. `nudge` is called on its thread with
  // each worker whose row it has changed.
  PlannerTask(const Settings& settings,
              const std::string& process,
              const TaskCharts* charts,
              const NudgeListener& nudge,
              Log* log,
              Metrics* metrics);
  ~PlannerTask();
  PlannerTask(const PlannerTask&) = delete;
  PlannerTask& operator=(const PlannerTask&) = delete;

  void SetDocument(uint64_t version, std::shared_ptr<const Document> document);

  // Whether this entry planned in its last round.
  bool IsLeading();

  // Why a task is where it is, from this planner's picture; nullopt when it
  // does not lead and so has no current picture. Fails with kUnknownTask.
  std::optional<Result<Explanation>> Explain(const std::string& task);

  // The tasks of the picture; nullopt when it does not lead.
  std::optional<std::vector<TaskRow>> Tasks();

 private:
  using Loop = PlannerLoop<HttpTable, LearnedScorer, SteadyClock, SystemClock>;

  void ScheduleTick();
  void Tick();

  HttpTable table;
  SteadyClock steady;
  SystemClock wall;
  Planner<LearnedScorer> planner;
  Loop loop;
  Summary& round_seconds;
  Gauge& leading;
  Gauge& waiting;
  EventThread thread;
  boost::asio::steady_timer timer;
};

}  // namespace cuminjunction

#endif  // DAEMON_PLANNER_TASK_H_
