// Request traces: the attempts of an entry, the queue and the tombstones of an
// agent, and the choice of an upstream. Inputs:
//
//   open {request, idempotent}; send, give_up {request};
//   refuse, break, answer {request, attempt}
//   arrive {request, attempt, account, urgency, deadline_ms}; finish {request,
//     attempt, service_ms}; cancel {request, attempt, deadline_ms}; pop
//   flood {first, count, account, urgency, deadline_ms}
//   serve {until_ms, service_ms}: the upstream takes this long for each request
//   upstreams {list: [[name, failure domain, region, state]]}
//   choose {account, urgency, exclude}

#include <map>
#include <random>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "base/strings.h"
#include "request/attempts.h"
#include "request/chooser.h"
#include "request/fair_queue.h"
#include "request/tombstones.h"
#include "testing/support/replay.h"

namespace cuminjunction {

namespace {

using nlohmann::json;

constexpr const char* kService = "service";
constexpr uint32_t kSlots = 8;

RequestChart LoadRequestChart() {
  std::vector<YamlProblem> problems;
  const std::string path =
      StrCat(CUMINJUNCTION_SOURCE_DIR, "/charts/request.yaml");
  return RequestChart::Compile(LoadChart(path, &problems).value()).value();
}

Urgency UrgencyOf(const json& input) {
  const std::string name = input.at("urgency").get<std::string>();
  if (name == "urgent")
    return Urgency::kUrgent;
  return name == "normal" ? Urgency::kNormal : Urgency::kBatch;
}

RequestClass ClassOf(const json& input) {
  return {input.at("account").get<std::string>(), UrgencyOf(input)};
}

AttemptId IdOf(const json& input) {
  return {{1, input.at("request").get<uint64_t>()},
          input.at("attempt").get<uint32_t>()};
}

absl::Time TimeOf(const json& input, const char* name) {
  return absl::UnixEpoch() + absl::Milliseconds(input.at(name).get<int64_t>());
}

std::string ToText(const AttemptId& id) {
  return StrCat(id.request.number, "/", id.attempt);
}

const char* ToText(Tombstones::Verdict verdict) {
  switch (verdict) {
    case Tombstones::Verdict::kNew:
      return "new";
    case Tombstones::Verdict::kDuplicate:
      return "duplicate";
    case Tombstones::Verdict::kBlocked:
      return "buried";
    case Tombstones::Verdict::kExpired:
      return "late";
  }
  return "";
}

UpstreamState StateOf(const std::string& name) {
  if (name == "unreachable")
    return UpstreamState::kUnreachable;
  if (name == "leaving")
    return UpstreamState::kLeaving;
  if (name == "down")
    return UpstreamState::kDown;
  return name == "suspect" ? UpstreamState::kSuspect : UpstreamState::kReady;
}

class RequestTarget : public TraceTarget {
 public:
  Result<TraceOutcome> Step(const json& input, absl::Time now) override {
    const std::string op = input.at("op").get<std::string>();
    if (op == "upstreams")
      return this->SetUpstreams(input, now);
    if (op == "choose")
      return this->Choose(input, now);
    if (op == "arrive" || op == "flood" || op == "serve" || op == "pop" ||
        op == "finish" || op == "cancel")
      return this->StepAgent(op, input, now);
    return this->StepEntry(op, input);
  }

 private:
  Result<TraceOutcome> StepEntry(const std::string& op, const json& input) {
    const uint64_t number = input.at("request").get<uint64_t>();
    if (op == "open") {
      this->requests.try_emplace(number, &this->chart,
                                 input.at("idempotent").get<bool>());
      return json::object();
    }
    const auto found = this->requests.find(number);
    if (found == this->requests.end())
      return ReplayError::kBadInput;
    RequestAttempts* request = &found->second;
    if (op == "send") {
      const Result<uint32_t> sent = request->StartAttempt();
      return sent ? json{{"attempt", sent.value()}}
                  : json{{"error", sent.error().message()}};
    }
    if (op == "give_up")
      return json{{"outcome", std::string(ToString(request->GiveUp()))}};
    const uint32_t attempt = input.at("attempt").get<uint32_t>();
    if (op == "refuse")
      return json{{"taken", request->RecordRefused(attempt)}};
    if (op == "break")
      return json{{"taken", request->RecordBroken(attempt)}};
    if (op == "answer")
      return json{{"taken", request->RecordAnswered(attempt)}};
    return ReplayError::kBadInput;
  }

  Result<TraceOutcome> StepAgent(const std::string& op,
                                 const json& input,
                                 absl::Time now) {
    if (op == "arrive")
      return this->Arrive(IdOf(input), input, now);
    if (op == "flood")
      return this->Flood(input, now);
    if (op == "serve")
      return this->Serve(input, now);
    if (op == "pop")
      return this->Pop(now);
    if (op == "cancel") {
      const bool removed = this->queue.Remove(IdOf(input));
      this->tombstones.Block(IdOf(input), TimeOf(input, "deadline_ms"), now);
      return json{{"removed", removed}};
    }
    this->queue.ReleaseSlot(
        IdOf(input), absl::Milliseconds(input.at("service_ms").get<int64_t>()),
        now);
    return json::object();
  }

