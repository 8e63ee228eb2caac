#ifndef TESTING_SUPPORT_RUNNER_STANDIN_H_
#define TESTING_SUPPORT_RUNNER_STANDIN_H_

// A runner of the users' platform over HTTP, for tests.
//
//   RunLedger ledger;
//   auto runner = RunnerStandin::Start(&ledger,
//   absl::Milliseconds(50)).value();
//   ...
//   EXPECT_EQ(ledger.Violations(), 0);
//
// A task runs for the given time and ends as done. The ledger is shared by all
// runners of a test and sees two runs of one task at a time, and a start after
// a done end that was confirmed.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/endpoint.h"
#include "base/http_server.h"

namespace cuminjunction {

// What all runners of a test have run. Callable from any thread.
class RunLedger {
 public:
  void Begin(const std::string& task);
  void End(const std::string& task);
  // Ends a run of the task with its runner.
  void Crash(const std::string& task);
  void ConfirmDone(const std::string& task);

  int Violations() const;
  // The tasks that were started wrongly, and whether they ran or had ended.
  std::vector<std::string> ViolationTexts() const;
  // Starts of all tasks.
  int Starts() const;
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
  int starts = 0;
};

class RunnerStandin {
 public:
  // Starts to serve on loopback. Fails with HttpError.
  static Result<std::unique_ptr<RunnerStandin>> Start(RunLedger* ledger,
                                                      absl::Duration run_time);

  Endpoint Address() const { return {"127.0.0.1", this->server->Port()}; }
  int64_t BornMs() const;

  // Ends what has come due or lapsed. Without it that is done at the next call.
  void Settle();

  // Rejects starts without this ticket from now on.
  void RequireTicket(const std::string& ticket);

  // Ends the next runs as failed.
  void FailNext(int count);

  // How long a runner that has crashed is away.
  static constexpr absl::Duration kTimeDown = absl::Milliseconds(400);

  // Crashes shortly after each start of this task, named as in the protocol.
  // It answers nothing for some time, and then runs nothing and has seen
  // nothing, under a new BornMs().
  void CrashOnStartOf(const std::string& task);

  // Crashes now.
  void Crash();

  // Number of crashes so far.
  int Crashes() const;

  // Loses the answers of the next starts, which are carried out.
  void LoseStartReplies(int count);

  // The same for calls that extend the lease.
  void LoseHoldReplies(int count);

 private:
  struct Run {
    int64_t run = 0;
    absl::Time end;
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Begin(const std::string& task, int64_t run);
  HttpResponse Stop(const std::string& task, int64_t run);
  HttpResponse Hold(int64_t last_seen, int64_t wait_ms);
  // Ends what is due, and everything once the lease has passed.
  void SettleLocked();
  void Finish(const std::string& task, const std::string& how);
  // Crashes, and comes back, when that is due.
  void CrashIfDue(absl::Time now);
  bool IsDown() const { return this->back_at != absl::InfiniteFuture(); }
  int64_t ClockMs() const;
  HttpResponse Refuse(const std::string& reason) const;

  RunLedger* ledger = nullptr;
  absl::Duration run_time;
  std::string required_ticket;
  int64_t born_ms = 0;
  mutable absl::Mutex mutex;
  int64_t fence = 0;
  int64_t lease_until_ms = 0;
  int lose = 0;
  int fail = 0;
  int lose_holds = 0;
  std::string crash_task;
  absl::Time crash_at = absl::InfiniteFuture();
  absl::Time back_at = absl::InfiniteFuture();
  int crashes = 0;
  int64_t next_end = 1;
  std::map<std::string, Run> running;
  std::map<std::string, int64_t> highest;
  std::vector<End> ended;
  std::unique_ptr<HttpServer> server;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_RUNNER_STANDIN_H_
