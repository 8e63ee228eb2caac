#ifndef TASK_EXPLAIN_H_
#define TASK_EXPLAIN_H_

// Explains to operators why a task is placed, waiting or evicted.
//
//   Explainer explainer(&log);
//   explainer.RecordPlacement(task, worker, score, candidates, now);
//   Result<Explanation> why = explainer.Explain("plan.1.0", state);
//
// Each decision is logged as one line with its scores, and the newest decisions
// are kept in memory. A decision that is not in memory, for instance after
// another planner has taken over, is explained from the rows alone.

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/log.h"
#include "task/scorer.h"
#include "task/state.h"

namespace cuminjunction {

enum class ExplainError { kUnknownTask = 1 };

template <>
struct ErrorTraits<ExplainError> {
  static constexpr const char* kCategory = "explain";
  static std::string_view Message(ExplainError error);
};

struct Explanation {
  std::string task;
  // State of the task's row, and its worker if it has one.
  std::string state;
  std::string worker;
  // One sentence for operators.
  std::string why;
  // Time of the decision; 0 when it is not known.
  int64_t decided_us = 0;
  // Scores of the chosen worker, and the number of workers compared.
  std::vector<std::pair<std::string, double>> scores;
  int64_t candidates = 0;

  bool operator==(const Explanation&) const = default;
};

// The explanation as a JSON object.
std::string ToJson(const Explanation& explanation);

class Explainer {
 public:
  // `log` may be null. The newest decision about each of up to `max_records`
  // tasks is kept.
  explicit Explainer(Log* log, size_t max_records = 4096)
      : log(log), max_records(max_records) {}

  void RecordPlacement(const TaskRow& task,
                       const WorkerRow& worker,
                       const PlacementScore& score,
                       size_t candidates,
                       absl::Time now);

  // Records that a round could not place the task. Logged when the reason
  // changes.
  void RecordWait(const TaskRow& task, std::string_view reason, absl::Time now);

  void RecordEviction(const TaskRow& task,
                      std::string_view reason,
                      absl::Time now);

  // Fails with kUnknownTask when `state` lacks the task.
  Result<Explanation> Explain(const std::string& task,
                              const State& state) const;

 private:
  struct Record {
    std::string why;
    int64_t decided_us = 0;
    PlacementScore score;
    int64_t candidates = 0;
    TaskState state = TaskState::kPending;
  };

  // The task's record, created if absent; drops the oldest record when there
  // are too many.
  Record& RecordFor(const std::string& task);

  Log* log;
  size_t max_records;
  std::unordered_map<std::string, Record> records;
  // Tasks with a record, oldest first.
  std::deque<std::string> record_order;
};

}  // namespace cuminjunction

#endif  // TASK_EXPLAIN_H_
