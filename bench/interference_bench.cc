// Services and batch work on shared workers with a hidden matrix of pairs, in
// virtual time, beside interference-blind BestFitScorer.
//
//   bench_interference [SECONDS [SEED]]
//
// Usage reports come 30 s late. The load of each service goes up and down, the
// mix of the batch work changes in the middle of the run, and for two minutes a
// burst meets all services on all workers.

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <numbers>
#include <random>
#include <utility>

#include "bench/figure.h"
#include "bench/virtual_fleet.h"
#include "task/learned_scorer.h"
#include "task/planner_loop.h"

namespace cuminjunction {
namespace {

constexpr absl::Duration kStep = absl::Seconds(1);
constexpr absl::Duration kReportEvery = absl::Seconds(10);
constexpr absl::Duration kReportLag = absl::Seconds(30);
constexpr int kWorkers = 44;
constexpr Size kCapacity = {16000, 61440, 0};
constexpr int kServices = 4;
constexpr int kReplicas = 22;
constexpr int64_t kReplicaMillicores = 2000;
constexpr int kClasses = 12;
constexpr uint64_t kMatrices = 3;
constexpr double kBaseMs = 20;
constexpr int64_t kTargetMs = 40;
// The load factor of a service moves between these.
constexpr double kLeastLoad = 0.8;
constexpr double kMostLoad = 1.3;
constexpr double kLoadPeriodSeconds = 1200;
constexpr double kBurstLoad = 1.3;
constexpr double kNoise = 0.05;
// These pairs slow a service down much.
constexpr double kBadPairs = 0.3;
// With a mean of 2 declared cores and 180 s about 85% of the cores are
// committed, replicas included.
constexpr double kArrivalsPerSecond = 1.2;
constexpr double kMeanSeconds = 180;

struct InterferenceResult {
  double seconds_over = 0;
  // Without the first quarter, in which the pairs are learned.
  double late_seconds_over = 0;
  double replica_seconds = 0;
  double tail_p99_ms = 0;
  double tail_median_ms = 0;
  double finished_work = 0;
  int64_t starts = 0;
  int64_t evictions = 0;
  int64_t burst_evictions = 0;
  size_t waiting = 0;
  double throttled_share = 0;
};

struct BatchClass {
  std::string name;
  Size declared;
  // Share of the declared processors that it uses.
  double used = 1;
  // Growth of each service's tail when the class uses a whole worker.
  std::vector<double> raises;
};

class World {
 public:
  explicit World(uint64_t seed) : random(seed) {
    std::uniform_real_distribution<double> unit(0, 1);
    for (int i = 0; i < kClasses; ++i) {
      BatchClass one;
      one.name = StrCat("batch", i);
      one.declared = {1000 * (1 + static_cast<int64_t>(this->random() % 3)),
                      2048, 0};
      one.used = 0.3 + 0.7 * unit(this->random);
      for (int s = 0; s < kServices; ++s) {
        const bool bad = unit(this->random) < kBadPairs;
        const double low = unit(this->random);
        one.raises.push_back(bad ? 3 + 5 * low : 0.3 * low);
      }
      this->classes.push_back(one);
    }
  }

  const std::vector<BatchClass>& Classes() const { return this->classes; }

  // A class for a new task: the later half of the run prefers the other half of
  // the classes.
  int Draw(bool later) {
    const bool other = this->random() % 4 == 0;
    const auto half = static_cast<uint64_t>(kClasses / 2);
    const uint64_t first = later != other ? half : 0;
    return static_cast<int>(first + this->random() % half);
  }
  double DrawSeconds() {
    return std::exponential_distribution<double>(1 /
                                                 kMeanSeconds)(this->random);
  }

