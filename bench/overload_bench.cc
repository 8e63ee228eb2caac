// Planning rules under floods, on the real Scheduler in virtual time, with a
// fleet and submissions of the users' sizes.
//
//   bench_overload [SEEDS [RULE]]
//
// Prints one line for each rule, flood and kind of submission, as sums over the
// seeds 1 to SEEDS. Tasks end after their drawn run time; the scheduler gets
// estimates that are up to 20% (short) or 50% (large) off.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/strings.h"
#include "bench/planning_rules.h"
#include "submission/overload.h"
#include "submission/scheduler.h"

namespace cuminjunction {
namespace {

constexpr int kWorkers = 60;
constexpr absl::Duration kPlanInterval = absl::Milliseconds(50);
// Load arrives up to kLoadEnd; submissions that have not ended at kEnd count as
// never served.
constexpr double kFloodBegin = 10;
constexpr double kFloodEnd = 40;
constexpr double kLoadEnd = 60;
constexpr double kEnd = 100;
constexpr int kLongRunning = 15;

enum class Flood : uint8_t { kLeast, kMost, kAlternating, kAccount };
constexpr std::array kFloods = {Flood::kLeast, Flood::kMost,
                                Flood::kAlternating, Flood::kAccount};
constexpr std::array<const char*, 4> kFloodNames = {"least", "most",
                                                    "alternating", "account"};

// A kind of submission. Two kinds differ only in their client account.
struct Kind {
  const char* name;
  const char* queue;
  int64_t priority;
  double stretch;
  double objective_ms;
  // Submissions a second outside and inside the flood.
  double rate;
  double flood_rate;
  double estimate_error;
  double mean_tasks;
  double mean_run_s;
  int64_t millicores;
  double mean_steps;
  double filling_share;
};

struct Outcome {
  size_t kind = 0;
  double work = 0;
  double objective_s = 0;
  absl::Time accepted;
  absl::Time ended = absl::InfiniteFuture();

  double Taken() const {
    return absl::ToDoubleSeconds(this->ended - this->accepted);
  }
};

struct KindFigures {
  size_t count = 0;
  size_t in_time = 0;
  size_t late = 0;
  size_t large = 0;
  size_t large_served = 0;
  double value = 0;
  double full_value = 0;
  std::vector<double> taken;
  double longest_wait = 0;
};

class FloodBench {
 public:
  FloodBench(Flood flood,
             uint64_t seed,
             PlanningOrderFunction order,
             double share_by_age)
      : flood(flood), random(seed), run_random(seed) {
    this->kinds = {
        {"short-a", "checks-a", 0, 1.5, 400, 10, 10, 0.2, 10, 0.64, 300, 1.6,
         0},
        {"short-b", "checks-b", 0, 1.5, 400, 5, 5, 0.2, 10, 0.64, 300, 1.6, 0},
        {"large-a", "plans-a", 2, 2.0, 1000, 0.8, 0.8, 0.5, 20, 2.7, 1800, 2,
         0.5},
        {"large-b", "plans-b", 2, 2.0, 1000, 0.4, 0.4, 0.5, 20, 2.7, 1800, 2,
         0.5}};
    FleetPolicy policy;
    policy.version = 1;
    for (const Kind& kind : this->kinds) {
      Queue queue;
      queue.name = kind.queue;
      queue.service = "line";
      queue.max_attempts = 4;
      queue.priority = kind.priority;
      queue.stretch = kind.stretch;
      queue.objective_ms = static_cast<int64_t>(kind.objective_ms);
      policy.queues.push_back(queue);
    }
    Queue lasting = policy.queues.front();
    lasting.name = "watchers";
    policy.queues.push_back(lasting);
    this->scheduler.SetPolicy(policy);
    this->scheduler.SetPlanningRule(order, AgeingShare(share_by_age));
  }

  std::vector<Outcome> Run() {
    for (int number = 0; number < kWorkers; ++number)
      this->AddWorker(number);
    for (int number = 0; number < kLongRunning; ++number)
      this->AddLongRunning(number);
    for (this->now = this->begin; this->Seconds() < kEnd;
         this->now += kPlanInterval) {
      this->EndRuns();
      if (this->Seconds() < kLoadEnd)
        this->Arrive();
      bool more = true;
      for (int round = 0; more && round < 2; ++round)
        more = this->PlanOnce();
    }
    std::vector<Outcome> outcomes;
    for (const auto& [id, outcome] : this->outcomes)
      outcomes.push_back(outcome);
    return outcomes;
  }

  const std::vector<Kind>& Kinds() const { return this->kinds; }

 private:
  struct End {
    absl::Time time;
    std::string vm;
    TaskRef task;
    uint32_t run = 0;
    bool operator>(const End& other) const { return this->time > other.time; }
  };

  double Seconds() const {
    return absl::ToDoubleSeconds(this->now - this->begin);
  }

