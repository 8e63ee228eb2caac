// A randomized soak of entries and agents on the users' platform: the real
// programs run as processes of their own on loopback, against stand-ins of the
// store and the runners, while faults are injected from outside. It checks from
// what callers and runners see that nothing accepted is lost, nothing runs
// twice, nothing refused or cancelled runs, no final state changes and nothing
// starts in an evacuated failure domain. A submission may fail only if runners
// have crashed under one of its tasks.
//
//   soak --seed 7 --seconds 20 --entries 3 --agents 6
//
// Prints one JSON line and exits with 1 when a promise was broken; the logs of
// the processes then stay in the folder that it names. It ends only processes
// that it started.

#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "base/http_client.h"
#include "base/strings.h"
#include "testing/soak/clients.h"
#include "testing/soak/departures.h"
#include "testing/soak/evacuations.h"
#include "testing/soak/faults.h"
#include "testing/soak/fleet.h"
#include "testing/soak/record.h"

namespace cuminjunction {
namespace {

// How long accepted work may take to its end once all faults are over. It only
// keeps a broken system from waiting for ever: 20 times what a takeover, the
// longest grant and the work need together.
constexpr absl::Duration kEndLimit = absl::Seconds(240);

// How long after its acknowledged cancellation tasks of a submission may start:
// cancel_ms of the users' rules. It does not hold for orders that a runner
// carried out late, nor if the store or the agent, its links or its runner have
// been disturbed in the last kContact (contactMs of the rules).
constexpr absl::Duration kCancelLimit = absl::Seconds(3);
constexpr absl::Duration kContact = absl::Seconds(4);

struct Options {
  uint64_t seed = 1;
  double seconds = 20;
  int entries = 3;
  int agents = 6;
  int later_agents = 2;
  double kept_ids = 0;
  // Long enough that faults strike while tasks run.
  int run_ms = 600;
};

class Soak {
 public:
  explicit Soak(const Options& options)
      : options(options),
        random(options.seed),
        fleet(&this->record,
              options.seed,
              options.kept_ids,
              absl::Milliseconds(options.run_ms)),
        clients(&this->fleet, &this->record, options.seed),
        faults(&this->fleet, &this->record, &this->random, options.seed),
        departures(&this->fleet, options.seed),
        evacuations(&this->fleet, options.seed) {}

  bool Run();

 private:
  void AwaitEnd();
  // True while a runner has orders that it will carry out late, or runs tasks.
  bool AreOrdersPending();
  void CheckCancellations();
  // Checks that nothing has started in an evacuated domain later than
  // kEvacuateMs after the evacuation.
  void CheckEvacuations();
  // True if each entry was disturbed shortly before this time: nobody may have
  // reached the store then.
  bool WereEntriesDisturbed(absl::Time at);
  // True if a bound on the time holds for this start.
  bool WasInTouch(const RunStart& start);
  void Check();
  // Prints what was seen.
  void Report(const std::vector<std::string>& broken);

