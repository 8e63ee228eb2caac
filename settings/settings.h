#ifndef SETTINGS_SETTINGS_H_
#define SETTINGS_SETTINGS_H_

// Settings of the daemon, read from a YAML file.
//
// Settings say who this process is and where it finds others; what the system
// should run is in the operator's configuration document. Every key is checked;
// docs/settings.md lists them.

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/yaml.h"
#include "config/document.h"
#include "membership/member.h"

namespace cuminjunction {

// Ports this process listens on. 0 lets the system choose where that makes
// sense, which it does in tests.
struct ListenSettings {
  std::string host = "127.0.0.1";
  // HTTP requests of callers (entry).
  uint16_t request_port = 0;
  // Administration API (entry), metrics and health (both roles).
  uint16_t admin_port = 0;
  // Membership, UDP.
  uint16_t membership_port = 0;
  // Frames of entries, TCP (agent).
  uint16_t agent_port = 0;
  // Configuration and notices between processes, TCP (both roles).
  uint16_t peer_port = 0;

  bool operator==(const ListenSettings&) const = default;
};

// The platform's table service.
struct PlatformSettings {
  std::string table_url;
  // Time to wait for an answer, in milliseconds.
  int64_t timeout_ms = 2000;

  bool operator==(const PlatformSettings&) const = default;
};

// The upstream beside an agent.
struct UpstreamSettings {
  // Names of services' upstreams that it announces; empty without an upstream.
  std::vector<std::string> announces;
  std::string url;
  std::string probe_path = "/healthz";
  int64_t slots = 8;
  int64_t connections = 64;

  bool operator==(const UpstreamSettings&) const = default;
};

// The worker on an agent's VM.
struct WorkerSettings {
  // Address of the worker's runtime; empty without a worker.
  std::string runtime_url;
  std::string rack;
  Size size;
  // Length of the worker's lease and time between renewals, in seconds.
  int64_t lease_s = 600;
  int64_t renewal_s = 20;

  bool operator==(const WorkerSettings&) const = default;
};

// The users' platform, on which submissions are taken at run time. Without a
// store address the process serves requests instead.
struct FleetSettings {
  Endpoint store;
  // Where callers hand in submissions, and where the platform asks whether the
  // entry is ready (entry).
  Endpoint submissions;
  Endpoint ready;
  // Where the runner's heartbeats arrive, and where the runner takes orders
  // (agent).
  Endpoint heartbeats;
  Endpoint runner;
  // The platform's adviser, for queues that need its permits (agent); port 0
  // without.
  Endpoint adviser;
  // Metrics for operators; port 0 without.
  Endpoint metrics;
  // The longest lease that a runner takes, in milliseconds.
  int64_t max_lease_ms = 6000;
  // Time from SIGTERM until the process is killed, in milliseconds.
  int64_t stop_grace_ms = 6000;
  // How long callers may ask for the state of a submission that has ended. The
  // platform's `status_s` is 120 s on each site.
  int64_t state_retention_ms = 120000;
  // Part of a processor that the process has (entry).
  double processor_share = 1;
  // Time from the operator's evacuation of a failure domain to the last start
  // there, in milliseconds; 0 without a bound.
  int64_t evacuate_ms = 0;
  // Order submissions by weight and refuse those that certainly are of no use
  // when capacity is insufficient (entry); see submission/overload.h.
  bool overload_control = false;

  bool operator==(const FleetSettings&) const = default;
  bool IsSet() const { return this->store.port != 0; }
};

struct Settings {
  std::string name;
  Role role = Role::kEntry;
  std::string region;
  std::string failure_domain;
  // "-" is standard output, else a file to append to.
  std::string log = "-";
  std::string charts = "charts";
  ListenSettings listen;
  // Membership addresses of some entries.
  std::vector<Endpoint> seeds;
  PlatformSettings platform;
  // Front shards of an entry, each a thread.
  int64_t shards = 2;
  // Time that an entry stays up after it reports not ready, in milliseconds,
  // so that the load balancer notices.
  int64_t drain_grace_ms = 2000;
  // Connections of callers to each shard.
  int64_t max_connections = 4096;
  UpstreamSettings upstream;
  WorkerSettings worker;
  FleetSettings fleet;

  bool operator==(const Settings&) const = default;
};

// Reads settings. On failure every problem is in `problems`.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file,
                               std::vector<YamlProblem>* problems);

}  // namespace cuminjunction

#endif  // SETTINGS_SETTINGS_H_
