#include "base/metrics.h"

#include <algorithm>
#include <array>

#include "base/strings.h"

namespace cuminjunction {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

template <class T>
T& FindOrMake(
    std::map<std::pair<std::string, std::string>, std::unique_ptr<T>>* metrics,
    std::string_view name,
    std::string_view labels) {
  auto& slot = (*metrics)[{std::string(name), std::string(labels)}];
  if (!slot)
    slot = std::make_unique<T>();
  return *slot;
}

void AppendSample(std::string_view name,
                  std::string_view suffix,
                  std::string_view labels,
                  double value,
                  std::string* out) {
  StrAppend(out, "cuminjunction_", name, suffix);
  if (!labels.empty())
    StrAppend(out, "{", labels, "}");
  StrAppend(out, " ", value, "\n");
}

void AppendType(std::string_view name,
                std::string_view type,
                std::string* previous,
                std::string* out) {
  if (*previous == name)
    return;
  *previous = std::string(name);
  StrAppend(out, "# TYPE cuminjunction_", name, " ", type, "\n");
}

}  // namespace

Summary::Summary()
    : accumulator(acc::tag::extended_p_square_quantile::probabilities =
                      kQuantiles) {}

void Summary::Observe(double value) {
  absl::MutexLock lock(&this->mutex);
  this->accumulator(value);
}

uint64_t Summary::Count() const {
  absl::MutexLock lock(&this->mutex);
  return acc::count(this->accumulator);
}

double Summary::Sum() const {
  absl::MutexLock lock(&this->mutex);
  return acc::sum(this->accumulator);
}

double Summary::Max() const {
  absl::MutexLock lock(&this->mutex);
  return acc::count(this->accumulator) == 0 ? 0 : acc::max(this->accumulator);
}

double Summary::Quantile(double probability) const {
  absl::MutexLock lock(&this->mutex);
  if (acc::count(this->accumulator) == 0)
    return 0;
  return acc::quantile(this->accumulator,
                       acc::quantile_probability = probability);
}

void Histogram::Observe(absl::Duration duration) {
  const double seconds = absl::ToDoubleSeconds(duration);
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), seconds);
  this->counts[static_cast<size_t>(bound - kBounds.begin())].fetch_add(
      1, std::memory_order_relaxed);
  this->sum_us.fetch_add(absl::ToInt64Microseconds(duration),
                         std::memory_order_relaxed);
}

uint64_t Histogram::CountUpTo(size_t bucket) const {
  uint64_t count = 0;
  for (size_t index = 0; index <= bucket; ++index)
    count += this->counts[index].load(std::memory_order_relaxed);
  return count;
}

uint64_t Histogram::Count() const {
  return this->CountUpTo(kBounds.size());
}

double Histogram::SumSeconds() const {
  return absl::ToDoubleSeconds(
      absl::Microseconds(this->sum_us.load(std::memory_order_relaxed)));
}

Counter& Metrics::GetCounter(std::string_view name, std::string_view labels) {
  absl::MutexLock lock(&this->mutex);
  return FindOrMake(&this->counters, name, labels);
}

Gauge& Metrics::GetGauge(std::string_view name, std::string_view labels) {
  absl::MutexLock lock(&this->mutex);
  return FindOrMake(&this->gauges, name, labels);
}

Summary& Metrics::GetSummary(std::string_view name, std::string_view labels) {
  absl::MutexLock lock(&this->mutex);
  return FindOrMake(&this->summaries, name, labels);
}

Histogram& Metrics::GetHistogram(std::string_view name,
                                 std::string_view labels) {
  absl::MutexLock lock(&this->mutex);
  return FindOrMake(&this->histograms, name, labels);
}

std::string Metrics::Text() const {
  absl::MutexLock lock(&this->mutex);
  std::string out;
  std::string previous;
  for (const auto& [key, counter] : this->counters) {
    AppendType(key.first, "counter", &previous, &out);
    AppendSample(key.first, "", key.second,
                 static_cast<double>(counter->Value()), &out);
  }
  for (const auto& [key, gauge] : this->gauges) {
    AppendType(key.first, "gauge", &previous, &out);
    AppendSample(key.first, "", key.second, gauge->Value(), &out);
  }
  for (const auto& [key, summary] : this->summaries) {
    AppendType(key.first, "summary", &previous, &out);
    for (const double quantile : kQuantiles) {
      const std::string labels =
          StrCat(key.second, key.second.empty() ? "" : ",", "quantile=\"",
                 quantile, "\"");
      AppendSample(key.first, "", labels, summary->Quantile(quantile), &out);
    }
    AppendSample(key.first, "_sum", key.second, summary->Sum(), &out);
    AppendSample(key.first, "_count", key.second,
                 static_cast<double>(summary->Count()), &out);
  }
  for (const auto& [key, histogram] : this->histograms) {
    AppendType(key.first, "histogram", &previous, &out);
    const std::string prefix =
        StrCat(key.second, key.second.empty() ? "" : ",", "le=\"");
    for (size_t bucket = 0; bucket < Histogram::kBounds.size(); ++bucket)
      AppendSample(key.first, "_bucket",
                   StrCat(prefix, Histogram::kBounds[bucket], "\""),
                   static_cast<double>(histogram->CountUpTo(bucket)), &out);
    AppendSample(key.first, "_bucket", StrCat(prefix, "+Inf\""),
                 static_cast<double>(histogram->Count()), &out);
    AppendSample(key.first, "_sum", key.second, histogram->SumSeconds(), &out);
    AppendSample(key.first, "_count", key.second,
                 static_cast<double>(histogram->Count()), &out);
  }
  return out;
}

}  // namespace cuminjunction
