#include "request/entry_front.h"

#include <algorithm>

#include "base/strings.h"
#include "request/entry_state.h"

namespace cuminjunction {

namespace {

// Interval at which a draining shard checks whether it is idle.
constexpr std::chrono::milliseconds kDrainCheckInterval(10);

EntryError ErrorOf(HttpLimit limit) {
  switch (limit) {
    case HttpLimit::kBody:
      return EntryError::kBodyTooLarge;
    case HttpLimit::kHeaders:
      return EntryError::kHeadersTooLarge;
    case HttpLimit::kConnections:
      return EntryError::kTooManyConnections;
    default:
      return EntryError::kOutOfMemory;
  }
}

// Time for callers to complete a TCP handshake that has begun: a few round
// trips between regions.
constexpr absl::Duration kHandshakeTimeout = absl::Milliseconds(100);

}  // namespace

EntryFront::EntryFront(EventThread* thread,
                       EntryOptions options,
                       const RequestChart* chart,
                       std::unique_ptr<RoutePolicy> policy,
                       IdempotencyClaims* claims,
                       Log* log,
                       Metrics* metrics)
    : thread(thread),
      options(std::move(options)),
      chart(chart),
      policy(std::move(policy)),
      claims(claims),
      log(log),
      timer(thread->Context()),
      drain_timer(thread->Context()),
      document(std::make_shared<const Document>()),
      decisions(this->options.max_decisions),
      answered_total(
          metrics->GetCounter("requests_total", "outcome=\"answered\"")),
      not_run_total(
          metrics->GetCounter("requests_total", "outcome=\"not-run\"")),
      unknown_total(
          metrics->GetCounter("requests_total", "outcome=\"unknown\"")),
      attempts_total(metrics->GetCounter("attempts_total")),
      retries_total(metrics->GetCounter("retries_total")),
      hedges_total(metrics->GetCounter("hedges_total")),
      late_total(metrics->GetCounter("late_answers_total")),
      damaged_total(metrics->GetCounter("entry_links_damaged_total")),
      // One for each shard, so that shards share no lock.
      latency_seconds(
          metrics->GetSummary("request_seconds",
                              StrCat("shard=\"", this->options.shard, "\""))) {
  this->front = std::make_unique<HttpFront>(
      &thread->Context(), this->options.http,
      [this](HttpExchange* exchange) { this->OnExchange(exchange); });
}

EntryFront::~EntryFront() = default;

Result<uint16_t> EntryFront::Start() {
  return this->thread->Call([this] { return this->front->Start(); });
}

void EntryFront::SetDocument(std::shared_ptr<const Document> document) {
  this->thread->Post([this, document = std::move(document)]() mutable {
    this->document = std::move(document);
  });
}

void EntryFront::SetUpstreams(std::vector<UpstreamEndpoint> upstreams) {
  this->thread->Post([this, upstreams = std::move(upstreams)] {
    this->ApplyUpstreams(upstreams);
  });
}

void EntryFront::RunWithPolicy(std::function<void(RoutePolicy*)> callback) {
  this->thread->Post(
      [this, callback = std::move(callback)] { callback(this->policy.get()); });
}

void EntryFront::Drain(std::function<void()> done) {
  this->thread->Post([this, done = std::move(done)]() mutable {
    this->BeginDrain(std::move(done));
  });
}

void EntryFront::Stop() {
  this->thread->Call([this] { this->StopAll(); });
}

std::vector<std::string> EntryFront::Explain(const RequestId& id) {
  return this->thread->Call([&] { return this->decisions.Find(id); });
}

void EntryFront::OnExchange(HttpExchange* exchange) {
  const absl::Time now = absl::Now();
  const RequestId id = {this->options.incarnation,
                        ++this->last_number * kMaxShards + this->options.shard};
  Result<RequestHead> head = ParseRequestHead(exchange, *this->document, now);
  auto request = std::make_unique<Request>(
      this->chart, head.has_value() && head.value().idempotent);
  Request* added = request.get();
  added->id = id;
  added->exchange = exchange;
  added->arrived = now;
  this->requests[id.number] = std::move(request);
  if (exchange->limit != HttpLimit::kNone) {
    this->FailWith(added, ErrorOf(exchange->limit), "");
    return;
  }
  if (!head) {
    this->FailWith(added, static_cast<EntryError>(head.error().value()), "");
    return;
  }
  added->head = std::move(head.value());
  if (added->head.deadline <= now) {
    this->FailWith(added, EntryError::kDeadlinePassed, "");
    return;
  }
  if (exchange->body.size() > kMaxChunkBytes) {
    added->large_body =
        std::make_shared<const std::string>(std::move(exchange->body));
  }
  this->timers.Add(added->head.deadline, {id.number, TimerKind::kDeadline});
  this->ArmTimer();
  if (!added->head.idempotent && !added->head.idempotency_key.empty())
    this->ClaimKey(added);
  else
    this->Route(added, SendReason::kFirst);
}

void EntryFront::ClaimKey(Request* request) {
  if (this->claims == nullptr) {
    this->FailWith(request, EntryError::kKeyStoreDown, "");
    return;
  }
  request->claim_pending = true;
  const uint64_t number = request->id.number;
  this->claims->Claim(request->head.request_class.account,
                      request->head.idempotency_key, request->id,
                      request->head.deadline,
                      [this, thread = this->thread, number,
                       alive = std::weak_ptr(this->alive)](ClaimResult result) {
                        thread->Post([this, number, alive, result] {
                          if (!alive.expired())
                            this->OnClaimed(number, result);
                        });
                      });
}

void EntryFront::OnClaimed(uint64_t number, ClaimResult result) {
  const auto found = this->requests.find(number);
  // The request ended while the claim was pending, and Release() was called.
  if (found == this->requests.end())
    return;
  Request* request = found->second.get();
  request->claim_pending = false;
  switch (result) {
    case ClaimResult::kClaimed:
      request->claim_held = true;
      this->Route(request, SendReason::kFirst);
      return;
    case ClaimResult::kTaken:
      this->FailWith(request, EntryError::kKeyTaken, "");
      return;
    case ClaimResult::kUnavailable:
      this->FailWith(request, EntryError::kKeyStoreDown, "");
      return;
  }
}

void EntryFront::FailWith(Request* request,
                          EntryError error,
                          std::string_view detail) {
  const Outcome outcome = request->attempts.GiveUp();
  this->LogOutcome(*request, outcome, CodeOf(error));
  this->FinishRequest(
      request, MakeErrorReply(error, outcome, request->id, detail), outcome);
}

void EntryFront::FinishRequest(Request* request,
                               HttpReply&& reply,
                               Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      this->answered_total.Add();
      break;
    case Outcome::kNotRun:
      this->not_run_total.Add();
      break;
    case Outcome::kUnknown:
      this->unknown_total.Add();
      break;
  }
  const absl::Time now = absl::Now();
  this->latency_seconds.Observe(absl::ToDoubleSeconds(now - request->arrived));
  if (!request->cancelling)
    this->CancelOutstanding(request);
  while (!request->outstanding.empty()) {
    const Attempt& attempt = request->outstanding.back();
    this->policy->OnAbandoned(attempt.agent->endpoint.name, now - attempt.sent,
                              now);
    this->RemoveAttempt(request, attempt.number);
  }
  if (this->claims != nullptr && outcome == Outcome::kNotRun &&
      (request->claim_held || request->claim_pending)) {
    this->claims->Release(request->head.request_class.account,
                          request->head.idempotency_key, request->id);
  }
  HttpExchange* exchange = request->exchange;
  this->requests.erase(request->id.number);
  this->timers.Compact(this->requests.size(), [this](const TimerKey& key) {
    return this->requests.contains(key.number);
  });
  this->front->Answer(exchange, std::move(reply));
}

