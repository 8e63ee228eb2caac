// What the agent knows about its upstream, and the probes that tell.

#include "request/agent_calls.h"
#include "request/agent_server.h"

namespace cuminjunction {

// Holds new calls back until a probe has told whether the upstream is up. A
// connection that breaks may be the fault of one request alone, so that it is
// no reason yet to refuse the others.
void AgentServer::Suspect() {
  if (this->probing)
    return;
  this->probing = true;
  this->probe_timer.cancel();
  this->SendProbe();
}

void AgentServer::SendProbe() {
  HttpCall call;
  call.method = "GET";
  call.path = this->options.probe_path;
  call.idempotent = true;
  call.timeout = absl::Milliseconds(this->options.probe_timeout_ms);
  this->caller->Start(kProbeCall, std::move(call));
}

void AgentServer::OnProbeAnswer(const HttpAnswer& answer) {
  const bool up = answer.result == CallResult::kAnswered;
  this->probing = false;
  this->SetUpstreamUp(up);
  const absl::Time now = absl::Now();
  if (up) {
    this->StartNext(now);
    return;
  }
  this->RefuseAllWaiting(Refusal::kUpstreamDown, now);
  this->probe_timer.expires_after(
      std::chrono::milliseconds(this->options.probe_interval_ms));
  this->probe_timer.async_wait([this](std::error_code error) {
    if (!error)
      this->SendProbe();
  });
}

void AgentServer::SetUpstreamUp(bool up) {
  if (this->upstream_up == up)
    return;
  this->upstream_up = up;
  this->Announce();
}

void AgentServer::Announce() {
  AgentState next = this->upstream_up ? AgentState::kUp : AgentState::kDown;
  if (this->leaving)
    next = AgentState::kLeaving;
  if (this->state.exchange(next) == next)
    return;
  this->log->Write(LogLine("agent_state")
                       .Add("process", this->options.process)
                       .Add("state", next == AgentState::kUp     ? "up"
                                     : next == AgentState::kDown ? "down"
                                                                 : "leaving"));
}

}  // namespace cuminjunction
