#ifndef BENCH_ROUTE_SIM_H_
#define BENCH_ROUTE_SIM_H_

// Discrete-event driver of the routing decisions.
//
// Entries choose upstreams and agents queue with the real decision code; the
// network, the upstreams and the callers are events in virtual time:
//
//   SimSetup setup;
//   setup.flows = {{{"growers", Urgency::kUrgent}, 2000, 100}};
//   RouteSim<UpstreamChooser, FairQueue> sim(setup);
//   SimResult result = sim.Run();
//   result.flows[0].Quantile(0.99);
//
// Callers are open loop: they send at their rate whatever happens. The same
// seed gives the same arrivals and service times to each policy.

#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "bench/sim_setup.h"
#include "request/budget.h"
#include "request/chooser.h"
#include "request/fair_queue.h"
#include "request/types.h"

namespace cuminjunction {

// Constructs a chooser of an entry. Baselines need neither settings nor link.
template <Chooser C>
C MakeChooser(const ChooserSettings& settings, LinkBudget* link) {
  if constexpr (std::is_default_constructible_v<C>)
    return C();
  else
    return C(settings, link);
}

template <Chooser C, AdmissionQueue Q>
class RouteSim {
 public:
  explicit RouteSim(const SimSetup& setup)
      : setup(setup), upstreams(SimUpstreams()), random(setup.seed) {
    for (const UpstreamInfo& info : this->upstreams)
      this->agents.push_back(std::make_unique<Agent>(setup.queue, info));
    for (const std::string& domain : setup.entry_domains)
      this->entries.push_back(
          std::make_unique<Entry>(domain, setup, this->upstreams));
    this->result.flows.resize(setup.flows.size());
  }

  SimResult Run() {
    for (size_t flow = 0; flow < this->setup.flows.size(); ++flow)
      this->ScheduleArrival(flow, this->Now());
    while (!this->events.empty() && this->events.top().at <= this->EndTime()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      this->Handle(event);
    }
    return std::move(this->result);
  }

 private:
  enum class Kind : uint8_t {
    kArrival,
    kSubmit,
    kCancel,
    kFinish,
    kAnswer,
    kRefused,
    kHedge,
    kDeadline,
  };

  // `id` is a flow for kArrival, a request for kHedge and kDeadline, and an
  // attempt otherwise.
  struct Event {
    absl::Time at;
    uint64_t order = 0;
    Kind kind = Kind::kArrival;
    size_t id = 0;
    Refusal refusal = Refusal::kNone;
    AgentLoad load;

    bool operator>(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  struct Request {
    size_t flow = 0;
    size_t entry = 0;
    absl::Time arrived;
    absl::Time deadline;
    bool done = false;
    std::vector<size_t> open;
    std::vector<std::string> tried;
  };

  struct Attempt {
    size_t request = 0;
    size_t agent = 0;
    absl::Time sent;
    absl::Time started;
  };

  struct Agent {
    Agent(const QueueSettings& settings, const UpstreamInfo& info)
        : queue(settings), info(info) {}
    Q queue;
    UpstreamInfo info;
  };

  struct Entry {
    Entry(const std::string& domain,
          const SimSetup& setup,
          const std::vector<UpstreamInfo>& upstreams)
        : domain(domain),
          region(SimRegion(domain)),
          link(kLinkBytesPerSecond /
               static_cast<int64_t>(setup.entry_domains.size())),
          chooser(MakeChooser<C>({this->domain, this->region, 1000, 24000},
                                 &this->link)) {
      this->chooser.SetUpstreams(upstreams, absl::UnixEpoch());
    }
    std::string domain;
    std::string region;
    LinkBudget link;
    C chooser;
    RetryBudget retries;
    HedgeBudget hedges;
    HedgeTimer hedge_timer;
  };

  absl::Time Now() const { return this->now; }

  absl::Time EndTime() const {
    return absl::UnixEpoch() + absl::Milliseconds(this->setup.end_ms);
  }

  bool IsMeasured(const Request& request) const {
    return request.arrived >=
               absl::UnixEpoch() + absl::Milliseconds(this->setup.warm_up_ms) &&
           request.deadline < this->EndTime();
  }

  void Schedule(absl::Time at,
                Kind kind,
                size_t id,
                Refusal refusal = Refusal::kNone,
                const AgentLoad& load = {}) {
    this->events.push({at, ++this->order, kind, id, refusal, load});
  }

  void ScheduleArrival(size_t flow, absl::Time after) {
    std::exponential_distribution<double> gap(
        this->setup.flows[flow].per_second);
    this->Schedule(after + absl::Seconds(gap(this->random)), Kind::kArrival,
                   flow);
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Kind::kArrival:
        return this->Arrive(event.id);
      case Kind::kSubmit:
        return this->Submit(event.id);
      case Kind::kCancel:
        this->AgentOf(event.id).queue.Remove(MakeId(event.id));
        return;
      case Kind::kFinish:
        return this->Finish(event.id);
      case Kind::kAnswer:
        return this->Answer(event);
      case Kind::kRefused:
        return this->Refuse(event);
      case Kind::kHedge:
        return this->Hedge(event.id);
      case Kind::kDeadline:
        return this->Expire(event.id);
    }
  }

