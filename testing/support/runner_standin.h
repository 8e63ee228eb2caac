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
// runners of a test.

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/endpoint.h"
#include "base/http_server.h"
#include "testing/support/run_ledger.h"

namespace cuminjunction {

class RunnerStandin {
 public:
  // Starts to serve on loopback. Fails with HttpError.
  static Result<std::unique_ptr<RunnerStandin>> Start(RunLedger* ledger,
                                                      absl::Duration run_time);

  Endpoint Address() const { return {"127.0.0.1", this->server->Port()}; }

  // The id of the present incarnation, which its heartbeats name. A call that
  // names another one is refused.
  std::string Id() const;

  // Keeps the id across crashes from now on; by default each incarnation has
  // its own.
  void KeepId();
  int64_t BornMs() const;

  // Ends what has come due or lapsed. Without it that is done at the next call.
  void Settle();

  // Rejects starts without this ticket from now on.
  void RequireTicket(const std::string& ticket);

  // Ends the next runs as failed.
  void FailNext(int count);

  // Ends all runs as done.
  void FinishAll();

  // The most ends in an answer: as in the protocol, the others follow once
  // these are confirmed.
  static constexpr size_t kMaxListedEnds = 500;

  // How long a runner that has crashed is away.
  static constexpr absl::Duration kTimeDown = absl::Milliseconds(400);

  // Crashes shortly after each start of this task, named as in the protocol.
  // It answers nothing for some time, and then runs nothing and has seen
  // nothing, under a new BornMs().
  void CrashOnStartOf(const std::string& task);

  // Crashes now.
  void Crash();

  // Lets its heartbeats say that it drains, which HeartbeatState() tells. It
  // serves until Leave(). A crash ends that.
  void Drain();
  std::string HeartbeatState() const;

  // Ends as planned if this is still the present incarnation: all that runs
  // there ends with it, which is no crash of a task. The next incarnation comes
  // after this pause.
  void Leave(int64_t born_ms_of_leaving, absl::Duration pause);

  // True from a planned end to the next incarnation. It sends nothing then.
  bool HasLeft() const;

  // Number of crashes so far.
  int Crashes() const;

  // Loses the answers of the next starts, which are carried out.
  void LoseStartReplies(int count);

  // The same for calls that extend the lease.
  void LoseHoldReplies(int count);

  // While set, calls that extend the lease get no answer, and their connections
  // stay open.
  void DelayHoldReplies(bool delay);

  // Carries out a share of the calls from now on only after this delay, and
  // answers none of these. The incarnation that is up by then carries them out.
  // Several calls of this method draw the calls from one sequence by the seed.
  void DelayCalls(double share, absl::Duration delay, uint32_t seed);

  // Leaves the next calls of this path without an answer, and keeps them until
  // CarryOutKept().
  void KeepNextCalls(const std::string& path, int count);

  // Carries out the calls that were kept.
  void CarryOutKept();

  // Number of calls, or of those of one path, that are kept or delayed.
  int KeptCalls() const;
  int KeptCalls(const std::string& path) const;

  // Number of orders to stop a run that were carried out.
  int Stops() const;

  // Number of calls that read the lists.
  int Holds() const;

  // Answers 503 to the next calls of this path, and does nothing, once no reply
  // is to be lost any more.
  void RefuseNextCalls(const std::string& path, int count);

  // Refuses the next starts as old, and keeps none of them.
  void RefuseNextStarts(int count);

  // Answers the next calls that read the lists with the clock alone.
  void CutShortNextHolds(int count);

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

  // A call that is carried out later.
  struct LateCall {
    absl::Time due;
    HttpRequest request;
  };

  HttpResponse Handle(const HttpRequest& request);
  // Carries out a call. Only a hold may wait; its wait is returned.
  HttpResponse CarryOut(const HttpRequest& request,
                        int64_t* last_seen,
                        int64_t* wait_ms);
  // True if the call is to be carried out later; takes note of it then.
  bool DelayCall(const HttpRequest& request);
  void CarryOutDue(absl::Time now);
  HttpResponse Begin(const std::string& task, int64_t run);
  HttpResponse Stop(const std::string& task, int64_t run);
  HttpResponse Hold(int64_t last_seen, int64_t wait_ms);
  void ForgetEnds(int64_t last_seen);
  // Ends what is due, and everything once the lease has passed.
  void SettleLocked();
  void Finish(const std::string& task, const std::string& how);
  // Forgets what ran, the fence and the lease, and comes back at this time.
  void EndIncarnation(absl::Time back);
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
  bool delay_holds = false;
  int cut_short_holds = 0;
  int refuse_starts = 0;
  std::map<std::string, int> refuse_by_path;
  std::map<std::string, int> keep_by_path;
  double delayed_share = 0;
  absl::Duration delay;
  std::mt19937 delay_random;
  std::vector<LateCall> late_calls;
  // A late call is being carried out.
  bool is_late = false;
  std::string id;
  bool keep_id = false;
  std::string crash_task;
  absl::Time crash_at = absl::InfiniteFuture();
  absl::Time back_at = absl::InfiniteFuture();
  int crashes = 0;
  bool draining = false;
  bool left = false;
  int stops = 0;
  int holds = 0;
  int64_t next_end = 1;
  std::map<std::string, Run> running;
  std::map<std::string, int64_t> highest;
  std::vector<End> ended;
  std::unique_ptr<HttpServer> server;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_RUNNER_STANDIN_H_
