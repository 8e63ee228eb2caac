#include "testing/soak/evacuations.h"

#include <algorithm>

#include "absl/time/clock.h"
#include "base/strings.h"

namespace cuminjunction {

void Evacuations::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void Evacuations::Stop() {
  this->stop = true;
  this->thread.join();
}

void Evacuations::Run() {
  const auto sleep_between = [this](double least_s, double most_s) {
    const absl::Time end =
        absl::Now() + absl::Seconds(std::uniform_real_distribution<double>(
                          least_s, most_s)(this->random));
    while (!this->stop && absl::Now() < end)
      absl::SleepFor(absl::Milliseconds(10));
  };
  while (!this->stop) {
    sleep_between(0.5, 3);
    const std::string domain =
        kAgentDomains.at(this->random() % kAgentDomains.size());
    const std::string key = StrCat("evacuate/", domain);
    this->fleet->Store()->Put("op", "", key, "{}");
    const absl::Time acknowledged = absl::Now();
    // Most are longer than the bound, so that they are checked.
    sleep_between(3, 14);
    this->spans.push_back(
        {domain, acknowledged + absl::Milliseconds(kEvacuateMs), absl::Now()});
    this->fleet->Store()->Remove("op", "", key);
  }
}

bool Evacuations::Forbid(const std::string& domain, absl::Time at) const {
  return std::any_of(
      this->spans.begin(), this->spans.end(), [&](const Span& span) {
        return span.domain == domain && span.from < at && at < span.to;
      });
}

}  // namespace cuminjunction
