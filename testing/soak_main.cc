// A randomized soak of entries and agents on the users' platform: the real
// programs run as processes of their own on loopback, against stand-ins of the
// store and the runners, while faults are injected from outside. It checks from
// what callers and runners see that nothing accepted is lost, nothing runs
// twice, nothing refused runs and no final state changes. A submission may fail
// only if runners have crashed under one of its tasks.
//
//   soak --seed 7 --seconds 20 --entries 3 --agents 6
//
// Prints one JSON line and exits with 1 when a promise was broken; the logs of
// the processes then stay in the folder that it names. It ends only processes
// that it started.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "base/http_client.h"
#include "base/strings.h"
#include "testing/support/child_process.h"
#include "testing/support/fault_proxy.h"
#include "testing/support/runner_standin.h"
#include "testing/support/store_standin.h"

namespace cuminjunction {
namespace {

constexpr char kPolicy[] =
    R"({"version":3,"routes":[{"name":"plans","host":"shop.example",)"
    R"("prefix":"/plans/","service":"line","priority":0,"maxAttempts":2,)"
    R"("stretch":2,"targetDurationMs":1000}],)"
    R"("services":[{"name":"line","enforcesCapacity":true}],)"
    R"("limits":{"maxBodyBytes":65536}})";
constexpr char kBody[] =
    R"({"spec":"text","steps":[{"count":3,"cpu":500,"memMb":10,)"
    R"("estRuntimeMs":600},{"count":2,"cpu":500,"memMb":10,)"
    R"("estRuntimeMs":600,"after":[0]}]})";
constexpr int kTasks = 5;

// Long enough that faults strike while tasks run.
constexpr absl::Duration kRunTime = absl::Milliseconds(600);
constexpr absl::Duration kCallLimit = absl::Seconds(3);
// How long the platform waits before it starts a process again.
constexpr absl::Duration kRestartPause = absl::Milliseconds(500);

// The platform's rules let a task be given up after so many crashes.
constexpr int kCrashesToGiveUp = 2;

constexpr int kCallers = 3;
constexpr int kTries = 4;

// How long accepted work may take to its end once all faults are over. It only
// keeps a broken system from waiting for ever: 20 times what a takeover, the
// longest grant and the work need together.
constexpr absl::Duration kEndLimit = absl::Seconds(240);

struct Options {
  uint64_t seed = 1;
  double seconds = 20;
  int entries = 3;
  int agents = 6;
};

// A port on which a process can listen now. It is below the range from which
// the kernel takes the ports of outgoing connections, so that no connection has
// it when the process is started again, and is given out once, since its
// process listens only later.
uint16_t FreePort() {
  static std::set<uint16_t> given;
  static std::mt19937 dice(std::random_device{}());
  std::uniform_int_distribution<uint16_t> ports(15000, 32000);
  for (;;) {
    const uint16_t port = ports(dice);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free && given.insert(port).second)
      return port;
  }
}

// What callers have seen. Callable from any thread.
class Record {
 public:
  void Accept(const std::string& id) {
    absl::MutexLock lock(&this->mutex);
    this->accepted[id];
  }

  void Refuse(const std::string& id) {
    absl::MutexLock lock(&this->mutex);
    this->refused.insert(id);
  }

  void Break(const std::string& what) {
    absl::MutexLock lock(&this->mutex);
    this->broken.push_back(what);
  }

  // `crashes` is the most crashes of runners that one of its tasks has seen.
  void Show(const std::string& id, const std::string& state, int crashes) {
    absl::MutexLock lock(&this->mutex);
    std::string& known = this->accepted[id];
    if ((known == "completed" || known == "failed") && state != known)
      this->broken.push_back(StrCat(id, " went back to ", state));
    if (state == "cancelled" ||
        (state == "failed" && crashes < kCrashesToGiveUp))
      this->broken.push_back(StrCat(id, " is shown as ", state));
    known = state;
  }

  std::vector<std::string> Unfinished() const {
    absl::MutexLock lock(&this->mutex);
    std::vector<std::string> ids;
    for (const auto& [id, state] : this->accepted) {
      if (state != "completed" && state != "failed")
        ids.push_back(id);
    }
    return ids;
  }

