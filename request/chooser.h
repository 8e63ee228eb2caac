#ifndef REQUEST_CHOOSER_H_
#define REQUEST_CHOOSER_H_

// Choice of an upstream at the entry.
//
//   UpstreamChooser chooser({.failure_domain = "erie-a", .region = "erie"},
//                           &link);
//   chooser.SetUpstreams(infos, now);          // on each membership change
//   Result<UpstreamChoice> choice =
//       chooser.Choose("slot-check", request_class, now, {}, bit_gen);
//   if (!choice) ...                           // typed reason: ChooseError
//   chooser.OnSent(choice.value().name);
//   chooser.OnAnswer(choice.value().name, load, latency, now);
//
// Each attempt reported with OnSent() ends with exactly one of OnAnswer(),
// OnRefused(), OnFailure() and OnAbandoned().
//
// The chooser compares two random upstreams of the entry's failure domain by
// expected latency: the decayed mean service time, and the wait behind the
// requests that the agent reported and those that this entry has sent since.
// When the better one is busy, upstreams of the same region join the comparison
// with their round trip added, then those of other regions if the link budget
// allows. Entries decide independently; comparing a few random candidates
// instead of all keeps them from sending to the same upstream at the same time.
//
// An upstream whose latency or failure share is far above that of its peers is
// put on probation: it receives only a small share of the requests as probes,
// preferably less urgent ones, until several probes in a row succeed.

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "base/error.h"
#include "request/budget.h"
#include "request/types.h"

namespace cuminjunction {

// State of an upstream as reported by membership.
enum class UpstreamState : uint8_t {
  kReady = 0,
  // Silent for a while; used only when no upstream is ready.
  kSuspect = 1,
  // Behind a failed network link; used only when no upstream is ready.
  kUnreachable = 2,
  kLeaving = 3,
  kDown = 4,
};

struct UpstreamInfo {
  std::string name;
  // Address of its agent.
  std::string host;
  uint16_t port = 0;
  std::string failure_domain;
  std::string region;
  std::vector<std::string> services;
  UpstreamState state = UpstreamState::kReady;
  uint64_t incarnation = 0;

  auto operator<=>(const UpstreamInfo&) const = default;
};

// Reason for which no upstream was chosen. Nothing was sent, so the request has
// not run.
enum class ChooseError {
  // No upstream has announced the service.
  kUnknownService = 1,
  // All upstreams of the service are leaving or down.
  kNoneUsable,
  // The caller excluded all usable upstreams.
  kAllExcluded,
  // Only upstreams of other regions are left, and the link budget is spent.
  kLinkBudgetSpent,
};

template <>
struct ErrorTraits<ChooseError> {
  static constexpr const char* kCategory = "choose";
  static std::string_view Message(ChooseError error);
};

// Distance from the entry to an upstream.
enum class Distance : uint8_t {
  kSameFailureDomain = 0,
  kSameRegion = 1,
  kOtherRegion = 2,
};

inline constexpr int kDistanceCount = 3;

// An evaluated upstream, for the log line of the decision.
struct Candidate {
  std::string name;
  // Expected latency in microseconds, including the round trip.
  int64_t estimate_us = 0;
  // Attempts of this entry that await an answer.
  uint32_t outstanding = 0;

