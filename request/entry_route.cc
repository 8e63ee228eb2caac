// Attempts of an entry shard: choosing an upstream, sending, retries, hedges,
// and the effect of each result on the request.

#include <algorithm>

#include "base/strings.h"
#include "base/time.h"
#include "request/entry_state.h"

namespace cuminjunction {

namespace {

std::string_view ToString(bool is_retry, bool is_hedge) {
  if (is_hedge)
    return "hedge";
  return is_retry ? "retry" : "first";
}

// The retry budget limits retries that would add load to overloaded upstreams.
// A retry after a refusal by an agent that is leaving or whose upstream is down
// only moves load to other upstreams, and a planned stop must not fail requests
// because the budget is spent.
bool NeedsBudget(Refusal reason) {
  return reason != Refusal::kLeaving && reason != Refusal::kUpstreamDown;
}

}  // namespace

void EntryFront::Route(Request* request, SendReason reason) {
  const absl::Time now = absl::Now();
  if (reason == SendReason::kFirst)
    this->policy->OnFirstAttempt(now);
  if (!this->Choose(*request, now)) {
    if (request->outstanding.empty())
      this->FailUnanswered(request);
    return;
  }
  const auto found = this->agents.find(this->choice.upstream);
  this->SendAttempt(request, found->second, reason, now);
}

// Fills `choice`. The policy may choose an upstream to which this shard has no
// usable connection. That upstream is then excluded and the policy is called
// again.
bool EntryFront::Choose(const Request& request, absl::Time now) {
  this->exclude.assign(this->unusable_agents.begin(),
                       this->unusable_agents.end());
  this->exclude.insert(this->exclude.end(), request.tried_upstreams.begin(),
                       request.tried_upstreams.end());
  while (this->policy->Choose(request.head.upstream_service,
                              request.head.request_class, now, this->exclude,
                              &this->choice)) {
    const auto found = this->agents.find(this->choice.upstream);
    if (found != this->agents.end() && found->second->ready &&
        found->second->link->PendingBytes() <= this->options.max_link_bytes)
      return true;
    const bool is_new = std::find(this->exclude.begin(), this->exclude.end(),
                                  this->choice.upstream) == this->exclude.end();
    if (!is_new)
      return false;
    this->exclude.push_back(this->choice.upstream);
  }
  return false;
}

void EntryFront::SendAttempt(Request* request,
                             const std::shared_ptr<Agent>& agent,
                             SendReason reason,
                             absl::Time now) {
  const Result<uint32_t> number = request->attempts.StartAttempt();
  if (!number)
    return;
  const HttpExchange& exchange = *request->exchange;
  Submit submit;
  submit.id = {request->id, number.value()};
  submit.account = request->head.request_class.account;
  submit.service = request->head.upstream_service;
  submit.urgency = request->head.request_class.urgency;
  submit.deadline_us = ToMicros(request->head.deadline);
  submit.idempotent = request->head.idempotent;
  submit.method = exchange.method;
  submit.path = exchange.path;
  submit.headers = exchange.headers;
  const std::string& body =
      request->large_body ? *request->large_body : exchange.body;
  submit.body_size = body.size();
  submit.bytes = body.substr(0, kMaxChunkBytes);

  Attempt attempt;
  attempt.number = number.value();
  attempt.agent = agent;
  attempt.sent = now;
  attempt.position = agent->link->Send(submit);
  if (request->large_body) {
    agent->link->SendBody(submit.id, BodyKind::kRequest, request->large_body,
                          kMaxChunkBytes);
  }
  ++agent->outstanding;
  request->outstanding.push_back(std::move(attempt));
  request->tried_upstreams.push_back(agent->endpoint.name);
  this->policy->OnSent(agent->endpoint.name, now);
  this->attempts_total.Add();
  this->LogDecision(*request, number.value(), reason, now);
  if (reason == SendReason::kFirst && request->head.idempotent) {
    const std::optional<absl::Duration> delay =
        this->policy->HedgeDelay(request->head.upstream_service);
    if (delay) {
      this->timers.Add(now + *delay, {request->id.number, TimerKind::kHedge});
      this->ArmTimer();
    }
  }
}

void EntryFront::LogDecision(const Request& request,
                             uint32_t attempt,
                             SendReason reason,
                             absl::Time now) {
  this->json = "[";
  for (const RouteChoice::Candidate& candidate : this->choice.candidates) {
    if (this->json.size() > 1)
      this->json.push_back(',');
    this->json.append("{\"name\":");
    AppendJsonString(candidate.name, &this->json);
    StrAppend(&this->json, ",\"estimate_ms\":", candidate.estimate_ms, "}");
  }
  this->json.push_back(']');
  LogLine line("route");
  line.Add("request", cuminjunction::ToString(request.id))
      .Add("attempt", static_cast<uint64_t>(attempt))
      .Add("reason",
           ToString(reason == SendReason::kRetry, reason == SendReason::kHedge))
      .Add("service", request.head.service)
      .Add("account", request.head.request_class.account)
      .Add("urgency",
           cuminjunction::ToString(request.head.request_class.urgency))
      .Add("idempotent", request.head.idempotent)
      .Add("deadline_in_ms",
           absl::ToInt64Milliseconds(request.head.deadline - now))
      .Add("upstream", this->choice.upstream)
      .AddJson("candidates", this->json);
  this->json.clear();
  this->policy->AppendBudgets(&this->json);
  line.AddJson("budgets", this->json);
  this->log->Write(line);
  this->decisions.Add(request.id, std::move(line));
}

void EntryFront::LogOutcome(const Request& request,
                            Outcome outcome,
                            std::string_view code) {
  LogLine line("request_ended");
  line.Add("request", cuminjunction::ToString(request.id))
      .Add("outcome", cuminjunction::ToString(outcome))
      .Add("code", code)
      .Add("service", request.head.service)
      .Add("account", request.head.request_class.account)
      .Add("attempts", static_cast<uint64_t>(request.attempts.Count()))
      .Add("last_refusal", cuminjunction::ToString(request.last_refusal));
  this->log->Write(line);
  this->decisions.Add(request.id, std::move(line));
}

std::pair<EntryFront::Request*, EntryFront::Attempt*> EntryFront::FindAttempt(
    const Agent* agent,
    const AttemptId& id) {
  const auto found = this->requests.find(id.request.number);
  if (found == this->requests.end() || found->second->id != id.request)
    return {nullptr, nullptr};
  Request* request = found->second.get();
  for (Attempt& attempt : request->outstanding) {
    if (attempt.number == id.attempt && attempt.agent.get() == agent)
      return {request, &attempt};
  }
  return {nullptr, nullptr};
}

void EntryFront::OnWholeAnswer(Request* request, Attempt* attempt) {
  const absl::Time now = absl::Now();
  AnswerHead answer = std::move(attempt->answer);
  const uint32_t number = attempt->number;
  this->policy->OnAnswer(attempt->agent->endpoint.name, answer.load,
                         now - attempt->sent, now);
  request->attempts.RecordAnswered(number);
  this->RemoveAttempt(request, number);
  this->FinishRequest(request, MakeAnswerReply(std::move(answer)),
                      Outcome::kAnswered);
}

void EntryFront::OnAttemptBroken(Request* request, uint32_t number) {
  request->attempts.RecordBroken(number);
  this->RemoveAttempt(request, number);
  if (!request->outstanding.empty())
    return;
  this->RetryOrFail(request, /*needs_budget=*/true);
}

void EntryFront::OnAttemptRefused(Request* request,
                                  uint32_t number,
                                  Refusal reason) {
  request->attempts.RecordRefused(number);
  this->RemoveAttempt(request, number);
  request->last_refusal = reason;
  if (!request->outstanding.empty())
    return;
  if (reason == Refusal::kDeadline)
    this->FailUnanswered(request);
  else
    this->RetryOrFail(request, NeedsBudget(reason));
}

void EntryFront::RetryOrFail(Request* request, bool needs_budget) {
  const absl::Time now = absl::Now();
  const bool retry = !request->cancelling &&
                     request->attempts.CanStartAttempt() &&
                     request->attempts.Count() < this->options.max_attempts &&
                     now < request->head.deadline &&
                     (!needs_budget || this->policy->AllowRetry(now));
  if (!retry) {
    this->FailUnanswered(request);
    return;
  }
  this->retries_total.Add();
  this->Route(request, SendReason::kRetry);
}

void EntryFront::SendHedge(Request* request) {
  const absl::Time now = absl::Now();
  if (request->cancelling || request->outstanding.size() != 1 ||
      request->attempts.Count() != 1 || !request->attempts.CanStartAttempt() ||
      !this->policy->AllowHedge(now))
    return;
  this->hedges_total.Add();
  this->Route(request, SendReason::kHedge);
}

// Fails a request that has no outstanding attempt or whose deadline has passed.
void EntryFront::FailUnanswered(Request* request) {
  const bool before_deadline = absl::Now() < request->head.deadline;
  if (request->attempts.GiveUp() == Outcome::kUnknown) {
    this->FailWith(
        request,
        before_deadline ? EntryError::kBroken : EntryError::kNoAnswerInTime,
        "");
    return;
  }
  const std::string_view reason =
      cuminjunction::ToString(request->last_refusal);
  if (!before_deadline || request->last_refusal == Refusal::kDeadline)
    this->FailWith(request, EntryError::kDeadlinePassed, reason);
  else if (request->last_refusal == Refusal::kNone)
    this->FailWith(request, EntryError::kNoUpstream, "");
  else
    this->FailWith(request, EntryError::kRefused, reason);
}

void EntryFront::RemoveAttempt(Request* request, uint32_t number) {
  const auto found = std::find_if(
      request->outstanding.begin(), request->outstanding.end(),
      [&](const Attempt& attempt) { return attempt.number == number; });
  if (found == request->outstanding.end())
    return;
  const std::shared_ptr<Agent> agent = std::move(found->agent);
  request->outstanding.erase(found);
  --agent->outstanding;
  this->CloseIfUnused(agent.get());
}

void EntryFront::CancelOutstanding(Request* request) {
  for (const Attempt& attempt : request->outstanding) {
    const std::shared_ptr<Link>& link = attempt.agent->link;
    if (!link || !link->IsOpen())
      continue;
    const AttemptId id = {request->id, attempt.number};
    if (request->large_body)
      link->DropBody(id);
    link->Send(CancelAttempt{id, ToMicros(request->head.deadline)});
  }
}

}  // namespace cuminjunction
