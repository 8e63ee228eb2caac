#include "request/chooser.h"

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"
#include "base/strings.h"

namespace cuminjunction {

namespace {

// Service time that is assumed before anything was measured.
constexpr double kAssumedServiceUs = 1000;
// Agents that have not reported yet are taken to have this many slots.
constexpr uint32_t kAssumedSlots = 8;
// Service times within this factor of the median count as equal. Decayed means
// of few samples differ by that much between equal upstreams, and following the
// differences would concentrate the load.
constexpr double kNoiseFactor = 2;
// A report says less and less about the running requests of an agent, and
// nothing after this time.
constexpr double kLoadAgeUs = 100e3;
// A slow service time or a failure is forgotten over this time, so that an
// upstream that nobody chooses is tried again.
constexpr double kForgetUs = 5e6;
// Weight of running requests below the number of slots. They cause no wait yet,
// but of two idle upstreams the less loaded one is preferred.
constexpr double kBalanceWeight = 0.1;
constexpr double kFailureWeight = 4;
// Randomness of a wait in comparisons within a region. The reported wait is
// that of all accounts together. When a flood keeps all agents at their limit,
// small lasting differences of it would steer the other accounts away from the
// same agents again and again, where then nobody uses their floors.
constexpr double kWaitSpread = 0.5;
constexpr int kSamplesEach = 2;
constexpr int kDrawsEach = 6;

// Probes are this part of the requests, in thousandths: far below 1%, so that
// they stay out of the 99% quantile.
constexpr int kProbeShare = 2;
constexpr int kProbeCost = 1000;
// Probes of one upstream are at least this far apart, and at low load at most.
constexpr absl::Duration kProbeGap = absl::Milliseconds(50);
constexpr absl::Duration kProbeAnyway = absl::Seconds(10);
// Urgent requests probe only when no others were seen for this time.
constexpr absl::Duration kRelaxedGap = absl::Seconds(2);

double AgeUs(absl::Time then, absl::Time now) {
  return std::max(0.0, absl::ToDoubleMicroseconds(now - then));
}

double Fading(double age_us, double over_us) {
  return std::max(0.0, 1 - age_us / over_us);
}

}  // namespace

std::string_view ErrorTraits<ChooseError>::Message(ChooseError error) {
  switch (error) {
    case ChooseError::kUnknownService:
      return "no upstream announces the service";
    case ChooseError::kNoneReady:
      return "all upstreams of the service are leaving or down";
    case ChooseError::kAllExcluded:
      return "all ready upstreams of the service were tried";
    case ChooseError::kLinkBusy:
      return "the link to the other regions has no room";
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
    const Upstream* known = this->Find(info.name);
    Upstream upstream;
    if (known != nullptr && known->info.incarnation == info.incarnation)
      upstream = *known;
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
  const auto same = [index](const Compared& other) {
    return other.index == index;
  };
  if (std::any_of(search.compared.begin(), search.compared.end(), same))
    return false;
  const std::vector<std::string>& excluded = *search.excluded;
  return std::find(excluded.begin(), excluded.end(), upstream.info.name) ==
         excluded.end();
}

// Expected time from the start of a request to its answer.
double UpstreamChooser::ServiceUs(const Upstream& upstream,
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
  const double weight = Fading(AgeUs(upstream.load_at, now), kForgetUs);
  return median + (own - median) * weight;
}

UpstreamChooser::Estimate UpstreamChooser::MakeEstimate(
    const Upstream& upstream,
    const Search& search) const {
  const double service_us = this->ServiceUs(upstream, *search.pool, search.now);
  const AgentLoad& load = upstream.load;
  const double slots = load.slots > 0 ? load.slots : kAssumedSlots;
  const double age_us = AgeUs(upstream.load_at, search.now);
  // Batch work waits behind everything, other work as the agent reports.
  double queue_us = static_cast<double>(load.wait_us);
  if (search.urgency == Urgency::kBatch)
    queue_us = std::max(queue_us, load.queued * service_us / slots);
  const double wait_us = std::max(0.0, queue_us - age_us);
  const double busy = load.running * Fading(age_us, kLoadAgeUs) +
                      std::min(upstream.sent_since_load, upstream.in_flight);
  const double excess = std::max(0.0, busy + 1 - slots);
  const double load_us = service_us / slots * (excess + kBalanceWeight * busy);
  const double failures =
      upstream.failures *
      Fading(AgeUs(upstream.failed_at, search.now), kForgetUs);
  Estimate estimate;
  estimate.wait_us = wait_us;
  estimate.other_us = service_us * (1 + kFailureWeight * failures) + load_us +
                      static_cast<double>(upstream.round_trip_us);
  return estimate;
}

void UpstreamChooser::Compare(Search* search,
                              uint32_t index,
                              absl::BitGenRef random) const {
  const Estimate estimate = this->MakeEstimate(this->upstreams[index], *search);
  const double spread = absl::Uniform(random, 1 - kWaitSpread, 1 + kWaitSpread);
  search->compared.push_back({index, estimate.wait_us + estimate.other_us,
                              estimate.wait_us * spread + estimate.other_us});
}

void UpstreamChooser::Sample(Search* search,
                             const std::vector<uint32_t>& from,
                             absl::BitGenRef random) const {
  if (from.empty())
    return;
  int found = 0;
  for (int draw = 0; draw < kDrawsEach && found < kSamplesEach; ++draw) {
    const uint32_t index = from[absl::Uniform<size_t>(random, 0, from.size())];
    if (!this->IsCandidate(*search, index))
      continue;
    this->Compare(search, index, random);
    ++found;
  }
  if (found > 0)
    return;
  // Nearly all are excluded: look at each, from a random place.
  const size_t start = absl::Uniform<size_t>(random, 0, from.size());
  for (size_t i = 0; i < from.size() && found < kSamplesEach; ++i) {
    const uint32_t index = from[(start + i) % from.size()];
    if (!this->IsCandidate(*search, index))
      continue;
    this->Compare(search, index, random);
    ++found;
  }
}

const UpstreamChooser::Compared* UpstreamChooser::BestIn(
    const Search& search,
    bool other_regions) const {
  const Compared* best = nullptr;
  for (const Compared& compared : search.compared) {
    const Distance distance = this->upstreams[compared.index].distance;
    if ((distance == Distance::kOtherRegion) != other_regions)
      continue;
    if (best == nullptr || compared.rank_us < best->rank_us)
      best = &compared;
  }
  return best;
}

const UpstreamChooser::Compared* UpstreamChooser::Best(
    const Search& search) const {
  const Compared* near = this->BestIn(search, false);
  const Compared* far = this->BestIn(search, true);
  if (near == nullptr || far == nullptr)
    return near == nullptr ? far : near;
  return far->estimate_us < near->estimate_us ? far : near;
}

// Samples near upstreams, and farther ones only while the best one so far is
// worse than an idle one at that distance.
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
    const Compared* best = this->Best(*search);
    const double reach_us =
        idle_us + static_cast<double>(round_trips_us[distance]);
    if (best == nullptr || best->estimate_us > reach_us)
      this->Sample(search, pool.ready[distance], random);
  }
}

