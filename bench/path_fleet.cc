#include "bench/path_fleet.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/time/clock.h"
#include "base/strings.h"

namespace cuminjunction {

namespace {

// All in one region: the link between regions is the subject of other benches.
// Exit code of the command-line tool for an invalid configuration.
constexpr int kRejected = 3;
constexpr const char* kHost = "127.0.0.1";
constexpr const char* kRegion = "erie";
constexpr const char* kDomains[] = {"erie-a", "erie-b"};

constexpr const char* kConfig = R"(
accounts:
  - {name: growers, quota: {cores: 0, memory_gib: 0, accelerators: 0}}
  - {name: gift-houses, quota: {cores: 0, memory_gib: 0, accelerators: 0}}
  - {name: shops, quota: {cores: 0, memory_gib: 0, accelerators: 0}}
services:
  - {name: s, account: growers, upstream: runner, idempotent_methods: [GET]}
)";

std::string DomainOf(size_t i) {
  return kDomains[i % std::size(kDomains)];
}

}  // namespace

PathFleet::PathFleet(PathFleetSettings settings) : settings(settings) {
  // A process that ended must not end the bench when it is written to.
  std::signal(SIGPIPE, SIG_IGN);
  std::string name =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  if (mkdtemp(name.data()) != nullptr)
    this->folder = name;
}

PathFleet::~PathFleet() {
  this->Stop();
  std::error_code ignored;
  if (!this->folder.empty())
    std::filesystem::remove_all(this->folder, ignored);
}

void PathFleet::Kill(Member* member) {
  member->process.Signal(SIGKILL);
  member->process.Wait();
}

std::string PathFleet::ExecutionsFile(size_t upstream) const {
  return StrCat(this->folder, "/executions-", upstream);
}

bool PathFleet::StartPlatform() {
  if (!this->platform.Start({StrCat(ProgramFolder(), "/platform_standin")}))
    return false;
  const int port = this->platform.ReadPort();
  this->platform_url = StrCat("http://", kHost, ":", port);
  return port != 0;
}

// Takes ports that were free a moment ago. All are held until the last one is
// known, so that they differ.
bool PathFleet::PickPorts() {
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::acceptor> held;
  const auto pick = [&]() -> uint16_t {
    held.emplace_back(context);
    boost::system::error_code error;
    held.back().open(boost::asio::ip::tcp::v4(), error);
    held.back().bind({boost::asio::ip::address_v4::loopback(), 0}, error);
    return error ? 0 : held.back().local_endpoint(error).port();
  };
  for (size_t i = 0; i < At(this->settings.entries); ++i) {
    const EntryPorts ports = {pick(), pick(), pick(), pick()};
    if (ports.peer == 0)
      return false;
    this->ports.push_back(ports);
  }
  return true;
}

bool PathFleet::StartUpstream(size_t i) {
  Member* upstream = this->upstreams[i].get();
  std::vector<std::string> argv = {StrCat(ProgramFolder(), "/upstream_standin"),
                                   "--port",
                                   StrCat(upstream->port),
                                   "--slots",
                                   StrCat(this->settings.slots),
                                   "--service-us",
                                   StrCat(this->settings.service_us)};
  if (this->settings.service_us > 0) {
    argv.push_back("--executions-file");
    argv.push_back(this->ExecutionsFile(i));
  }
  if (!upstream->process.Start(argv))
    return false;
  upstream->port = static_cast<uint16_t>(upstream->process.ReadPort());
  return upstream->port != 0;
}

nlohmann::json PathFleet::CommonSettings(const std::string& name,
                                         size_t i) const {
  nlohmann::json settings;
  settings["name"] = name;
  settings["region"] = kRegion;
  settings["failure_domain"] = DomainOf(i);
  settings["listen"]["host"] = kHost;
  settings["platform"]["table_url"] = this->platform_url;
  settings["charts"] = CUMINJUNCTION_SOURCE_DIR "/charts";
  settings["log"] = this->settings.log_decisions
                        ? StrCat(this->folder, "/", name, ".jsonl")
                        : "/dev/null";
  for (const EntryPorts& ports : this->ports)
    settings["seeds"].push_back(StrCat(kHost, ":", ports.membership));
  return settings;
}

// JSON is YAML, so the settings are written as such.
bool PathFleet::StartDaemon(Member* member, const nlohmann::json& settings) {
  const std::string path =
      StrCat(this->folder, "/", settings["name"].get<std::string>(), ".yaml");
  std::ofstream(path) << settings.dump(1);
  return member->process.Start(
      {StrCat(ProgramFolder(), "/cuminjunctiond"), "--settings", path});
}

bool PathFleet::StartAgent(size_t i) {
  nlohmann::json settings = this->CommonSettings(StrCat("runner-", i), i);
  settings["role"] = "agent";
  settings["upstream"]["announces"] = {"runner"};
  settings["upstream"]["url"] =
      StrCat("http://", kHost, ":", this->upstreams[i]->port);
  settings["upstream"]["probe_path"] = "/standin/health";
  settings["upstream"]["slots"] = this->settings.slots;
  return this->StartDaemon(this->agents[i].get(), settings);
}

