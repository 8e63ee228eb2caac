// Bad workers and bad jobs in virtual time, beside a run without faults and one
// with faults under BestFitScorer.
//
//   bench_faulty [SECONDS [SEED]]
//
// One worker in 11 fails every task that it starts, from a tenth of the run on;
// 5% of the jobs fail wherever they run.

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>

#include "bench/figure.h"
#include "bench/virtual_fleet.h"
#include "task/learned_scorer.h"
#include "task/planner_loop.h"

namespace cuminjunction {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(500);
constexpr int kWorkers = 88;
constexpr int kBadWorkerEvery = 11;
constexpr int kBadJobsPercent = 5;
// Mean of 2 cores and 60 s: three quarters of the fleet's cores are used, so
// that the good workers suffice.
constexpr double kArrivalsPerSecond = 8.8;
constexpr double kMeanSeconds = 60;
constexpr double kFailAfterSeconds = 1.5;
constexpr int kMostAttempts = 5;

struct FaultyResult {
  int64_t good_finished = 0;
  int64_t good_parked = 0;
  int64_t starts = 0;
  int64_t wasted_starts = 0;
  int most_attempts_of_bad = 0;
  int64_t good_suspected = 0;
  int64_t bad_not_suspected = 0;
};

struct FaultyOptions {
  int seconds = 900;
  uint64_t seed = 1;
  bool faults = true;
};

template <Scorer S>
class FaultyRun {
 public:
  FaultyRun(const FaultyOptions& options, S scorer)
      : options(options),
        random(options.seed),
        charts(Charts()),
        fleet(Fleet(),
              &this->charts,
              &this->table,
              &this->clock,
              [this](const TaskRow& task, const std::string& worker) {
                return this->Behave(task, worker);
              }),
        planner(PlannerOptions{.name = "bench", .placer = {}},
                &this->charts,
                std::move(scorer),
                nullptr),
        loop(Loop(), &this->planner, &this->table, &this->clock, &this->clock) {
  }

  FaultyResult Run() {
    const absl::Time begin = this->clock.Now();
    const absl::Duration length = absl::Seconds(this->options.seconds);
    this->faulty_from = begin + length / 10;
    while (this->clock.Now() < begin + length) {
      this->clock.Advance(kStep);
      this->Arrive();
      this->fleet.Step(kStep);
      this->loop.Tick();
      this->NoteSuspects();
    }
    return this->Result();
  }

 private:
  static TaskCharts Charts() {
    std::vector<YamlProblem> problems;
    return LoadTaskCharts(StrCat(CUMINJUNCTION_SOURCE_DIR, "/charts"),
                          &problems)
        .value();
  }
  static PlannerLoopOptions Loop() {
    PlannerLoopOptions out;
    out.process = "bench";
    return out;
  }
  static VirtualFleetOptions Fleet() {
    VirtualFleetOptions out;
    out.workers = kWorkers;
    return out;
  }

  static bool IsBadWorker(const std::string& worker) {
    return std::atoi(worker.c_str() + 1) % kBadWorkerEvery == 0;
  }
  bool IsBadJob(const std::string& task) const {
    return this->bad_jobs.contains(task);
  }

  VirtualRun Behave(const TaskRow& task, const std::string& worker) {
    const bool bad_worker = this->options.faults && IsBadWorker(worker) &&
                            this->clock.Now() >= this->faulty_from;
    this->wasted += bad_worker ? 1 : 0;
    if (bad_worker || this->IsBadJob(task.id))
      return {kFailAfterSeconds, true};
    return {this->seconds_of[task.id], false};
  }

  // Both runs draw the same numbers, so that they get the same jobs.
  void Arrive() {
    std::exponential_distribution<double> seconds(1 / kMeanSeconds);
    this->arrivals += absl::ToDoubleSeconds(kStep) * kArrivalsPerSecond;
    for (; this->arrivals >= 1; --this->arrivals) {
      TaskRow task;
      task.owner = StrCat("job", this->next_task);
      task.id = StrCat(task.owner, ".1.0");
      ++this->next_task;
      task.account = StrCat("team", this->random() % 4);
      task.size = {1000 * (1 + static_cast<int64_t>(this->random() % 3)), 2048,
                   0};
      task.created_us = ToMicros(this->clock.Now());
      this->seconds_of[task.id] = seconds(this->random);
      const bool bad = this->random() % 100 < kBadJobsPercent;
      if (bad && this->options.faults)
        this->bad_jobs.insert(task.id);
      // The run without faults leaves out what can't succeed in the other.
      if (bad)
        this->unable.insert(task.id);
      this->fleet.AddTask(task);
    }
  }

