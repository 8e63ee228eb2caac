#include "fleet/runner_guard.h"

#include <algorithm>
#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

// The runner's clock may be 2% slow: a lease measured by it lasts longer by up
// to the inverse of this rate.
constexpr double kRunnerClockRate = 0.98;

// Share of the remaining grant that is passed on as a lease. The rest covers
// the rate error of the runner's clock and the duration of a call.
constexpr double kLeaseShareOfGrant = 0.95;

// How long the runner may delay its answer until a run ends. Each call renews
// the lease, and pacing takes one sample from each answer, so calls are shorter
// while filling tasks are paced.
constexpr absl::Duration kLongPollTimeout = absl::Milliseconds(900);
constexpr absl::Duration kPacingLongPollTimeout = absl::Milliseconds(220);

// Delay between calls while ends are unconfirmed: the runner answers such calls
// at once.
constexpr absl::Duration kUnconfirmedDelay = absl::Milliseconds(120);

// Name of the guard's own VM in its evidence on pairs and its paces.
constexpr char kOwnVm[] = "own";

// Interval between checks whether the grant has expired.
constexpr absl::Duration kGrantCheckInterval = absl::Milliseconds(50);

constexpr absl::Duration kRenewalRetryDelay = absl::Milliseconds(80);

// The lease of a runner that has not answered for this long is not extended, so
// that its runs expire and can start elsewhere. The limit tolerates several
// lost calls in a row on a runner that answers only some of them.
constexpr absl::Duration kMaxSilence = absl::Seconds(3);

// Each figure of the runner covers half a second, so consecutive samples
// overlap by half. Samples half a second apart detect a rising load too late.
constexpr absl::Duration kSampleInterval = absl::Milliseconds(230);

// Increment of the fencing token when the runner has seen a higher one. It
// exceeds the difference between the start times of two agents on one VM, also
// when the clock is set back.
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
      lost_total(metrics->GetCounter("runner_lost_total")),
      start_seconds(metrics->GetHistogram("agent_start_seconds")),
      renewal_timer(*context),
      fence(absl::ToUnixMillis(SystemClock().Now())),
      // A previous agent on this VM may have sent the longest lease just now.
      lease_expiry(BootClock().Now() + options.max_lease / kRunnerClockRate) {}

void RunnerGuard::Begin() {
  this->RenewLease();
  this->WatchGrant();
}

void RunnerGuard::Close() {
  *this->active = false;
  this->renewal_timer.cancel();
}

void RunnerGuard::SetGrantDeadline(absl::Time deadline) {
  this->grant_deadline = deadline;
}

void RunnerGuard::RunAfter(absl::Duration delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      *this->context, absl::ToChronoMicroseconds(delay));
  timer->async_wait([timer, active = this->active,
                     action = std::move(action)](std::error_code error) {
    if (!error && *active)
      action();
  });
}

void RunnerGuard::RecordClock(const OrderReply& reply, absl::Time now) {
  if (reply.clock_ms == 0)
    return;
  this->clock_ms = reply.clock_ms;
  this->clock_at = now;
}

std::optional<int64_t> RunnerGuard::NextLeaseExpiryMs(absl::Time now) {
  const absl::Duration left = this->grant_deadline - now;
  if (this->clock_ms == 0 || left <= absl::ZeroDuration() ||
      now - this->clock_at > kMaxSilence)
    return std::nullopt;
  const absl::Duration lease =
      std::min(left, this->options.max_lease) * kLeaseShareOfGrant;
  this->lease_expiry =
      std::max(this->lease_expiry, now + lease / kRunnerClockRate);
  // Assumes that the runner's clock has advanced by the least possible time, so
  // that the lease does not outlast the grant.
  const absl::Duration passed = (now - this->clock_at) * kRunnerClockRate;
  return this->clock_ms + absl::ToInt64Milliseconds(passed + lease);
}

