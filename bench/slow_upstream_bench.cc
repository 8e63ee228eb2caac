// One of 11 upstreams is ten times slower at half load, with the chooser and
// with random choice; and the cost of a choice among 800 upstreams. Takes
// --seed N.

#include <chrono>
#include <random>
#include <vector>

#include "base/strings.h"
#include "bench/figure.h"
#include "bench/route_sim.h"
#include "request/baseline.h"

namespace cuminjunction {
namespace {

SimSetup MakeSetup(uint64_t seed, double slowness) {
  SimSetup setup;
  setup.seed = seed;
  setup.first_upstream_slowness = slowness;
  // Within the measured time, so that the detection counts.
  setup.slow_from_ms = setup.warm_up_ms + 500;
  const double capacity = SimCapacity(setup);
  setup.flows = {{{"growers", Urgency::kUrgent}, 0.25 * capacity, 250},
                 {{"gift-houses", Urgency::kNormal}, 0.25 * capacity, 250}};
  return setup;
}

template <Chooser C>
double P99Us(const SimSetup& setup) {
  const SimResult result = RouteSim<C, FairQueue>(setup).Run();
  return Merge(result, {0, 1}).Quantile(0.99);
}

std::vector<UpstreamInfo> ManyUpstreams() {
  std::vector<UpstreamInfo> infos;
  for (int i = 0; i < 800; ++i) {
    UpstreamInfo info;
    info.name = StrCat("region-", i % 3, "-runner-", i);
    info.failure_domain = StrCat("domain-", i % 7);
    info.region = StrCat("region-", i % 7 % 3);
    info.services = {StrCat("service-", i % 20), "everywhere"};
    infos.push_back(info);
  }
  return infos;
}

constexpr size_t kRounds = 200000;

// Mean cost of a choice with its feedback, in microseconds.
double DecisionUs(uint64_t seed, const std::vector<std::string>& services) {
  UpstreamChooser chooser({"domain-1", "region-1"}, nullptr);
  std::mt19937_64 random(seed);
  absl::Time now = absl::UnixEpoch();
  chooser.SetUpstreams(ManyUpstreams(), now);
  const RequestClass cls = {"growers", Urgency::kUrgent};
  const AgentLoad load = {1, 0, 8, 0, 5000};
  const auto start = std::chrono::steady_clock::now();
  for (size_t i = 0; i < kRounds; ++i) {
    now += absl::Microseconds(25);
    const auto choice =
        chooser.Choose(services[i % services.size()], cls, now, {}, random);
    if (!choice)
      continue;
    chooser.OnSent(choice.value().name);
    chooser.OnAnswer(choice.value().name, load, absl::Milliseconds(5), now);
  }
  const std::chrono::duration<double, std::micro> passed =
      std::chrono::steady_clock::now() - start;
  return passed.count() / static_cast<double>(kRounds);
}

std::vector<std::string> ServiceNames() {
  std::vector<std::string> services;
  services.reserve(20);
  for (int i = 0; i < 20; ++i)
    services.push_back(StrCat("service-", i));
  return services;
}

int RunBench(uint64_t seed) {
  FigurePrinter printer("slow-upstream");
  const double healthy = P99Us<UpstreamChooser>(MakeSetup(seed, 1));
  const double slow = P99Us<UpstreamChooser>(MakeSetup(seed, 10));
  printer.AtMost("p99_ratio", slow / healthy, "ratio", 1.5);
  printer.Show("healthy_p99", healthy / 1000, "ms");
  printer.Show("slow_p99", slow / 1000, "ms");
  const double random_healthy = P99Us<RandomChooser>(MakeSetup(seed, 1));
  const double random_slow = P99Us<RandomChooser>(MakeSetup(seed, 10));
  printer.Show("random_p99_ratio", random_slow / random_healthy, "ratio");
  printer.Show("random_healthy_p99", random_healthy / 1000, "ms");
  printer.Show("random_slow_p99", random_slow / 1000, "ms");
  printer.AtMost("decision_of_20_services", DecisionUs(seed, ServiceNames()),
                 "us", 2);
  printer.AtMost("decision_of_800_upstreams", DecisionUs(seed, {"everywhere"}),
                 "us", 2);
  return printer.ExitCode();
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::RunBench(cuminjunction::SeedFromArguments(argc, argv));
}
