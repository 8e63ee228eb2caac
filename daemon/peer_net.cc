#include "daemon/peer_net.h"

#include <utility>

#include "base/tagged.h"

namespace cuminjunction {

namespace {

using boost::asio::ip::tcp;

constexpr size_t kMaxConnections = 2048;

}  // namespace

std::string_view ErrorTraits<PeerError>::Message(PeerError error) {
  switch (error) {
    case PeerError::kUnknownTag:
      return "peer message has an unknown type tag";
    case PeerError::kBadAddress:
      return "listen address is not a numeric IP address";
  }
  return "unknown peer error";
}

std::string EncodePeerMessage(const PeerMessage& message) {
  return EncodeTagged(message);
}

Result<PeerMessage> DecodePeerMessage(std::string_view payload) {
  return DecodeTagged<PeerMessage>(payload, PeerError::kUnknownTag);
}

PeerNet::PeerNet(EventThread* thread, Metrics* metrics, Handler handler)
    : thread(thread),
      handler(std::move(handler)),
      damaged_messages(metrics->GetCounter("peer_messages_damaged_total")),
      acceptor(thread->Context()) {}

Result<uint16_t> PeerNet::Listen(const std::string& host, uint16_t port) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  if (error)
    return PeerError::kBadAddress;
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
  return this->acceptor.local_endpoint().port();
}

void PeerNet::Accept() {
  this->acceptor.async_accept(
      [this](std::error_code error, tcp::socket socket) {
        if (error == std::errc::operation_canceled || !this->acceptor.is_open())
          return;
        if (!error && this->links.size() < kMaxConnections) {
          this->MakeLink(std::move(socket))->Open();
        }
        this->Accept();
      });
}

std::shared_ptr<FrameLink> PeerNet::MakeLink(tcp::socket socket) {
  // The handlers refer to the link weakly to avoid a cycle. The link calls them
  // only while it is held, so lock() returns it, and not after Close(), so
  // `this` stays valid.
  auto weak_link = std::make_shared<std::weak_ptr<FrameLink>>();
  auto link = std::make_shared<FrameLink>(
      std::move(socket),
      FrameHandlers{.on_open = nullptr,
                    .on_message =
                        [this, weak_link](std::string_view payload) {
                          return this->OnPayload(weak_link->lock(), payload);
                        },
                    .on_closed =
                        [this, weak_link](std::error_code /*reason*/) {
                          this->links.erase(weak_link->lock());
                        }});
  *weak_link = link;
  this->links.insert(link);
  return link;
}

Status PeerNet::OnPayload(const std::shared_ptr<FrameLink>& link,
                          std::string_view payload) {
  auto message = DecodePeerMessage(payload);
  if (!message) {
    this->damaged_messages.Add();
    return message.error();
  }
  this->handler(std::move(message.value()), [link](const PeerMessage& reply) {
    link->Send(EncodePeerMessage(reply));
  });
  return Ok();
}

void PeerNet::Send(const Endpoint& to, const PeerMessage& message) {
  std::shared_ptr<FrameLink> link = this->outgoing[to].lock();
  if (!link || link->IsClosed()) {
    link = this->MakeLink(tcp::socket(this->thread->Context()));
    this->outgoing[to] = link;
    link->Connect(to);
  }
  link->Send(EncodePeerMessage(message));
}

void PeerNet::Close() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& link : this->links)
    link->Close();
  this->links.clear();
  this->outgoing.clear();
}

}  // namespace cuminjunction