absl::Duration RunnerGuard::LongPollTimeout() const {
  bool fills = false;
  bool serves = false;
  for (const auto& [task, figure] : this->running) {
    const auto found = this->descriptions.find(task);
    if (found == this->descriptions.end())
      continue;
    fills = fills || found->second.fills;
    serves = serves || found->second.latency_objective_ms > 0;
  }
  return fills && serves ? kPacingLongPollTimeout : kLongPollTimeout;
}

void RunnerGuard::RenewLeaseAfter(absl::Duration delay) {
  this->renewal_timer.expires_after(absl::ToChronoMicroseconds(delay));
  // Close() does not cancel a timer that has already expired.
  this->renewal_timer.async_wait(
      [this, active = this->active](std::error_code error) {
        if (!error && *active)
          this->RenewLease();
      });
}

void RunnerGuard::RenewLease() {
  if (this->renewing)
    return;
  this->renewing = true;
  const absl::Time now = BootClock().Now();
  this->renewal_sent_at = now;
  OrderAddress address = this->Address();
  // A new incarnation may have the id of the one before.
  if (this->changing_incarnation)
    address.incarnation.clear();
  RunnerHold renewal;
  // After a failed call the runner may be another incarnation, whose ends have
  // the same numbers: confirming them unseen would lose them.
  if (!address.incarnation.empty() && !this->silent_since)
    renewal.last_confirmed = this->last_confirmed_end;
  const absl::Time previous_expiry = this->lease_expiry;
  if (!address.incarnation.empty())
    renewal.lease_until_ms = this->NextLeaseExpiryMs(now);
  // The runner need not delay its answer while unconfirmed ends are listed, and
  // must not after a failed call, so that its first answer comes at once.
  if (this->ended.empty() && this->alive && !this->silent_since)
    renewal.wait_ms = absl::ToInt64Milliseconds(this->LongPollTimeout());
  this->runner->Hold(
      address, renewal,
      [this, active = this->active, address, previous_expiry,
       requested_expiry = this->lease_expiry](RunnerReport&& report) {
        if (!*active)
          return;
        this->renewing = false;
        // The call was not sent, and no other call has extended the lease
        // since.
        if (report.order.result == OrderResult::kNotSent &&
            this->lease_expiry == requested_expiry)
          this->lease_expiry = previous_expiry;
        if (report.order.result == OrderResult::kFenced)
          this->RaiseFenceAbove(address.fence);
        // The next call is for any incarnation, and tells which one is up,
        // unless a heartbeat has told already.
        if (report.order.result == OrderResult::kOtherIncarnation &&
            this->heard_id == address.incarnation)
          this->heard_born_ms = 0;
        this->OnReport(std::move(report));
      });
}

void RunnerGuard::OnReport(RunnerReport&& report) {
  const absl::Time now = BootClock().Now();
  this->RecordClock(report.order, now);
  this->LogUnansweredStarts(now);
  if (report.order.result == OrderResult::kFenced) {
    this->RenewLeaseAfter(absl::ZeroDuration());
    return;
  }
  if (report.order.result != OrderResult::kDone) {
    if (!this->silent_since)
      this->silent_since = now;
    // The incarnation has ended as announced, and its runs with it.
    if (report.order.connection_refused && this->IsShuttingDown() &&
        now >= this->shutdown_deadline)
      this->lease_expiry = std::min(this->lease_expiry, now);
    this->CheckLeaseExpiry(now);
    this->RenewLeaseAfter(kRenewalRetryDelay);
    return;
  }
  if (report.order.born_ms != this->born_ms && this->born_ms != 0 &&
      !this->changing_incarnation) {
    this->StartIncarnationChange(report.order.born_ms);
    this->RenewLeaseAfter(absl::ZeroDuration());
    return;
  }
  if (report.order.born_ms != this->born_ms)
    this->OnNewIncarnation(report, now);
  this->changing_incarnation = false;
  this->silent_since.reset();
  this->expired_runs.clear();
  const bool first_report = !this->runs_known || !this->alive;
  this->runs_known = true;
  this->alive = true;
  const bool had_more_ends = this->more_ends;
  this->UpdateRuns(std::move(report), first_report);
  // After a part of the ends, the planner waits for a report of all.
  if (first_report || (had_more_ends && !this->more_ends))
    this->handlers.on_changed();
  this->PaceFillingTasks(now);
  // Without the id, ends can't be confirmed, and are listed in each answer.
  const bool may_list_ends =
      !this->ended.empty() || this->IncarnationId().empty();
  this->RenewLeaseAfter(may_list_ends ? kUnconfirmedDelay
                                      : absl::ZeroDuration());
}

