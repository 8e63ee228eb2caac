// The request path without membership, store and configuration: an entry or an
// agent as a process of its own, for benches that start and kill them.
//
//   request_path --role agent --name runner-0 --upstream-port 9000
//   request_path --role entry --failure-domain erie-a --shards 2
//
// Prints {"port": N} when it listens. An entry reads its members from standard
// input, one a line as NAME PORT FAILURE_DOMAIN INCARNATION, and applies them
// at each line "apply". SIGTERM ends the process after its requests in flight.

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <future>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "base/chart.h"
#include "base/event_thread.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/strings.h"
#include "request/agent_server.h"
#include "request/chooser_policy.h"
#include "request/entry_front.h"
#include "request/fair_agent_queue.h"

namespace cuminjunction {
namespace {

namespace options = boost::program_options;

struct Arguments {
  std::string role;
  std::string name = "entry";
  std::string failure_domain = "erie-a";
  std::string log;
  uint16_t port = 0;
  uint16_t upstream_port = 0;
  uint64_t incarnation = 1;
  uint32_t slots = 8;
  uint32_t shards = 2;
};

constexpr char kService[] = "s";
constexpr char kUpstream[] = "runner";

std::string RegionOf(const std::string& domain) {
  return domain.substr(0, domain.find('-'));
}

std::shared_ptr<const Document> MakeDocument() {
  auto document = std::make_shared<Document>();
  for (const char* name : {"growers", "gift-houses", "shops"})
    document->accounts[name].name = name;
  Service service;
  service.name = kService;
  service.account = "growers";
  service.upstream = kUpstream;
  service.idempotent_methods = {"GET"};
  document->services[kService] = service;
  return document;
}

// Waits for SIGTERM or SIGINT, which all threads block.
void WaitForSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
}

void PrintPort(uint16_t port) {
  std::printf("{\"port\":%d}\n", port);
  std::fflush(stdout);
}

class EntryProcess {
 public:
  explicit EntryProcess(const Arguments& arguments)
      : arguments(arguments), log(arguments.log) {}

  bool Start(const RequestChart* chart) {
    uint16_t port = this->arguments.port;
    for (uint32_t i = 0; i < this->arguments.shards; ++i) {
      this->threads.push_back(
          std::make_unique<EventThread>(StrCat("entry", i)));
      this->threads.back()->Start();
      this->shards.push_back(this->MakeShard(i, port, chart));
      const Result<uint16_t> listening = this->shards.back()->Start();
      if (!listening)
        return false;
      port = listening.value();
      this->shards.back()->SetDocument(MakeDocument());
    }
    PrintPort(port);
    return true;
  }

  // Applies members from standard input until its end.
  void ReadMembers() {
    std::vector<UpstreamInfo> members;
    std::string line;
    while (std::getline(std::cin, line)) {
      if (line == "apply") {
        this->Apply(members);
        members.clear();
        continue;
      }
      UpstreamInfo info;
      std::istringstream words(line);
      words >> info.name >> info.port >> info.failure_domain >>
          info.incarnation;
      info.host = "127.0.0.1";
      info.region = RegionOf(info.failure_domain);
      info.services = {kUpstream};
      members.push_back(info);
    }
  }

  void Drain() {
    for (const auto& shard : this->shards) {
      std::promise<void> drained;
      shard->Drain([&drained] { drained.set_value(); });
      drained.get_future().wait();
    }
    for (size_t i = 0; i < this->shards.size(); ++i) {
      this->shards[i]->Stop();
      this->threads[i]->Stop();
    }
  }

 private:
  std::unique_ptr<EntryFront> MakeShard(uint32_t number,
                                        uint16_t port,
                                        const RequestChart* chart) {
    EntryOptions entry;
    entry.process = this->arguments.name;
    entry.incarnation = this->arguments.incarnation;
    entry.shard = number;
    entry.http.port = port;
    ChooserPolicySettings policy;
    policy.chooser.failure_domain = this->arguments.failure_domain;
    policy.chooser.region = RegionOf(this->arguments.failure_domain);
    return std::make_unique<EntryFront>(
        this->threads.back().get(), entry, chart,
        std::make_unique<ChooserPolicy>(policy, number + 1), nullptr,
        &this->log, &this->metrics);
  }