 private:
  std::mt19937_64 random;
  std::vector<BatchClass> classes;
};

template <Scorer S>
class InterferenceRun {
 public:
  InterferenceRun(int seconds, uint64_t seed, S scorer)
      : seconds(seconds),
        world(seed),
        noise(seed + 1),
        charts(Charts()),
        fleet(VirtualFleetOptions{.workers = kWorkers, .capacity = kCapacity},
              &this->charts,
              &this->table,
              &this->clock,
              [this](const TaskRow& task, const std::string&) {
                return this->Behave(task);
              }),
        planner(PlannerOptions{.name = "bench", .placer = {}},
                &this->charts,
                std::move(scorer),
                nullptr),
        loop(Loop(), &this->planner, &this->table, &this->clock, &this->clock) {
  }

  InterferenceResult Run() {
    this->begin = this->clock.Now();
    this->AddServices();
    const absl::Time end = this->begin + absl::Seconds(this->seconds);
    while (this->clock.Now() < end) {
      this->clock.Advance(kStep);
      this->Arrive();
      this->fleet.Step(kStep);
      this->Measure();
      this->Deliver();
      this->loop.Tick();
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

  double Elapsed() const {
    return absl::ToDoubleSeconds(this->clock.Now() - this->begin);
  }
  bool IsBurst() const {
    const double from = 0.6 * this->seconds;
    return this->Elapsed() >= from && this->Elapsed() < from + 120;
  }
  bool IsLate() const { return this->Elapsed() > 0.25 * this->seconds; }

  double Load(int service) const {
    const double turns = this->Elapsed() / kLoadPeriodSeconds +
                         static_cast<double>(service) / kServices;
    const double wave = (1 + std::sin(2 * std::numbers::pi * turns)) / 2;
    const double load = kLeastLoad + (kMostLoad - kLeastLoad) * wave;
    return this->IsBurst() ? load * kBurstLoad : load;
  }

  VirtualRun Behave(const TaskRow& task) {
    constexpr double forever = 1e12;
    if (task.kind == TaskKind::kReplica)
      return {forever, false};
    return {this->seconds_of[task.id], false};
  }

  // Each worker holds two replicas of different services, in both runs, so that
  // no worker is free of services.
  void AddServices() {
    for (int s = 0; s < kServices; ++s) {
      for (int i = 0; i < kReplicas; ++i) {
        TaskRow task;
        task.owner = StrCat("service", s);
        task.id = StrCat(task.owner, ".1.", i);
        task.account = "services";
        task.kind = TaskKind::kReplica;
        task.urgency = Urgency::kUrgent;
        task.size = {kReplicaMillicores, 4096, 0};
        task.created_us = ToMicros(this->clock.Now());
        this->fleet.AddPlaced(task, (s * kReplicas + i) % kWorkers);
      }
    }
  }

  void Arrive() {
    const bool later = this->Elapsed() > 0.5 * this->seconds;
    this->arrivals += absl::ToDoubleSeconds(kStep) * kArrivalsPerSecond;
    for (; this->arrivals >= 1; --this->arrivals) {
      const int drawn = this->world.Draw(later);
      const BatchClass& one = this->world.Classes()[static_cast<size_t>(drawn)];
      TaskRow task;
      task.owner = one.name;
      task.id = StrCat(one.name, ".1.", this->next_task);
      ++this->next_task;
      task.account = StrCat("team", this->next_task % 4);
      task.size = one.declared;
      task.created_us = ToMicros(this->clock.Now());
      this->seconds_of[task.id] = this->world.DrawSeconds();
      this->fleet.AddTask(task);
    }
  }

  // The number at the end of a service's or a class's name.
  static int IndexOf(const std::string& owner) {
    return std::atoi(owner.c_str() + owner.find_first_of("0123456789"));
  }

  double UsedMillicores(const VirtualTask& task) const {
    const auto declared = static_cast<double>(task.row.size.millicores);
    if (task.row.kind == TaskKind::kReplica) {
      const int service = IndexOf(task.row.owner);
      return declared * 0.5 * this->Load(service);
    }
    const int index = IndexOf(task.row.owner);
    return declared * task.share *
           this->world.Classes()[static_cast<size_t>(index)].used;
  }

  // The interference grows with the service's load, which the model that is
  // learned leaves out.
  double Tail(int service, const std::map<std::string, VirtualTask>& running) {
    const double load = this->Load(service);
    double growth = 0;
    for (const auto& [id, task] : running) {
      if (task.row.kind == TaskKind::kReplica)
        continue;
      const int index = IndexOf(task.row.owner);
      const BatchClass& one = this->world.Classes()[static_cast<size_t>(index)];
      growth += one.raises[static_cast<size_t>(service)] *
                this->UsedMillicores(task) /
                static_cast<double>(kCapacity.millicores);
    }
    std::normal_distribution<double> normal(0, kNoise);
    return kBaseMs * load * (1 + growth * load) * std::exp(normal(this->noise));
  }

  void Measure() {
    const bool report = this->clock.Now() >= this->next_report;
    if (report)
      this->next_report = this->clock.Now() + kReportEvery;
    for (const auto& [worker, running] : this->fleet.Workers()) {
      UsageReport out = {worker, kCapacity, this->clock.Now(), {}};
      for (const auto& [id, task] : running) {
        TaskUsage usage;
        usage.task = id;
        usage.owner = task.row.owner;
        usage.millicores = static_cast<int64_t>(this->UsedMillicores(task));
        usage.memory_mib = task.row.size.memory_mib / 2;
        usage.share = task.share;
        if (task.row.kind == TaskKind::kReplica) {
          usage.tail_ms = this->Tail(IndexOf(task.row.owner), running);
          this->Count(usage.tail_ms);
        } else {
          ++this->batch_seconds;
          this->throttled_seconds += task.share < 1 ? 1 : 0;
        }
        out.tasks.push_back(usage);
      }
      if (report)
        this->reports.push_back(out);
    }
    this->NoteBurstEvictions();
  }

  // What the burst causes shows until the last report of it was judged.
  void NoteBurstEvictions() {
    if (this->IsBurst() && this->evictions_before_burst < 0) {
      this->evictions_before_burst = this->fleet.Evictions();
      this->burst_shows_until = this->clock.Now() + absl::Minutes(3);
    }
    if (this->clock.Now() < this->burst_shows_until) {
      this->result.burst_evictions =
          this->fleet.Evictions() - this->evictions_before_burst;
    }
  }

  void Count(double tail_ms) {
    const bool over = tail_ms > static_cast<double>(kTargetMs);
    const double seconds_passed = absl::ToDoubleSeconds(kStep);
    this->result.replica_seconds += seconds_passed;
    this->result.seconds_over += over ? seconds_passed : 0;
    this->result.late_seconds_over +=
        over && this->IsLate() ? seconds_passed : 0;
    this->tails.push_back(tail_ms);
  }

  void Deliver() {
    while (!this->reports.empty() &&
           this->reports.front().at + kReportLag <= this->clock.Now()) {
      if constexpr (MitigatingScorer<S>)
        this->planner.GetScorer()->AddReport(this->reports.front(),
                                             this->clock.Now());
      this->reports.pop_front();
    }
  }

  double TailQuantile(double quantile) {
    const auto at = this->tails.begin() +
                    static_cast<std::ptrdiff_t>(
                        quantile * static_cast<double>(this->tails.size() - 1));
    std::nth_element(this->tails.begin(), at, this->tails.end());
    return *at;
  }

  InterferenceResult Result() {
    this->result.finished_work = this->fleet.FinishedWork();
    this->result.starts = this->fleet.Starts();
    this->result.evictions = this->fleet.Evictions();
    this->result.waiting = this->planner.GetState()->WaitingCount();
    this->result.tail_median_ms = this->TailQuantile(0.5);
    this->result.tail_p99_ms = this->TailQuantile(0.99);
    this->result.throttled_share =
        this->throttled_seconds / std::max(this->batch_seconds, 1.0);
    return this->result;
  }

  int seconds;
  World world;
  std::mt19937_64 noise;
  ManualClock clock{FromMicros(1'000'000'000'000)};
  absl::Time begin;
  TaskCharts charts;
  MemoryTable table;
  VirtualFleet fleet;
  Planner<S> planner;
  PlannerLoop<MemoryTable, S, ManualClock, ManualClock> loop;
  std::map<std::string, double> seconds_of;
  std::deque<UsageReport> reports;
  std::vector<double> tails;
  absl::Time next_report = absl::InfinitePast();
  InterferenceResult result;
  int64_t evictions_before_burst = -1;
  absl::Time burst_shows_until = absl::InfinitePast();
  double batch_seconds = 0;
  double throttled_seconds = 0;
  double arrivals = 0;
  int64_t next_task = 0;
};

void Show(FigurePrinter* printer,
          const std::string& run,
          const InterferenceResult& result) {
  printer->Show(run + "_time_over_target",
                100 * result.seconds_over / result.replica_seconds, "%");
  printer->Show(run + "_tail_median", result.tail_median_ms, "ms");
  printer->Show(run + "_tail_p99", result.tail_p99_ms, "ms");
  printer->Show(run + "_batch_work", result.finished_work, "core-s");
  printer->Show(run + "_starts", static_cast<double>(result.starts), "count");
  printer->Show(run + "_evictions", static_cast<double>(result.evictions),
                "count");
  printer->Show(run + "_burst_evictions",
                static_cast<double>(result.burst_evictions), "count");
  printer->Show(run + "_throttled", 100 * result.throttled_share,
                "% of batch time");
  printer->Show(run + "_waiting", static_cast<double>(result.waiting), "tasks");
}

LearnedScorer MakeLearned() {
  Document document;
  for (int s = 0; s < kServices; ++s) {
    Service service;
    service.name = StrCat("service", s);
    service.tail_target_ms = kTargetMs;
    document.services[service.name] = service;
  }
  LearnedScorer scorer((LearnedOptions()));
  scorer.SetDocument(document);
  return scorer;
}

double Percent(double part, double whole) {
  return whole > 0 ? 100 * part / whole : 0;
}

// The targets are for the sum over several matrices, since matrices differ in
// how many classes go together with a service.
int Main(int seconds, uint64_t seed) {
  FigurePrinter printer("interference");
  InterferenceResult blind_sum;
  InterferenceResult learned_sum;
  const auto add = [](const InterferenceResult& one, InterferenceResult* sum) {
    sum->seconds_over += one.seconds_over;
    sum->late_seconds_over += one.late_seconds_over;
    sum->finished_work += one.finished_work;
    sum->starts += one.starts;
    sum->evictions += one.evictions;
  };
  for (uint64_t matrix = seed; matrix < seed + kMatrices; ++matrix) {
    const InterferenceResult blind =
        InterferenceRun(seconds, matrix, BestFitScorer()).Run();
    const InterferenceResult learned =
        InterferenceRun(seconds, matrix, MakeLearned()).Run();
    const std::string prefix = StrCat("seed_", matrix, "_");
    Show(&printer, prefix + "best_fit", blind);
    Show(&printer, prefix + "learned", learned);
    printer.Show(prefix + "time_over_target",
                 Percent(learned.seconds_over, blind.seconds_over),
                 "% of best_fit");
    printer.Show(prefix + "batch_throughput",
                 Percent(learned.finished_work, blind.finished_work),
                 "% of best_fit");
    add(blind, &blind_sum);
    add(learned, &learned_sum);
  }
  printer.Show(
      "time_over_target_after_first_quarter",
      Percent(learned_sum.late_seconds_over, blind_sum.late_seconds_over),
      "% of best_fit");
  printer.AtMost("time_over_target",
                 Percent(learned_sum.seconds_over, blind_sum.seconds_over),
                 "% of best_fit", 25);
  printer.AtLeast("batch_throughput",
                  Percent(learned_sum.finished_work, blind_sum.finished_work),
                  "% of best_fit", 95);
  printer.AtMost("evictions",
                 Percent(static_cast<double>(learned_sum.evictions),
                         static_cast<double>(learned_sum.starts)),
                 "in 100 tasks", 2);
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  const int seconds = argc > 1 ? std::atoi(argv[1]) : 1800;
  const uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  return cuminjunction::Main(seconds, seed);
}