  json Arrive(const AttemptId& id, const json& input, absl::Time now) {
    const RequestClass request_class = ClassOf(input);
    const absl::Time deadline = TimeOf(input, "deadline_ms");
    const Tombstones::Verdict verdict =
        this->tombstones.Admit(id, deadline, now);
    if (verdict != Tombstones::Verdict::kNew)
      return json{{"verdict", ToText(verdict)}};
    const Refusal refusal = this->queue.Admit(request_class, 1, deadline, now);
    if (refusal == Refusal::kNone) {
      this->queue.Push(id, request_class, 1, deadline, now);
      this->classes[id] = request_class;
    } else {
      this->tombstones.Block(id, deadline, now);
    }
    return json{{"verdict", ToText(verdict)},
                {"refusal", std::string(ToString(refusal))}};
  }

  json Flood(const json& input, absl::Time now) {
    const uint64_t first = input.at("first").get<uint64_t>();
    const uint64_t count = input.at("count").get<uint64_t>();
    uint64_t admitted = 0;
    for (uint64_t i = 0; i < count; ++i) {
      const json outcome = this->Arrive({{1, first + i}, 1}, input, now);
      if (outcome.value("refusal", "") == ToString(Refusal::kNone))
        ++admitted;
    }
    return json{{"all_admitted", admitted == count},
                {"admitted", admitted},
                {"refused", count - admitted}};
  }

  json Pop(absl::Time now) {
    json started = json::array();
    json refused = json::array();
    while (const std::optional<QueueExit> exit = this->queue.Pop(now)) {
      const bool starts = exit->refusal == Refusal::kNone;
      (starts ? started : refused).push_back(ToText(exit->id));
      if (!starts)
        this->tombstones.Block(exit->id, now, now);
    }
    return json{{"started", started}, {"refused", refused}};
  }

  // Starts and ends requests until a time. Counts the starts by class.
  json Serve(const json& input, absl::Time now) {
    const absl::Time until = TimeOf(input, "until_ms");
    const absl::Duration service =
        absl::Milliseconds(input.at("service_ms").get<int64_t>());
    json started = json::object();
    std::multimap<absl::Time, AttemptId> ends;
    for (;;) {
      while (const std::optional<QueueExit> exit = this->queue.Pop(now)) {
        if (exit->refusal != Refusal::kNone)
          continue;
        const RequestClass& of = this->classes[exit->id];
        const std::string name = StrCat(of.account, "/", ToString(of.urgency));
        started[name] = started.value(name, 0) + 1;
        ends.emplace(now + service, exit->id);
      }
      if (ends.empty() || ends.begin()->first > until)
        return json{{"started", started}, {"running", ends.size()}};
      now = ends.begin()->first;
      this->queue.ReleaseSlot(ends.begin()->second, service, now);
      ends.erase(ends.begin());
    }
  }

  json SetUpstreams(const json& input, absl::Time now) {
    std::vector<UpstreamInfo> upstreams;
    for (const json& item : input.at("list")) {
      UpstreamInfo info;
      info.name = item.at(0).get<std::string>();
      info.failure_domain = item.at(1).get<std::string>();
      info.region = item.at(2).get<std::string>();
      info.state = StateOf(item.at(3).get<std::string>());
      info.services = {kService};
      info.incarnation = 1;
      upstreams.push_back(info);
    }
    if (!this->chooser) {
      // The entry is where the first upstream is.
      this->chooser.emplace(
          ChooserSettings{.failure_domain = upstreams.at(0).failure_domain,
                          .region = upstreams.at(0).region},
          nullptr);
    }
    this->chooser->SetUpstreams(upstreams, now);
    this->places.clear();
    for (const UpstreamInfo& info : upstreams)
      this->places[info.name] = info.region;
    return json::object();
  }

  Result<TraceOutcome> Choose(const json& input, absl::Time now) {
    if (!this->chooser)
      return ReplayError::kBadInput;
    const std::vector<std::string> excluded =
        input.value("exclude", std::vector<std::string>());
    const Result<UpstreamChoice> choice = this->chooser->Choose(
        kService, ClassOf(input), now, excluded, this->random);
    if (!choice)
      return json{{"error", choice.error().message()}};
    return json{{"upstream", choice.value().name},
                {"region", this->places[choice.value().name]}};
  }

  const RequestChart chart = LoadRequestChart();
  std::map<uint64_t, RequestAttempts> requests;
  FairQueue queue{QueueSettings{.slots = kSlots}};
  Tombstones tombstones;
  absl::flat_hash_map<AttemptId, RequestClass> classes;
  std::optional<UpstreamChooser> chooser;
  std::map<std::string, std::string> places;
  std::mt19937_64 random{1};
};

}  // namespace

std::unique_ptr<TraceTarget> MakeRequestTarget() {
  return std::make_unique<RequestTarget>();
}

}  // namespace cuminjunction
