// Placement at the target size in virtual time, beside a full scan.
//
//   bench_place [SECONDS [SEED]]

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

#include "bench/figure.h"
#include "bench/fleet.h"
#include "task/learned_scorer.h"
#include "task/planner_loop.h"

namespace cuminjunction {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(100);
constexpr absl::Duration kTick = absl::Milliseconds(500);
constexpr int kFloodTasks = 20'000;
constexpr int kTimedDecisions = 2'000;
constexpr double kMegabyte = 1e6;

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(quantile * last)];
}

// Best fit by a look at every worker row, as a baseline for the decision.
const WorkerEntry* FullScan(const State& state, const TaskRow& task) {
  const WorkerEntry* best = nullptr;
  int64_t best_left = 0;
  for (const auto& [id, worker] : state.Workers()) {
    const Size free = worker.row.Free();
    if (worker.row.state != WorkerState::kReady || !Fits(task.size, free))
      continue;
    const int64_t left = free.millicores - task.size.millicores;
    if (best != nullptr && left >= best_left)
      continue;
    best = &worker;
    best_left = left;
  }
  return best;
}

class PlaceBench {
 public:
  PlaceBench(int seconds, uint64_t seed)
      : seconds(seconds),
        charts(Charts()),
        fleet(Options(seed),
              &this->charts,
              &this->rows,
              &this->table,
              &this->clock),
        planner(MakePlanner(),
                &this->charts,
                LearnedScorer(LearnedOptions()),
                nullptr),
        loop(MakeLoop(),
             &this->planner,
             &this->table,
             &this->clock,
             &this->clock) {}

  int Run() {
    this->fleet.Fill();
    this->TakeOver();
    this->ReportMemory();
    this->fleet.ForgetStarts();
    this->Simulate("steady", absl::Seconds(this->seconds));
    this->TimeDecisions();
    this->Flood();
    return this->printer.ExitCode();
  }

 private:
  static TaskCharts Charts() {
    std::vector<YamlProblem> problems;
    return LoadTaskCharts(StrCat(CUMINJUNCTION_SOURCE_DIR, "/charts"),
                          &problems)
        .value();
  }
  static FleetOptions Options(uint64_t seed) {
    FleetOptions options;
    options.seed = seed;
    return options;
  }
  static PlannerOptions MakePlanner() {
    PlannerOptions options;
    options.name = "bench";
    return options;
  }
  static PlannerLoopOptions MakeLoop() {
    PlannerLoopOptions options;
    options.process = "bench";
    return options;
  }

  // Ticks when the last one's commits are done, and at most every kTick.
  void Advance() {
    this->clock.Advance(kStep);
    this->fleet.Step(kStep);
    if (this->clock.Now() < this->next_tick)
      return;
    const double store_before = this->table.StoreSeconds();
    const double begin = ThreadSeconds();
    this->loop.Tick();
    this->planner_seconds +=
        ThreadSeconds() - begin - (this->table.StoreSeconds() - store_before);
    this->next_tick = std::max(this->clock.Now() + kTick, this->table.DoneAt());
  }

  // The planner starts with an empty picture while urgent tasks arrive.
  void TakeOver() {
    const absl::Time begin = this->clock.Now();
    while (!this->loop.IsComplete())
      this->Advance();
    this->printer.Show("take_over",
                       absl::ToDoubleSeconds(this->clock.Now() - begin), "s");
    this->Simulate("take_over", absl::Seconds(10));
  }

  // The flood is in the table and was read when the measurement begins: the
  // store takes more than a minute to write it.
  void Flood() {
    this->fleet.Flood(kFloodTasks);
    this->Advance();
    while (!this->loop.IsComplete())
      this->Advance();
    this->Settle();
    this->fleet.ForgetStarts();
    this->Simulate("flood", absl::Seconds(this->seconds));
  }

  // Lets the tasks start that came while rows were read.
  void Settle() {
    const absl::Time end = this->clock.Now() + absl::Seconds(20);
    while (this->clock.Now() < end)
      this->Advance();
  }

  // The picture's memory, as the growth of the heap while a second one is
  // filled.
  void ReportMemory() {
    const std::vector<Row> all = this->rows.ScanSince("", 0, 1000000).value();
    const size_t before = mallinfo2().uordblks;
    State state;
    for (const Row& row : all)
      (void)state.Apply(row);
    const size_t after = mallinfo2().uordblks;
    this->printer.AtMost("picture_memory",
                         static_cast<double>(after - before) / kMegabyte, "MB",
                         64);
  }

