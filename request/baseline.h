#ifndef REQUEST_BASELINE_H_
#define REQUEST_BASELINE_H_

// Simple policies with the same interfaces as FairQueue and UpstreamChooser.
// The benches compare those with them:
//
//   RouteSim<UpstreamChooser, FairQueue> fair(setup);
//   RouteSim<RandomChooser, FifoQueue> simple(setup);

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "base/error.h"
#include "request/chooser.h"
#include "request/fair_queue.h"
#include "request/types.h"

namespace cuminjunction {

// A queue with one list for each of `Lanes` urgencies, served from the most
// urgent list to the least urgent one. With one lane, requests are served in
// the order of arrival. Refuses requests only when the queue is full or their
// deadline has passed.
template <int Lanes>
class LaneQueue {
 public:
  explicit LaneQueue(QueueSettings settings) : settings(settings) {}

  Refusal Admit(const RequestClass& request_class,
                double cost,
                absl::Time deadline,
                absl::Time now);
  void Push(AttemptId id,
            const RequestClass& request_class,
            double cost,
            absl::Time deadline,
            absl::Time now);
  std::optional<QueueExit> Pop(absl::Time now);
  bool Remove(AttemptId id);
  void ReleaseSlot(AttemptId id, absl::Duration service_time, absl::Time now);
  AgentLoad Load() const;

 private:
  struct Item {
    AttemptId id;
    absl::Time deadline;
  };
  using Position = std::pair<size_t, typename std::list<Item>::iterator>;

  QueueSettings settings;
  std::array<std::list<Item>, Lanes> lanes;
  absl::flat_hash_map<AttemptId, Position> queued;
  uint32_t running = 0;
  double service_us = 0;
};

// First in, first out.
using FifoQueue = LaneQueue<1>;
// The most urgent request first, regardless of the client account.
using StrictPriorityQueue = LaneQueue<kUrgencyCount>;

// Chooses any ready upstream of the service with the same probability.
class RandomChooser {
 public:
  void SetUpstreams(const std::vector<UpstreamInfo>& upstreams, absl::Time now);
  Result<UpstreamChoice> Choose(std::string_view service,
                                const RequestClass& request_class,
                                absl::Time now,
                                const std::vector<std::string>& excluded,
                                absl::BitGenRef random,
                                int64_t bytes = 0);
  void OnSent(std::string_view) {}
  void OnAnswer(std::string_view,
                const AgentLoad&,
                absl::Duration,
                absl::Time) {}
  void OnRefused(std::string_view, Refusal, const AgentLoad&, absl::Time) {}
  void OnFailure(std::string_view, absl::Time) {}
  void OnAbandoned(std::string_view, absl::Duration, absl::Time) {}
  void OnLeaving(std::string_view) {}

 private:
  std::map<std::string, std::vector<UpstreamInfo>, std::less<>> by_service;
};

}  // namespace cuminjunction

#endif  // REQUEST_BASELINE_H_
