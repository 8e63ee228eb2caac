#include "submission/pace.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// Percentage points by which an image speeds up in a step.
constexpr int kRaise = 15;

// Shares below this are not worth their disturbance.
constexpr int kLeastPercent = 5;

// Images whose harm is at least this share of the most suspect one's slow down
// with it.
constexpr double kAlsoSuspect = 0.6;

// From this tail on, in shares of the limit, every filling image stops: the
// limit must not be passed for seconds.
constexpr double kStopAll = 2.5;

// Tail of an undisturbed serving task at its usual load, and the tail that
// pacing aims at, in shares of the limit.
constexpr double kUsualTail = 0.45;
constexpr double kAimedTail = 0.9;

// The share at which the disturbance would be just below the limit, as it grows
// with the share.
int SlowerPercent(int percent, double tail_share) {
  const double factor =
      (kAimedTail - kUsualTail) / std::max(0.1, tail_share - kUsualTail);
  const int slower = static_cast<int>(percent * std::min(factor, 0.8));
  return slower < kLeastPercent ? 0 : slower;
}

}  // namespace

void UpdatePaces(const std::vector<ServingTail>& serving,
                 const FillingLoad& filling,
                 const Neighbours& neighbours,
                 absl::Time now,
                 std::map<std::string, Pace>* paces) {
  double worst = 0;
  for (const ServingTail& tail : serving)
    worst = std::max(worst, tail.share);
  // What each image is held responsible for: the largest tail of a serving
  // task for which it is among the most suspect.
  std::map<std::string, double> charged;
  for (const ServingTail& tail : serving) {
    if (tail.share < kDisturbedTail)
      continue;
    double most = 0;
    for (const FillingImage& filler : filling) {
      const std::string& image = filler.image;
      // An image that is stopped already can't be the cause.
      if ((*paces)[image].percent > 0)
        most = std::max(most, neighbours.Harm(tail.image, image));
    }
    for (const FillingImage& filler : filling) {
      const std::string& image = filler.image;
      if (tail.share >= kStopAll ||
          neighbours.Harm(tail.image, image) >= kAlsoSuspect * most)
        charged[image] = std::max(charged[image], tail.share);
    }
  }
  for (const FillingImage& filler : filling) {
    const std::string& image = filler.image;
    Pace& pace = (*paces)[image];
    const auto found = charged.find(image);
    if (found != charged.end()) {
      if (now < pace.next_step)
        continue;
      pace.percent = SlowerPercent(pace.percent, found->second);
      pace.next_step = now + kPaceInterval;
    } else if (worst < kSpeedUpBelow && pace.percent < 100 &&
               now >= pace.next_step) {
      pace.percent = std::min(100, pace.percent + kRaise);
      pace.next_step = now + kPaceInterval;
    }
  }
}

}  // namespace cuminjunction
