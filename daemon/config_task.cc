#include "daemon/config_task.h"

#include <chrono>

#include "config/sections.h"

namespace cuminjunction {

namespace {

// How often a lost request or answer is noticed.
constexpr std::chrono::milliseconds kTick(200);

}  // namespace

ConfigTask::ConfigTask(EventThread* thread,
                       PeerNet* net,
                       const ConfigNodeOptions& options,
                       DocumentListener listener,
                       Log* log)
    : net(net),
      node(options),
      listener(std::move(listener)),
      log(log),
      timer(thread->Context()) {}

void ConfigTask::Start() {
  this->ScheduleTick();
}

void ConfigTask::Stop() {
  this->timer.cancel();
}

void ConfigTask::ScheduleTick() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](std::error_code error) {
    if (error)
      return;
    this->Poll();
    this->ScheduleTick();
  });
}

void ConfigTask::OnPeerVersion(const std::string& peer,
                               const Endpoint& address,
                               uint64_t version,
                               int distance) {
  this->addresses[peer] = address;
  this->node.OnPeerVersion(peer, version, distance, this->clock.Now());
  this->Poll();
}

void ConfigTask::OnPeerLost(const std::string& peer) {
  this->node.OnPeerLost(peer);
  this->addresses.erase(peer);
}

void ConfigTask::OnRequest(const ConfigRequest& request,
                           const PeerReply& reply) {
  for (const ConfigPart& part : this->node.Answer(request))
    reply(part);
}

void ConfigTask::OnPart(const ConfigPart& part) {
  this->TakeResult(this->node.OnPart(this->asked, part, this->clock.Now()),
                   this->asked);
  this->Poll();
}

void ConfigTask::OnStoreDelta(const Delta& delta) {
  this->TakeResult(this->node.OnStoreDelta(delta), "store");
}

void ConfigTask::OnStoreUnchanged() {
  this->node.OnStoreUnchanged();
}

void ConfigTask::Poll() {
  const auto out = this->node.Poll(this->clock.Now());
  if (!out)
    return;
  const auto found = this->addresses.find(out->peer);
  if (found == this->addresses.end())
    return;
  this->asked = out->peer;
  this->net->Send(found->second, out->request);
}

void ConfigTask::TakeResult(const Result<bool>& applied,
                            std::string_view source) {
  if (!applied) {
    this->log->Write(LogLine("config_update_refused", LogLevel::kWarning)
                         .Add("source", source)
                         .Add("error", applied.error()));
    return;
  }
  if (!applied.value())
    return;
  std::vector<YamlProblem> problems;
  auto document = FromSections(this->node.State().Texts(), &problems);
  if (!document) {
    this->log->Write(LogLine("config_unreadable", LogLevel::kError)
                         .Add("version", this->Version())
                         .Add("error", document.error()));
    return;
  }
  this->log->Write(LogLine("config_in_force")
                       .Add("version", this->Version())
                       .Add("source", source));
  this->listener(this->Version(),
                 std::make_shared<const Document>(std::move(document.value())));
}

}  // namespace cuminjunction