bool PathFleet::StartEntry(size_t i) {
  const EntryPorts& ports = this->ports[i];
  nlohmann::json settings = this->CommonSettings(StrCat("entry-", i), i);
  settings["role"] = "entry";
  settings["shards"] = this->settings.shards;
  settings["listen"]["request_port"] = ports.request;
  settings["listen"]["admin_port"] = ports.admin;
  settings["listen"]["membership_port"] = ports.membership;
  settings["listen"]["peer_port"] = ports.peer;
  this->entries[i]->port = ports.request;
  return this->StartDaemon(this->entries[i].get(), settings);
}

bool PathFleet::ApplyConfig() const {
  const std::string path = StrCat(this->folder, "/config.yaml");
  std::ofstream(path) << kConfig;
  for (int i = 0; i < 50; ++i) {
    ChildProcess tool;
    // The entry may not listen yet.
    absl::SleepFor(absl::Milliseconds(200));
    if (!tool.Start({StrCat(ProgramFolder(), "/cuminjunction"), "--entry",
                     StrCat("http://", kHost, ":", this->ports[0].admin),
                     "--operator", "bench", "apply", path}))
      return false;
    tool.Wait();
    if (tool.ExitCode() == 0)
      return true;
    if (tool.ExitCode() == kRejected)
      return false;
  }
  return false;
}

bool PathFleet::Start() {
  if (!this->StartPlatform() || !this->PickPorts())
    return false;
  for (size_t i = 0; i < At(this->settings.entries); ++i) {
    this->entries.push_back(std::make_unique<Member>());
    if (!this->StartEntry(i))
      return false;
  }
  for (size_t i = 0; i < At(this->settings.upstreams); ++i) {
    this->upstreams.push_back(std::make_unique<Member>());
    this->agents.push_back(std::make_unique<Member>());
    if (!this->StartUpstream(i) || !this->StartAgent(i))
      return false;
  }
  return this->ApplyConfig() && this->AwaitReady();
}

// Sends a little load until all of it is answered.
bool PathFleet::AwaitReady() const {
  LoadSettings load;
  load.targets = this->EntryTargets();
  load.flows = {LoadFlow()};
  load.threads = 1;
  load.duration_ms = 200;
  load.connections = 8 * this->settings.entries;
  load.key_prefix = "ready";
  for (int i = 0; i < 40; ++i) {
    const LoadResult result = RunLoad(load);
    if (result.flows[0].Count(CallEnd::kAnswered) == result.flows[0].sent)
      return true;
    absl::SleepFor(absl::Milliseconds(100));
  }
  return false;
}

void PathFleet::Stop() {
  for (auto* members : {&this->entries, &this->agents, &this->upstreams}) {
    for (const auto& member : *members)
      Kill(member.get());
  }
  this->platform.Signal(SIGKILL);
  this->platform.Wait();
}

std::vector<LoadTarget> PathFleet::EntryTargets() const {
  std::vector<LoadTarget> targets;
  for (const auto& entry : this->entries)
    targets.push_back({kHost, entry->port});
  return targets;
}

std::vector<LoadTarget> PathFleet::UpstreamTargets() const {
  std::vector<LoadTarget> targets;
  for (const auto& upstream : this->upstreams)
    targets.push_back({kHost, upstream->port});
  return targets;
}

bool PathFleet::IsEntryReady(int i, HttpClient* client) const {
  HttpRequest request;
  request.method = "GET";
  request.path = "/readyz";
  const Result<HttpResponse> answer =
      client->Send(StrCat("http://", kHost, ":", this->ports[At(i)].admin),
                   request, absl::Now() + absl::Milliseconds(500));
  return answer && answer.value().status == 200;
}

void PathFleet::PinEntry(int i, void (*pin)(pid_t thread)) const {
  const std::string tasks =
      StrCat("/proc/", this->entries[At(i)]->process.Pid(), "/task");
  std::error_code ignored;
  for (const auto& task : std::filesystem::directory_iterator(tasks, ignored))
    pin(std::atoi(task.path().filename().c_str()));
}

double PathFleet::EntryProcessorSeconds(int i) const {
  std::ifstream file(
      StrCat("/proc/", this->entries[At(i)]->process.Pid(), "/stat"));
  std::string text;
  std::getline(file, text);
  // The name in parentheses may contain spaces; user and system time are the
  // 12th and 13th value after it.
  std::istringstream values(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int value = 0; value < 11; ++value)
    values >> skipped;
  double user = 0;
  double system = 0;
  values >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::vector<Execution> PathFleet::Executions() const {
  std::vector<Execution> executions;
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    std::ifstream file(this->ExecutionsFile(i));
    Execution execution;
    execution.upstream = static_cast<int>(i);
    while (file >> execution.key >> execution.at_us)
      executions.push_back(execution);
  }
  return executions;
}

}  // namespace cuminjunction
