#include "submission/neighbours.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// What is assumed of a pair before it was seen: a quarter of the pairs disturb.
// The weight of two looks lets a few seconds of evidence prevail.
constexpr double kPriorQuiet = 1.5;
constexpr double kPriorDisturbed = 0.5;

// Share of the evidence that is kept at each look. A look comes each half
// second, so that half of it fades in about 20 s, since loads change.
constexpr double kKept = 0.983;

// A look at less than this many cores of an image says little about it.
constexpr double kFullWeightCores = 1.0;

// Weight of a quiet look against a disturbed one: load alone can hide a pair
// that disturbs only at peaks.
constexpr double kQuietWeight = 0.5;

double WeightOf(const FillingImage& filler) {
  return std::min(1.0, filler.cores / kFullWeightCores);
}

}  // namespace

void Neighbours::Observe(const std::string& serving,
                         double tail_share,
                         const FillingLoad& filling) {
  if (tail_share > kQuietTail && tail_share < kDisturbedTail)
    return;
  const bool quiet = tail_share <= kQuietTail;
  double suspicion = 0;
  for (const FillingImage& filler : filling)
    suspicion += this->Suspicion(serving, filler);
  for (const FillingImage& filler : filling) {
    const double weight = WeightOf(filler);
    // A tail that is quiet while an image is slowed down clears nobody.
    if (weight <= 0 || (quiet && !filler.at_full_share))
      continue;
    const double blame =
        suspicion > 0 ? this->Suspicion(serving, filler) / suspicion : 0;
    Evidence& evidence = this->pairs[{serving, filler.image}];
    evidence.quiet *= kKept;
    evidence.disturbed *= kKept;
    if (quiet)
      evidence.quiet += kQuietWeight * weight;
    else
      evidence.disturbed += blame;
  }
}

// The third power lets the most suspect image take most of the blame; with the
// harm itself an innocent image that is often in bad company keeps a third.
double Neighbours::Suspicion(const std::string& serving,
                             const FillingImage& filler) const {
  const double harm = this->Harm(serving, filler.image);
  return harm * harm * harm * WeightOf(filler);
}

double Neighbours::Harm(const std::string& serving,
                        const std::string& filling) const {
  const auto found = this->pairs.find({serving, filling});
  const Evidence evidence =
      found == this->pairs.end() ? Evidence{} : found->second;
  const double disturbed = kPriorDisturbed + evidence.disturbed;
  return disturbed / (disturbed + kPriorQuiet + evidence.quiet);
}

std::vector<PairEvidence> Neighbours::Export() const {
  std::vector<PairEvidence> exported;
  for (const auto& [pair, evidence] : this->pairs)
    exported.push_back({pair.first, pair.second,
                        static_cast<float>(evidence.quiet),
                        static_cast<float>(evidence.disturbed)});
  return exported;
}

void Neighbours::Adopt(const std::vector<PairEvidence>& evidence) {
  for (const PairEvidence& pair : evidence)
    this->pairs[{pair.serving, pair.filling}] = {pair.quiet, pair.disturbed};
}

}  // namespace cuminjunction
