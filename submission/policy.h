#ifndef SUBMISSION_POLICY_H_
#define SUBMISSION_POLICY_H_

// The operator's configuration of queues and the services that run them.
//
//   const Queue* queue = policy.Find("shop.example",
//   "/plans/5c0e7a21d94b36f8");
//
// A version is complete and immutable; nodes replace it by a higher one.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cuminjunction {

// Restricts the placement of a queue's steps by a policy that only the
// platform's adviser can evaluate. An answer takes `decide_ms` plus
// `per_runner_ms` for each runner in the query.
struct Advice {
  bool required = false;
  int64_t decide_ms = 0;
  int64_t per_runner_ms = 0;
  // Validity of a ticket, in milliseconds.
  int64_t valid_ms = 0;

  bool operator==(const Advice&) const = default;
};

struct Queue {
  std::string name;
  // Host and path prefix that select the queue.
  std::string host;
  std::string prefix;
  // Service whose runners run the tasks.
  std::string service;
  // 0 comes first and may preempt others.
  int64_t priority = 0;
  // The submission fails when this many runs of one task have failed.
  uint32_t max_attempts = 1;
  // The objective of a submission is `stretch` times its longest chain of
  // tasks, plus `objective_ms` milliseconds.
  double stretch = 1;
  int64_t objective_ms = 0;
  Advice advice;

  bool operator==(const Queue&) const = default;
};

struct FleetPolicy {
  // 0 until a configuration has been read.
  int64_t version = 0;
  std::vector<Queue> queues;
  // By service: true if its runners reject tasks that do not fit.
  std::map<std::string, bool> enforces_capacity;
  // Largest size of a request body, in bytes.
  int64_t max_body_bytes = 0;

  bool operator==(const FleetPolicy&) const = default;

  // Returns the queue with the longest prefix of `path` on this host, or null.
  const Queue* Find(std::string_view host, std::string_view path) const;

  // Returns the queue of this name, or null.
  const Queue* FindByName(std::string_view name) const;
};

}  // namespace cuminjunction

#endif  // SUBMISSION_POLICY_H_