std::optional<uint32_t> UpstreamChooser::FindProbe(Search* search,
                                                   absl::BitGenRef random) {
  Pool* pool = search->pool;
  if (search->urgency != Urgency::kUrgent)
    pool->relaxed_at = search->now;
  if (pool->on_probation.empty())
    return std::nullopt;
  pool->probe_credit = std::min(pool->probe_credit + kProbeShare, kProbeCost);
  if (search->urgency == Urgency::kUrgent &&
      search->now - pool->relaxed_at < kRelaxedGap)
    return std::nullopt;
  for (const uint32_t index : pool->on_probation) {
    Upstream& upstream = this->upstreams[index];
    const absl::Duration since = search->now - upstream.probed_at;
    const bool due = since >= kProbeAnyway ||
                     (since >= kProbeGap && pool->probe_credit >= kProbeCost);
    // Other regions are probed when they are needed: probes must not use up
    // the link.
    if (!due || !upstream.on_probation ||
        upstream.distance == Distance::kOtherRegion ||
        !this->IsCandidate(*search, index))
      continue;
    upstream.probed_at = search->now;
    pool->probe_credit = 0;
    this->Compare(search, index, random);
    return index;
  }
  return std::nullopt;
}

ChooseError UpstreamChooser::WhyNone(const Search& search) const {
  for (const uint32_t index : search.pool->members) {
    if (IsUsable(this->upstreams[index]))
      return ChooseError::kAllExcluded;
  }
  return ChooseError::kNoneReady;
}

Result<uint32_t> UpstreamChooser::Pick(Search* search,
                                       int64_t bytes,
                                       absl::BitGenRef random) const {
  this->SampleByDistance(search, random);
  if (search->compared.empty())
    this->Sample(search, search->pool->on_probation, random);
  if (search->compared.empty())
    this->Sample(search, search->pool->last_resort, random);
  const Compared* best = this->Best(*search);
  if (best == nullptr)
    return this->WhyNone(*search);
  const bool remote =
      this->upstreams[best->index].distance == Distance::kOtherRegion;
  if (!remote || this->link == nullptr ||
      this->link->TryTake(ToLinkUse(search->urgency), bytes, search->now))
    return best->index;
  if (this->BestIn(*search, false) == nullptr) {
    // Upstreams on probation are better than none.
    this->Sample(search, search->pool->on_probation, random);
    this->Sample(search, search->pool->last_resort, random);
  }
  const Compared* near = this->BestIn(*search, false);
  if (near == nullptr)
    return ChooseError::kLinkBusy;
  return near->index;
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
  choice.candidates.reserve(search.compared.size());
  for (const Compared& compared : search.compared) {
    const Upstream& other = this->upstreams[compared.index];
    choice.candidates.push_back({other.info.name,
                                 static_cast<int64_t>(compared.estimate_us),
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
  search.compared.reserve(kSamplesEach * kDistanceCount);
  this->Review(search.pool, now);
  if (const std::optional<uint32_t> probe = this->FindProbe(&search, random))
    return this->MakeChoice(search, *probe, true);
  const Result<uint32_t> picked = this->Pick(&search, bytes, random);
  if (!picked)
    return picked.error();
  return this->MakeChoice(search, picked.value(), false);
}

}  // namespace cuminjunction