  size_t AcceptedCount() const {
    absl::MutexLock lock(&this->mutex);
    return this->accepted.size();
  }
  size_t FailedCount() const {
    absl::MutexLock lock(&this->mutex);
    return static_cast<size_t>(
        std::count_if(this->accepted.begin(), this->accepted.end(),
                      [](const auto& one) { return one.second == "failed"; }));
  }
  std::set<std::string> Refused() const {
    absl::MutexLock lock(&this->mutex);
    return this->refused;
  }
  std::vector<std::string> Broken() const {
    absl::MutexLock lock(&this->mutex);
    return this->broken;
  }

 private:
  mutable absl::Mutex mutex;
  // The last state that was shown, by submission.
  std::map<std::string, std::string> accepted;
  std::set<std::string> refused;
  std::vector<std::string> broken;
};

HttpRequest MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers["Host"] = "shop.example";
  request.headers["X-Cuminjunction-Deadline-Ms"] = "3000";
  return request;
}

// A process of the system with the links that faults are injected into.
struct Node {
  std::string name;
  bool agent = false;
  std::string settings_file;
  Endpoint front;
  Endpoint heartbeats;
  std::unique_ptr<FaultProxy> store_link;
  std::unique_ptr<FaultProxy> runner_link;
  std::unique_ptr<RunnerStandin> runner;
  ChildProcess process;
  // A fault of the process itself lasts until then.
  absl::Time busy_until = absl::InfinitePast();
};

class Soak {
 public:
  explicit Soak(const Options& options)
      : options(options),
        random(options.seed),
        crash_random(options.seed + 1),
        links("links") {}

  bool Run();

 private:
  bool Prepare();
  void WriteSettings(Node* node);
  void StartNode(Node* node);
  void Beat();
  void Call(int number);
  void Submit(HttpClient* client, std::mt19937_64* dice, int number);
  void Ask(HttpClient* client, const std::string& id, const Node& entry);
  void InjectFault();
  void DisturbProcess(Node* node);
  void DisturbLink(FaultProxy* link);
  void DisturbStore();
  // Crashes the runner of one agent. Returns the pause until the next crash.
  absl::Duration CrashRunner();
  void After(absl::Duration pause, std::function<void()> action);
  void RunDue();
  void RestartEnded();
  void HealAll();
  void AwaitEnd();
  void Check();
  absl::Duration Between(double least_s, double most_s) {
    return absl::Seconds(
        std::uniform_real_distribution<double>(least_s, most_s)(this->random));
  }
  size_t Pick(size_t count) {
    return std::uniform_int_distribution<size_t>(0, count - 1)(this->random);
  }

  Options options;
  std::mt19937_64 random;
  // Of the crashes of runners, which come beside the schedule of other faults.
  std::mt19937_64 crash_random;
  std::string folder;
  EventThread links;
  std::unique_ptr<StoreStandin> store;
  RunLedger ledger;
  Record record;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Node*> entries;
  // Ends of faults, by the time when they are due.
  std::multimap<absl::Time, std::function<void()>> due;
  std::atomic<bool> stop_calls = false;
  std::atomic<bool> stop_beats = false;
  std::atomic<int> submitted = 0;
  int64_t sequence = 0;
  int faults = 0;
};

bool Soak::Prepare() {
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
  for (int index = 0; index < this->options.entries + this->options.agents;
       ++index) {
    auto node = std::make_unique<Node>();
    node->agent = index >= this->options.entries;
    node->name = StrCat(node->agent ? "agent-" : "entry-", index);
    auto link = FaultProxy::Start(&this->links, this->store->Address());
    if (!link)
      return false;
    node->store_link = std::move(link.value());
    if (node->agent) {
      auto runner = RunnerStandin::Start(&this->ledger, kRunTime);
      if (!runner)
        return false;
      node->runner = std::move(runner.value());
      auto runner_link =
          FaultProxy::Start(&this->links, node->runner->Address());
      if (!runner_link)
        return false;
      node->runner_link = std::move(runner_link.value());
    }
    this->WriteSettings(node.get());
    this->StartNode(node.get());
    if (!node->agent)
      this->entries.push_back(node.get());
    this->nodes.push_back(std::move(node));
  }
  return true;
}

