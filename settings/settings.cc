#include "settings/settings.h"

#include <cmath>
#include <limits>

namespace cuminjunction {

namespace {

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxLeaseSeconds = 24 * 3600;
constexpr int64_t kMaxRetentionMs = 24 * 3600 * 1000;
constexpr int64_t kMaxEvacuateMs = 3600 * 1000;
constexpr double kMillicoresPerCore = 1000;
constexpr double kMibPerGib = 1024;

uint16_t Port(YamlMap* map, const std::string& key) {
  return static_cast<uint16_t>(map->Int(key, 0, 0, kMaxPort));
}

ListenSettings ReadListen(YamlMap map) {
  ListenSettings listen;
  listen.host = map.String("host", listen.host);
  listen.request_port = Port(&map, "request_port");
  listen.admin_port = Port(&map, "admin_port");
  listen.membership_port = Port(&map, "membership_port");
  listen.agent_port = Port(&map, "agent_port");
  listen.peer_port = Port(&map, "peer_port");
  map.Finish();
  return listen;
}

PlatformSettings ReadPlatform(YamlMap map) {
  PlatformSettings platform;
  platform.table_url = map.String("table_url", "");
  platform.timeout_ms = map.Int("timeout_ms", platform.timeout_ms, 10, 60000);
  map.Finish();
  return platform;
}

UpstreamSettings ReadUpstream(YamlMap map) {
  UpstreamSettings upstream;
  upstream.announces = map.Strings("announces");
  upstream.url = map.String("url", "");
  upstream.probe_path = map.String("probe_path", upstream.probe_path);
  upstream.slots = map.Int("slots", upstream.slots, 1, 1024);
  upstream.connections = map.Int("connections", upstream.connections, 1, 4096);
  if (upstream.announces.empty() != upstream.url.empty()) {
    map.Problem(YamlError::kMissingKey,
                upstream.url.empty() ? "url" : "announces",
                "an upstream has both announces and url");
  }
  map.Finish();
  return upstream;
}

Size ReadSize(YamlMap map) {
  constexpr double limit = 1e6;
  const double cores = map.Double("cores", 0, 0, limit);
  const double memory_gib = map.Double("memory_gib", 0, 0, limit);
  Size size;
  size.millicores = std::llround(cores * kMillicoresPerCore);
  size.memory_mib = std::llround(memory_gib * kMibPerGib);
  size.accelerators = map.Int("accelerators", 0, 0, 1024);
  map.Finish();
  return size;
}

WorkerSettings ReadWorker(YamlMap map) {
  WorkerSettings worker;
  worker.runtime_url = map.String("runtime_url", "");
  worker.rack = map.String("rack", "");
  worker.size = ReadSize(map.Map("size"));
  worker.lease_s = map.Int("lease_s", worker.lease_s, 5, kMaxLeaseSeconds);
  worker.renewal_s = map.Int("renewal_s", worker.renewal_s, 1, 3600);
  if (worker.renewal_s * 3 > worker.lease_s) {
    map.Problem(YamlError::kOutOfRange, "renewal_s",
                "a lease must last at least three renewals");
  }
  if (!worker.runtime_url.empty() && worker.size.millicores == 0)
    map.Problem(YamlError::kMissingKey, "size", "cores of the VM");
  map.Finish();
  return worker;
}

std::vector<Endpoint> ReadSeeds(YamlMap* map) {
  std::vector<Endpoint> seeds;
  for (const std::string& text : map->Strings("seeds")) {
    const auto endpoint = ParseEndpoint(text);
    if (endpoint)
      seeds.push_back(endpoint.value());
    else
      map->Problem(endpoint.error(), "seeds", "HOST:PORT is expected");
  }
  return seeds;
}

Endpoint ReadEndpoint(YamlMap* map, const std::string& key) {
  const std::string text = map->String(key, "");
  if (text.empty())
    return {};
  const auto endpoint = ParseEndpoint(text);
  if (endpoint)
    return endpoint.value();
  map->Problem(endpoint.error(), key, "HOST:PORT is expected");
  return {};
}

FleetSettings ReadFleet(YamlMap map) {
  FleetSettings fleet;
  fleet.store = ReadEndpoint(&map, "store");
  fleet.submissions = ReadEndpoint(&map, "submissions");
  fleet.ready = ReadEndpoint(&map, "ready");
  fleet.heartbeats = ReadEndpoint(&map, "heartbeats");
  fleet.runner = ReadEndpoint(&map, "runner");
  fleet.adviser = ReadEndpoint(&map, "adviser");
  fleet.metrics.port = Port(&map, "metrics_port");
  fleet.max_lease_ms = map.Int("max_lease_ms", fleet.max_lease_ms, 500, 600000);
  fleet.stop_grace_ms =
      map.Int("stop_grace_ms", fleet.stop_grace_ms, 1000, 600000);
  fleet.state_retention_ms = map.Int(
      "state_retention_ms", fleet.state_retention_ms, 1, kMaxRetentionMs);
  fleet.processor_share =
      map.Double("processor_share", fleet.processor_share, 0.001, 1024);
  fleet.evacuate_ms = map.Int("evacuate_ms", 0, 0, kMaxEvacuateMs);
  fleet.overload_control = map.Bool("overload_control", false);
  map.Finish();
  return fleet;
}

void CheckFleet(const Settings& settings, YamlMap* map) {
  const bool entry = settings.role == Role::kEntry;
  if (entry &&
      (settings.fleet.submissions.port == 0 || settings.fleet.ready.port == 0))
    map->Problem(YamlError::kMissingKey, "fleet",
                 "an entry needs submissions and ready");
  if (!entry &&
      (settings.fleet.heartbeats.port == 0 || settings.fleet.runner.port == 0))
    map->Problem(YamlError::kMissingKey, "fleet",
                 "an agent needs heartbeats and runner");
  if (settings.listen.peer_port == 0)
    map->Problem(YamlError::kMissingKey, "listen", "peer_port is needed");
}

void CheckRole(const Settings& settings, YamlMap* map) {
  if (settings.role == Role::kEntry && settings.platform.table_url.empty())
    map->Problem(YamlError::kMissingKey, "platform",
                 "an entry needs table_url");
  if (settings.role == Role::kEntry)
    return;
  const bool has_worker = !settings.worker.runtime_url.empty();
  if (settings.upstream.url.empty() && !has_worker) {
    map->Problem(YamlError::kMissingKey, "upstream",
                 "an agent needs an upstream, a worker or both");
  }
  if (has_worker && settings.platform.table_url.empty())
    map->Problem(YamlError::kMissingKey, "platform",
                 "a worker needs table_url");
  if (settings.seeds.empty())
    map->Problem(YamlError::kMissingKey, "seeds", "an agent needs an entry");
}

}  // namespace

Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file,
                               std::vector<YamlProblem>* problems) {
  const size_t before = problems->size();
  BOOST_OUTCOME_TRY(node, ParseYaml(text, file, problems));
  YamlMap map(node, file, problems);
  Settings settings;
  settings.name = map.RequiredString("name");
  settings.role = map.Choice("role", {"entry", "agent"}) == "agent"
                      ? Role::kAgent
                      : Role::kEntry;
  settings.region = map.RequiredString("region");
  settings.failure_domain = map.RequiredString("failure_domain");
  settings.log = map.String("log", settings.log);
  settings.charts = map.String("charts", settings.charts);
  settings.listen = ReadListen(map.Map("listen"));
  settings.seeds = ReadSeeds(&map);
  settings.platform = ReadPlatform(map.Map("platform"));
  settings.shards = map.Int("shards", settings.shards, 1, 64);
  settings.drain_grace_ms =
      map.Int("drain_grace_ms", settings.drain_grace_ms, 0, 600000);
  settings.max_connections =
      map.Int("max_connections", settings.max_connections, 1, 1 << 20);
  settings.upstream = ReadUpstream(map.Map("upstream"));
  settings.worker = ReadWorker(map.Map("worker"));
  settings.fleet = ReadFleet(map.Map("fleet"));
  if (settings.fleet.IsSet())
    CheckFleet(settings, &map);
  else
    CheckRole(settings, &map);
  map.Finish();
  if (problems->size() > before)
    return (*problems)[before].code;
  return settings;
}

}  // namespace cuminjunction