  void NoteSuspects() {
    for (const std::string& id : this->planner.GetState()->SuspectWorkers()) {
      const bool bad = this->options.faults && IsBadWorker(id) &&
                       this->clock.Now() >= this->faulty_from;
      (bad ? this->bad_suspected : this->good_suspected).insert(id);
    }
  }

  FaultyResult Result() {
    FaultyResult out;
    out.starts = this->fleet.Starts();
    out.wasted_starts = this->wasted;
    out.good_suspected = static_cast<int64_t>(this->good_suspected.size());
    out.bad_not_suspected = (kWorkers + kBadWorkerEvery - 1) / kBadWorkerEvery -
                            static_cast<int64_t>(this->bad_suspected.size());
    for (const auto& [id, starts] : this->fleet.StartsOfTasks()) {
      if (this->IsBadJob(id))
        out.most_attempts_of_bad = std::max(out.most_attempts_of_bad, starts);
    }
    for (const auto& [id, entry] : this->planner.GetState()->Tasks()) {
      if (this->unable.contains(id))
        continue;
      out.good_finished += entry.row.state == TaskState::kFinished ? 1 : 0;
      out.good_parked += entry.row.state == TaskState::kParked ? 1 : 0;
    }
    return out;
  }

  FaultyOptions options;
  std::mt19937_64 random;
  ManualClock clock{FromMicros(1'000'000'000'000)};
  absl::Time faulty_from;
  TaskCharts charts;
  MemoryTable table;
  VirtualFleet fleet;
  Planner<S> planner;
  PlannerLoop<MemoryTable, S, ManualClock, ManualClock> loop;
  std::map<std::string, double> seconds_of;
  std::set<std::string> bad_jobs;
  std::set<std::string> unable;
  std::set<std::string> good_suspected;
  std::set<std::string> bad_suspected;
  int64_t wasted = 0;
  int64_t next_task = 0;
  double arrivals = 0;
};

void Show(FigurePrinter* printer,
          const std::string& run,
          const FaultyResult& result) {
  printer->Show(run + "_starts", static_cast<double>(result.starts), "count");
  printer->Show(run + "_good_jobs_finished",
                static_cast<double>(result.good_finished), "count");
  printer->Show(run + "_good_jobs_parked",
                static_cast<double>(result.good_parked), "count");
  printer->Show(run + "_good_workers_suspected",
                static_cast<double>(result.good_suspected), "count");
}

double WastedPercent(const FaultyResult& result) {
  return 100 * static_cast<double>(result.wasted_starts) /
         static_cast<double>(std::max<int64_t>(result.starts, 1));
}

int Main(int seconds, uint64_t seed) {
  FaultyOptions options = {seconds, seed, false};
  const FaultyResult healthy =
      FaultyRun(options, LearnedScorer(LearnedOptions())).Run();
  options.faults = true;
  const FaultyResult blind = FaultyRun(options, BestFitScorer()).Run();
  const FaultyResult learned =
      FaultyRun(options, LearnedScorer(LearnedOptions())).Run();

  FigurePrinter printer("faulty");
  Show(&printer, "no_faults", healthy);
  Show(&printer, "best_fit", blind);
  printer.Show("best_fit_starts_wasted", WastedPercent(blind), "% of starts");
  Show(&printer, "learned", learned);
  printer.Show("learned_bad_workers_not_suspected",
               static_cast<double>(learned.bad_not_suspected), "count");
  printer.AtMost("starts_wasted", WastedPercent(learned), "% of starts", 2);
  printer.AtMost("attempts_of_bad_job", learned.most_attempts_of_bad, "count",
                 kMostAttempts);
  printer.AtLeast("good_throughput",
                  100 * static_cast<double>(learned.good_finished) /
                      static_cast<double>(healthy.good_finished),
                  "% of no_faults", 95);
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  const int seconds = argc > 1 ? std::atoi(argv[1]) : 900;
  const uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  return cuminjunction::Main(seconds, seed);
}
