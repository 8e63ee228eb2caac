#ifndef TASK_CHARTS_H_
#define TASK_CHARTS_H_

// The state charts of tasks and workers.
//
//   std::vector<YamlProblem> problems;
//   Result<TaskCharts> charts = LoadTaskCharts("charts", &problems);
//   Result<TaskState> next = charts.value().Next(TaskState::kPending, "place");

#include <string>
#include <vector>

#include "base/chart.h"
#include "task/row.h"

namespace cuminjunction {

struct TaskCharts {
  Chart task;
  Chart worker;

  // The state after an event. Fails with ChartError::kNoTransition when the
  // chart does not allow the event.
  Result<TaskState> Next(TaskState state, const std::string& event) const;
  Result<WorkerState> Next(WorkerState state, const std::string& event) const;
};

// Reads `task.yaml` and `worker.yaml` of a directory. Fails as LoadChart, and
// with ChartError::kUnknownState when a chart names a state that rows lack.
Result<TaskCharts> LoadTaskCharts(const std::string& directory,
                                  std::vector<YamlProblem>* problems);

}  // namespace cuminjunction

#endif  // TASK_CHARTS_H_