  void Simulate(const std::string& phase, absl::Duration length) {
    const double cpu_before = this->planner_seconds;
    const int64_t rows_before = this->table.RowsWritten();
    const absl::Time begin = this->clock.Now();
    const absl::Time end = begin + length;
    while (this->clock.Now() < end)
      this->Advance();
    const double duration = absl::ToDoubleSeconds(end - begin);
    const double share = (this->planner_seconds - cpu_before) / duration;
    const auto rows =
        static_cast<double>(this->table.RowsWritten() - rows_before);
    const std::vector<double>& starts = this->fleet.UrgentStarts();
    this->printer.AtMost(phase + "_planner_share", 100 * share, "% of a core",
                         3.5);
    this->printer.Show(phase + "_rows_written", rows / duration, "rows/s");
    this->printer.Show(phase + "_starts",
                       static_cast<double>(this->fleet.Starts()) / duration,
                       "1/s");
    this->printer.Show(phase + "_evictions",
                       static_cast<double>(this->fleet.Evictions()), "count");
    this->printer.Show(
        phase + "_waiting",
        static_cast<double>(this->planner.GetState()->WaitingCount()), "tasks");
    this->printer.Show(phase + "_urgent_starts",
                       static_cast<double>(starts.size()), "count");
    this->printer.Show(phase + "_urgent_start_median", Quantile(starts, 0.5),
                       "s");
    this->printer.Show(phase + "_urgent_start_p99", Quantile(starts, 0.99),
                       "s");
    this->printer.AtMost(phase + "_urgent_start_max", Quantile(starts, 1), "s",
                         4);
  }

  // Whole decisions for tasks one at a time on a copy of the picture, each with
  // the transition and the update of the picture, and the baseline's choice of
  // a worker alone.
  void TimeDecisions() {
    std::vector<double> decisions;
    std::vector<double> scans;
    Placer placer((PlacerOptions()));
    Explainer explainer(nullptr);
    State copy = *this->planner.GetState();
    State* state = &copy;
    uint64_t counter = 0;
    for (int i = 0; i < kTimedDecisions; ++i) {
      Plan plan(&this->charts, state, "timed", &counter);
      Batch created(&this->charts, "timed");
      const TaskRow task = this->fleet.MakeTask(Urgency::kUrgent);
      (void)CreateTask(task, &created);
      state->Apply(created, 0);
      double begin = ThreadSeconds();
      const WorkerEntry* scanned = FullScan(*state, task);
      const double scan_time = ThreadSeconds() - begin;
      begin = ThreadSeconds();
      const bool placed = placer.PlaceTask(
          this->planner.GetScorer(), *state, state->FindTask(task.id)->row,
          this->clock.Now(), &plan, &explainer);
      const double decision_time = ThreadSeconds() - begin;
      this->missed += scanned != nullptr && !placed ? 1 : 0;
      // Once the fleet is full, a refusal costs next to nothing.
      if (!placed)
        continue;
      scans.push_back(1e3 * scan_time);
      decisions.push_back(1e3 * decision_time);
    }
    this->printer.AtMost("decision_median", Quantile(decisions, 0.5), "ms",
                         0.2);
    this->printer.Show("timed_decisions", static_cast<double>(decisions.size()),
                       "count");
    this->printer.Show("decision_p99", Quantile(decisions, 0.99), "ms");
    this->printer.Show("full_scan_choice_median", Quantile(scans, 0.5), "ms");
    this->printer.AtMost("room_found_by_full_scan_only",
                         static_cast<double>(this->missed), "count", 0);
  }

  int seconds;
  ManualClock clock{FromMicros(1'000'000'000'000)};
  TaskCharts charts;
  MemoryTable rows;
  PacedTable table{&this->rows, &this->clock};
  Fleet fleet;
  Planner<LearnedScorer> planner;
  PlannerLoop<PacedTable, LearnedScorer, ManualClock, ManualClock> loop;
  FigurePrinter printer{"place"};
  absl::Time next_tick = absl::InfinitePast();
  double planner_seconds = 0;
  int missed = 0;
};

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  const int seconds = argc > 1 ? std::atoi(argv[1]) : 120;
  const uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  return cuminjunction::PlaceBench(seconds, seed).Run();
}
