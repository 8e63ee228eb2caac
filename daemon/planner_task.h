#ifndef DAEMON_PLANNER_TASK_H_
#define DAEMON_PLANNER_TASK_H_

// The planner of an entry, which runs on its own thread.
//
// Every entry runs one, and the planner lease in the table ensures that only
// one of them plans. Calls to the table block only this thread.

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
#include "settings/settings.h"
#include "table/http_table.h"
#include "task/learned_scorer.h"
#include "task/planner_loop.h"

namespace cuminjunction {

class PlannerTask {
 public:
  using WorkerChangeListener = std::function<void(const std::string& worker)>;

  // `process` is unique among all incarnations of all processes. `charts`,
  // `log` and `metrics` must outlive this object. `on_worker_changed` is called
  // on the planner's thread with the name of each worker whose row it has
  // changed.
  PlannerTask(const Settings& settings,
              const std::string& process,
              const TaskCharts* charts,
              const WorkerChangeListener& on_worker_changed,
              Log* log,
              Metrics* metrics);
  ~PlannerTask();
  PlannerTask(const PlannerTask&) = delete;
  PlannerTask& operator=(const PlannerTask&) = delete;

  // Sets the configuration, which is in force from the next round on.
  void SetDocument(uint64_t version, std::shared_ptr<const Document> document);

  // True if this entry held the planner lease in its last round.
  bool IsLeading();

  // Explains the placement of a task from this planner's state. Returns nullopt
  // if this entry is not leading, since its state is then not current. Fails
  // with kUnknownTask.
  std::optional<Result<Explanation>> Explain(const std::string& task);

  // Returns all tasks in the planner's state, or nullopt if this entry is not
  // leading or has not yet loaded all of them.
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