  bool operator==(const Candidate&) const = default;
};

struct UpstreamChoice {
  std::string name;
  std::string host;
  uint16_t port = 0;
  uint64_t incarnation = 0;
  Distance distance = Distance::kSameFailureDomain;
  // The upstream is on probation and this request is a probe.
  bool probe = false;
  std::vector<Candidate> candidates;
};

struct ChooserSettings {
  // Location of the entry.
  std::string failure_domain;
  std::string region;
  // Round trip times between failure domains of a region, and between regions.
  int64_t domain_round_trip_us = 1000;
  int64_t region_round_trip_us = 24000;
};

// A policy that chooses an upstream for each attempt.
template <class C>
concept Chooser = requires(C& chooser,
                           const std::vector<UpstreamInfo>& upstreams,
                           std::string_view name,
                           const RequestClass& request_class,
                           const std::vector<std::string>& excluded,
                           absl::Time now,
                           absl::BitGenRef random) {
  chooser.SetUpstreams(upstreams, now);
  {
    chooser.Choose(name, request_class, now, excluded, random)
    } -> std::same_as<Result<UpstreamChoice>>;
  chooser.OnSent(name);
  chooser.OnAnswer(name, AgentLoad(), absl::Duration(), now);
  chooser.OnRefused(name, Refusal::kOverload, AgentLoad(), now);
  chooser.OnFailure(name, now);
  chooser.OnAbandoned(name, absl::Duration(), now);
  chooser.OnLeaving(name);
};

class UpstreamChooser {
 public:
  // `link` is the budget of the link to other regions and must outlive this
  // object; null means that the link is not limited.
  UpstreamChooser(ChooserSettings settings, LinkBudget* link);

  // Replaces the set of upstreams. An upstream that was in the old set keeps
  // its statistics unless its incarnation has changed.
  void SetUpstreams(const std::vector<UpstreamInfo>& upstreams, absl::Time now);

  // Chooses an upstream of the service that is not in `excluded`. `bytes` is
  // the expected size of the request and its answer, which is taken from the
  // link budget when the chosen upstream is in another region. Fails with a
  // ChooseError.
  Result<UpstreamChoice> Choose(std::string_view service,
                                const RequestClass& request_class,
                                absl::Time now,
                                const std::vector<std::string>& excluded,
                                absl::BitGenRef random,
                                int64_t bytes = 4096);

  // The attempt was written to the agent's socket.
  void OnSent(std::string_view name);

  // The whole answer arrived, `latency` after the attempt was sent.
  void OnAnswer(std::string_view name,
                const AgentLoad& load,
                absl::Duration latency,
                absl::Time now);

  // The agent refused the attempt before it started.
  void OnRefused(std::string_view name,
                 Refusal refusal,
                 const AgentLoad& load,
                 absl::Time now);

  // The connection closed before the whole answer arrived, or the upstream
  // failed.
  void OnFailure(std::string_view name, absl::Time now);

  // The entry abandoned the attempt, `elapsed` after it was sent, because
  // another attempt was answered first, the caller disconnected, or the
  // deadline passed.
  void OnAbandoned(std::string_view name,
                   absl::Duration elapsed,
                   absl::Time now);

  // The agent announced on its connection that it is leaving. The upstream
  // receives no requests until membership reports another incarnation.
  void OnLeaving(std::string_view name);

  bool IsOnProbation(std::string_view name) const;

 private:
  struct Upstream {
    UpstreamInfo info;
    Distance distance = Distance::kSameFailureDomain;
    int64_t round_trip_us = 0;
    bool leaving = false;
    // Attempts of this entry that have not ended.
    uint32_t in_flight = 0;
    // Last load report of the agent, the time it arrived, and the number of
    // attempts sent since.
    AgentLoad load;
    absl::Time load_reported_at = absl::InfinitePast();
    uint32_t sent_since_report = 0;
    // Time of the last load report with queued requests.
    absl::Time queue_reported_at = absl::InfinitePast();
    // Decayed mean latency without the round trip from the entry.
    double latency_us = 0;
    uint32_t latency_samples = 0;
    uint32_t answers = 0;
    // Decayed share of failed attempts.
    double failure_share = 0;
    uint32_t consecutive_failures = 0;
    absl::Time last_failure_at = absl::InfinitePast();
    bool on_probation = false;
    uint32_t consecutive_good_probes = 0;
    absl::Time last_probe_at = absl::InfinitePast();
    // Medians of its pool at the last review.
    double median_latency_us = 0;
    double median_service_us = 0;
  };

