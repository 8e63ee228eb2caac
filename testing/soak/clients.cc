#include "testing/soak/clients.h"

#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/time/clock.h"
#include "base/strings.h"

namespace cuminjunction {
namespace {

constexpr char kBody[] =
    R"({"spec":"text","steps":[{"count":3,"cpu":500,"memMb":10,)"
    R"("estRuntimeMs":600},{"count":2,"cpu":500,"memMb":10,)"
    R"("estRuntimeMs":600,"after":[0]}]})";

constexpr absl::Duration kCallLimit = absl::Seconds(3);

constexpr int kCallers = 3;
constexpr int kTries = 4;

// One of so many times a caller waits briefly, tries once and gives up.
constexpr int kCallsPerGiveUp = 4;
constexpr absl::Duration kShortCallLimit = absl::Milliseconds(800);

// One of so many times a caller cancels the newest submission.
constexpr int kCallsPerCancel = 6;

HttpRequest MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& body,
                        absl::Duration limit = kCallLimit) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers["Host"] = "shop.example";
  request.headers["X-Cuminjunction-Deadline-Ms"] =
      StrCat(absl::ToInt64Milliseconds(limit));
  return request;
}

}  // namespace

void Clients::Start() {
  this->beats = std::thread([this] { this->Beat(); });
  this->callers.reserve(kCallers);
  for (int number = 0; number < kCallers; ++number)
    this->callers.emplace_back([this, number] { this->Call(number); });
}

void Clients::StopCalls() {
  this->stop_calls = true;
  for (std::thread& caller : this->callers)
    caller.join();
}

void Clients::StopBeats() {
  this->stop_beats = true;
  this->beats.join();
}

void Clients::SendHeartbeat(HttpClient* client, const Node& node) {
  if (node.runner->HasLeft())
    return;
  // An agent that is away misses the heartbeat.
  static_cast<void>(client->Send(
      StrCat("http://", ToString(node.heartbeats)),
      MakeRequest(
          "POST", StrCat("/v1/instances/", node.runner->Id(), "/heartbeat"),
          StrCat(R"({"service":"line","zone":")", node.domain, R"(","state":")",
                 node.runner->HeartbeatState(), R"(",)",
                 R"("capacity":{"cpu":4000,"memMb":1000,"gpu":0},)",
                 R"("labels":["a","r1"],"sequence":)", ++this->sequence,
                 R"(,"born":)", node.runner->BornMs(), "}")),
      absl::Now() + absl::Milliseconds(50)));
}

void Clients::Beat() {
  HttpClient client;
  std::map<const Node*, std::pair<int64_t, std::string>> told;
  absl::Time next = absl::InfinitePast();
  while (!this->stop_beats) {
    const bool all = absl::Now() >= next;
    if (all)
      next = absl::Now() + absl::Milliseconds(500);
    for (const Node* node : this->fleet->StartedAgents()) {
      node->runner->Settle();
      const std::pair<int64_t, std::string> present = {
          node->runner->BornMs(), node->runner->HeartbeatState()};
      if (std::exchange(told[node], present) != present || all)
        this->SendHeartbeat(&client, *node);
    }
    absl::SleepFor(absl::Milliseconds(10));
  }
}

void Clients::Submit(HttpClient* client, std::mt19937_64* dice, int number) {
  char id[17];
  snprintf(id, sizeof(id), "%016lx",
           (this->seed << 40U) + static_cast<uint64_t>(number));
  bool certain = true;
  const bool impatient = (*dice)() % kCallsPerGiveUp == 0;
  const absl::Duration limit = impatient ? kShortCallLimit : kCallLimit;
  const int tries = impatient ? 1 : kTries;
  for (int attempt = 0; attempt < tries; ++attempt) {
    const Node& entry =
        *this->fleet->Entries()[(*dice)() % this->fleet->Entries().size()];
    const auto answer =
        client->Send(StrCat("http://", ToString(entry.front)),
                     MakeRequest("POST", StrCat("/plans/", id), kBody, limit),
                     absl::Now() + limit);
    const int status = answer ? answer.value().status : 0;
    if (status == 200) {
      this->record->Accept(id);
      return;
    }
    const bool refused = status == 503 || status == 429 || status == 404 ||
                         (!answer && answer.error() == HttpError::kNotSent);
    certain = certain && refused;
    absl::SleepFor(absl::Milliseconds(100 + (*dice)() % 400));
  }
  if (certain)
    this->record->Refuse(id);
  else
    this->Cancel(client, dice, id);
}

void Clients::Ask(HttpClient* client,
                  const std::string& id,
                  const Node& entry) {
  const auto answer = client->Send(
      StrCat("http://", ToString(entry.front)),
      MakeRequest("GET", StrCat("/plans/", id), ""), absl::Now() + kCallLimit);
  if (!answer)
    return;
  if (answer.value().status == 410 && !this->record->IsCancelSent(id))
    this->record->Break(StrCat(id, " was accepted and is not known"));
  if (answer.value().status != 200)
    return;
  const auto body = nlohmann::json::parse(answer.value().body, nullptr, false);
  if (body.is_object())
    this->record->Show(id, body.value("state", ""),
                       this->fleet->Ledger()->Crashes(id));
}

void Clients::Cancel(HttpClient* client,
                     std::mt19937_64* dice,
                     const std::string& id) {
  const bool accepted = this->record->IsAccepted(id);
  this->record->SendCancel(id);
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const Node& entry =
        *this->fleet->Entries()[(*dice)() % this->fleet->Entries().size()];
    const auto answer =
        client->Send(StrCat("http://", ToString(entry.front)),
                     MakeRequest("DELETE", StrCat("/plans/", id), ""),
                     absl::Now() + kCallLimit);
    const int status = answer ? answer.value().status : 0;
    if (status == 410 && accepted)
      this->record->Break(StrCat(id, " was accepted and can't be cancelled"));
    if (status / 100 == 2 || status == 410) {
      this->record->AcknowledgeCancel(id, absl::Now());
      return;
    }
    absl::SleepFor(absl::Milliseconds(100 + (*dice)() % 400));
  }
}

void Clients::Call(int number) {
  HttpClient client;
  std::mt19937_64 dice(this->seed * kCallers + static_cast<uint64_t>(number));
  while (!this->stop_calls) {
    this->Submit(&client, &dice, ++this->submitted);
    const std::vector<std::string> open = this->record->Unfinished();
    if (!open.empty()) {
      const std::string& id = open[dice() % open.size()];
      this->Ask(
          &client, id,
          *this->fleet->Entries()[dice() % this->fleet->Entries().size()]);
      if (dice() % kCallsPerCancel == 0)
        this->Cancel(&client, &dice, open.back());
    }
    absl::SleepFor(absl::Milliseconds(50 + dice() % 150));
  }
}

}  // namespace cuminjunction
