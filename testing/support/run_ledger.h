#ifndef TESTING_SUPPORT_RUN_LEDGER_H_
#define TESTING_SUPPORT_RUN_LEDGER_H_

// What all runners of a test have run. It sees two runs of one task at a time,
// and a start after a done end that was confirmed.
//
//   RunLedger ledger;
//   auto runner = RunnerStandin::Start(&ledger, run_time).value();
//   ...
//   EXPECT_EQ(ledger.Violations(), 0);

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace cuminjunction {

class RunnerStandin;

// A start of a run.
struct RunStart {
  const RunnerStandin* runner = nullptr;
  std::string task;
  absl::Time at;
  // The runner carried out the order after its delay.
  bool late = false;
};

// Callable from any thread.
class RunLedger {
 public:
  void Begin(const std::string& task, const RunnerStandin* runner, bool late);
  void End(const std::string& task);
  // Ends a run of the task with its runner.
  void Crash(const std::string& task);
  void ConfirmDone(const std::string& task);

  int Violations() const;
  // The tasks that were started wrongly, and whether they ran or had ended.
  std::vector<std::string> ViolationTexts() const;
  // Starts of all tasks.
  int Starts() const;
  std::vector<RunStart> StartList() const;
  // Runs that have not ended.
  int Running() const;
  // Tasks whose end as done was confirmed.
  int Confirmed() const;
  // The most crashes that one task of this submission has seen.
  int Crashes(const std::string& submission) const;
  // Submissions of which a task was started.
  std::set<std::string> StartedSubmissions() const;

 private:
  mutable absl::Mutex mutex;
  std::map<std::string, int> running;
  std::map<std::string, int> crashes;
  std::set<std::string> confirmed;
  std::set<std::string> started;
  std::vector<std::string> violations;
  std::vector<RunStart> starts;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_RUN_LEDGER_H_
