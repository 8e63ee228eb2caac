#ifndef TASK_EXPLAIN_H_
#define TASK_EXPLAIN_H_

// Why a task is where it is.
//
//   Explainer explainer(&log);
//   explainer.Placed(task, worker, score, candidates, now);
//   Result<Explanation> why = explainer.Explain("plan.1.0", state);
//
// Each decision is logged as one line with the scores that mattered, and the
// newest decisions are kept for operators. What is no longer kept, for instance
// after a planner change, is explained from the rows alone.

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
  // State of the row, and the worker that holds the task if any.
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
  // `log` may be null; `most` decisions are kept.
  explicit Explainer(Log* log, size_t most = 4096) : log(log), most(most) {}

  void Placed(const TaskRow& task,
              const WorkerRow& worker,
              const PlacementScore& score,
              size_t candidates,
              absl::Time now);

  // A round could not place the task. Logged when the reason changes.
  void Waits(const TaskRow& task, std::string_view reason, absl::Time now);

  void Evicted(const TaskRow& task, std::string_view reason, absl::Time now);

  // Fails with kUnknownTask when the picture lacks the task.
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

  Record& Keep(const std::string& task);

  Log* log;
  size_t most;
  std::unordered_map<std::string, Record> records;
  // Tasks with a record, oldest first.
  std::deque<std::string> order;
};

}  // namespace cuminjunction

#endif  // TASK_EXPLAIN_H_