  static AttemptId MakeId(size_t attempt) { return {{1, attempt}, 1}; }

  Agent& AgentOf(size_t attempt) {
    return *this->agents[this->attempts[attempt].agent];
  }

  Request& RequestOf(size_t attempt) {
    return this->requests[this->attempts[attempt].request];
  }

  Entry& EntryOf(const Request& request) {
    return *this->entries[request.entry];
  }

  absl::Duration Delay(size_t attempt) {
    const Entry& entry = this->EntryOf(this->RequestOf(attempt));
    const UpstreamInfo& info = this->AgentOf(attempt).info;
    return SimDelay(entry.domain, info.failure_domain);
  }

  void Arrive(size_t flow) {
    this->ScheduleArrival(flow, this->Now());
    const size_t id = this->requests.size();
    Request request;
    request.flow = flow;
    request.entry = this->random() % this->entries.size();
    request.arrived = this->Now();
    request.deadline =
        this->Now() + absl::Milliseconds(this->setup.flows[flow].timeout_ms);
    this->requests.push_back(request);
    if (this->IsMeasured(request))
      this->result.flows[flow].sent += 1;
    if (!this->Send(id)) {
      this->End(id, "no-choice");
      return;
    }
    this->Schedule(request.deadline, Kind::kDeadline, id);
    const absl::Time hedge_at = this->EntryOf(request).hedge_timer.HedgeTime(
        request.arrived, request.deadline);
    const Urgency urgency = this->setup.flows[flow].cls.urgency;
    if (this->setup.hedge && urgency != Urgency::kBatch &&
        hedge_at < request.deadline)
      this->Schedule(hedge_at, Kind::kHedge, id);
  }

  bool Send(size_t id) {
    Request& request = this->requests[id];
    Entry& entry = this->EntryOf(request);
    const RequestClass& cls = this->setup.flows[request.flow].cls;
    const auto choice = entry.chooser.Choose("s", cls, this->Now(),
                                             request.tried, this->random);
    if (!choice)
      return false;
    const std::string& name = choice.value().name;
    const size_t attempt = this->attempts.size();
    this->attempts.push_back({id, SimIndex(name), this->Now(), {}});
    request.tried.push_back(name);
    request.open.push_back(attempt);
    entry.chooser.OnSent(name);
    this->Schedule(this->Now() + this->Delay(attempt), Kind::kSubmit, attempt);
    return true;
  }

  void Submit(size_t attempt) {
    Agent& agent = this->AgentOf(attempt);
    const Request& request = this->RequestOf(attempt);
    const RequestClass& cls = this->setup.flows[request.flow].cls;
    const Refusal refusal =
        agent.queue.Admit(cls, 1, request.deadline, this->Now());
    if (refusal != Refusal::kNone)
      return this->Reply(attempt, Kind::kRefused, refusal);
    agent.queue.Push(MakeId(attempt), cls, 1, request.deadline, this->Now());
    this->StartNext(&agent);
  }

  void Reply(size_t attempt, Kind kind, Refusal refusal = Refusal::kNone) {
    this->Schedule(this->Now() + this->Delay(attempt), kind, attempt, refusal,
                   this->AgentOf(attempt).queue.Load());
  }

