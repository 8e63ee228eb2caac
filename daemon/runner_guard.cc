#include "daemon/runner_guard.h"

#include <algorithm>
#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

// The runner's clock may be 2% slow: a lease of its clock lasts up to this much
// longer.
constexpr double kRunnerClockRate = 0.98;

// Share of the remaining grant that is passed on, which leaves room for the
// rate of the runner's clock and the time of a call.
constexpr double kPassedOn = 0.95;

// How long a call waits for an end. The lease is extended with each call, and
// pacing looks at the figures of each call.
constexpr absl::Duration kWait = absl::Milliseconds(900);
constexpr absl::Duration kPacingWait = absl::Milliseconds(220);

// Pause between calls while ends wait for their confirmation, when the runner
// answers at once.
constexpr absl::Duration kUnconfirmedPause = absl::Milliseconds(120);

// Name under which a guard keeps what it knows of its own VM.
constexpr char kOwnVm[] = "own";

constexpr absl::Duration kRetryPause = absl::Milliseconds(80);

// A runner that has answered nothing for this long gets no longer lease, so
// that what it runs ends by itself and can start elsewhere. Several calls in a
// row may be lost while a runner answers only some of them.
constexpr absl::Duration kLongestSilence = absl::Seconds(3);

// How long a runner may still run after it has said that it ends.
constexpr absl::Duration kLeaveTime = absl::Milliseconds(500);

// Figures of the runner cover half a second each, so that two looks overlap by
// half; with looks half a second apart a load that rises is seen too late.
constexpr absl::Duration kLookInterval = absl::Milliseconds(230);

// Added to the fence when the runner has seen a higher one: more than two
// agents on one VM can start apart, also when the clock is set back.
constexpr int64_t kFenceStepMs = 60000;

}  // namespace

RunnerGuard::RunnerGuard(boost::asio::io_context* context,
                         Runner* runner,
                         const RunnerGuardOptions& options,
                         Log* log,
                         Metrics* metrics,
                         RunnerGuardHandlers handlers)
    : context(context),
      runner(runner),
      options(options),
      log(log),
      handlers(std::move(handlers)),
      lapses_total(metrics->GetCounter("runner_lost_total")),
      start_seconds(metrics->GetHistogram("agent_start_seconds")),
      hold_timer(*context),
      fence(absl::ToUnixMillis(absl::Now())),
      // An agent before this one may have given the longest lease just now.
      lease_end(BootClock().Now() + options.max_lease / kRunnerClockRate) {}

void RunnerGuard::Begin() {
  this->Hold();
}

void RunnerGuard::Close() {
  *this->open = false;
  this->hold_timer.cancel();
}

void RunnerGuard::SetAuthority(absl::Time end) {
  this->authority = end;
}

void RunnerGuard::After(absl::Duration pause, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      *this->context, absl::ToChronoMicroseconds(pause));
  timer->async_wait([timer, open = this->open,
                     action = std::move(action)](std::error_code error) {
    if (!error && *open)
      action();
  });
}

void RunnerGuard::TakeClock(const OrderReply& reply, absl::Time now) {
  if (reply.clock_ms == 0)
    return;
  this->clock_ms = reply.clock_ms;
  this->clock_at = now;
}

std::optional<int64_t> RunnerGuard::LeaseUntilMs(absl::Time now) {
  const absl::Duration left = this->authority - now;
  if (this->clock_ms == 0 || left <= absl::ZeroDuration() ||
      now - this->clock_at > kLongestSilence)
    return std::nullopt;
  const absl::Duration lease =
      std::min(left, this->options.max_lease) * kPassedOn;
  if (!this->leaving)
    this->lease_end = std::max(this->lease_end, now + lease / kRunnerClockRate);
  // The least that the runner's clock can show now, so that the lease does not
  // last longer than intended.
  const absl::Duration passed = (now - this->clock_at) * kRunnerClockRate;
  return this->clock_ms + absl::ToInt64Milliseconds(passed + lease);
}

absl::Duration RunnerGuard::WaitFor() const {
  bool fills = false;
  bool serves = false;
  for (const auto& [task, figure] : this->running) {
    const auto found = this->descriptions.find(task);
    if (found == this->descriptions.end())
      continue;
    fills = fills || found->second.fills;
    serves = serves || found->second.latency_objective_ms > 0;
  }
  return fills && serves ? kPacingWait : kWait;
}

void RunnerGuard::HoldAfter(absl::Duration pause) {
  this->hold_timer.expires_after(absl::ToChronoMicroseconds(pause));
  // A wait that is over already is not cancelled by Close().
  this->hold_timer.async_wait([this, open = this->open](std::error_code error) {
    if (!error && *open)
      this->Hold();
  });
}