void RunnerGuard::UpdateRuns(RunnerReport&& report, bool first_report) {
  const auto before = std::exchange(this->running, {});
  for (RunningFigure& figure : report.running) {
    const TaskRef task = figure.running.task;
    this->running[task] = std::move(figure);
  }
  std::vector<EndedRun> new_ends;
  this->more_ends = report.more_ends;
  this->ended.clear();
  for (EndedRun& end : report.ended) {
    if (end.number <= this->last_confirmed_end)
      continue;
    if (end.number > this->last_reported_end) {
      this->last_reported_end = end.number;
      new_ends.push_back(end);
      this->descriptions.erase(end.task);
    }
    this->ended.push_back(std::move(end));
  }
  if (!first_report && !this->more_ends)
    this->LogVanishedRuns(before);
  if (!first_report)
    this->StopUnexpectedRuns(before);
  if (!new_ends.empty())
    this->handlers.on_ended(this->born_ms, std::move(new_ends));
  this->ResolveStarts();
}

void RunnerGuard::RaiseFenceAbove(int64_t refused_fence) {
  if (refused_fence < this->fence)
    return;
  this->fence = std::max(this->fence + kFenceStepMs,
                         absl::ToUnixMillis(SystemClock().Now()));
  this->log->Write(LogLine("fence_raised").Add("fence", this->fence));
}

std::vector<ActiveRun> RunnerGuard::Running() const {
  std::vector<ActiveRun> runs;
  for (const auto& [task, figure] : this->running)
    runs.push_back(figure.running);
  for (const auto& [task, start] : this->starting) {
    if (!this->running.contains(task))
      runs.push_back({task, start.order.run, start.order.checkpoint, 0,
                      start.accepted_at == absl::InfiniteFuture()});
  }
  return runs;
}

void RunnerGuard::Describe(const RunOrder& order) {
  RunDescription& description = this->descriptions[order.task];
  description.fills = order.fills;
  description.latency_objective_ms = order.latency_objective_ms;
  description.image = order.image;
  description.millicores = order.millicores;
}

void RunnerGuard::ConfirmEnds(int64_t ends_born_ms, uint64_t last_stored_end) {
  if (ends_born_ms != this->born_ms ||
      last_stored_end <= this->last_confirmed_end)
    return;
  this->last_confirmed_end = last_stored_end;
  std::erase_if(this->ended, [&](const EndedRun& end) {
    return end.number <= last_stored_end;
  });
  if (!this->renewing)
    this->RenewLeaseAfter(absl::ZeroDuration());
}

void RunnerGuard::WatchGrant() {
  this->StopRunsWithoutGrant(BootClock().Now());
  this->RunAfter(kGrantCheckInterval, [this] { this->WatchGrant(); });
}

void RunnerGuard::StopRunsWithoutGrant(absl::Time now) {
  if (this->grant_deadline >= now ||
      this->grant_deadline == absl::InfinitePast())
    return;
  // After a suspension of the VM, the lease by the runner's clock may outlast
  // the grant.
  for (const auto& [task, figure] : this->running) {
    if (!this->stopping.contains({task, figure.running.run}))
      this->SendStop(task, figure.running.run, false);
  }
}