  void Apply(const std::vector<UpstreamInfo>& members) {
    std::vector<UpstreamEndpoint> endpoints;
    endpoints.reserve(members.size());
    for (const UpstreamInfo& info : members)
      endpoints.push_back({info.name, info.host, info.port, info.services});
    for (const auto& shard : this->shards) {
      shard->SetUpstreams(endpoints);
      shard->WithPolicy([members](RoutePolicy* policy) {
        static_cast<ChooserPolicy*>(policy)->SetMembers(members, absl::Now());
      });
    }
  }

  const Arguments& arguments;
  Log log;
  Metrics metrics;
  std::vector<std::unique_ptr<EventThread>> threads;
  std::vector<std::unique_ptr<EntryFront>> shards;
};

int RunEntry(const Arguments& arguments) {
  std::vector<YamlProblem> problems;
  const Result<Chart> chart =
      LoadChart(CUMINJUNCTION_SOURCE_DIR "/charts/request.yaml", &problems);
  if (!chart)
    return 1;
  const Result<RequestChart> compiled = RequestChart::Compile(chart.value());
  EntryProcess entry(arguments);
  if (!compiled || !entry.Start(&compiled.value()))
    return 1;
  // Ends with the process: a read from standard input can't be interrupted.
  std::thread([&entry] { entry.ReadMembers(); }).detach();
  WaitForSignal();
  entry.Drain();
  std::_Exit(0);
}

int RunAgent(const Arguments& arguments) {
  Log log(arguments.log);
  Metrics metrics;
  EventThread thread("agent");
  thread.Start();
  AgentOptions agent;
  agent.process = arguments.name;
  agent.incarnation = arguments.incarnation;
  agent.port = arguments.port;
  agent.services = {kUpstream};
  agent.upstream.port = arguments.upstream_port;
  agent.probe_path = "/standin/health";
  agent.probe_interval_ms = 100;
  QueueSettings queue;
  queue.slots = arguments.slots;
  AgentServer server(&thread, agent, std::make_unique<FairAgentQueue>(queue),
                     &log, &metrics);
  const Result<uint16_t> port = server.Start();
  if (!port)
    return 1;
  PrintPort(port.value());
  WaitForSignal();
  std::promise<void> left;
  server.Leave([&left] { left.set_value(); });
  left.get_future().wait();
  server.Stop();
  thread.Stop();
  return 0;
}

options::options_description Describe(Arguments* arguments) {
  options::options_description description("Options of request_path");
  auto add = description.add_options();
  add("help", "show this text");
  add("role", options::value(&arguments->role)->required(), "entry or agent");
  add("name", options::value(&arguments->name), "name of the process");
  add("failure-domain", options::value(&arguments->failure_domain),
      "location of an entry");
  add("log", options::value(&arguments->log),
      "file of the log; none without it");
  add("port", options::value(&arguments->port),
      "port on 127.0.0.1; 0 lets the kernel choose");
  add("upstream-port", options::value(&arguments->upstream_port),
      "port of an agent's upstream");
  add("incarnation", options::value(&arguments->incarnation),
      "grows with each start");
  add("slots", options::value(&arguments->slots), "slots of the upstream");
  add("shards", options::value(&arguments->shards), "threads of an entry");
  return description;
}

int Main(int argc, char** argv) {
  Arguments arguments;
  const options::options_description description = Describe(&arguments);
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") > 0) {
      std::printf("%s", (std::stringstream() << description).str().c_str());
      return 0;
    }
    options::notify(values);
  } catch (const options::error& error) {
    std::fprintf(stderr, "request_path: %s\n", error.what());
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return arguments.role == "agent" ? RunAgent(arguments) : RunEntry(arguments);
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::Main(argc, argv);
}
