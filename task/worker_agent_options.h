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
  // Id of this process; part of its transaction ids, which must be unique.
  std::string process;
  LeasePolicy lease;
  RetryPolicy retry;
  // Interval of reads of the worker row when no notification arrives.
  absl::Duration poll_interval = absl::Seconds(10);
  // Interval at which the runtime is asked for ended attempts; the longest time
  // between two ticks.
  absl::Duration list_interval = absl::Seconds(1);
  // Delay after a failed call of the table or the runtime.
  absl::Duration retry_after = absl::Seconds(2);
  // Time for which a start with an unknown outcome may still take effect.
  absl::Duration unresolved_start_timeout = absl::Seconds(30);
  // Failed checkpoints after which an eviction stops the attempt without one.
  int max_checkpoint_attempts = 3;
};

}  // namespace cuminjunction

#endif  // TASK_WORKER_AGENT_OPTIONS_H_