  void StartNext(Agent* agent) {
    while (const auto exit = agent->queue.Pop(this->Now())) {
      const size_t attempt = exit->id.request.number;
      if (exit->refusal != Refusal::kNone) {
        this->Reply(attempt, Kind::kRefused, exit->refusal);
        continue;
      }
      this->attempts[attempt].started = this->Now();
      std::exponential_distribution<double> extra(1);
      const double factor = this->Slowness(this->attempts[attempt].agent);
      const double us =
          this->setup.service_us * factor * (0.5 + 0.5 * extra(this->random));
      this->Schedule(this->Now() + absl::Microseconds(us), Kind::kFinish,
                     attempt);
    }
  }

  double Slowness(size_t agent) const {
    const absl::Time from =
        absl::UnixEpoch() + absl::Milliseconds(this->setup.slow_from_ms);
    return agent == 0 && this->now >= from ? this->setup.first_upstream_slowness
                                           : 1;
  }

  void Finish(size_t attempt) {
    Agent& agent = this->AgentOf(attempt);
    agent.queue.ReleaseSlot(MakeId(attempt),
                            this->Now() - this->attempts[attempt].started,
                            this->Now());
    this->Reply(attempt, Kind::kAnswer);
    this->StartNext(&agent);
  }

  // Takes the attempt off its request. False when the entry gave it up before.
  bool Close(size_t attempt) {
    return std::erase(this->RequestOf(attempt).open, attempt) > 0;
  }

  void Answer(const Event& event) {
    if (!this->Close(event.id))
      return;
    Request& request = this->RequestOf(event.id);
    Entry& entry = this->EntryOf(request);
    const absl::Duration latency = this->Now() - this->attempts[event.id].sent;
    entry.chooser.OnAnswer(this->AgentOf(event.id).info.name, event.load,
                           latency, this->Now());
    entry.hedge_timer.OnLatency(latency, this->Now());
    entry.retries.OnFirstAttempt();
    entry.hedges.OnFirstAttempt();
    request.done = true;
    if (this->IsMeasured(request))
      this->result.flows[request.flow].latencies_us.push_back(
          static_cast<float>(
              absl::ToDoubleMicroseconds(this->Now() - request.arrived)));
    this->GiveUpOpen(&request);
  }

  void Refuse(const Event& event) {
    if (!this->Close(event.id))
      return;
    Request& request = this->RequestOf(event.id);
    Entry& entry = this->EntryOf(request);
    entry.chooser.OnRefused(this->AgentOf(event.id).info.name, event.refusal,
                            event.load, this->Now());
    if (request.done || !request.open.empty())
      return;
    if (event.refusal == Refusal::kOverload && this->setup.retry &&
        entry.retries.TryTake() && this->Send(this->attempts[event.id].request))
      return;
    this->End(this->attempts[event.id].request, ToString(event.refusal));
  }

  // Ends a request without an answer.
  void End(size_t id, std::string_view why) {
    Request& request = this->requests[id];
    request.done = true;
    if (this->IsMeasured(request))
      this->result.flows[request.flow].ends[std::string(why)] += 1;
  }

  void Hedge(size_t id) {
    Request& request = this->requests[id];
    if (request.done || request.open.size() != 1)
      return;
    if (this->EntryOf(request).hedges.TryTake() && this->Send(id))
      this->result.hedges += 1;
  }

  void Expire(size_t id) {
    Request& request = this->requests[id];
    if (request.done)
      return;
    this->End(id, "expired");
    this->GiveUpOpen(&request);
  }

  void GiveUpOpen(Request* request) {
    Entry& entry = this->EntryOf(*request);
    for (const size_t attempt : request->open) {
      entry.chooser.OnAbandoned(this->AgentOf(attempt).info.name,
                                this->Now() - this->attempts[attempt].sent,
                                this->Now());
      this->Schedule(this->Now() + this->Delay(attempt), Kind::kCancel,
                     attempt);
    }
    request->open.clear();
  }

  SimSetup setup;
  std::vector<UpstreamInfo> upstreams;
  std::mt19937_64 random;
  absl::Time now = absl::UnixEpoch();
  uint64_t order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<Request> requests;
  std::vector<Attempt> attempts;
  std::vector<std::unique_ptr<Agent>> agents;
  std::vector<std::unique_ptr<Entry>> entries;
  SimResult result;
};

}  // namespace cuminjunction

#endif  // BENCH_ROUTE_SIM_H_
