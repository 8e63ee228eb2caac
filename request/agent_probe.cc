// Health check of the upstream and the announced state of the agent.

#include "request/agent_calls.h"
#include "request/agent_server.h"

namespace cuminjunction {

// Suspends new calls until a health check has shown whether the upstream is up.
// A single request may have caused a broken connection, so that alone is no
// reason to refuse the other requests.
void AgentServer::StartHealthCheck() {
  if (this->awaiting_health_check)
    return;
  this->awaiting_health_check = true;
  this->probe_timer.cancel();
  this->SendHealthCheck();
}

void AgentServer::SendHealthCheck() {
  HttpCall call;
  call.method = "GET";
  call.path = this->options.probe_path;
  call.idempotent = true;
  call.timeout = absl::Milliseconds(this->options.probe_timeout_ms);
  this->caller->Start(kHealthCheckCall, std::move(call));
}

void AgentServer::OnHealthCheckAnswer(const HttpAnswer& answer) {
  const bool up = answer.result == CallResult::kAnswered;
  this->awaiting_health_check = false;
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
      this->SendHealthCheck();
  });
}

void AgentServer::SetUpstreamUp(bool up) {
  if (this->upstream_up == up)
    return;
  this->upstream_up = up;
  this->UpdateState();
}

void AgentServer::UpdateState() {
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
