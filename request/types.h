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

// Identifies a request by the incarnation of the entry process that received it
// and a number that this incarnation uses once. A restarted entry has another
// incarnation.
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

// Identifies an attempt: one submission of a request to one upstream. The
// attempts of a request are numbered from 1.
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

// Execution status of a request, as reported to the caller with the reply.
enum class Outcome : uint8_t {
  // The whole answer of an upstream was received.
  kAnswered = 0,
  // No upstream has started the request or will start it.
  kNotRun = 1,
  // The request may have run, and may still be running.
  kUnknown = 2,
};

// "answered", "not-run" or "unknown".
std::string_view ToString(Outcome outcome);

// Reason for which an agent or an entry refused a request before its start.
enum class Refusal : uint8_t {
  kNone = 0,
  // The queue is full, or too long for the deadline.
  kOverload = 1,
  // The deadline has passed.
  kDeadline = 2,
  // The agent or upstream is leaving.
  kLeaving = 3,
  // The upstream fails its health checks.
  kUpstreamDown = 4,
  // The agent does not serve the service.
  kUnknownService = 5,
  // The attempt was refused or cancelled earlier; see Tombstones.
  kTombstone = 6,
  // A limit on sizes or counts is reached.
  kLimit = 7,
};

// The refusal as it appears in logs and headers, such as "overload".
std::string_view ToString(Refusal refusal);

// The scheduling class of a request.
struct RequestClass {
  std::string account;
  Urgency urgency = Urgency::kNormal;

  auto operator<=>(const RequestClass&) const = default;
};

// Load report of an agent, sent with each of its answers.
struct AgentLoad {
  // Requests running at the upstream, and requests queued.
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