  void AddWorker(int number) {
    WorkerReport report;
    report.vm = StrCat("vm-", absl::Dec(number, absl::kZeroPad3));
    report.info.runner = "runner-" + report.vm;
    report.info.born_ms = 1;
    report.info.service = "line";
    report.info.capacity = {number % 3 == 0 ? 24000 : 16000, 62500, 0};
    report.info.labels = {"a", StrCat("rack-", number / 10)};
    report.alive = true;
    this->scheduler.MergeReport(report, this->now);
  }

  Submission MakeSubmission(const std::string& queue) {
    Submission submission;
    submission.id =
        StrCat(absl::Hex(this->random() | 1ULL << 63, absl::kZeroPad16));
    submission.queue = queue;
    submission.accepted_ms = absl::ToUnixMillis(this->now);
    return submission;
  }

  void AddLongRunning(int number) {
    Submission submission = this->MakeSubmission("watchers");
    Step step;
    step.count = 14;
    step.size = {3200, 6400, 0};
    step.estimate_ms = 500;
    step.long_running = true;
    step.latency_objective_ms = 50;
    step.image = StrCat("watch-", number);
    submission.steps = {step};
    this->scheduler.Add(submission, std::nullopt, {}, this->now, this->now);
  }

  bool InFlood(const Kind& kind) const {
    const double second = this->Seconds();
    if (second < kFloodBegin || second >= kFloodEnd)
      return false;
    const bool urgent = kind.priority == 0;
    switch (this->flood) {
      case Flood::kLeast:
        return !urgent;
      case Flood::kMost:
        return urgent;
      case Flood::kAlternating:
        return urgent ==
               (static_cast<int>((second - kFloodBegin) / 5) % 2 == 0);
      case Flood::kAccount:
        return kind.queue == std::string("checks-a") ||
               kind.queue == std::string("plans-a");
    }
    return false;
  }

  void Arrive() {
    for (size_t index = 0; index < this->kinds.size(); ++index) {
      const Kind& kind = this->kinds[index];
      double rate = kind.rate;
      if (this->InFlood(kind))
        rate *= kind.priority == 0 ? (this->flood == Flood::kAccount ? 14 : 12)
                                   : (this->flood == Flood::kAccount ? 5 : 4);
      std::poisson_distribution<int> arrivals(
          rate * absl::ToDoubleSeconds(kPlanInterval));
      for (int count = arrivals(this->random); count > 0; --count)
        this->AddSubmission(index);
    }
  }

  void AddSubmission(size_t index) {
    const Kind& kind = this->kinds[index];
    std::uniform_real_distribution<double> unit(0, 1);
    std::lognormal_distribution<double> size_spread(-0.25, 0.7);
    std::lognormal_distribution<double> time_spread(-0.045, 0.3);
    std::uniform_real_distribution<double> error(1 - kind.estimate_error,
                                                 1 + kind.estimate_error);
    Submission submission = this->MakeSubmission(kind.queue);
    const int steps =
        1 + static_cast<int>(unit(this->random) < kind.mean_steps - 1);
    const bool fills = unit(this->random) < kind.filling_share;
    Outcome outcome;
    outcome.kind = index;
    outcome.accepted = this->now;
    std::vector<double>& run_times = this->run_times[submission.id];
    double chain = 0;
    const double size = size_spread(this->random);
    for (int number = 0; number < steps; ++number) {
      Step step;
      step.count = std::max(
          1U, static_cast<uint32_t>(std::lround(kind.mean_tasks * size)));
      step.size = {kind.millicores, 200, 0};
      const double run_time = kind.mean_run_s * time_spread(this->random);
      run_times.push_back(run_time);
      chain += run_time;
      step.estimate_ms =
          static_cast<int64_t>(1000 * run_time * error(this->random));
      step.fills = fills;
      step.image = StrCat(kind.name, index);
      if (number > 0)
        step.after = {static_cast<uint32_t>(number - 1)};
      outcome.work += step.count * run_time * kind.millicores / 1000.0;
      submission.steps.push_back(step);
    }
    outcome.objective_s = kind.stretch * chain + kind.objective_ms / 1000;
    this->outcomes[submission.id] = outcome;
    this->scheduler.Add(submission, std::nullopt, {}, this->now, this->now);
  }

  bool PlanOnce() {
    std::uniform_real_distribution<double> jitter(0.95, 1.05);
    const Orders orders = this->scheduler.Plan(this->now);
    for (const StartOrder& start : orders.starts) {
      const auto times = this->run_times.find(start.task.submission);
      if (times == this->run_times.end())
        continue;
      this->ends.push(
          {this->now + absl::Seconds(times->second[start.task.step] *
                                     jitter(this->run_random)),
           start.vm, start.task, start.run});
    }
    for (const auto& [id, progress] : this->scheduler.TakeDirty()) {
      if (!IsFinal(progress.state))
        continue;
      this->scheduler.MarkStored(id, progress.state, this->now);
      this->scheduler.TakeEndedBefore(absl::InfiniteFuture(), 1000);
      this->scheduler.Forget(id);
    }
    this->scheduler.TakeChanges();
    return orders.more;
  }

