#include "fleet/planner_port.h"

#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

using boost::asio::ip::tcp;

// Far above the number of entries, each of which may be a planner, and of dead
// connections, each of which counts until the system detects that it is dead.
constexpr size_t kMaxLinks = 256;

// Returns the epoch of a planner's message, or nullptr for a message that
// planners don't send.
const uint64_t* PlannerEpoch(const FleetMessage& message) {
  return std::visit(
      [](const auto& body) -> const uint64_t* {
        if constexpr (requires { body.epoch; })
          return &body.epoch;
        else
          return nullptr;
      },
      message);
}

}  // namespace

PlannerPort::PlannerPort(EventThread* thread,
                         std::string vm,
                         Log* log,
                         PlannerPortHandlers handlers)
    : vm(std::move(vm)),
      log(log),
      handlers(std::move(handlers)),
      acceptor(thread->Context()) {}

PlannerPort::~PlannerPort() {
  this->Close();
}

Status PlannerPort::Listen(const std::string& host, uint16_t port) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  if (error)
    return std::error_code(error);
  const tcp::endpoint endpoint(address, port);
  this->acceptor.open(endpoint.protocol(), error);
  if (!error)
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    this->acceptor.bind(endpoint, error);
  if (!error)
    this->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                          error);
  if (error)
    return std::error_code(error);
  this->Accept();
  return Ok();
}

void PlannerPort::Accept() {
  this->acceptor.async_accept(
      [this](std::error_code error, tcp::socket socket) {
        if (error == std::errc::operation_canceled || !this->acceptor.is_open())
          return;
        if (!error && this->links.size() < kMaxLinks)
          this->OpenConnection(std::move(socket));
        this->Accept();
      });
}

void PlannerPort::OpenConnection(tcp::socket socket) {
  auto weak_link = std::make_shared<std::weak_ptr<FrameLink>>();
  auto link = std::make_shared<FrameLink>(
      std::move(socket),
      FrameHandlers{.on_open = nullptr,
                    .on_message =
                        [this, weak_link](std::string_view payload) {
                          return this->OnPayload(weak_link->lock(), payload);
                        },
                    .on_closed =
                        [this, weak_link](std::error_code reason) {
                          this->OnClosed(weak_link->lock(), reason);
                        }});
  *weak_link = link;
  this->links.insert(link);
  link->Open();
}

Status PlannerPort::OnPayload(const std::shared_ptr<FrameLink>& link,
                              std::string_view payload) {
  BOOST_OUTCOME_TRY(message, DecodeFleetMessage(payload));
  const uint64_t* sender_epoch = PlannerEpoch(message);
  if (sender_epoch == nullptr)
    return Ok();
  if (*sender_epoch < this->epoch) {
    link->Send(
        EncodeFleetMessage(NodePong{this->vm, 0, this->epoch, false, false}));
    return Ok();
  }
  if (const auto* ping = std::get_if<PlannerPing>(&message)) {
    this->OnPing(link, *ping);
    return Ok();
  }
  // Messages of a connection that was replaced may still arrive and are
  // ignored.
  if (link == this->planner_link)
    this->handlers.on_message(std::move(message));
  return Ok();
}

void PlannerPort::OnPing(const std::shared_ptr<FrameLink>& link,
                         const PlannerPing& ping) {
  const absl::Time now = BootClock().Now();
  const bool new_connection = link != this->planner_link;
  if (new_connection) {
    this->log->Write(LogLine("planner_connected")
                         .Add("planner", ping.planner)
                         .Add("epoch", ping.epoch)
                         .Add("previous_epoch", this->epoch));
    this->epoch = ping.epoch;
    const std::shared_ptr<FrameLink> previous =
        std::exchange(this->planner_link, link);
    if (previous) {
      previous->Close();
      this->links.erase(previous);
    }
  }
  this->last_ping = now;
  const bool store_unreachable = this->handlers.is_store_unreachable &&
                                 this->handlers.is_store_unreachable();
  link->Send(EncodeFleetMessage(
      NodePong{this->vm, ToMicros(now), this->epoch, store_unreachable,
               this->handlers.rules_out_long_grants &&
                   this->handlers.rules_out_long_grants()}));
  if (new_connection)
    this->handlers.on_planner_connected();
  this->handlers.on_ping(ping);
}

void PlannerPort::OnClosed(const std::shared_ptr<FrameLink>& link,
                           std::error_code reason) {
  this->links.erase(link);
  if (link != this->planner_link)
    return;
  this->planner_link = nullptr;
  this->log->Write(LogLine("planner_lost", LogLevel::kWarning)
                       .Add("epoch", this->epoch)
                       .Add("error", reason));
  this->handlers.on_planner_disconnected();
}

void PlannerPort::Send(const FleetMessage& message) {
  if (this->planner_link)
    this->planner_link->Send(EncodeFleetMessage(message));
}

void PlannerPort::Close() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& link : this->links)
    link->Close();
  this->links.clear();
  this->planner_link = nullptr;
}

}  // namespace cuminjunction