void Soak::WriteSettings(Node* node) {
  node->settings_file = this->folder + "/" + node->name + ".yaml";
  std::ofstream file(node->settings_file);
  file << "name: " << node->name
       << "\nrole: " << (node->agent ? "agent" : "entry")
       << "\nregion: region\nfailure_domain: domain\nlog: " << this->folder
       << "/" << node->name
       << ".log\nlisten:\n  host: 127.0.0.1\n  peer_port: " << FreePort()
       << "\nfleet:\n  store: \"" << ToString(node->store_link->Address())
       << "\"\n  max_lease_ms: 10000\n";
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

void Soak::StartNode(Node* node) {
  if (!node->process.Start({ProgramFolder() + "/cuminjunctiond", "--settings",
                            node->settings_file}))
    this->record.Break(StrCat(node->name, " can't be started"));
}

// Sends the runners' heartbeats and lets their tasks end in time.
void Soak::Beat() {
  HttpClient client;
  absl::Time next = absl::InfinitePast();
  while (!this->stop_beats) {
    for (const auto& node : this->nodes) {
      if (node->agent)
        node->runner->Settle();
    }
    if (absl::Now() >= next) {
      next = absl::Now() + absl::Milliseconds(500);
      for (const auto& node : this->nodes) {
        if (!node->agent)
          continue;
        // An agent that is away misses the heartbeat.
        static_cast<void>(client.Send(
            StrCat("http://", ToString(node->heartbeats)),
            MakeRequest(
                "POST",
                StrCat("/v1/instances/", node->runner->Id(), "/heartbeat"),
                StrCat(R"({"service":"line","state":"ready","zone":"domain",)",
                       R"("capacity":{"cpu":4000,"memMb":1000,"gpu":0},)",
                       R"("labels":["a","r1"],"sequence":)", ++this->sequence,
                       R"(,"born":)", node->runner->BornMs(), "}")),
            absl::Now() + absl::Milliseconds(50)));
      }
    }
    absl::SleepFor(absl::Milliseconds(10));
  }
}

void Soak::Submit(HttpClient* client, std::mt19937_64* dice, int number) {
  char id[17];
  snprintf(id, sizeof(id), "%016lx",
           (this->options.seed << 40U) + static_cast<uint64_t>(number));
  bool certain = true;
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const Node& entry = *this->entries[(*dice)() % this->entries.size()];
    const auto answer =
        client->Send(StrCat("http://", ToString(entry.front)),
                     MakeRequest("POST", StrCat("/plans/", id), kBody),
                     absl::Now() + kCallLimit);
    const int status = answer ? answer.value().status : 0;
    if (status == 200) {
      this->record.Accept(id);
      return;
    }
    const bool refused = status == 503 || status == 429 || status == 404 ||
                         (!answer && answer.error() == HttpError::kNotSent);
    certain = certain && refused;
    absl::SleepFor(absl::Milliseconds(100 + (*dice)() % 400));
  }
  if (certain)
    this->record.Refuse(id);
}

void Soak::Ask(HttpClient* client, const std::string& id, const Node& entry) {
  const auto answer = client->Send(
      StrCat("http://", ToString(entry.front)),
      MakeRequest("GET", StrCat("/plans/", id), ""), absl::Now() + kCallLimit);
  if (!answer)
    return;
  if (answer.value().status == 410)
    this->record.Break(StrCat(id, " was accepted and is not known"));
  if (answer.value().status != 200)
    return;
  const auto body = nlohmann::json::parse(answer.value().body, nullptr, false);
  if (body.is_object())
    this->record.Show(id, body.value("state", ""), this->ledger.Crashes(id));
}

