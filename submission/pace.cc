#include "submission/pace.h"

#include <algorithm>
#include <vector>

namespace cuminjunction {

namespace {

// The most that one step raises the share of an image: to this multiple, or by
// this many percentage points where that is more.
constexpr double kMaxRaiseFactor = 2;
constexpr int kMaxRaisePercentagePoints = 25;

// In percentage points. A smaller change is not worth a call to the runner, and
// a smaller share not the interference that it causes.
constexpr int kMinChange = 5;

// Images whose growth of the latency ratio is at least this fraction of the
// largest one are slowed down together; the others keep their share.
constexpr double kSlowedGrowthFraction = 0.3;

// All filling images stop beside a serving image whose latency ratio stays
// above 1 for this long. The users' rules allow 4 s.
constexpr absl::Duration kMaxTimeOverLimit = absl::Milliseconds(1600);

// Lowers the shares (from 0 to 1, one for each filling image) until the
// expected latency ratio is below the target.
void LimitShares(const ServingLatency& latency,
                 double baseline,
                 const FillingLoad& filling,
                 const InterferenceModel& interference_model,
                 absl::Time now,
                 std::vector<double>* shares) {
  if (latency.over_limit_since <= now - kMaxTimeOverLimit) {
    std::fill(shares->begin(), shares->end(), 0.0);
    return;
  }
  std::vector<double> growth;
  growth.reserve(filling.size());
  double max_growth = 0;
  for (const FillingImage& filler : filling) {
    const double interference =
        interference_model.Interference(latency.image, filler.image);
    growth.push_back(interference * filler.share);
    if (interference >= kNegligibleInterference)
      max_growth = std::max(max_growth, growth.back());
  }
  const auto is_slowed = [&](size_t index) {
    return growth[index] >= kSlowedGrowthFraction * max_growth &&
           interference_model.Interference(
               latency.image, filling[index].image) >= kNegligibleInterference;
  };
  double slowed = 0;
  double others = 0;
  for (size_t index = 0; index < growth.size(); ++index)
    (is_slowed(index) ? slowed : others) += growth[index];
  const double max_total_growth = kTargetLatencyRatio / baseline - 1;
  if (slowed + others <= max_total_growth || slowed <= 0)
    return;
  const double limit = std::max(0.0, (max_total_growth - others) / slowed);
  for (size_t index = 0; index < growth.size(); ++index) {
    if (is_slowed(index))
      (*shares)[index] = std::min((*shares)[index], limit);
  }
}

}  // namespace

void UpdatePaces(const std::string& vm,
                 const std::vector<ServingLatency>& serving,
                 const FillingLoad& filling,
                 const InterferenceModel& interference_model,
                 absl::Time now,
                 std::map<std::string, ImagePace>* paces) {
  std::vector<double> shares(filling.size(), 1.0);
  for (const ServingLatency& latency : serving)
    LimitShares(latency, interference_model.Baseline(vm, latency.image, now),
                filling, interference_model, now, &shares);
  for (size_t index = 0; index < filling.size(); ++index) {
    ImagePace& pace = (*paces)[filling[index].image];
    int target_percent = static_cast<int>(100 * shares[index]);
    if (target_percent < kMinChange)
      target_percent = 0;
    if (target_percent < pace.percent) {
      if (target_percent > 0 && pace.percent - target_percent < kMinChange)
        continue;
      pace.percent = target_percent;
      pace.next_raise = now + kPaceInterval;
    } else if (target_percent >= pace.percent + kMinChange &&
               now >= pace.next_raise) {
      const int step =
          std::max(pace.percent + kMaxRaisePercentagePoints,
                   static_cast<int>(pace.percent * kMaxRaiseFactor));
      pace.percent = std::min(target_percent, step);
      pace.next_raise = now + kPaceInterval;
    }
  }
}

}  // namespace cuminjunction