  // The upstreams of one service, as indices into `upstreams`. `members` has
  // all of them; the lists below have those that may be chosen.
  struct Pool {
    std::vector<uint32_t> members;
    std::array<std::vector<uint32_t>, kDistanceCount> ready;
    std::vector<uint32_t> on_probation;
    // Suspect and unreachable upstreams.
    std::vector<uint32_t> last_resort;
    double median_latency_us = 0;
    double median_service_us = 0;
    double median_failure_share = 0;
    absl::Time reviewed_at = absl::InfinitePast();
    uint64_t reviewed_generation = 0;
    // Probes earned by requests, in thousandths.
    int probe_credit = 0;
    // Time of the last request that was not urgent.
    absl::Time last_non_urgent_at = absl::InfinitePast();
  };

  struct EvaluatedUpstream {
    uint32_t index = 0;
    double estimate_us = 0;
    // The estimate with its wait multiplied by a random factor.
    double randomized_us = 0;
  };

  // Expected latency: the wait in the agent's queue, and all other parts.
  struct LatencyEstimate {
    double wait_us = 0;
    double non_wait_us = 0;
  };

  // The state of one call of Choose().
  struct Search {
    Pool* pool = nullptr;
    Urgency urgency = Urgency::kNormal;
    absl::Time now;
    const std::vector<std::string>* excluded = nullptr;
    std::vector<EvaluatedUpstream> evaluated;
  };

  Upstream* Find(std::string_view name);
  Distance DistanceTo(const UpstreamInfo& info) const;
  void BuildPools();
  void Review(Pool* pool, absl::Time now);
  void SetMedians(Pool* pool);
  void MarkOutliers(Pool* pool, absl::Time now);
  void RebuildLists(Pool* pool);
  static bool IsOutlier(const Upstream& upstream, const Pool& pool);
  static bool IsUsable(const Upstream& upstream);
  bool IsCandidate(const Search& search, uint32_t index) const;
  double ExpectedServiceUs(const Upstream& upstream,
                           const Pool& pool,
                           absl::Time now) const;
  LatencyEstimate EstimateLatency(const Upstream& upstream,
                                  const Search& search) const;
  void Evaluate(Search* search, uint32_t index, absl::BitGenRef random) const;
  void SampleFrom(Search* search,
                  const std::vector<uint32_t>& from,
                  absl::BitGenRef random) const;
  const EvaluatedUpstream* BestIn(const Search& search,
                                  bool other_regions) const;
  const EvaluatedUpstream* Best(const Search& search) const;
  void SampleByDistance(Search* search, absl::BitGenRef random) const;
  std::optional<uint32_t> FindProbe(Search* search, absl::BitGenRef random);
  Result<uint32_t> Pick(Search* search,
                        int64_t bytes,
                        absl::BitGenRef random) const;
  ChooseError ErrorWithoutCandidate(const Search& search) const;
  UpstreamChoice MakeChoice(const Search& search,
                            uint32_t index,
                            bool probe) const;
  static void EndAttempt(Upstream* upstream);
  static void SetLoad(Upstream* upstream,
                      const AgentLoad& load,
                      absl::Time now);
  static bool AddLatency(Upstream* upstream,
                         absl::Duration latency,
                         absl::Time now);
  static void AddOutcome(Upstream* upstream, bool failed, absl::Time now);
  static void RecordProbe(Upstream* upstream, bool good);
  static bool IsGoodProbe(const Upstream& upstream, absl::Duration latency);

  ChooserSettings settings;
  LinkBudget* link;
  // Counts the calls of SetUpstreams().
  uint64_t generation = 0;
  std::vector<Upstream> upstreams;
  absl::flat_hash_map<std::string, uint32_t> by_name;
  absl::flat_hash_map<std::string, Pool> pools;
};

}  // namespace cuminjunction

#endif  // REQUEST_CHOOSER_H_
