#ifndef REQUEST_TYPES_H_
#define REQUEST_TYPES_H_

// Requests, attempts and their outcomes.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "config/document.h"

namespace cuminjunction {

// Identifies a request: the entry process that took it and a number that
// process never uses twice. A restarted entry has another incarnation.
struct RequestId {
  uint64_t entry_incarnation = 0;
  uint64_t number = 0;

  auto operator<=>(const RequestId&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const RequestId& id) {
    return H::combine(std::move(h), id.entry_incarnation, id.number);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->entry_incarnation, this->number);
  }
};

// One try to have a request answered by one upstream. Attempts of a request
// count from 1.
struct AttemptId {
  RequestId request;
  uint32_t attempt = 0;

  auto operator<=>(const AttemptId&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const AttemptId& id) {
    return H::combine(std::move(h), id.request, id.attempt);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->attempt);
  }
};

// What is certain about a request when the caller is answered.
enum class Outcome : uint8_t {
  // The whole answer of an upstream was received.
  kAnswered = 0,
  // No upstream has started it or will start it.
  kNotRun = 1,
  // It may have run, and may still run.
  kUnknown = 2,
};

// "answered", "not-run" or "unknown".
std::string_view ToString(Outcome outcome);

// Why an agent or an entry refused a request that has not started.
enum class Refusal : uint8_t {
  kNone = 0,
  // The queue is too long for the deadline.
  kOverload = 1,
  // The deadline has passed.
  kDeadline = 2,
  // The agent or upstream is leaving.
  kLeaving = 3,
  // The upstream does not answer probes.
  kUpstreamDown = 4,
  // The agent serves no such service.
  kUnknownService = 5,
  // The attempt was refused or cancelled before (tombstone).
  kTombstone = 6,
  // A limit of size or connections.
  kLimit = 7,
};

// The refusal as a word for logs and headers, such as "overload".
std::string_view ToString(Refusal refusal);

// The scheduling class of a request.
struct RequestClass {
  std::string account;
  Urgency urgency = Urgency::kNormal;

  auto operator<=>(const RequestClass&) const = default;
};

// Load figures of an agent, carried on each of its answers.
struct AgentLoad {
  // Requests at the upstream and requests queued.
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t slots = 0;
  // Expected wait of a new request of normal urgency, in microseconds.
  uint64_t wait_us = 0;
  // Decayed mean service time of the upstream, in microseconds.
  uint64_t service_us = 0;

  auto operator<=>(const AgentLoad&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->running, this->queued, this->slots, this->wait_us,
            this->service_us);
  }
};

}  // namespace cuminjunction

#endif  // REQUEST_TYPES_H_