std::vector<ServingLatency> RunnerGuard::LatencyRatios(absl::Time now) {
  std::map<std::string, double> ratios;
  for (const auto& [task, figure] : this->running) {
    const auto found = this->descriptions.find(task);
    // A task that is starting up has no latency figure yet.
    if (found == this->descriptions.end() ||
        found->second.latency_objective_ms <= 0 || figure.figure <= 0)
      continue;
    double& ratio = ratios[found->second.image];
    ratio = std::max(
        ratio, figure.figure /
                   static_cast<double>(found->second.latency_objective_ms));
  }
  std::vector<ServingLatency> serving;
  serving.reserve(ratios.size());
  std::map<std::string, absl::Time> next_over_since;
  for (const auto& [image, ratio] : ratios) {
    ServingLatency& image_ratio =
        serving.emplace_back(ServingLatency{image, ratio});
    if (ratio <= 1)
      continue;
    const auto before = this->over_since.find(image);
    image_ratio.over_limit_since =
        before == this->over_since.end() ? now : before->second;
    next_over_since[image] = image_ratio.over_limit_since;
  }
  this->over_since = std::move(next_over_since);
  return serving;
}

void RunnerGuard::PaceFillingTasks(absl::Time now) {
  const std::vector<ServingLatency> serving = this->LatencyRatios(now);
  if (serving.empty() || this->processors <= 0)
    return;
  const auto vm_millicores = static_cast<double>(this->processors);
  // Shares of the VM's processors that the filling images use now, and that
  // they use at full pace.
  std::map<std::string, double> used_shares;
  std::map<std::string, double> full_pace_shares;
  for (const auto& [task, figure] : this->running) {
    const auto found = this->descriptions.find(task);
    if (found == this->descriptions.end() || !found->second.fills)
      continue;
    used_shares[found->second.image] += figure.figure / vm_millicores;
    full_pace_shares[found->second.image] +=
        static_cast<double>(found->second.millicores) / vm_millicores;
  }
  FillingLoad used_load;
  FillingLoad full_pace_load;
  for (const auto& [image, share] : used_shares) {
    used_load.push_back({image, share});
    full_pace_load.push_back({image, full_pace_shares[image]});
  }
  if (now >= this->next_sample) {
    this->next_sample = now + kSampleInterval;
    for (const ServingLatency& served_image : serving)
      this->neighbours.AddSample(kOwnVm, served_image.image, served_image.ratio,
                                 used_load, now);
    this->handlers.on_sample(serving, used_load);
  }
  if (full_pace_load.empty())
    return;
  UpdatePaces(kOwnVm, serving, full_pace_load, this->neighbours, now,
              &this->paces);
  for (const auto& [task, figure] : this->running) {
    const auto found = this->descriptions.find(task);
    if (found == this->descriptions.end() || !found->second.fills)
      continue;
    const int percent = this->paces[found->second.image].percent;
    if (found->second.pace_percent != percent)
      this->SendPace(task, figure.running.run, percent);
  }
}

void RunnerGuard::SendPace(const TaskRef& task, uint32_t run, int percent) {
  this->descriptions.at(task).pace_percent = percent;
  this->log->Write(LogLine("pace")
                       .Add("submission", task.submission)
                       .Add("step", static_cast<uint64_t>(task.step))
                       .Add("index", static_cast<uint64_t>(task.index))
                       .Add("image", this->descriptions.at(task).image)
                       .Add("percent", percent));
  this->runner->Pace(this->Address(), task, run, percent,
                     [this, active = this->active, task](OrderReply&& reply) {
                       if (!*active || reply.result == OrderResult::kDone)
                         return;
                       // A value that matches no pace has it sent again after
                       // the next report.
                       const auto changed = this->descriptions.find(task);
                       if (changed != this->descriptions.end())
                         changed->second.pace_percent = -1;
                     });
}

}  // namespace cuminjunction
