#include "request/chooser.h"

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"
#include "base/strings.h"

namespace cuminjunction {

namespace {

// Service time that is assumed before the first measurement.
constexpr double kAssumedServiceUs = 1000;
// Number of slots that is assumed before an agent's first report.
constexpr uint32_t kAssumedSlots = 8;
// Service times within this factor of the median count as equal. Decayed means
// of few samples differ by up to this factor between equally fast upstreams,
// and following these differences would concentrate the load.
constexpr double kNoiseFactor = 2;
// The weight of the running requests in a load report decreases linearly to 0
// over this time.
constexpr double kLoadReportLifetimeUs = 100e3;
// The weight of an unusual service time or of failures decreases linearly to 0
// over this time, so that an upstream that is not chosen is tried again.
constexpr double kHistoryLifetimeUs = 5e6;
// Weight of running requests below the number of slots. They cause no wait, but
// of two idle upstreams the less loaded one is preferred.
constexpr double kBalanceWeight = 0.1;
// Factor by which the failure share increases the expected service time.
constexpr double kFailureWeight = 4;
// In comparisons within a region a wait is multiplied by a random factor that
// differs from 1 by at most this much. The reported wait covers all client
// accounts. When a flood keeps all agents at their limit, small persistent
// differences in their waits would keep the other accounts away from the same
// agents, and their guaranteed slots there would stay unused.
constexpr double kWaitRandomness = 0.5;
// Upstreams to evaluate from one list, and random draws to find them.
constexpr int kSamplesPerList = 2;
constexpr int kMaxDrawsPerList = 6;

// Each request earns this credit, and a probe costs kProbeCost: probes are 0.2%
// of the requests, far below 1%, so that they do not affect the 99% quantile.
constexpr int kProbeCreditPerRequest = 2;
constexpr int kProbeCost = 1000;
// Shortest time between two probes of one upstream.
constexpr absl::Duration kMinProbeInterval = absl::Milliseconds(50);
// Longest time between two probes of one upstream, even without credit: low
// load must not keep an upstream on probation.
constexpr absl::Duration kMaxProbeInterval = absl::Seconds(10);
// Urgent requests are probes only when none of lower urgency arrived within
// this time.
constexpr absl::Duration kNonUrgentWindow = absl::Seconds(2);

double AgeUs(absl::Time then, absl::Time now) {
  return std::max(0.0, absl::ToDoubleMicroseconds(now - then));
}

double RemainingWeight(double age_us, double lifetime_us) {
  return std::max(0.0, 1 - age_us / lifetime_us);
}

}  // namespace

std::string_view ErrorTraits<ChooseError>::Message(ChooseError error) {
  switch (error) {
    case ChooseError::kUnknownService:
      return "no upstream announces the service";
    case ChooseError::kNoneUsable:
      return "all upstreams of the service are leaving or down";
    case ChooseError::kAllExcluded:
      return "the caller excluded all usable upstreams of the service";
    case ChooseError::kLinkBudgetSpent:
      return "the link budget for other regions is spent";
  }
  return "unknown";
}

UpstreamChooser::UpstreamChooser(ChooserSettings settings, LinkBudget* link)
    : settings(std::move(settings)), link(link) {}

UpstreamChooser::Upstream* UpstreamChooser::Find(std::string_view name) {
  const auto found = this->by_name.find(ToAbsl(name));
  return found == this->by_name.end() ? nullptr
                                      : &this->upstreams[found->second];
}

Distance UpstreamChooser::DistanceTo(const UpstreamInfo& info) const {
  if (info.region != this->settings.region)
    return Distance::kOtherRegion;
  return info.failure_domain == this->settings.failure_domain
             ? Distance::kSameFailureDomain
             : Distance::kSameRegion;
}

void UpstreamChooser::SetUpstreams(const std::vector<UpstreamInfo>& infos,
                                   absl::Time now) {
  const std::array<int64_t, kDistanceCount> round_trips_us = {
      0, this->settings.domain_round_trip_us,
      this->settings.region_round_trip_us};
  std::vector<Upstream> updated;
  updated.reserve(infos.size());
  for (const UpstreamInfo& info : infos) {
    const Upstream* previous = this->Find(info.name);
    Upstream upstream;
    if (previous != nullptr && previous->info.incarnation == info.incarnation)
      upstream = *previous;
    upstream.info = info;
    upstream.distance = this->DistanceTo(info);
    upstream.round_trip_us =
        round_trips_us[static_cast<size_t>(upstream.distance)];
    updated.push_back(std::move(upstream));
  }
  this->upstreams = std::move(updated);
  this->generation += 1;
  this->BuildPools();
  for (auto& [service, pool] : this->pools)
    this->Review(&pool, now);
}

void UpstreamChooser::BuildPools() {
  for (auto& [service, pool] : this->pools)
    pool.members.clear();
  this->by_name.clear();
  for (uint32_t i = 0; i < this->upstreams.size(); ++i) {
    const UpstreamInfo& info = this->upstreams[i].info;
    this->by_name[info.name] = i;
    for (const std::string& service : info.services)
      this->pools[service].members.push_back(i);
  }
  absl::erase_if(this->pools, [](const auto& entry) {
    return entry.second.members.empty();
  });
}

bool UpstreamChooser::IsUsable(const Upstream& upstream) {
  return !upstream.leaving && upstream.info.state != UpstreamState::kLeaving &&
         upstream.info.state != UpstreamState::kDown;
}

bool UpstreamChooser::IsCandidate(const Search& search, uint32_t index) const {
  const Upstream& upstream = this->upstreams[index];
  if (!IsUsable(upstream))
    return false;
  const auto same = [index](const EvaluatedUpstream& other) {
    return other.index == index;
  };
  if (std::any_of(search.evaluated.begin(), search.evaluated.end(), same))
    return false;
  const std::vector<std::string>& excluded = *search.excluded;
  return std::find(excluded.begin(), excluded.end(), upstream.info.name) ==
         excluded.end();
}

// Expected time from the start of a request at the upstream to its answer.
double UpstreamChooser::ExpectedServiceUs(const Upstream& upstream,
                                          const Pool& pool,
                                          absl::Time now) const {
  const bool reported = upstream.load.service_us > 0;
  const double median =
      reported ? pool.median_service_us : pool.median_latency_us;
  const double own = reported ? static_cast<double>(upstream.load.service_us)
                              : upstream.latency_us;
  if (own <= 0)
    return median > 0 ? median : kAssumedServiceUs;
  if (median <= 0)
    return own;
  if (own < median * kNoiseFactor && own > median / kNoiseFactor)
    return median;
  const double weight = RemainingWeight(AgeUs(upstream.load_reported_at, now),
                                        kHistoryLifetimeUs);
  return median + (own - median) * weight;
}

UpstreamChooser::LatencyEstimate UpstreamChooser::EstimateLatency(
    const Upstream& upstream,
    const Search& search) const {
  const double service_us =
      this->ExpectedServiceUs(upstream, *search.pool, search.now);
  const AgentLoad& load = upstream.load;
  const double slots = load.slots > 0 ? load.slots : kAssumedSlots;
  const double age_us = AgeUs(upstream.load_reported_at, search.now);
  // The reported wait is that of normal urgency. Batch requests wait behind all
  // queued requests.
  double queue_us = static_cast<double>(load.wait_us);
  if (search.urgency == Urgency::kBatch)
    queue_us = std::max(queue_us, load.queued * service_us / slots);
  const double wait_us = std::max(0.0, queue_us - age_us);
  const double busy =
      load.running * RemainingWeight(age_us, kLoadReportLifetimeUs) +
      std::min(upstream.sent_since_report, upstream.in_flight);
  const double excess = std::max(0.0, busy + 1 - slots);
  const double load_us = service_us / slots * (excess + kBalanceWeight * busy);
  const double failure_share =
      upstream.failure_share *
      RemainingWeight(AgeUs(upstream.last_failure_at, search.now),
                      kHistoryLifetimeUs);
  LatencyEstimate estimate;
  estimate.wait_us = wait_us;
  estimate.non_wait_us = service_us * (1 + kFailureWeight * failure_share) +
                         load_us + static_cast<double>(upstream.round_trip_us);
  return estimate;
}

void UpstreamChooser::Evaluate(Search* search,
                               uint32_t index,
                               absl::BitGenRef random) const {
  const LatencyEstimate estimate =
      this->EstimateLatency(this->upstreams[index], *search);
  const double wait_factor =
      absl::Uniform(random, 1 - kWaitRandomness, 1 + kWaitRandomness);
  search->evaluated.push_back(
      {index, estimate.wait_us + estimate.non_wait_us,
       estimate.wait_us * wait_factor + estimate.non_wait_us});
}

void UpstreamChooser::SampleFrom(Search* search,
                                 const std::vector<uint32_t>& from,
                                 absl::BitGenRef random) const {
  if (from.empty())
    return;
  int found = 0;
  for (int draw = 0; draw < kMaxDrawsPerList && found < kSamplesPerList;
       ++draw) {
    const uint32_t index = from[absl::Uniform<size_t>(random, 0, from.size())];
    if (!this->IsCandidate(*search, index))
      continue;
    this->Evaluate(search, index, random);
    ++found;
  }
  if (found > 0)
    return;
  // No random draw found a candidate, as nearly all upstreams are excluded:
  // check all of them, starting at a random index.
  const size_t start = absl::Uniform<size_t>(random, 0, from.size());
  for (size_t i = 0; i < from.size() && found < kSamplesPerList; ++i) {
    const uint32_t index = from[(start + i) % from.size()];
    if (!this->IsCandidate(*search, index))
      continue;
    this->Evaluate(search, index, random);
    ++found;
  }
}

const UpstreamChooser::EvaluatedUpstream* UpstreamChooser::BestIn(
    const Search& search,
    bool other_regions) const {
  const EvaluatedUpstream* best = nullptr;
  for (const EvaluatedUpstream& evaluated : search.evaluated) {
    const Distance distance = this->upstreams[evaluated.index].distance;
    if ((distance == Distance::kOtherRegion) != other_regions)
      continue;
    if (best == nullptr || evaluated.randomized_us < best->randomized_us)
      best = &evaluated;
  }
  return best;
}

const UpstreamChooser::EvaluatedUpstream* UpstreamChooser::Best(
    const Search& search) const {
  const EvaluatedUpstream* best_in_region = this->BestIn(search, false);
  const EvaluatedUpstream* best_elsewhere = this->BestIn(search, true);
  if (best_in_region == nullptr || best_elsewhere == nullptr)
    return best_in_region == nullptr ? best_elsewhere : best_in_region;
  return best_elsewhere->estimate_us < best_in_region->estimate_us
             ? best_elsewhere
             : best_in_region;
}

// Samples upstreams by increasing distance. Those of a distance are sampled
// only when the best one so far is worse than an idle upstream at that
// distance.
void UpstreamChooser::SampleByDistance(Search* search,
                                       absl::BitGenRef random) const {
  const Pool& pool = *search->pool;
  const double median = pool.median_service_us > 0 ? pool.median_service_us
                                                   : pool.median_latency_us;
  const double idle_us = median > 0 ? median : kAssumedServiceUs;
  const std::array<int64_t, kDistanceCount> round_trips_us = {
      0, this->settings.domain_round_trip_us,
      this->settings.region_round_trip_us};
  for (size_t distance = 0; distance < kDistanceCount; ++distance) {
    const EvaluatedUpstream* best = this->Best(*search);
    const double idle_estimate_us =
        idle_us + static_cast<double>(round_trips_us[distance]);
    if (best == nullptr || best->estimate_us > idle_estimate_us)
      this->SampleFrom(search, pool.ready[distance], random);
  }
}

std::optional<uint32_t> UpstreamChooser::FindProbe(Search* search,
                                                   absl::BitGenRef random) {
  Pool* pool = search->pool;
  if (search->urgency != Urgency::kUrgent)
    pool->last_non_urgent_at = search->now;
  if (pool->on_probation.empty())
    return std::nullopt;
  pool->probe_credit =
      std::min(pool->probe_credit + kProbeCreditPerRequest, kProbeCost);
  if (search->urgency == Urgency::kUrgent &&
      search->now - pool->last_non_urgent_at < kNonUrgentWindow)
    return std::nullopt;
  for (const uint32_t index : pool->on_probation) {
    Upstream& upstream = this->upstreams[index];
    const absl::Duration since = search->now - upstream.last_probe_at;
    const bool due =
        since >= kMaxProbeInterval ||
        (since >= kMinProbeInterval && pool->probe_credit >= kProbeCost);
    // Upstreams of other regions are not probed, as probes must not use the
    // link budget. Pick() uses them without a probe when it finds no other one.
    if (!due || !upstream.on_probation ||
        upstream.distance == Distance::kOtherRegion ||
        !this->IsCandidate(*search, index))
      continue;
    upstream.last_probe_at = search->now;
    pool->probe_credit = 0;
    this->Evaluate(search, index, random);
    return index;
  }
  return std::nullopt;
}

ChooseError UpstreamChooser::ErrorWithoutCandidate(const Search& search) const {
  for (const uint32_t index : search.pool->members) {
    if (IsUsable(this->upstreams[index]))
      return ChooseError::kAllExcluded;
  }
  return ChooseError::kNoneUsable;
}

Result<uint32_t> UpstreamChooser::Pick(Search* search,
                                       int64_t bytes,
                                       absl::BitGenRef random) const {
  this->SampleByDistance(search, random);
  if (search->evaluated.empty())
    this->SampleFrom(search, search->pool->on_probation, random);
  if (search->evaluated.empty())
    this->SampleFrom(search, search->pool->last_resort, random);
  const EvaluatedUpstream* best = this->Best(*search);
  if (best == nullptr)
    return this->ErrorWithoutCandidate(*search);
  const bool remote =
      this->upstreams[best->index].distance == Distance::kOtherRegion;
  if (!remote || this->link == nullptr ||
      this->link->TryTake(ToTrafficClass(search->urgency), bytes, search->now))
    return best->index;
  if (this->BestIn(*search, false) == nullptr) {
    // An upstream on probation is better than refusing the request.
    this->SampleFrom(search, search->pool->on_probation, random);
    this->SampleFrom(search, search->pool->last_resort, random);
  }
  const EvaluatedUpstream* best_in_region = this->BestIn(*search, false);
  if (best_in_region == nullptr)
    return ChooseError::kLinkBudgetSpent;
  return best_in_region->index;
}

UpstreamChoice UpstreamChooser::MakeChoice(const Search& search,
                                           uint32_t index,
                                           bool probe) const {
  const Upstream& upstream = this->upstreams[index];
  UpstreamChoice choice;
  choice.name = upstream.info.name;
  choice.host = upstream.info.host;
  choice.port = upstream.info.port;
  choice.incarnation = upstream.info.incarnation;
  choice.distance = upstream.distance;
  choice.probe = probe;
  choice.candidates.reserve(search.evaluated.size());
  for (const EvaluatedUpstream& evaluated : search.evaluated) {
    const Upstream& other = this->upstreams[evaluated.index];
    choice.candidates.push_back({other.info.name,
                                 static_cast<int64_t>(evaluated.estimate_us),
                                 other.in_flight});
  }
  return choice;
}

Result<UpstreamChoice> UpstreamChooser::Choose(
    std::string_view service,
    const RequestClass& request_class,
    absl::Time now,
    const std::vector<std::string>& excluded,
    absl::BitGenRef random,
    int64_t bytes) {
  const auto found = this->pools.find(ToAbsl(service));
  if (found == this->pools.end())
    return ChooseError::kUnknownService;
  Search search;
  search.pool = &found->second;
  search.urgency = request_class.urgency;
  search.now = now;
  search.excluded = &excluded;
  search.evaluated.reserve(kSamplesPerList * kDistanceCount);
  this->Review(search.pool, now);
  if (const std::optional<uint32_t> probe = this->FindProbe(&search, random))
    return this->MakeChoice(search, *probe, true);
  const Result<uint32_t> picked = this->Pick(&search, bytes, random);
  if (!picked)
    return picked.error();
  return this->MakeChoice(search, picked.value(), false);
}

}  // namespace cuminjunction
