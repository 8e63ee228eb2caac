#ifndef TESTING_SUPPORT_LOAD_GENERATOR_H_
#define TESTING_SUPPORT_LOAD_GENERATOR_H_

// Open-loop callers over HTTP.
//
//   LoadSettings settings;
//   settings.targets = {{"127.0.0.1", 8080}};
//   settings.flows = {{.service = "slot-check", .per_second = 2000}};
//   LoadResult result = RunLoad(settings);
//   result.flows[0].Quantile(0.99);
//
// Requests of a flow are sent with random gaps at its rate, whatever the
// answers do. Latency counts from the time at which a request was due, so a
// stalled server is charged for the requests that waited for it. Each request
// has a key of its own in its URL, and its answer must begin with that key.

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace cuminjunction {

struct LoadTarget {
  std::string host = "127.0.0.1";
  uint16_t port = 0;
};

struct LoadFlow {
  std::string service = "s";
  std::string account = "growers";
  std::string urgency = "normal";
  std::string method = "GET";
  double per_second = 100;
  int64_t timeout_ms = 1000;
  // Sends an Idempotency-Key.
  bool send_key = false;
  // Times that a call is sent to another target when it could not be sent, or,
  // with GET, when its connection broke: what callers behind a load balancer
  // do.
  int resends = 0;
};

struct LoadSettings {
  std::vector<LoadTarget> targets;
  std::vector<LoadFlow> flows;
  int threads = 2;
  // Connections of each thread.
  int connections = 128;
  int64_t duration_ms = 1000;
  // Requests that are due before are sent and not measured.
  int64_t warm_up_ms = 0;
  uint64_t most_requests = 10000000;
  // First part of the keys; tells runs against one upstream apart.
  std::string key_prefix = "k";
  uint64_t seed = 1;
  // Which targets take new calls, as a load balancer finds out from their
  // readiness. Changes during the run. Null for all.
  const std::vector<std::atomic<bool>>* ready = nullptr;
};

// How a request ended for its caller.
enum class CallEnd : uint8_t {
  kAnswered = 0,
  kNotRun,
  kUnknown,
  // Connection broken, or no reply until a second after the timeout.
  kBroken,
  // An answer that belongs to another request or is damaged.
  kWrongAnswer,
  // The generator had no connection left for it; it was not sent.
  kNotSent,
  // No connection could be made, so it was not sent.
  kNotConnected,
};

inline constexpr size_t kCallEndCount = 7;

// "answered", "not-run", "unknown", "broken", "wrong-answer", "not-sent" or
// "not-connected".
std::string_view ToString(CallEnd end);

struct LoadFlowResult {
  uint64_t sent = 0;
  uint64_t ends[kCallEndCount] = {};
  uint64_t answered_in_time = 0;
  // Microseconds, of all answered requests.
  std::vector<uint32_t> latencies_us;
  // Keys by end, of requests whose method is not GET.
  std::vector<std::string> keys[kCallEndCount];

  uint64_t Count(CallEnd end) const {
    return this->ends[static_cast<size_t>(end)];
  }
  const std::vector<std::string>& Keys(CallEnd end) const {
    return this->keys[static_cast<size_t>(end)];
  }
  double InTime() const;
  // Quantile of the latency in microseconds; 0 without answers.
  double Quantile(double probability) const;
};

struct LoadResult {
  std::vector<LoadFlowResult> flows;
};

// Runs the load and waits for its end, at most two seconds longer than the
// duration and the longest timeout.
LoadResult RunLoad(const LoadSettings& settings);

// Reads "service=s,account=a,urgency=urgent,rate=100,timeout_ms=50,method=GET".
// Fails with kInvalidArgument of the system category.
Result<LoadFlow> ParseLoadFlow(std::string_view text);

// Reads "HOST:PORT". Fails as ParseLoadFlow().
Result<LoadTarget> ParseLoadTarget(std::string_view text);

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_LOAD_GENERATOR_H_