  void EndRuns() {
    while (!this->ends.empty() && this->ends.top().time <= this->now) {
      const End end = this->ends.top();
      this->ends.pop();
      this->scheduler.OnEnded(
          end.vm,
          {++this->end_number, end.task, end.run, RunOutcome::kDone, ""},
          this->now);
      if (!this->scheduler.IsLive(end.task.submission))
        this->outcomes[end.task.submission].ended = end.time;
    }
  }

  Flood flood;
  // Separate, so that all rules get the same load.
  std::mt19937_64 random;
  std::mt19937_64 run_random;
  absl::Time begin = absl::FromUnixSeconds(1'000'000);
  absl::Time now = this->begin;
  std::vector<Kind> kinds;
  Scheduler scheduler;
  std::map<std::string, std::vector<double>> run_times;
  std::map<std::string, Outcome> outcomes;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  uint64_t end_number = 0;
};

void AddFigures(const std::vector<Outcome>& outcomes,
                std::vector<KindFigures>* figures) {
  for (size_t kind = 0; kind < figures->size(); ++kind) {
    std::vector<double> works;
    double sum = 0;
    for (const Outcome& outcome : outcomes) {
      if (outcome.kind != kind)
        continue;
      works.push_back(outcome.work);
      sum += outcome.work;
    }
    if (works.empty())
      continue;
    const double mean = sum / static_cast<double>(works.size());
    std::sort(works.begin(), works.end());
    const double large_from = works[works.size() * 9 / 10];
    KindFigures& result = (*figures)[kind];
    for (const Outcome& outcome : outcomes) {
      if (outcome.kind != kind)
        continue;
      const double taken = std::min(outcome.Taken(), kEnd);
      const bool in_time = taken <= outcome.objective_s;
      const bool served = taken <= kLateFactor * outcome.objective_s;
      const double value = std::min(4.0, 0.3 + 0.7 * outcome.work / mean);
      ++result.count;
      result.in_time += in_time;
      result.late += served && !in_time;
      result.large += outcome.work >= large_from;
      result.large_served += outcome.work >= large_from && served;
      result.full_value += value;
      result.value += in_time ? value : served ? 0.15 * value : 0;
      result.taken.push_back(taken);
    }
  }
}

double Percent(double part, double whole) {
  return whole == 0 ? 0 : 100 * part / whole;
}

void PrintFigures(const char* rule,
                  const char* flood,
                  const std::vector<Kind>& kinds,
                  std::vector<KindFigures>* figures) {
  double value = 0;
  double full = 0;
  for (size_t kind = 0; kind < kinds.size(); ++kind) {
    KindFigures& result = (*figures)[kind];
    std::sort(result.taken.begin(), result.taken.end());
    const auto count = static_cast<double>(result.count);
    const double served =
        Percent(static_cast<double>(result.in_time + result.late), count);
    const double large_served =
        Percent(static_cast<double>(result.large_served),
                static_cast<double>(result.large));
    std::printf(
        "| %s | %s | %s | %zu | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f "
        "|\n",
        flood, rule, kinds[kind].name, result.count,
        Percent(static_cast<double>(result.in_time), count),
        Percent(static_cast<double>(result.late), count),
        result.taken[result.taken.size() * 99 / 100], result.taken.back(),
        served, large_served, Percent(result.value, result.full_value));
    value += result.value;
    full += result.full_value;
  }
  std::printf("| %s | %s | sum | | | | | | | | %.2f |\n", flood, rule,
              Percent(value, full));
  std::fflush(stdout);
}

struct RuleUnderTest {
  const char* name;
  PlanningOrderFunction order;
  double share_by_age;
};

int RunBench(uint64_t seeds, const std::string& only) {
  const std::vector<RuleUnderTest> rules = {
      {"least-work", &OrderOf<LeastWorkRule>, 0},
      {"least-work-aged", &OrderOf<LeastWorkRule>, AgeingShare::kDefaultShare},
      {"deadline", &OrderOf<EarliestDeadlineRule>, 0},
      {"global-deadline", &OrderOf<GlobalDeadlineRule>, 0},
      {"feasible-slack", &OrderOf<FeasibleSlackRule>, 0},
      {"feasible-work", &OrderOf<FeasibleWorkRule>, 0},
      {"weighted-work", &OrderOf<WeightedWorkRule>, 0},
      {"weighted-work-aged", &OrderOf<WeightedWorkRule>,
       AgeingShare::kDefaultShare},
  };
  for (const RuleUnderTest& rule : rules) {
    if (!only.empty() && only != rule.name)
      continue;
    for (size_t flood = 0; flood < kFloods.size(); ++flood) {
      std::vector<Kind> kinds;
      std::vector<KindFigures> figures;
      for (uint64_t seed = 1; seed <= seeds; ++seed) {
        FloodBench bench(kFloods[flood], seed, rule.order, rule.share_by_age);
        kinds = bench.Kinds();
        figures.resize(kinds.size());
        AddFigures(bench.Run(), &figures);
      }
      PrintFigures(rule.name, kFloodNames[flood], kinds, &figures);
    }
  }
  return 0;
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  const uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3;
  return cuminjunction::RunBench(seeds, argc > 2 ? argv[2] : "");
}
