#include "testing/soak/departures.h"

#include "absl/time/clock.h"
#include "base/http_client.h"
#include "base/strings.h"

namespace cuminjunction {
namespace {

// An acknowledgement counts if it arrives within this time.
constexpr absl::Duration kAckLimit = absl::Seconds(1);

// In one of so many departures the acknowledgements do not reach the runner, as
// where the agent is frozen for longer than that.
constexpr int kDeparturesPerLoss = 3;

// Some answers to calls that read its lists are lost, too, once the agent has
// had the call for this time.
constexpr absl::Duration kTimeToLostAnswers = absl::Milliseconds(600);
constexpr int kLostAnswers = 5;

// One of so many departures is announced again once the next incarnation is up,
// as by a call that a partition has held up.
constexpr int kDeparturesPerLateCall = 3;

// Tells the agent that this incarnation of the runner leaves. True if that is
// acknowledged.
bool Deregister(const Node& node, const std::string& id, int64_t born_ms) {
  HttpClient client;
  HttpRequest request;
  request.method = "POST";
  request.path = StrCat("/v1/instances/", id, "/deregister");
  request.body = StrCat(R"({"born":)", born_ms, "}");
  const auto answer = client.Send(StrCat("http://", ToString(node.heartbeats)),
                                  request, absl::Now() + kAckLimit);
  return answer && answer.value().status / 100 == 2;
}

}  // namespace

void Departures::Start() {
  for (Node* node : this->fleet->Agents()) {
    this->threads.emplace_back(
        [this, node, seed = this->random()] { this->Run(node, seed); });
  }
}

void Departures::Stop() {
  this->stop = true;
  for (std::thread& thread : this->threads)
    thread.join();
}

void Departures::Run(Node* node, uint64_t seed) {
  std::mt19937_64 dice(seed);
  // Draws of its own, so that each seed keeps its other departures.
  std::mt19937_64 late_dice(seed + 1);
  const auto between = [&dice](double least_s, double most_s) {
    return absl::Seconds(
        std::uniform_real_distribution<double>(least_s, most_s)(dice));
  };
  RunnerStandin* runner = node->runner.get();
  for (;;) {
    const absl::Time drain_at = absl::Now() + between(0.3, 5);
    const absl::Duration service = between(0.05, dice() % 2 == 0 ? 0.5 : 4);
    const absl::Duration patience = between(1, 5);
    const absl::Duration pause = between(0.1, 3);
    const bool loses_acks = dice() % kDeparturesPerLoss == 0;
    while (!this->stop && absl::Now() < drain_at)
      absl::SleepFor(absl::Milliseconds(20));
    if (this->stop)
      return;
    const int64_t born_ms = runner->BornMs();
    const std::string id = runner->Id();
    runner->Drain();
    absl::SleepFor(service);
    // It may have crashed meanwhile.
    if (runner->BornMs() != born_ms || runner->HeartbeatState() != "draining")
      continue;
    const absl::Time end = absl::Now() + patience;
    const absl::Time lose_at = absl::Now() + kTimeToLostAnswers;
    bool lost_answers = false;
    while ((!Deregister(*node, id, born_ms) || loses_acks) &&
           absl::Now() < end && runner->BornMs() == born_ms) {
      if (loses_acks && !lost_answers && absl::Now() >= lose_at) {
        lost_answers = true;
        runner->LoseHoldReplies(kLostAnswers);
      }
      absl::SleepFor(absl::Milliseconds(100));
    }
    runner->Leave(born_ms, pause);
    ++this->count;
    if (late_dice() % kDeparturesPerLateCall != 0)
      continue;
    while (!this->stop && runner->BornMs() == born_ms)
      absl::SleepFor(absl::Milliseconds(20));
    // Its first heartbeat.
    absl::SleepFor(absl::Milliseconds(300));
    Deregister(*node, id, born_ms);
  }
}

}  // namespace cuminjunction
