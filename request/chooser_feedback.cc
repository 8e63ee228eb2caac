// Statistics that the chooser collects from ended attempts, and the periodic
// comparison of each upstream with its peers.

#include <algorithm>
#include <cmath>

#include "request/chooser.h"

namespace cuminjunction {

namespace {

constexpr absl::Duration kReviewInterval = absl::Milliseconds(100);
// Interval before the first latency median. Until then, upstreams that have
// answered are estimated as slower than those that have not.
constexpr absl::Duration kFirstReviewInterval = absl::Milliseconds(1);
// Weight of one sample in the decayed mean latency.
constexpr double kSampleWeight = 0.1;
// Weight of one attempt in the decayed failure share.
constexpr double kFailureSampleWeight = 0.2;
// An upstream this many times slower than the median of its peers is an
// outlier.
constexpr double kOutlierFactor = 3;
// With fewer samples one slow answer would make an outlier.
constexpr uint32_t kMinOutlierSamples = 5;
// A smaller excess over the median never causes probation.
constexpr double kMinOutlierExcessUs = 1000;
// An upstream with a larger failure share or with this many consecutive
// failures is an outlier, but only while the median failure share of its pool
// is below kMaxPeerFailureShare.
constexpr double kOutlierFailureShare = 0.5;
constexpr double kMaxPeerFailureShare = 0.25;
constexpr uint32_t kOutlierConsecutiveFailures = 3;
// Consecutive good probes that end a probation: fewer when the mean service
// time that the agent reports is at most kRecoveredFactor times the median.
constexpr uint32_t kProbesToRecover = 3;
constexpr uint32_t kProbesToRecoverUnconfirmed = 10;
constexpr double kRecoveredFactor = 2;

// The lower median; 0 when there are no values.
double Median(std::vector<double>* values) {
  if (values->empty())
    return 0;
  const auto middle =
      values->begin() + static_cast<std::ptrdiff_t>((values->size() - 1) / 2);
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

}  // namespace

void UpstreamChooser::Review(Pool* pool, absl::Time now) {
  const absl::Duration interval =
      pool->median_latency_us > 0 ? kReviewInterval : kFirstReviewInterval;
  if (pool->reviewed_generation == this->generation &&
      now - pool->reviewed_at < interval)
    return;
  pool->reviewed_at = now;
  pool->reviewed_generation = this->generation;
  this->SetMedians(pool);
  this->MarkOutliers(pool, now);
  this->RebuildLists(pool);
}

void UpstreamChooser::SetMedians(Pool* pool) {
  std::vector<double> latencies;
  std::vector<double> service_times;
  std::vector<double> failure_shares;
  for (const uint32_t index : pool->members) {
    const Upstream& upstream = this->upstreams[index];
    if (!IsUsable(upstream))
      continue;
    if (upstream.latency_us > 0)
      latencies.push_back(upstream.latency_us);
    if (upstream.load.service_us > 0)
      service_times.push_back(static_cast<double>(upstream.load.service_us));
    failure_shares.push_back(upstream.failure_share);
  }
  pool->median_latency_us = Median(&latencies);
  pool->median_service_us = Median(&service_times);
  pool->median_failure_share = Median(&failure_shares);
  for (const uint32_t index : pool->members) {
    this->upstreams[index].median_latency_us = pool->median_latency_us;
    this->upstreams[index].median_service_us = pool->median_service_us;
  }
}

bool UpstreamChooser::IsOutlier(const Upstream& upstream, const Pool& pool) {
  if (pool.median_failure_share < kMaxPeerFailureShare &&
      (upstream.consecutive_failures >= kOutlierConsecutiveFailures ||
       upstream.failure_share > kOutlierFailureShare))
    return true;
  const auto is_far_above = [](double own, double median) {
    return median > 0 && own > median * kOutlierFactor + kMinOutlierExcessUs;
  };
  return (upstream.latency_samples >= kMinOutlierSamples &&
          is_far_above(upstream.latency_us, pool.median_latency_us)) ||
         (upstream.answers >= kMinOutlierSamples &&
          is_far_above(static_cast<double>(upstream.load.service_us),
                       pool.median_service_us));
}

// At most half of the usable upstreams are on probation at a time: when more of
// them are slow, the load is the cause, and the others could not serve it.
void UpstreamChooser::MarkOutliers(Pool* pool, absl::Time now) {
  size_t usable = 0;
  size_t on_probation = 0;
  for (const uint32_t index : pool->members) {
    usable += IsUsable(this->upstreams[index]) ? 1 : 0;
    on_probation += this->upstreams[index].on_probation ? 1 : 0;
  }
  for (const uint32_t index : pool->members) {
    Upstream& upstream = this->upstreams[index];
    if (upstream.on_probation || (on_probation + 1) * 2 > usable ||
        !IsOutlier(upstream, *pool))
      continue;
    upstream.on_probation = true;
    upstream.consecutive_good_probes = 0;
    upstream.last_probe_at = now;
    ++on_probation;
  }
}

void UpstreamChooser::RebuildLists(Pool* pool) {
  for (std::vector<uint32_t>& list : pool->ready)
    list.clear();
  pool->on_probation.clear();
  pool->last_resort.clear();
  for (const uint32_t index : pool->members) {
    const Upstream& upstream = this->upstreams[index];
    if (!IsUsable(upstream))
      continue;
    if (upstream.info.state != UpstreamState::kReady)
      pool->last_resort.push_back(index);
    else if (upstream.on_probation)
      pool->on_probation.push_back(index);
    else
      pool->ready[static_cast<size_t>(upstream.distance)].push_back(index);
  }
}

void UpstreamChooser::EndAttempt(Upstream* upstream) {
  upstream->in_flight -= upstream->in_flight > 0 ? 1 : 0;
}

void UpstreamChooser::SetLoad(Upstream* upstream,
                              const AgentLoad& load,
                              absl::Time now) {
  upstream->load = load;
  upstream->load_reported_at = now;
  upstream->sent_since_report = 0;
  if (load.queued > 0)
    upstream->queue_reported_at = now;
}

// Adds a sample to the decayed mean latency. Returns false and adds nothing
// when the agent has reported queued requests since the attempt was sent: such
// a latency depends on the load and not on the speed of the upstream.
bool UpstreamChooser::AddLatency(Upstream* upstream,
                                 absl::Duration latency,
                                 absl::Time now) {
  if (upstream->queue_reported_at >= now - latency)
    return false;
  const double sample_us =
      std::max(1.0, absl::ToDoubleMicroseconds(latency) -
                        static_cast<double>(upstream->round_trip_us));
  upstream->latency_samples += 1;
  // The first samples form a plain mean; otherwise the first one would have the
  // largest weight.
  const double weight =
      std::max(kSampleWeight, 1.0 / upstream->latency_samples);
  upstream->latency_us += weight * (sample_us - upstream->latency_us);
  return true;
}

void UpstreamChooser::AddOutcome(Upstream* upstream,
                                 bool failed,
                                 absl::Time now) {
  upstream->failure_share +=
      kFailureSampleWeight * ((failed ? 1 : 0) - upstream->failure_share);
  upstream->consecutive_failures =
      failed ? upstream->consecutive_failures + 1 : 0;
  if (failed)
    upstream->last_failure_at = now;
}

bool UpstreamChooser::IsGoodProbe(const Upstream& upstream,
                                  absl::Duration latency) {
  const double sample_us = absl::ToDoubleMicroseconds(latency) -
                           static_cast<double>(upstream.round_trip_us);
  return upstream.median_latency_us <= 0 ||
         sample_us <
             upstream.median_latency_us * kOutlierFactor + kMinOutlierExcessUs;
}

void UpstreamChooser::RecordProbe(Upstream* upstream, bool good) {
  upstream->consecutive_good_probes =
      good ? upstream->consecutive_good_probes + 1 : 0;
  const bool agent_reports_recovery =
      static_cast<double>(upstream->load.service_us) <=
      upstream->median_service_us * kRecoveredFactor + kMinOutlierExcessUs;
  if (upstream->consecutive_good_probes <
      (agent_reports_recovery ? kProbesToRecover : kProbesToRecoverUnconfirmed))
    return;
  upstream->on_probation = false;
  upstream->consecutive_good_probes = 0;
  upstream->latency_samples = 0;
  upstream->answers = 0;
  upstream->latency_us = upstream->median_latency_us;
  upstream->load.service_us = 0;
  upstream->failure_share = 0;
  upstream->consecutive_failures = 0;
}

void UpstreamChooser::OnSent(std::string_view name) {
  Upstream* upstream = this->Find(name);
  if (upstream == nullptr)
    return;
  upstream->in_flight += 1;
  upstream->sent_since_report += 1;
}

void UpstreamChooser::OnAnswer(std::string_view name,
                               const AgentLoad& load,
                               absl::Duration latency,
                               absl::Time now) {
  Upstream* upstream = this->Find(name);
  if (upstream == nullptr)
    return;
  EndAttempt(upstream);
  SetLoad(upstream, load, now);
  AddOutcome(upstream, false, now);
  upstream->answers += 1;
  if (AddLatency(upstream, latency, now) && upstream->on_probation)
    RecordProbe(upstream, IsGoodProbe(*upstream, latency));
}

void UpstreamChooser::OnRefused(std::string_view name,
                                Refusal refusal,
                                const AgentLoad& load,
                                absl::Time now) {
  Upstream* upstream = this->Find(name);
  if (upstream == nullptr)
    return;
  EndAttempt(upstream);
  SetLoad(upstream, load, now);
  if (refusal == Refusal::kLeaving)
    upstream->leaving = true;
  if (refusal != Refusal::kUpstreamDown)
    return;
  AddOutcome(upstream, true, now);
  if (upstream->on_probation)
    RecordProbe(upstream, false);
}

void UpstreamChooser::OnFailure(std::string_view name, absl::Time now) {
  Upstream* upstream = this->Find(name);
  if (upstream == nullptr)
    return;
  EndAttempt(upstream);
  AddOutcome(upstream, true, now);
  if (upstream->on_probation)
    RecordProbe(upstream, false);
}

// The latency is unknown, but at least `elapsed`.
void UpstreamChooser::OnAbandoned(std::string_view name,
                                  absl::Duration elapsed,
                                  absl::Time now) {
  Upstream* upstream = this->Find(name);
  if (upstream == nullptr)
    return;
  EndAttempt(upstream);
  const double min_latency_us = absl::ToDoubleMicroseconds(elapsed) -
                                static_cast<double>(upstream->round_trip_us);
  if (min_latency_us > upstream->latency_us &&
      AddLatency(upstream, elapsed, now) && upstream->on_probation &&
      !IsGoodProbe(*upstream, elapsed))
    RecordProbe(upstream, false);
}

void UpstreamChooser::OnLeaving(std::string_view name) {
  if (Upstream* upstream = this->Find(name))
    upstream->leaving = true;
}

bool UpstreamChooser::IsOnProbation(std::string_view name) const {
  const auto found =
      this->by_name.find(absl::string_view(name.data(), name.size()));
  return found != this->by_name.end() &&
         this->upstreams[found->second].on_probation;
}

}  // namespace cuminjunction
