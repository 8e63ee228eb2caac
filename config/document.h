#ifndef CONFIG_DOCUMENT_H_
#define CONFIG_DOCUMENT_H_

// Value types of the operator's configuration document.
//
// A document lists client accounts, services and jobs. ParseDocument() in
// config/parse.h reads and checks it; a Document that it returns is consistent:
// every name it refers to exists and dependencies have no cycle.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminjunction {

// Scheduling urgency. Smaller values are more urgent.
enum class Urgency : uint8_t { kUrgent = 0, kNormal = 1, kBatch = 2 };

inline constexpr int kUrgencyCount = 3;

// "urgent", "normal" or "batch".
const std::string& ToString(Urgency urgency);

// Resources of a task or a VM.
struct Size {
  int64_t millicores = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  auto operator<=>(const Size&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->millicores, this->memory_mib, this->accelerators);
  }
};

// True when each resource of `part` is at most that of `whole`.
inline bool Fits(const Size& part, const Size& whole) {
  return part.millicores <= whole.millicores &&
         part.memory_mib <= whole.memory_mib &&
         part.accelerators <= whole.accelerators;
}

inline Size operator+(const Size& a, const Size& b) {
  return {a.millicores + b.millicores, a.memory_mib + b.memory_mib,
          a.accelerators + b.accelerators};
}

inline Size operator-(const Size& a, const Size& b) {
  return {a.millicores - b.millicores, a.memory_mib - b.memory_mib,
          a.accelerators - b.accelerators};
}

// A client account with its weight and quota.
struct Account {
  std::string name;
  // Relative share under contention, for requests and for tasks.
  int64_t weight = 1;
  // Upper bound on the resources committed to its tasks at any time.
  Size quota;

  bool operator==(const Account&) const = default;
};

// A latency-critical service. Its upstreams announce themselves; with
// `replicas` above 0 the scheduler also runs that many tasks of it.
struct Service {
  std::string name;
  std::string account;
  // The name that agents announce for upstreams of this service.
  std::string upstream;
  int64_t replicas = 0;
  // Size of a replica; unused when replicas is 0.
  Size size;
  // Default deadline of a request, in milliseconds after its arrival.
  int64_t timeout_ms = 1000;
  Urgency urgency = Urgency::kNormal;
  // Target of the service's tail latency, in milliseconds.
  int64_t tail_target_ms = 0;
  // HTTP methods whose requests may be executed more than once.
  std::vector<std::string> idempotent_methods;
  // Jobs and services that must be finished or running first.
  std::vector<std::string> depends_on;

  bool operator==(const Service&) const = default;
};

enum class JobKind : uint8_t { kBatch = 0, kWatcher = 1 };

// A batch job, which finishes, or a set of watchers, which are kept running.
struct Job {
  std::string name;
  std::string account;
  JobKind kind = JobKind::kBatch;
  Size size;
  Urgency urgency = Urgency::kBatch;
  std::vector<std::string> depends_on;
  // Number of tasks.
  int64_t count = 1;
  // The command that a worker passes to its runtime.
  std::string command;

  bool operator==(const Job&) const = default;
};

struct Document {
  std::map<std::string, Account> accounts;
  std::map<std::string, Service> services;
  std::map<std::string, Job> jobs;

  bool operator==(const Document&) const = default;
};

}  // namespace cuminjunction

#endif  // CONFIG_DOCUMENT_H_
