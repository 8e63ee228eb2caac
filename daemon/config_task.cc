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
                       std::function<void()> start_over,
                       Log* log)
    : net(net),
      node(options),
      name(options.name),
      listener(std::move(listener)),
      start_over(std::move(start_over)),
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

void ConfigTask::OnNotice(const VersionNotice& notice, const PeerReply& reply) {
  // The distance of a peer that is not known otherwise does not matter.
  constexpr int unknown_distance = 2;
  this->OnPeerVersion(notice.name, {notice.host, notice.port}, notice.version,
                      unknown_distance);
  if (notice.wants_reply)
    reply(this->MakeNotice(/*wants_reply=*/false));
}

VersionNotice ConfigTask::MakeNotice(bool wants_reply) const {
  return {this->name, this->self_address.host, this->self_address.port,
          this->Version(), wants_reply};
}

void ConfigTask::SendNotices() {
  for (const std::string& peer : this->node.DueNotices(this->clock.Now())) {
    const auto found = this->addresses.find(peer);
    if (found != this->addresses.end())
      this->net->Send(found->second, this->MakeNotice(/*wants_reply=*/true));
  }
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
  const Result<bool> applied = this->node.OnStoreDelta(delta);
  this->TakeResult(applied, "store");
  if (!applied && this->start_over)
    this->start_over();
  this->Poll();
}

void ConfigTask::OnStoreUnchanged() {
  this->node.OnStoreUnchanged();
}

void ConfigTask::Poll() {
  this->SendNotices();
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
