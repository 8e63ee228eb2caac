// What the chooser learns from the ends of attempts, and the review of
// upstreams against their peers.

#include <algorithm>
#include <cmath>

#include "request/chooser.h"

namespace cuminjunction {

namespace {

constexpr absl::Duration kReviewInterval = absl::Milliseconds(100);
// Until the first answers are known, upstreams that have answered look worse
// than those that have not.
constexpr absl::Duration kFirstReviewInterval = absl::Milliseconds(1);
// Weight of one sample in the decayed latency and in the share of failures.
constexpr double kSampleWeight = 0.1;
constexpr double kFailureSampleWeight = 0.2;
// An upstream this many times slower than the median of its peers is an
// outlier. With fewer samples one slow answer would be enough.
constexpr double kOutlierFactor = 3;
constexpr uint32_t kOutlierSamples = 5;
// Differences below this are never worth a probation.
constexpr double kOutlierFloorUs = 1000;
constexpr double kOutlierFailures = 0.5;
constexpr double kPeerFailures = 0.25;
constexpr uint32_t kOutlierFailuresInRow = 3;
// Probes in a row that end a probation: fewer when the agent's own mean agrees.
constexpr uint32_t kGoodProbes = 3;
constexpr uint32_t kGoodProbesAlone = 10;
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
  this->Sort(pool);
}

void UpstreamChooser::SetMedians(Pool* pool) {
  std::vector<double> latencies;
  std::vector<double> services;
  std::vector<double> failures;
  for (const uint32_t index : pool->members) {
    const Upstream& upstream = this->upstreams[index];
    if (!IsUsable(upstream))
      continue;
    if (upstream.latency_us > 0)
      latencies.push_back(upstream.latency_us);
    if (upstream.load.service_us > 0)
      services.push_back(static_cast<double>(upstream.load.service_us));
    failures.push_back(upstream.failures);
  }
  pool->median_latency_us = Median(&latencies);
  pool->median_service_us = Median(&services);
  pool->median_failures = Median(&failures);
  for (const uint32_t index : pool->members) {
    this->upstreams[index].median_latency_us = pool->median_latency_us;
    this->upstreams[index].median_service_us = pool->median_service_us;
  }
}

bool UpstreamChooser::IsOutlier(const Upstream& upstream, const Pool& pool) {
  if (pool.median_failures < kPeerFailures &&
      (upstream.failures_in_row >= kOutlierFailuresInRow ||
       upstream.failures > kOutlierFailures))
    return true;
  const auto far = [](double own, double median) {
    return median > 0 && own > median * kOutlierFactor + kOutlierFloorUs;
  };
  return (upstream.latency_samples >= kOutlierSamples &&
          far(upstream.latency_us, pool.median_latency_us)) ||
         (upstream.answers >= kOutlierSamples &&
          far(static_cast<double>(upstream.load.service_us),
              pool.median_service_us));
}

// At most half of the upstreams are on probation at a time: when more of them
// are slow, the load is the cause, and the rest could not carry it.
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
    upstream.good_probes = 0;
    upstream.probed_at = now;
    ++on_probation;
  }
}

void UpstreamChooser::Sort(Pool* pool) {
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
  upstream->load_at = now;
  upstream->sent_since_load = 0;
  if (load.queued > 0)
    upstream->queue_seen_at = now;
}

// Takes a latency as a sample, or returns false: once a queue was seen after
// the attempt was sent, the latency tells about the load and not about the
// upstream.
bool UpstreamChooser::AddLatency(Upstream* upstream,
                                 absl::Duration latency,
                                 absl::Time now) {
  if (upstream->queue_seen_at >= now - latency)
    return false;
  const double sample_us =
      std::max(1.0, absl::ToDoubleMicroseconds(latency) -
                        static_cast<double>(upstream->round_trip_us));
  upstream->latency_samples += 1;
  // The plain mean of the first samples; otherwise the first one would weigh
  // most.
  const double weight =
      std::max(kSampleWeight, 1.0 / upstream->latency_samples);
  upstream->latency_us += weight * (sample_us - upstream->latency_us);
  return true;
}

void UpstreamChooser::AddOutcome(Upstream* upstream,
                                 bool failed,
                                 absl::Time now) {
  upstream->failures +=
      kFailureSampleWeight * ((failed ? 1 : 0) - upstream->failures);
  upstream->failures_in_row = failed ? upstream->failures_in_row + 1 : 0;
  if (failed)
    upstream->failed_at = now;
}

bool UpstreamChooser::IsGoodProbe(const Upstream& upstream,
                                  absl::Duration latency) {
  const double sample_us = absl::ToDoubleMicroseconds(latency) -
                           static_cast<double>(upstream.round_trip_us);
  return upstream.median_latency_us <= 0 ||
         sample_us <
             upstream.median_latency_us * kOutlierFactor + kOutlierFloorUs;
}

void UpstreamChooser::JudgeProbe(Upstream* upstream, bool good) {
  upstream->good_probes = good ? upstream->good_probes + 1 : 0;
  const bool agent_agrees =
      static_cast<double>(upstream->load.service_us) <=
      upstream->median_service_us * kRecoveredFactor + kOutlierFloorUs;
  if (upstream->good_probes < (agent_agrees ? kGoodProbes : kGoodProbesAlone))
    return;
  upstream->on_probation = false;
  upstream->good_probes = 0;
  upstream->latency_samples = 0;
  upstream->answers = 0;
  upstream->latency_us = upstream->median_latency_us;
  upstream->load.service_us = 0;
  upstream->failures = 0;
  upstream->failures_in_row = 0;
}

void UpstreamChooser::OnSent(std::string_view name) {
  Upstream* upstream = this->Find(name);
  if (upstream == nullptr)
    return;
  upstream->in_flight += 1;
  upstream->sent_since_load += 1;
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
    JudgeProbe(upstream, IsGoodProbe(*upstream, latency));
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
    JudgeProbe(upstream, false);
}

void UpstreamChooser::OnFailure(std::string_view name, absl::Time now) {
  Upstream* upstream = this->Find(name);
  if (upstream == nullptr)
    return;
  EndAttempt(upstream);
  AddOutcome(upstream, true, now);
  if (upstream->on_probation)
    JudgeProbe(upstream, false);
}

// The latency is unknown, but it is at least the time that has passed.
void UpstreamChooser::OnAbandoned(std::string_view name,
                                  absl::Duration elapsed,
                                  absl::Time now) {
  Upstream* upstream = this->Find(name);
  if (upstream == nullptr)
    return;
  EndAttempt(upstream);
  const double least_us = absl::ToDoubleMicroseconds(elapsed) -
                          static_cast<double>(upstream->round_trip_us);
  if (least_us > upstream->latency_us && AddLatency(upstream, elapsed, now) &&
      upstream->on_probation && !IsGoodProbe(*upstream, elapsed))
    JudgeProbe(upstream, false);
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
