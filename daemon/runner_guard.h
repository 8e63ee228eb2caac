#ifndef DAEMON_RUNNER_GUARD_H_
#define DAEMON_RUNNER_GUARD_H_

// An agent's hold on the runner of its VM.
//
//   RunnerGuard guard(&context, &runner, options, &log, &metrics, handlers);
//   guard.Begin();
//   guard.SetAuthority(end);        // what the planner granted
//   guard.Start(order, text);
//   guard.ConfirmEnds(born_ms, 57);
//
// The guard is the only process that orders the runner. It keeps the runner's
// lease within the planner's grant, repeats orders whose answer was lost until
// their outcome is certain, and knows what runs. Its fence is the time of its
// start, raised when the runner has seen a higher one; the guard before it has
// ended, so there is no race.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/log.h"
#include "base/metrics.h"
#include "daemon/fleet_message.h"
#include "platform/runner.h"
#include "submission/pace.h"
#include "submission/scheduler.h"
#include "submission/types.h"

namespace cuminjunction {

struct RunnerGuardHandlers {
  // The runner's life or what it runs has changed in a way that only a whole
  // report tells.
  std::function<void()> on_changed;
  std::function<void(int64_t born_ms, std::vector<EndedRun>&& ends)> on_ended;
  std::function<void(const TaskRef& task, uint32_t run, StartOutcome outcome)>
      on_refused;
  std::function<void(const TaskRef& task)> on_started;
  // Tails of serving images and what fills beside them, four times a second.
  std::function<void(const std::vector<ServingLatency>& serving,
                     const FillingLoad& filling)>
      on_look;
};

struct RunnerGuardOptions {
  // The longest lease that the runner takes.
  absl::Duration max_lease;
};

class RunnerGuard {
 public:
  // The pointers must outlive this object.
  RunnerGuard(boost::asio::io_context* context,
              Runner* runner,
              const RunnerGuardOptions& options,
              Log* log,
              Metrics* metrics,
              RunnerGuardHandlers handlers);

  // Starts to watch the runner.
  void Begin();

  // The runner may run what it runs until then, by the boot clock.
  void SetAuthority(absl::Time end);

  void Start(const RunOrder& order, const std::string& text);
  void Stop(const TaskRef& task, uint32_t run);
  void ConfirmEnds(int64_t born_ms, uint64_t up_to);

  // Tells what a run is, after a restart of the agent.
  void Describe(const RunOrder& order);

  // Takes what the planner has learned of pairs of images.
  void Learn(const std::vector<InterferenceEstimate>& pairs) {
    this->neighbours.Merge(pairs);
  }

  // What is known of pairs of images.
  std::vector<InterferenceEstimate> Pairs() const {
    return this->neighbours.Export();
  }

  // Processors of the VM, in thousandths of a core.
  void SetProcessors(int64_t millicores) { this->processors = millicores; }

  // The runner has said that it ends.
  void OnRunnerLeft();

  // True once it is certain what runs.
  bool IsKnown() const { return this->known; }
  bool IsAlive() const { return this->alive; }
  int64_t BornMs() const { return this->born_ms; }
  std::vector<ActiveRun> Running() const;
  const std::vector<EndedRun>& Ended() const { return this->ended; }

  void Close();

 private:
  struct PendingStart {
    RunOrder order;
    std::string text;
    absl::Time ordered;
    // A try may have been carried out, or may still be.
    bool maybe = false;
    // The run is to be given up: it is stopped until that is certain.
    std::optional<StartOutcome> abandoned;
    // When the runner confirmed the start. The start stays here until a list
    // that was asked for later tells of the run.
    absl::Time accepted = absl::InfiniteFuture();
  };
  struct Known {
    bool fills = false;
    int64_t latency_objective_ms = 0;
    std::string image;
    int64_t millicores = 0;
    int percent = 100;
  };

  void Hold();
  void HoldAfter(absl::Duration pause);
  void OnReport(RunnerReport&& report);
  void TakeLists(RunnerReport&& report, bool first);
  void StopUnexpected(const std::map<TaskRef, RunningFigure>& before);
  void SettleStarts();
  void OnSilence(absl::Time now);
  void NewLife(int64_t born);
  void LoseAll();
  void TakeClock(const OrderReply& reply, absl::Time now);
  std::optional<int64_t> LeaseUntilMs(absl::Time now);
  absl::Duration WaitFor() const;
  void TryStart(const TaskRef& task);
  void OnStartReply(const TaskRef& task, uint32_t run, const OrderReply& reply);
  void RetryStart(const TaskRef& task, uint32_t run);
  void GiveUp(const TaskRef& task, StartOutcome outcome);
  void SendStop(const TaskRef& task, uint32_t run, bool report);
  void RaiseFence();
  void StopUncovered(absl::Time now);
  // The largest tail of each serving image; notes since when it is over its
  // limit.
  std::vector<ServingLatency> ServingTails(absl::Time now);
  void PaceFillers(absl::Time now);
  void SendPace(const TaskRef& task, uint32_t run, int percent);
  void After(absl::Duration pause, std::function<void()> action);

  boost::asio::io_context* context;
  Runner* runner;
  RunnerGuardOptions options;
  Log* log;
  RunnerGuardHandlers handlers;
  Counter& lapses_total;
  // From the planner's order until the runner has taken the start.
  Histogram& start_seconds;
  boost::asio::steady_timer hold_timer;
  std::shared_ptr<bool> open = std::make_shared<bool>(true);
  int64_t fence;
  bool known = false;
  bool alive = false;
  bool holding = false;
  // The runner has said that it ends.
  bool leaving = false;
  absl::Time hold_sent;
  int64_t born_ms = 0;
  // The runner's clock, and when it was read, which is also when it last
  // answered.
  int64_t clock_ms = 0;
  absl::Time clock_at = absl::InfinitePast();
  absl::Time authority = absl::InfinitePast();
  // When the longest lease that was given has passed for certain.
  absl::Time lease_end;
  uint64_t reported = 0;
  uint64_t confirmed = 0;
  std::map<TaskRef, RunningFigure> running;
  std::vector<EndedRun> ended;
  std::map<TaskRef, PendingStart> starting;
  std::map<TaskRef, Known> descriptions;
  InterferenceModel neighbours;
  std::map<std::string, ImagePace> paces;
  // Since when a serving image has been over its limit.
  std::map<std::string, absl::Time> over_since;
  int64_t processors = 0;
  absl::Time next_look = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // DAEMON_RUNNER_GUARD_H_