void EntryFront::ArmTimer() {
  const absl::Time next = this->timers.Next();
  if (next >= this->armed_time)
    return;
  this->armed_time = next;
  this->timer.expires_after(absl::ToChronoMicroseconds(next - absl::Now()));
  this->timer.async_wait([this](std::error_code error) {
    if (!error && !this->stopped)
      this->OnTimer();
  });
}

void EntryFront::OnTimer() {
  const absl::Time now = absl::Now();
  this->armed_time = absl::InfiniteFuture();
  while (const std::optional<TimerKey> key = this->timers.PopDue(now)) {
    const auto found = this->requests.find(key->number);
    if (found == this->requests.end())
      continue;
    Request* request = found->second.get();
    switch (key->kind) {
      case TimerKind::kDeadline:
        this->OnDeadline(request);
        break;
      case TimerKind::kHedge:
        this->SendHedge(request);
        break;
      case TimerKind::kCancelGrace:
        this->OnCancelGraceExpired(request);
        break;
    }
  }
  this->ArmTimer();
}

// Asks the agents to cancel the outstanding attempts. Refusals from all of them
// prove that the request has not run. The wait for them is limited to
// cancel_grace_ms.
void EntryFront::OnDeadline(Request* request) {
  if (request->outstanding.empty()) {
    this->FailUnanswered(request);
    return;
  }
  request->cancelling = true;
  this->CancelOutstanding(request);
  this->timers.Add(
      absl::Now() + absl::Milliseconds(this->options.cancel_grace_ms),
      {request->id.number, TimerKind::kCancelGrace});
}