void RunnerGuard::Hold() {
  if (this->holding)
    return;
  this->holding = true;
  const absl::Time now = BootClock().Now();
  this->hold_sent = now;
  RunnerHold hold;
  hold.fence = this->fence;
  hold.last_confirmed = this->confirmed;
  const absl::Time lease_before = this->lease_end;
  hold.lease_until_ms = this->LeaseUntilMs(now);
  // With ends in the list the runner may answer at once; without contact there
  // is nothing to wait for.
  if (this->ended.empty() && this->alive)
    hold.wait_ms = absl::ToInt64Milliseconds(this->WaitFor());
  this->runner->Hold(hold,
                     [this, open = this->open, lease_before,
                      lease_asked = this->lease_end](RunnerReport&& report) {
                       if (!*open)
                         return;
                       this->holding = false;
                       // The call was not made, and no other one has extended
                       // the lease since.
                       if (report.order.result == OrderResult::kNotSent &&
                           this->lease_end == lease_asked)
                         this->lease_end = lease_before;
                       this->OnReport(std::move(report));
                     });
}

void RunnerGuard::OnReport(RunnerReport&& report) {
  const absl::Time now = BootClock().Now();
  this->TakeClock(report.order, now);
  if (report.order.result == OrderResult::kFenced) {
    this->RaiseFence();
    this->HoldAfter(absl::ZeroDuration());
    return;
  }
  if (report.order.result != OrderResult::kDone) {
    this->OnSilence(now);
    this->HoldAfter(kRetryPause);
    return;
  }
  if (report.order.born_ms != this->born_ms)
    this->NewLife(report.order.born_ms);
  const bool first = !this->known || !this->alive;
  this->known = true;
  this->alive = true;
  this->TakeLists(std::move(report), first);
  if (first)
    this->handlers.on_changed();
  this->StopUncovered(now);
  this->PaceFillers(now);
  this->HoldAfter(this->ended.empty() ? absl::ZeroDuration()
                                      : kUnconfirmedPause);
}

void RunnerGuard::TakeLists(RunnerReport&& report, bool first) {
  const auto before = std::exchange(this->running, {});
  for (RunningFigure& figure : report.running) {
    const TaskRef task = figure.running.task;
    this->running[task] = std::move(figure);
  }
  std::vector<EndedRun> fresh;
  this->ended.clear();
  for (EndedRun& end : report.ended) {
    if (end.number <= this->confirmed)
      continue;
    if (end.number > this->reported) {
      this->reported = end.number;
      fresh.push_back(end);
      this->descriptions.erase(end.task);
    }
    this->ended.push_back(std::move(end));
  }
  if (!first)
    this->StopUnexpected(before);
  if (!fresh.empty())
    this->handlers.on_ended(this->born_ms, std::move(fresh));
  this->SettleStarts();
}

void RunnerGuard::NewLife(int64_t born) {
  if (this->born_ms != 0) {
    this->log->Write(LogLine("runner_restarted", LogLevel::kWarning)
                         .Add("born_ms", born)
                         .Add("previous_born_ms", this->born_ms)
                         .Add("lost_runs", this->running.size()));
  }
  this->born_ms = born;
  this->leaving = false;
  this->reported = 0;
  this->confirmed = 0;
  // A whole report follows, so the runner counts as lost until then.
  this->alive = false;
  const auto pending = std::exchange(this->starting, {});
  this->LoseAll();
  // Copies of these orders may reach the new life; it refuses stopped runs.
  for (const auto& [task, start] : pending)
    this->SendStop(task, start.order.run, false);
}

void RunnerGuard::LoseAll() {
  this->running.clear();
  this->ended.clear();
  this->starting.clear();
  this->descriptions.clear();
}

void RunnerGuard::OnSilence(absl::Time now) {
  if (now < this->lease_end || (this->known && !this->alive))
    return;
  // All that ran has lapsed by itself.
  this->log->Write(LogLine("runner_lost", LogLevel::kWarning)
                       .Add("born_ms", this->born_ms)
                       .Add("lost_runs", this->running.size())
                       .Add("pending_starts", this->starting.size()));
  this->lapses_total.Add();
  this->known = true;
  this->alive = false;
  this->LoseAll();
  this->handlers.on_changed();
}

void RunnerGuard::OnRunnerLeft() {
  // It ends right after it has said so, and its runs with it.
  this->lease_end = std::min(this->lease_end, BootClock().Now() + kLeaveTime);
  this->leaving = true;
}

void RunnerGuard::RaiseFence() {
  this->fence =
      std::max(this->fence + kFenceStepMs, absl::ToUnixMillis(absl::Now()));
  this->log->Write(LogLine("fence_raised").Add("fence", this->fence));
}

