#include "bench/fleet.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "absl/time/clock.h"
#include "base/strings.h"

namespace cuminjunction {

namespace {

// All in one region: the link between regions is the subject of other benches.
constexpr const char* kDomains[] = {"erie-a", "erie-b"};

std::string DomainOf(size_t i) {
  return kDomains[i % std::size(kDomains)];
}

}  // namespace

Fleet::Fleet(FleetSettings settings) : settings(settings) {
  // A process that ended must not end the bench when it is written to.
  std::signal(SIGPIPE, SIG_IGN);
  std::string name =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  if (mkdtemp(name.data()) != nullptr)
    this->folder = name;
}

Fleet::~Fleet() {
  this->Stop();
  std::error_code ignored;
  if (!this->folder.empty())
    std::filesystem::remove_all(this->folder, ignored);
}

void Fleet::Kill(Member* member) {
  member->process.Signal(SIGKILL);
  member->process.Wait();
}

// Starts the process on the port that it had before.
bool Fleet::Launch(Member* member, std::vector<std::string> argv) {
  member->incarnation += 1;
  argv.push_back("--port");
  argv.push_back(StrCat(member->port));
  if (!member->process.Start(argv))
    return false;
  member->port = static_cast<uint16_t>(member->process.ReadPort());
  return member->port != 0;
}

std::string Fleet::ExecutionsFile(size_t upstream) const {
  return StrCat(this->folder, "/executions-", upstream);
}

bool Fleet::StartUpstream(size_t i) {
  return Launch(this->upstreams[i].get(),
                {StrCat(ProgramFolder(), "/upstream_standin"), "--slots",
                 StrCat(this->settings.slots), "--service-us",
                 StrCat(this->settings.service_us), "--executions-file",
                 this->settings.service_us > 0 ? this->ExecutionsFile(i) : ""});
}

bool Fleet::StartAgent(size_t i) {
  return Launch(
      this->agents[i].get(),
      {StrCat(ProgramFolder(), "/request_path"), "--role", "agent", "--name",
       StrCat("runner-", i), "--slots", StrCat(this->settings.slots),
       "--upstream-port", StrCat(this->upstreams[i]->port), "--incarnation",
       StrCat(this->agents[i]->incarnation + 1)});
}

bool Fleet::StartEntry(size_t i) {
  Member* entry = this->entries[i].get();
  std::vector<std::string> argv = {StrCat(ProgramFolder(), "/request_path"),
                                   "--role",
                                   "entry",
                                   "--name",
                                   StrCat("entry-", i),
                                   "--failure-domain",
                                   DomainOf(i),
                                   "--shards",
                                   StrCat(this->settings.shards),
                                   "--incarnation",
                                   StrCat(entry->incarnation + 1)};
  if (this->settings.log_decisions) {
    argv.push_back("--log");
    argv.push_back(StrCat(this->folder, "/entry-", i, ".log"));
  }
  if (!Launch(entry, argv))
    return false;
  this->SendMembers(*entry);
  return true;
}

void Fleet::SendMembers(const Member& entry) const {
  std::string text;
  for (size_t i = 0; i < this->agents.size(); ++i) {
    StrAppend(&text, "runner-", i, " ", this->agents[i]->port, " ", DomainOf(i),
              " ", this->agents[i]->incarnation, "\n");
  }
  entry.process.Write(text + "apply\n");
}

bool Fleet::RestartAgent(int i) {
  if (!this->StartAgent(At(i)))
    return false;
  for (const auto& entry : this->entries) {
    if (entry->process.IsRunning())
      this->SendMembers(*entry);
  }
  return true;
}

bool Fleet::Start() {
  for (size_t i = 0; i < At(this->settings.upstreams); ++i) {
    this->upstreams.push_back(std::make_unique<Member>());
    this->agents.push_back(std::make_unique<Member>());
    if (!this->StartUpstream(i) || !this->StartAgent(i))
      return false;
  }
  for (size_t i = 0; i < At(this->settings.entries); ++i) {
    this->entries.push_back(std::make_unique<Member>());
    if (!this->StartEntry(i))
      return false;
  }
  return this->AwaitReady();
}

// Sends a little load until all of it is answered.
bool Fleet::AwaitReady() const {
  LoadSettings load;
  load.targets = this->EntryTargets();
  load.flows = {LoadFlow()};
  load.threads = 1;
  load.duration_ms = 200;
  load.connections = 8 * this->settings.entries;
  load.key_prefix = "ready";
  for (int i = 0; i < 20; ++i) {
    const LoadResult result = RunLoad(load);
    if (result.flows[0].Count(CallEnd::kAnswered) == result.flows[0].sent)
      return true;
    absl::SleepFor(absl::Milliseconds(100));
  }
  return false;
}

void Fleet::Stop() {
  for (auto* members : {&this->entries, &this->agents, &this->upstreams}) {
    for (const auto& member : *members)
      Kill(member.get());
  }
}

std::vector<LoadTarget> Fleet::EntryTargets() const {
  std::vector<LoadTarget> targets;
  for (const auto& entry : this->entries)
    targets.push_back({"127.0.0.1", entry->port});
  return targets;
}

std::vector<LoadTarget> Fleet::UpstreamTargets() const {
  std::vector<LoadTarget> targets;
  for (const auto& upstream : this->upstreams)
    targets.push_back({"127.0.0.1", upstream->port});
  return targets;
}

void Fleet::PinEntry(int i, void (*pin)(pid_t thread)) const {
  const std::string tasks =
      StrCat("/proc/", this->entries[At(i)]->process.Pid(), "/task");
  std::error_code ignored;
  for (const auto& task : std::filesystem::directory_iterator(tasks, ignored))
    pin(std::atoi(task.path().filename().c_str()));
}

std::vector<Execution> Fleet::Executions() const {
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