  Options options;
  std::mt19937_64 random;
  Record record;
  Fleet fleet;
  Clients clients;
  Faults faults;
  Departures departures;
  Evacuations evacuations;
};

bool Soak::AreOrdersPending() {
  const std::vector<Node*> agents = this->fleet.StartedAgents();
  return this->fleet.Ledger()->Running() > 0 ||
         std::any_of(agents.begin(), agents.end(), [](const Node* node) {
           return node->runner->KeptCalls() > 0;
         });
}

void Soak::AwaitEnd() {
  HttpClient client;
  const std::vector<Node*>& entries = this->fleet.Entries();
  std::uniform_int_distribution<size_t> number(0, entries.size() - 1);
  const absl::Time limit = absl::Now() + kEndLimit;
  for (;;) {
    const std::vector<std::string> open = this->record.Unfinished();
    if ((open.empty() && !this->AreOrdersPending()) || absl::Now() > limit)
      break;
    this->faults.RestartEnded();
    for (const std::string& id : open)
      this->clients.Ask(&client, id, *entries[number(this->random)]);
    absl::SleepFor(absl::Milliseconds(100));
  }
}

bool Soak::WasInTouch(const RunStart& start) {
  const absl::Time from = start.at - kContact;
  if (start.late || this->fleet.StoreDisturbances()->Overlap(from, start.at))
    return false;
  const std::vector<Node*> agents = this->fleet.StartedAgents();
  return std::none_of(agents.begin(), agents.end(), [&](const Node* node) {
    return node->runner.get() == start.runner &&
           node->disturbances.Overlap(from, start.at);
  });
}

void Soak::CheckCancellations() {
  const std::map<std::string, absl::Time> cancelled = this->record.Cancelled();
  for (const RunStart& start : this->fleet.Ledger()->StartList()) {
    const auto found =
        cancelled.find(start.task.substr(0, start.task.find('.')));
    if (found != cancelled.end() && start.at > found->second + kCancelLimit &&
        this->WasInTouch(start))
      this->record.Break(
          StrCat(start.task, " was started ",
                 absl::ToInt64Milliseconds(start.at - found->second),
                 " ms after its cancellation"));
  }
}

bool Soak::WereEntriesDisturbed(absl::Time at) {
  const std::vector<Node*>& entries = this->fleet.Entries();
  return std::all_of(entries.begin(), entries.end(), [&](const Node* entry) {
    return entry->disturbances.Overlap(at - kContact, at);
  });
}

void Soak::CheckEvacuations() {
  const std::vector<Node*> agents = this->fleet.StartedAgents();
  for (const RunStart& start : this->fleet.Ledger()->StartList()) {
    const auto node = std::find_if(
        agents.begin(), agents.end(),
        [&](const Node* agent) { return agent->runner.get() == start.runner; });
    if (node != agents.end() &&
        this->evacuations.Forbid((*node)->domain, start.at) &&
        this->WasInTouch(start) && !this->WereEntriesDisturbed(start.at))
      this->record.Break(StrCat(start.task, " was started on ", (*node)->name,
                                " in the evacuated ", (*node)->domain));
  }
}

void Soak::Check() {
  this->CheckCancellations();
  this->CheckEvacuations();
  for (const std::string& id : this->record.Unfinished())
    this->record.Break(StrCat(id, " was accepted and is not completed"));
  for (const std::string& violation : this->fleet.Ledger()->ViolationTexts())
    this->record.Break(violation);
  const std::set<std::string> started =
      this->fleet.Ledger()->StartedSubmissions();
  for (const std::string& id : this->record.Refused()) {
    if (started.contains(id))
      this->record.Break(StrCat(id, " was refused and ran"));
  }
  if (this->record.AcceptedCount() == 0)
    this->record.Break("nothing was accepted");
}

bool Soak::Run() {
  if (!this->fleet.Start(this->options.entries, this->options.agents,
                         this->options.later_agents)) {
    std::cerr << "soak: the stand-ins can't be started\n";
    return false;
  }
  this->clients.Start();
  absl::SleepFor(absl::Seconds(2));
  this->departures.Start();
  this->evacuations.Start();
  const absl::Time end = absl::Now() + absl::Seconds(this->options.seconds);
  while (absl::Now() < end) {
    this->faults.Step();
    absl::SleepFor(absl::Milliseconds(10));
  }
  this->departures.Stop();
  this->evacuations.Stop();
  this->faults.HealAll();
  this->clients.StopCalls();
  this->AwaitEnd();
  this->Check();
  this->clients.StopBeats();
  this->fleet.End();
  const std::vector<std::string> broken = this->record.Broken();
  this->Report(broken);
  return broken.empty();
}

void Soak::Report(const std::vector<std::string>& broken) {
  nlohmann::json line = {
      {"soak", "fleet"},
      {"seed", this->options.seed},
      {"faults", this->faults.Count()},
      {"departures", this->departures.Count()},
      {"evacuations", this->evacuations.Count()},
      {"submitted", this->clients.Submitted()},
      {"accepted", this->record.AcceptedCount()},
      {"refused", this->record.Refused().size()},
      {"starts", this->fleet.Ledger()->Starts()},
      {"tasks", this->record.AcceptedCount() * Clients::kTasks},
      {"cancelled", this->record.Cancelled().size()},
      {"given_up", this->record.FailedCount()},
      {"broken", broken}};
  if (broken.empty())
    std::filesystem::remove_all(this->fleet.Folder());
  else
    line["logs"] = this->fleet.Folder();
  std::cout << line.dump() << std::endl;
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  Options options;
  po::options_description flags("Options of soak");
  flags.add_options()("help", "this text")("seed", po::value(&options.seed),
                                           "of the schedule of faults")(
      "seconds", po::value(&options.seconds), "how long faults are injected")(
      "entries", po::value(&options.entries), "number of entries")(
      "agents", po::value(&options.agents), "number of agents")(
      "later-agents", po::value(&options.later_agents),
      "number of agents that are added while faults are injected")(
      "run-ms", po::value(&options.run_ms), "how long each task runs")(
      "kept-ids", po::value(&options.kept_ids),
      "share of runners that keep their ids across crashes");
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