void Soak::Call(int number) {
  HttpClient client;
  std::mt19937_64 dice(this->options.seed * kCallers +
                       static_cast<uint64_t>(number));
  while (!this->stop_calls) {
    this->Submit(&client, &dice, ++this->submitted);
    const std::vector<std::string> open = this->record.Unfinished();
    if (!open.empty())
      this->Ask(&client, open[dice() % open.size()],
                *this->entries[dice() % this->entries.size()]);
    absl::SleepFor(absl::Milliseconds(50 + dice() % 150));
  }
}

void Soak::After(absl::Duration pause, std::function<void()> action) {
  this->due.emplace(absl::Now() + pause, std::move(action));
}

void Soak::RunDue() {
  while (!this->due.empty() && this->due.begin()->first <= absl::Now()) {
    const auto action = std::move(this->due.begin()->second);
    this->due.erase(this->due.begin());
    action();
  }
}

// The platform starts a process again that ends by itself. A process may fail
// to listen when a connection of another one has taken its port meanwhile; any
// other end is a fault.
void Soak::RestartEnded() {
  for (const auto& node : this->nodes) {
    if (node->busy_until > absl::Now() || !node->process.HasEnded())
      continue;
    this->record.Break(StrCat(node->name, " ended by itself with code ",
                              node->process.ExitCode()));
    node->busy_until = absl::Now() + kRestartPause;
    this->After(kRestartPause,
                [this, node = node.get()] { this->StartNode(node); });
  }
}

void Soak::DisturbProcess(Node* node) {
  if (node->busy_until > absl::Now())
    return;
  absl::Duration length = this->Between(0.2, 2);
  switch (this->Pick(3)) {
    case 0:
      node->process.Signal(SIGKILL);
      node->process.Wait();
      this->After(length, [this, node] { this->StartNode(node); });
      break;
    case 1:
      // A planned stop ends by itself; an entry takes some seconds for it.
      node->process.Signal(SIGTERM);
      length = absl::Seconds(7);
      this->After(length, [this, node] {
        if (!node->process.Wait())
          this->record.Break(StrCat(node->name, " does not stop"));
        this->StartNode(node);
      });
      break;
    default:
      node->process.Signal(SIGSTOP);
      length = this->Between(0.3, 9);
      this->After(length, [node] { node->process.Signal(SIGCONT); });
      break;
  }
  node->busy_until = absl::Now() + length + absl::Milliseconds(200);
}

void Soak::DisturbLink(FaultProxy* link) {
  static constexpr LinkFault link_faults[] = {
      LinkFault::kDelayed, LinkFault::kCutToServer, LinkFault::kCutToClient,
      LinkFault::kSilent, LinkFault::kReset};
  link->SetFault(link_faults[this->Pick(std::size(link_faults))]);
  this->After(this->Between(0.2, 6),
              [link] { link->SetFault(LinkFault::kNone); });
}

void Soak::DisturbStore() {
  switch (this->Pick(3)) {
    case 0:
      this->store->SetRefusing(true);
      this->After(this->Between(0.3, 6),
                  [this] { this->store->SetRefusing(false); });
      break;
    case 1:
      this->store->LoseReplies(static_cast<int>(1 + this->Pick(10)));
      break;
    default:
      this->store->Compact();
      break;
  }
}

void Soak::InjectFault() {
  ++this->faults;
  Node* node = this->nodes[this->Pick(this->nodes.size())].get();
  switch (this->Pick(6)) {
    case 0:
    case 1:
    case 2:
      this->DisturbProcess(node);
      break;
    case 3:
      this->DisturbLink(node->store_link.get());
      break;
    case 4:
      if (node->agent)
        this->DisturbLink(node->runner_link.get());
      break;
    default:
      this->DisturbStore();
      break;
  }
}

absl::Duration Soak::CrashRunner() {
  std::uniform_int_distribution<size_t> agents(0, this->options.agents - 1);
  const auto& node =
      this->nodes[this->entries.size() + agents(this->crash_random)];
  node->runner->Crash();
  // Its connections break, and it refuses others until it is back.
  FaultProxy* link = node->runner_link.get();
  link->SetFault(LinkFault::kReset);
  this->After(RunnerStandin::kTimeDown,
              [link] { link->SetFault(LinkFault::kNone); });
  return absl::Seconds(
      std::uniform_real_distribution<double>(0.5, 4)(this->crash_random));
}

