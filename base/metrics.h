#ifndef BASE_METRICS_H_
#define BASE_METRICS_H_

// Counters, gauges and summaries of a process, printed as Prometheus text.
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

#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "absl/synchronization/mutex.h"

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

class Metrics {
 public:
  // The metric of that name and those labels (`key="value",...`), made on
  // first use.
  Counter& GetCounter(std::string_view name, std::string_view labels = "");
  Gauge& GetGauge(std::string_view name, std::string_view labels = "");
  Summary& GetSummary(std::string_view name, std::string_view labels = "");

  // All metrics in the text format of Prometheus, sorted by name. Each name
  // gets the prefix "cuminjunction_".
  std::string Text() const;

 private:
  using Key = std::pair<std::string, std::string>;

  mutable absl::Mutex mutex;
  std::map<Key, std::unique_ptr<Counter>> counters;
  std::map<Key, std::unique_ptr<Gauge>> gauges;
  std::map<Key, std::unique_ptr<Summary>> summaries;
};

}  // namespace cuminjunction

#endif  // BASE_METRICS_H_
