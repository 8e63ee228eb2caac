#include "task/charts.h"

#include "base/strings.h"

namespace cuminjunction {

Result<TaskState> TaskCharts::Next(TaskState state,
                                   const std::string& event) const {
  BOOST_OUTCOME_TRY(next, this->task.Next(ToString(state), event));
  return ParseTaskState(next);
}

Result<WorkerState> TaskCharts::Next(WorkerState state,
                                     const std::string& event) const {
  BOOST_OUTCOME_TRY(next, this->worker.Next(ToString(state), event));
  return ParseWorkerState(next);
}

Result<TaskCharts> LoadTaskCharts(const std::string& directory,
                                  std::vector<YamlProblem>* problems) {
  BOOST_OUTCOME_TRY(task, LoadChart(StrCat(directory, "/task.yaml"), problems));
  BOOST_OUTCOME_TRY(worker,
                    LoadChart(StrCat(directory, "/worker.yaml"), problems));
  for (const auto& [state, events] : task.transitions) {
    if (!ParseTaskState(state))
      return ChartError::kUnknownState;
  }
  for (const auto& [state, events] : worker.transitions) {
    if (!ParseWorkerState(state))
      return ChartError::kUnknownState;
  }
  return TaskCharts{std::move(task), std::move(worker)};
}

}  // namespace cuminjunction
