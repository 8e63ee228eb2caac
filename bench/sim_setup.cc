#include "bench/sim_setup.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>

#include "base/strings.h"

namespace cuminjunction {

namespace {

constexpr size_t kUpstreams = 11;
constexpr std::string_view kNamePrefix = "runner-";

}  // namespace

double SimFlowResult::InTime() const {
  return this->sent == 0 ? 0
                         : static_cast<double>(this->latencies_us.size()) /
                               static_cast<double>(this->sent);
}

double SimFlowResult::Quantile(double probability) const {
  if (this->latencies_us.empty())
    return 0;
  std::vector<float> sorted = this->latencies_us;
  const auto place =
      static_cast<size_t>(probability * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(place),
                   sorted.end());
  return sorted[place];
}

SimFlowResult Merge(const SimResult& result,
                    const std::vector<size_t>& picked) {
  SimFlowResult merged;
  for (const size_t index : picked) {
    const SimFlowResult& flow = result.flows[index];
    merged.sent += flow.sent;
    merged.latencies_us.insert(merged.latencies_us.end(),
                               flow.latencies_us.begin(),
                               flow.latencies_us.end());
  }
  return merged;
}

std::vector<UpstreamInfo> SimUpstreams() {
  std::vector<UpstreamInfo> infos;
  for (size_t i = 0; i < kUpstreams; ++i) {
    UpstreamInfo info;
    info.name = StrCat(kNamePrefix, i);
    info.failure_domain = i < 4 ? "erie-a" : i < 8 ? "erie-b" : "huron-a";
    info.region = SimRegion(info.failure_domain);
    info.services = {"s"};
    info.incarnation = 1;
    infos.push_back(info);
  }
  return infos;
}

size_t SimIndex(const std::string& name) {
  return static_cast<size_t>(std::atoi(name.c_str() + kNamePrefix.size()));
}

std::string SimRegion(const std::string& domain) {
  return domain.substr(0, domain.find('-'));
}

absl::Duration SimDelay(const std::string& from, const std::string& to) {
  if (SimRegion(from) != SimRegion(to))
    return absl::Milliseconds(12);
  return from == to ? absl::Microseconds(100) : absl::Microseconds(500);
}

double SimCapacity(const SimSetup& setup) {
  return kUpstreams * setup.queue.slots * 1e6 / setup.service_us;
}

uint64_t SeedFromArguments(int argc, char** argv) {
  for (int i = 1; i + 1 < argc; ++i) {
    if (std::string_view(argv[i]) == "--seed")
      return std::strtoull(argv[i + 1], nullptr, 10);
  }
  return 1;
}

}  // namespace cuminjunction