void EntryFront::OnCancelGraceExpired(Request* request) {
  this->FailUnanswered(request);
}

void EntryFront::BeginDrain(std::function<void()> done) {
  if (this->drain_done)
    return;
  this->drain_done = std::move(done);
  this->drain_deadline =
      absl::Now() + absl::Milliseconds(this->options.drain_grace_ms);
  this->front->CloseConnectionsAfterAnswers();
  this->ScheduleDrainCheck();
}

void EntryFront::ScheduleDrainCheck() {
  this->drain_timer.expires_after(kDrainCheckInterval);
  this->drain_timer.async_wait([this](std::error_code error) {
    if (!error && !this->stopped)
      this->AdvanceDrain(absl::Now());
  });
}

// Callers with a persistent connection receive an answer with the header
// "Connection: close" and close it, so no request is lost in flight. Only
// connections that are idle throughout the grace period receive no such header.
void EntryFront::AdvanceDrain(absl::Time now) {
  if (now >= this->drain_deadline &&
      this->drain_deadline != absl::InfinitePast()) {
    this->drain_deadline = absl::InfinitePast();
    this->listen_deadline = now + kHandshakeTimeout;
    this->front->IgnoreNewConnections();
  }
  if (now >= this->listen_deadline &&
      this->linger_deadline == absl::InfiniteFuture()) {
    this->linger_deadline =
        now + absl::Milliseconds(this->options.drain_linger_ms);
    this->front->StopListening();
  }
  const bool is_idle = this->requests.empty() && this->front->OpenCount() == 0;
  const bool connections_done =
      this->front->ConnectionCount() == 0 || now >= this->linger_deadline;
  const bool is_closed = this->linger_deadline != absl::InfiniteFuture();
  if (is_closed && is_idle && connections_done)
    this->FinishDrain();
  else
    this->ScheduleDrainCheck();
}

void EntryFront::FinishDrain() {
  const std::function<void()> done = std::move(this->drain_done);
  this->drain_done = nullptr;
  done();
}

void EntryFront::StopAll() {
  if (this->stopped)
    return;
  this->stopped = true;
  this->timer.cancel();
  this->drain_timer.cancel();
  std::vector<uint64_t> open;
  for (const auto& [number, request] : this->requests)
    open.push_back(number);
  for (const uint64_t number : open) {
    Request* request = this->requests[number].get();
    const bool certainly_not_run =
        request->attempts.GiveUp() == Outcome::kNotRun;
    this->FailWith(
        request,
        certainly_not_run ? EntryError::kStopping : EntryError::kBroken, "");
  }
  std::vector<std::shared_ptr<Agent>> closing;
  for (const auto& [name, agent] : this->agents)
    closing.push_back(agent);
  for (const auto& [link, agent] : this->agents_by_link)
    closing.push_back(agent);
  for (const std::shared_ptr<Agent>& agent : closing)
    this->CloseAgent(agent.get());
  this->agents.clear();
  this->front->Stop();
}

}  // namespace cuminjunction