std::vector<ActiveRun> RunnerGuard::Running() const {
  std::vector<ActiveRun> runs;
  for (const auto& [task, figure] : this->running)
    runs.push_back(figure.running);
  for (const auto& [task, start] : this->starting) {
    if (!this->running.contains(task))
      runs.push_back({task, start.order.run, start.order.checkpoint, 0,
                      start.accepted == absl::InfiniteFuture()});
  }
  return runs;
}

void RunnerGuard::Describe(const RunOrder& order) {
  Known& known_run = this->descriptions[order.task];
  known_run.fills = order.fills;
  known_run.latency_objective_ms = order.latency_objective_ms;
  known_run.image = order.image;
  known_run.millicores = order.millicores;
}

void RunnerGuard::ConfirmEnds(int64_t born, uint64_t up_to) {
  if (born != this->born_ms || up_to <= this->confirmed)
    return;
  this->confirmed = up_to;
  std::erase_if(this->ended,
                [&](const EndedRun& end) { return end.number <= up_to; });
  if (!this->holding)
    this->HoldAfter(absl::ZeroDuration());
}

void RunnerGuard::StopUncovered(absl::Time now) {
  if (this->authority >= now || this->authority == absl::InfinitePast())
    return;
  // A suspended VM may wake with a lease of the runner's clock that outlasts
  // the grant.
  for (const auto& [task, figure] : this->running)
    this->SendStop(task, figure.running.run, false);
}

std::vector<ServingLatency> RunnerGuard::ServingTails(absl::Time now) {
  std::map<std::string, double> tails;
  for (const auto& [task, figure] : this->running) {
    const auto found = this->descriptions.find(task);
    // A task that is starting up has no tail yet.
    if (found == this->descriptions.end() ||
        found->second.latency_objective_ms <= 0 || figure.figure <= 0)
      continue;
    double& tail = tails[found->second.image];
    tail = std::max(
        tail, figure.figure /
                  static_cast<double>(found->second.latency_objective_ms));
  }
  std::vector<ServingLatency> serving;
  serving.reserve(tails.size());
  std::map<std::string, absl::Time> still_over;
  for (const auto& [image, tail] : tails) {
    ServingLatency& served = serving.emplace_back(ServingLatency{image, tail});
    if (tail <= 1)
      continue;
    const auto before = this->over_since.find(image);
    served.over_limit_since =
        before == this->over_since.end() ? now : before->second;
    still_over[image] = served.over_limit_since;
  }
  this->over_since = std::move(still_over);
  return serving;
}

void RunnerGuard::PaceFillers(absl::Time now) {
  const std::vector<ServingLatency> serving = this->ServingTails(now);
  if (serving.empty() || this->processors <= 0)
    return;
  const auto whole = static_cast<double>(this->processors);
  // What the filling images use now, and what they would at their full pace.
  std::map<std::string, double> used;
  std::map<std::string, double> wanted;
  for (const auto& [task, figure] : this->running) {
    const auto found = this->descriptions.find(task);
    if (found == this->descriptions.end() || !found->second.fills)
      continue;
    used[found->second.image] += figure.figure / whole;
    wanted[found->second.image] +=
        static_cast<double>(found->second.millicores) / whole;
  }
  FillingLoad filling;
  FillingLoad full;
  for (const auto& [image, share] : used) {
    filling.push_back({image, share});
    full.push_back({image, wanted[image]});
  }
  if (now >= this->next_look) {
    this->next_look = now + kLookInterval;
    for (const ServingLatency& tail : serving)
      this->neighbours.AddSample(kOwnVm, tail.image, tail.ratio, filling, now);
    this->handlers.on_look(serving, filling);
  }
  if (full.empty())
    return;
  UpdatePaces(kOwnVm, serving, full, this->neighbours, now, &this->paces);
  for (const auto& [task, figure] : this->running) {
    const auto found = this->descriptions.find(task);
    if (found == this->descriptions.end() || !found->second.fills)
      continue;
    const int percent = this->paces[found->second.image].percent;
    if (found->second.percent != percent)
      this->SendPace(task, figure.running.run, percent);
  }
}

void RunnerGuard::SendPace(const TaskRef& task, uint32_t run, int percent) {
  this->descriptions.at(task).percent = percent;
  this->log->Write(LogLine("pace")
                       .Add("submission", task.submission)
                       .Add("step", static_cast<uint64_t>(task.step))
                       .Add("index", static_cast<uint64_t>(task.index))
                       .Add("image", this->descriptions.at(task).image)
                       .Add("percent", percent));
  this->runner->Pace(task, run, percent, this->fence,
                     [this, open = this->open, task](OrderReply&& reply) {
                       if (!*open || reply.result == OrderResult::kDone)
                         return;
                       // Sent again with the next report.
                       const auto changed = this->descriptions.find(task);
                       if (changed != this->descriptions.end())
                         changed->second.percent = -1;
                     });
}

}  // namespace cuminjunction
