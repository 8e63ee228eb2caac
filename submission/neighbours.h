#ifndef SUBMISSION_NEIGHBOURS_H_
#define SUBMISSION_NEIGHBOURS_H_

// Which filling images disturb which serving images, learned from the tails of
// the serving tasks.
//
//   Neighbours neighbours;
//   neighbours.Observe("search", 1.2, {{"rebuild", 1.8, true}});
//   double harm = neighbours.Harm("search", "rebuild");   // 0 to 1
//
// Load pattern: filling and serving tasks of many images share all VMs; a few
// pairs of images disturb badly, most hardly at all. A quiet tail clears all
// filling images on the VM; a long one is blamed on them in proportion to what
// is held against each already, so that a pair is told apart as soon as it has
// been seen in other company.

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cuminjunction {

// Tails, as a share of their limit, up to which a serving task counts as quiet
// and from which on it counts as disturbed.
inline constexpr double kQuietTail = 0.8;
inline constexpr double kDisturbedTail = 0.97;

// A filling image on a VM.
struct FillingImage {
  std::string image;
  // Processors that it uses there, in cores.
  double cores = 0;
  // It works at its full share, so that a quiet tail beside it says something.
  bool at_full_share = true;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->image, this->cores, this->at_full_share);
  }
};

using FillingLoad = std::vector<FillingImage>;

// What is known of a pair: looks that found the serving image quiet and
// disturbed, with fading weights.
struct PairEvidence {
  std::string serving;
  std::string filling;
  float quiet = 0;
  float disturbed = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->serving, this->filling, this->quiet, this->disturbed);
  }
};

class Neighbours {
 public:
  // Takes one look at a serving task: its tail as a share of its limit, and
  // what fills beside it.
  void Observe(const std::string& serving,
               double tail_share,
               const FillingLoad& filling);

  // How likely the filling image disturbs the serving image, from 0 to 1.
  double Harm(const std::string& serving, const std::string& filling) const;

  // All that is known, to tell others.
  std::vector<PairEvidence> Export() const;

  // Takes what another has learned from more looks in place of the own
  // evidence on these pairs.
  void Adopt(const std::vector<PairEvidence>& evidence);

 private:
  struct Evidence {
    double quiet = 0;
    double disturbed = 0;
  };

  double Suspicion(const std::string& serving,
                   const FillingImage& filler) const;

  std::map<std::pair<std::string, std::string>, Evidence> pairs;
};

}  // namespace cuminjunction

#endif  // SUBMISSION_NEIGHBOURS_H_
