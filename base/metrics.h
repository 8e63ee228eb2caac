#ifndef BASE_METRICS_H_
#define BASE_METRICS_H_

// Counters, gauges, summaries and histograms of a process, printed as
// Prometheus text.
//
//   Metrics metrics;
//   Counter& refused = metrics.GetCounter("requests_refused_total",
//                                         "reason=\"deadline\"");
//   refused.Add();
//   metrics.GetSummary("request_seconds").Observe(0.012);
//   std::string page = metrics.Text();
//
// Look a metric up once and keep the reference: it stays valid as long as the
// Metrics object. All operations are callable from any thread.

// Accumulators uses std::ostringstream without including its header.
#include <sstream>

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace cuminjunction {

// A count that only grows.
class Counter {
 public:
  void Add(uint64_t step = 1) {
    this->value.fetch_add(step, std::memory_order_relaxed);
  }
  uint64_t Value() const { return this->value.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value = 0;
};

// A value that goes up and down.
class Gauge {
 public:
  void Set(double value) {
    this->value.store(value, std::memory_order_relaxed);
  }
  double Value() const { return this->value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value = 0;
};

// Count, sum, maximum and the quantiles 0.5, 0.95 and 0.99 of observed values.
class Summary {
 public:
  Summary();
  void Observe(double value);
  uint64_t Count() const;
  double Sum() const;
  double Max() const;
  // Estimates the quantile `probability` (0.5, 0.95 or 0.99).
  double Quantile(double probability) const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::sum,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square_quantile>>;

  mutable absl::Mutex mutex;
  Accumulator accumulator;
};

// Counts of observed durations by upper bound, which unlike quantiles can be
// added up over processes.
class Histogram {
 public:
  // Upper bounds of the buckets in seconds: from an answer out of memory to the
  // longest that a caller waits.
  static constexpr std::array<double, 13> kBounds = {
      0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

  void Observe(absl::Duration duration);

  // Observations of at most kBounds[bucket] seconds.
  uint64_t CountUpTo(size_t bucket) const;
  uint64_t Count() const;
  double SumSeconds() const;

 private:
  // The last one holds what exceeds all bounds.
  std::array<std::atomic<uint64_t>, kBounds.size() + 1> counts = {};
  std::atomic<int64_t> sum_us = 0;
};

class Metrics {
 public:
  // The metric of that name and those labels (`key="value",...`), made on
  // first use.
  Counter& GetCounter(std::string_view name, std::string_view labels = "");
  Gauge& GetGauge(std::string_view name, std::string_view labels = "");
  Summary& GetSummary(std::string_view name, std::string_view labels = "");
  Histogram& GetHistogram(std::string_view name, std::string_view labels = "");

  // All metrics in the text format of Prometheus, sorted by name. Each name
  // gets the prefix "cuminjunction_".
  std::string Text() const;

 private:
  using Key = std::pair<std::string, std::string>;

  mutable absl::Mutex mutex;
  std::map<Key, std::unique_ptr<Counter>> counters;
  std::map<Key, std::unique_ptr<Gauge>> gauges;
  std::map<Key, std::unique_ptr<Summary>> summaries;
  std::map<Key, std::unique_ptr<Histogram>> histograms;
};

}  // namespace cuminjunction

#endif  // BASE_METRICS_H_
