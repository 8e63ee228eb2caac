#ifndef TASK_WORKER_AGENT_OPTIONS_H_
#define TASK_WORKER_AGENT_OPTIONS_H_

// Options of task/worker_agent.h.

#include <string>

#include "absl/time/time.h"
#include "task/lease.h"
#include "task/row.h"
#include "task/transitions.h"

namespace cuminjunction {

struct WorkerAgentOptions {
  // Id, capacity, failure domain, rack and region of the worker; the boot id
  // comes from the runtime.
  WorkerRow declared;
  // Distinguishes the transactions of this process.
  std::string process;
  LeasePolicy lease;
  RetryPolicy retry;
  // How often the worker row is read without a nudge.
  absl::Duration poll_every = absl::Seconds(10);
  // How often the runtime is asked for ended attempts; ticks are at most as far
  // apart.
  absl::Duration list_every = absl::Seconds(1);
  // The wait after a failed call of table or runtime.
  absl::Duration retry_after = absl::Seconds(2);
  // How long a start with an unknown outcome may still take effect.
  absl::Duration late_start = absl::Seconds(30);
  // How often an eviction asks for a checkpoint before it stops without one.
  int checkpoint_tries = 3;
};

}  // namespace cuminjunction

#endif  // TASK_WORKER_AGENT_OPTIONS_H_
