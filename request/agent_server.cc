#include "request/agent_server.h"

#include <algorithm>

#include "base/time.h"
#include "request/agent_calls.h"

namespace cuminjunction {

namespace {

// Later deadlines are reduced to this time from now, which limits how long a
// tombstone is kept.
constexpr absl::Duration kMaxTimeToDeadline = absl::Hours(1);

absl::Time LimitDeadline(int64_t deadline_us, absl::Time now) {
  return std::min(FromMicros(deadline_us), now + kMaxTimeToDeadline);
}

BrokenReason ToBrokenReason(CallResult result) {
  switch (result) {
    case CallResult::kTooLarge:
      return BrokenReason::kTooLarge;
    case CallResult::kTimeout:
      return BrokenReason::kDeadline;
    default:
      return BrokenReason::kCutOff;
  }
}

}  // namespace

void AgentServer::OnMessage(Link* link, Message&& message) {
  const auto found = this->peers.find(link);
  if (found == this->peers.end())
    return;
  Peer* peer = found->second.get();
  if (peer->incarnation == 0 && !std::holds_alternative<Hello>(message)) {
    this->ClosePeer(link, MessageError::kUnexpected);
    return;
  }
  std::visit(
      [&]<class T>(T&& body) { this->Handle(peer, std::forward<T>(body)); },
      std::move(message));
}

template <class T>
void AgentServer::Handle(Peer* peer, T&& /*message*/) {
  this->ClosePeer(peer->link.get(), MessageError::kUnexpected);
}

void AgentServer::Handle(Peer* peer, Submit&& submit) {
  if (submit.id.request.entry_incarnation != peer->incarnation) {
    this->ClosePeer(peer->link.get(), MessageError::kWrongPeer);
    return;
  }
  const absl::Time now = absl::Now();
  const absl::Time deadline = LimitDeadline(submit.deadline_us, now);
  Link* link = peer->link.get();
  switch (this->tombstones.Admit(submit.id, deadline, now)) {
    case Tombstones::Verdict::kDuplicate:
      this->HandleDuplicate(peer, submit.id);
      return;
    case Tombstones::Verdict::kBlocked:
      this->Refuse(link, submit.id, deadline, Refusal::kTombstone, now);
      return;
    case Tombstones::Verdict::kExpired:
      this->Refuse(link, submit.id, deadline, Refusal::kDeadline, now);
      return;
    case Tombstones::Verdict::kNew:
      break;
  }
  const Refusal refusal = this->ReasonToRefuse(*peer, submit);
  if (refusal != Refusal::kNone) {
    this->Refuse(link, submit.id, deadline, refusal, now);
    return;
  }
  const uint64_t handle = ++this->last_handle;
  auto attempt = std::make_unique<Attempt>();
  attempt->id = submit.id;
  attempt->link = peer->link;
  attempt->request_class = {std::move(submit.account), submit.urgency};
  attempt->deadline = deadline;
  attempt->body_size = submit.body_size;
  attempt->call = MakeCall(std::move(submit));
  this->held_body_bytes += attempt->body_size;
  this->handles[attempt->id] = handle;
  this->deadlines.Add(deadline, handle);
  Attempt* added = attempt.get();
  this->attempts[handle] = std::move(attempt);
  this->ArmDeadlineTimer();
  if (added->call.body.size() == added->body_size)
    this->Enqueue(handle, added, now);
}

void AgentServer::Handle(Peer* peer, BodyChunk&& chunk) {
  const auto found = this->handles.find(chunk.id);
  // Chunks of a refused attempt may still arrive.
  if (found == this->handles.end())
    return;
  const uint64_t handle = found->second;
  Attempt* attempt = this->attempts[handle].get();
  if (attempt->phase != Phase::kReceiving || attempt->link != peer->link)
    return;
  std::string& body = attempt->call.body;
  body.append(chunk.bytes);
  const bool complete = body.size() == attempt->body_size;
  if (body.size() > attempt->body_size || chunk.last != complete) {
    this->ClosePeer(peer->link.get(), MessageError::kBadField);
    return;
  }
  if (complete)
    this->Enqueue(handle, attempt, absl::Now());
}

void AgentServer::Handle(Peer* peer, CancelAttempt&& cancel) {
  const absl::Time now = absl::Now();
  const auto found = this->handles.find(cancel.id);
  if (found != this->handles.end()) {
    const uint64_t handle = found->second;
    const Attempt& attempt = *this->attempts[handle];
    if (attempt.phase != Phase::kRunning) {
      this->RefuseWaiting(handle, Refusal::kTombstone, now);
      return;
    }
    this->caller->Abort(handle);
    this->queue->FinishAttempt(handle, now - attempt.started, now);
    this->SendBroken(attempt, BrokenReason::kCancelled, now);
    this->EraseAttempt(handle);
    this->StartNext(now);
    return;
  }
  const absl::Time deadline = LimitDeadline(cancel.deadline_us, now);
  // The tombstone may have expired, so the agent can't know whether the attempt
  // has run.
  if (now > deadline + kMaxClockSkew)
    return;
  // An admitted attempt that no longer exists was already answered.
  if (this->tombstones.Admit(cancel.id, deadline, now) !=
      Tombstones::Verdict::kDuplicate) {
    this->Refuse(peer->link.get(), cancel.id, deadline, Refusal::kTombstone,
                 now);
  }
}

void AgentServer::HandleDuplicate(Peer* peer, const AttemptId& id) {
  this->duplicates_total.Add();
  const auto found = this->handles.find(id);
  if (found != this->handles.end()) {
    // The entry has reconnected, so the answer is sent on the new connection.
    this->attempts[found->second]->link = peer->link;
    return;
  }
  // The attempt has ended, and its answer is not stored.
  peer->link->Send(
      AnswerBroken{id, BrokenReason::kCutOff, this->queue->Load(absl::Now())});
}

Refusal AgentServer::ReasonToRefuse(const Peer& peer,
                                    const Submit& submit) const {
  if (this->leaving)
    return Refusal::kLeaving;
  if (!this->ServesService(submit.service))
    return Refusal::kUnknownService;
  if (!this->upstream_up && !this->awaiting_health_check)
    return Refusal::kUpstreamDown;
  if (this->held_body_bytes + submit.body_size > this->options.max_body_bytes ||
      peer.link->PendingBytes() > this->options.max_link_bytes)
    return Refusal::kLimit;
  return Refusal::kNone;
}

bool AgentServer::ServesService(const std::string& service) const {
  const std::vector<std::string>& names = this->options.services;
  return names.empty() ||
         std::find(names.begin(), names.end(), service) != names.end();
}

void AgentServer::Enqueue(uint64_t handle, Attempt* attempt, absl::Time now) {
  const Refusal refusal = this->queue->Push(
      {handle, attempt->request_class, attempt->deadline}, now);
  if (refusal != Refusal::kNone) {
    this->RefuseWaiting(handle, refusal, now);
    return;
  }
  attempt->phase = Phase::kQueued;
  this->StartNext(now);
}

void AgentServer::StartNext(absl::Time now) {
  if (!this->upstream_up || this->awaiting_health_check)
    return;
  while (const std::optional<PoppedAttempt> popped = this->queue->Pop(now)) {
    const uint64_t handle = popped->handle;
    const auto found = this->attempts.find(handle);
    const bool expired =
        found != this->attempts.end() && found->second->deadline <= now;
    if (popped->refusal == Refusal::kNone &&
        (expired || found == this->attempts.end()))
      this->queue->FinishAttempt(handle, absl::ZeroDuration(), now);
    if (found == this->attempts.end())
      continue;
    if (expired || popped->refusal != Refusal::kNone) {
      // Pop() has removed the attempt from the queue, so RefuseWaiting() must
      // not remove it again.
      found->second->phase = Phase::kReceiving;
      this->RefuseWaiting(handle,
                          expired ? Refusal::kDeadline : popped->refusal, now);
      continue;
    }
    this->StartCall(handle, found->second.get(), now);
  }
}

void AgentServer::StartCall(uint64_t handle, Attempt* attempt, absl::Time now) {
  attempt->phase = Phase::kRunning;
  attempt->started = now;
  attempt->call.timeout = attempt->deadline - now;
  this->started_total.Add();
  this->caller->Start(handle, std::move(attempt->call));
}

void AgentServer::OnAnswer(uint64_t handle, HttpAnswer&& answer) {
  if (handle == kHealthCheckCall) {
    this->OnHealthCheckAnswer(answer);
    return;
  }
  const auto found = this->attempts.find(handle);
  if (found == this->attempts.end())
    return;
  const absl::Time now = absl::Now();
  const Attempt& attempt = *found->second;
  const CallResult result = answer.result;
  const bool ran = result != CallResult::kNotStarted;
  this->queue->FinishAttempt(
      handle, ran ? now - attempt.started : absl::ZeroDuration(), now);
  if (result == CallResult::kAnswered)
    this->SendAnswer(attempt, std::move(answer), now);
  else if (ran)
    this->SendBroken(attempt, ToBrokenReason(result), now);
  else
    this->Refuse(attempt.link.get(), attempt.id, attempt.deadline,
                 Refusal::kUpstreamDown, now);
  this->EraseAttempt(handle);
  if (result == CallResult::kNotStarted || result == CallResult::kCutOff)
    this->StartHealthCheck();
  this->StartNext(now);
}

void AgentServer::SendAnswer(const Attempt& attempt,
                             HttpAnswer&& answer,
                             absl::Time now) {
  this->answered_total.Add();
  Link* link = attempt.link.get();
  if (!link->IsOpen())
    return;
  AnswerHead head;
  head.id = attempt.id;
  head.status = answer.status;
  head.headers = std::move(answer.headers);
  head.load = this->queue->Load(now);
  head.body_size = answer.body.size();
  if (answer.body.size() <= kMaxChunkBytes) {
    head.bytes = std::move(answer.body);
    link->Send(head);
    return;
  }
  head.bytes = answer.body.substr(0, kMaxChunkBytes);
  link->Send(head);
  link->SendBody(attempt.id, BodyKind::kAnswer,
                 std::make_shared<const std::string>(std::move(answer.body)),
                 kMaxChunkBytes);
  if (link->PendingBytes() > 2 * this->options.max_link_bytes)
    this->ClosePeer(link, MessageError::kTooLarge);
}

void AgentServer::SendBroken(const Attempt& attempt,
                             BrokenReason reason,
                             absl::Time now) {
  this->broken_total.Add();
  if (attempt.link->IsOpen())
    attempt.link->Send(
        AnswerBroken{attempt.id, reason, this->queue->Load(now)});
}

void AgentServer::Refuse(Link* link,
                         const AttemptId& id,
                         absl::Time deadline,
                         Refusal reason,
                         absl::Time now) {
  this->refused_total.Add();
  this->tombstones.Block(id, deadline, now);
  if (link->IsOpen())
    link->Send(Refused{id, reason, this->queue->Load(now)});
}

void AgentServer::RefuseWaiting(uint64_t handle,
                                Refusal reason,
                                absl::Time now) {
  const Attempt& attempt = *this->attempts[handle];
  if (attempt.phase == Phase::kQueued)
    this->queue->RemoveWaiting(handle);
  this->Refuse(attempt.link.get(), attempt.id, attempt.deadline, reason, now);
  this->EraseAttempt(handle);
}

void AgentServer::RefuseAllWaiting(Refusal reason, absl::Time now) {
  std::vector<uint64_t> waiting;
  for (const auto& [handle, attempt] : this->attempts) {
    if (attempt->phase != Phase::kRunning)
      waiting.push_back(handle);
  }
  for (const uint64_t handle : waiting)
    this->RefuseWaiting(handle, reason, now);
}

void AgentServer::EraseAttempt(uint64_t handle) {
  const auto found = this->attempts.find(handle);
  this->held_body_bytes -= found->second->body_size;
  this->handles.erase(found->second->id);
  this->attempts.erase(found);
  this->deadlines.Compact(this->attempts.size(), [this](uint64_t key) {
    return this->attempts.contains(key);
  });
  if (this->leaving)
    this->FinishLeavingIfIdle();
}

void AgentServer::ArmDeadlineTimer() {
  const absl::Time next = this->deadlines.Next();
  if (next >= this->armed_deadline)
    return;
  this->armed_deadline = next;
  this->deadline_timer.expires_after(
      absl::ToChronoMicroseconds(next - absl::Now()));
  this->deadline_timer.async_wait([this](std::error_code error) {
    if (!error)
      this->OnDeadlineTimer();
  });
}

void AgentServer::OnDeadlineTimer() {
  const absl::Time now = absl::Now();
  this->armed_deadline = absl::InfiniteFuture();
  while (const std::optional<uint64_t> handle = this->deadlines.PopDue(now)) {
    const auto found = this->attempts.find(*handle);
    // A running call has its own timeout.
    if (found != this->attempts.end() &&
        found->second->phase != Phase::kRunning)
      this->RefuseWaiting(*handle, Refusal::kDeadline, now);
  }
  this->ArmDeadlineTimer();
}

}  // namespace cuminjunction
