#include "testing/soak/fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include "base/strings.h"
#include "testing/support/free_port.h"

namespace cuminjunction {
namespace {

constexpr char kPolicy[] =
    R"({"version":3,"routes":[{"name":"plans","host":"shop.example",)"
    R"("prefix":"/plans/","service":"line","priority":0,"maxAttempts":2,)"
    R"("stretch":2,"targetDurationMs":1000}],)"
    R"("services":[{"name":"line","enforcesCapacity":true}],)"
    R"("limits":{"maxBodyBytes":65536}})";

}  // namespace

bool Disturbances::Overlap(absl::Time from, absl::Time to) const {
  return std::any_of(
      this->spans.begin(), this->spans.end(),
      [&](const Span& span) { return span.from <= to && from <= span.to; });
}

Fleet::Fleet(Record* record,
             uint64_t seed,
             double kept_ids,
             absl::Duration run_time)
    : record(record),
      random(seed + 3),
      kept_ids(kept_ids),
      run_time(run_time),
      links("links") {}

bool Fleet::Start(int entry_count, int agent_count, int later_agent_count) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "cuminjunction-soak-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr)
    return false;
  this->folder = pattern;
  this->links.Start();
  auto started = StoreStandin::Start();
  if (!started)
    return false;
  this->store = std::move(started.value());
  this->store->Put("op", "", "config", kPolicy);
  const int first_count = entry_count + agent_count;
  for (int index = 0; index < first_count + later_agent_count; ++index) {
    std::unique_ptr<Node> node = this->MakeNode(index, index >= entry_count);
    if (!node)
      return false;
    if (index >= first_count) {
      this->later_agents.push_back(std::move(node));
      continue;
    }
    this->StartNode(node.get());
    (node->agent ? this->agents : this->entries).push_back(node.get());
    this->nodes.push_back(std::move(node));
  }
  return true;
}

std::vector<Node*> Fleet::StartedNodes() const {
  std::vector<Node*> started;
  for (const auto* group : {&this->nodes, &this->later_agents}) {
    for (const auto& node : *group) {
      if (node->started)
        started.push_back(node.get());
    }
  }
  return started;
}

std::vector<Node*> Fleet::StartedAgents() const {
  std::vector<Node*> started = this->StartedNodes();
  std::erase_if(started, [](const Node* node) { return !node->agent; });
  return started;
}

std::unique_ptr<Node> Fleet::MakeNode(int index, bool agent) {
  auto node = std::make_unique<Node>();
  node->agent = agent;
  node->name = StrCat(agent ? "agent-" : "entry-", index);
  auto link = FaultProxy::Start(&this->links, this->store->Address());
  if (!link)
    return nullptr;
  node->store_link = std::move(link.value());
  if (agent) {
    node->domain = kAgentDomains.at(index % kAgentDomains.size());
    auto runner = RunnerStandin::Start(&this->ledger, this->run_time);
    if (!runner)
      return nullptr;
    node->runner = std::move(runner.value());
    if (std::uniform_real_distribution<double>(0, 1)(this->random) <
        this->kept_ids)
      node->runner->KeepId();
    auto runner_link = FaultProxy::Start(&this->links, node->runner->Address());
    if (!runner_link)
      return nullptr;
    node->runner_link = std::move(runner_link.value());
  }
  this->WriteSettings(node.get());
  return node;
}

void Fleet::WriteSettings(Node* node) {
  node->settings_file = this->folder + "/" + node->name + ".yaml";
  std::ofstream file(node->settings_file);
  file << "name: " << node->name
       << "\nrole: " << (node->agent ? "agent" : "entry")
       << "\nregion: region\nfailure_domain: " << node->domain
       << "\nlog: " << this->folder << "/" << node->name
       << ".log\nlisten:\n  host: 127.0.0.1\n  peer_port: " << FreePort()
       << "\nfleet:\n  store: \"" << ToString(node->store_link->Address())
       << "\"\n  max_lease_ms: 10000\n  evacuate_ms: " << kEvacuateMs << "\n";
  if (node->agent) {
    node->heartbeats = {"127.0.0.1", FreePort()};
    file << "  heartbeats: \"" << ToString(node->heartbeats)
         << "\"\n  runner: \"" << ToString(node->runner_link->Address())
         << "\"\n";
  } else {
    node->front = {"127.0.0.1", FreePort()};
    file << "  submissions: \"" << ToString(node->front)
         << "\"\n  ready: \"127.0.0.1:" << FreePort() << "\"\n";
  }
}

void Fleet::StartNode(Node* node) {
  if (!node->process.Start({ProgramFolder() + "/cuminjunctiond", "--settings",
                            node->settings_file}))
    this->record->Break(StrCat(node->name, " can't be started"));
  node->started = true;
}

void Fleet::End() {
  for (Node* node : this->StartedNodes()) {
    node->process.Signal(SIGKILL);
    node->process.Wait();
  }
  this->links.Stop();
}

}  // namespace cuminjunction
