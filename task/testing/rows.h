#ifndef TASK_TESTING_ROWS_H_
#define TASK_TESTING_ROWS_H_

// Rows for tests of the task core.

#include <string>
#include <vector>

#include "base/strings.h"
#include "table/memory_table.h"
#include "task/charts.h"
#include "task/row.h"

namespace cuminjunction {

// The charts of this source tree.
inline TaskCharts LoadTestCharts() {
  std::vector<YamlProblem> problems;
  return LoadTaskCharts(StrCat(CUMINJUNCTION_SOURCE_DIR, "/charts"), &problems)
      .value();
}

inline WorkerRow MakeWorkerRow(const std::string& id, const Size& capacity) {
  WorkerRow row;
  row.id = id;
  row.capacity = capacity;
  row.failure_domain = "erie-a";
  row.rack = "r1";
  row.region = "erie";
  row.boot_id = StrCat(id, "-boot-1");
  return row;
}

inline TaskRow MakeTaskRow(const std::string& id,
                           TaskKind kind,
                           int64_t millicores) {
  TaskRow row;
  row.id = id;
  row.account = "growers";
  row.owner = id;
  row.kind = kind;
  row.size = {millicores, 1024, 0};
  return row;
}

// The present rows of a table. The row must exist.
template <class T>
TaskEntry ReadTask(T* table, const std::string& id) {
  const Row row = table->Read(TaskKey(id)).value();
  return {ParseTask(row).value(), row.version};
}

template <class T>
WorkerEntry ReadWorker(T* table, const std::string& id) {
  const Row row = table->Read(WorkerKey(id)).value();
  return {ParseWorker(row).value(), row.version};
}

}  // namespace cuminjunction

#endif  // TASK_TESTING_ROWS_H_