void Soak::HealAll() {
  while (!this->due.empty()) {
    this->RunDue();
    this->RestartEnded();
    absl::SleepFor(absl::Milliseconds(20));
  }
}

void Soak::AwaitEnd() {
  HttpClient client;
  const absl::Time limit = absl::Now() + kEndLimit;
  for (;;) {
    const std::vector<std::string> open = this->record.Unfinished();
    if (open.empty() || absl::Now() > limit)
      break;
    this->RestartEnded();
    for (const std::string& id : open)
      this->Ask(&client, id, *this->entries[this->Pick(this->entries.size())]);
    absl::SleepFor(absl::Milliseconds(100));
  }
}

void Soak::Check() {
  for (const std::string& id : this->record.Unfinished())
    this->record.Break(StrCat(id, " was accepted and is not completed"));
  for (const std::string& violation : this->ledger.ViolationTexts())
    this->record.Break(violation);
  const std::set<std::string> started = this->ledger.StartedSubmissions();
  for (const std::string& id : this->record.Refused()) {
    if (started.contains(id))
      this->record.Break(StrCat(id, " was refused and ran"));
  }
  if (this->record.AcceptedCount() == 0)
    this->record.Break("nothing was accepted");
}

bool Soak::Run() {
  if (!this->Prepare()) {
    std::cerr << "soak: the stand-ins can't be started\n";
    return false;
  }
  std::thread beats([this] { this->Beat(); });
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int number = 0; number < kCallers; ++number)
    callers.emplace_back([this, number] { this->Call(number); });
  absl::SleepFor(absl::Seconds(2));
  const absl::Time end = absl::Now() + absl::Seconds(this->options.seconds);
  absl::Time next = absl::Now();
  absl::Time next_crash = absl::Now();
  while (absl::Now() < end) {
    this->RunDue();
    this->RestartEnded();
    if (absl::Now() >= next) {
      this->InjectFault();
      next = absl::Now() + this->Between(0.1, 1.2);
    }
    if (absl::Now() >= next_crash)
      next_crash = absl::Now() + this->CrashRunner();
    absl::SleepFor(absl::Milliseconds(10));
  }
  this->HealAll();
  this->stop_calls = true;
  for (std::thread& caller : callers)
    caller.join();
  this->AwaitEnd();
  this->Check();
  this->stop_beats = true;
  beats.join();
  for (const auto& node : this->nodes) {
    node->process.Signal(SIGKILL);
    node->process.Wait();
  }
  this->links.Stop();
  const std::vector<std::string> broken = this->record.Broken();
  nlohmann::json line = {{"soak", "fleet"},
                         {"seed", this->options.seed},
                         {"faults", this->faults},
                         {"submitted", this->submitted.load()},
                         {"accepted", this->record.AcceptedCount()},
                         {"refused", this->record.Refused().size()},
                         {"starts", this->ledger.Starts()},
                         {"tasks", this->record.AcceptedCount() * kTasks},
                         {"given_up", this->record.FailedCount()},
                         {"broken", broken}};
  if (broken.empty())
    std::filesystem::remove_all(this->folder);
  else
    line["logs"] = this->folder;
  std::cout << line.dump() << std::endl;
  return broken.empty();
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  Options options;
  po::options_description flags("Options of soak");
  flags.add_options()("help", "this text")("seed", po::value(&options.seed),
                                           "of the schedule of faults")(
      "seconds", po::value(&options.seconds), "how long faults are injected")(
      "entries", po::value(&options.entries), "number of entries")(
      "agents", po::value(&options.agents), "number of agents");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, flags), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "soak: " << error.what() << "\n";
    return 2;
  }
  if (values.contains("help")) {
    std::cout << flags;
    return 0;
  }
  signal(SIGPIPE, SIG_IGN);
  return Soak(options).Run() ? 0 : 1;
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::Main(argc, argv);
}
