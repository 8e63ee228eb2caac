#include "daemon/peer_net.h"

#include <array>
#include <boost/asio/write.hpp>

namespace cuminjunction {

namespace {

using boost::asio::ip::tcp;

constexpr size_t kMaxConnections = 2048;
// A peer that does not read what it asked for is cut off at this many bytes.
constexpr size_t kMaxQueuedBytes = 32 * 1024 * 1024;

template <size_t I = 0>
Result<PeerMessage> DecodeAs(size_t tag, std::string_view bytes) {
  if constexpr (I < std::variant_size_v<PeerMessage>) {
    if (tag != I)
      return DecodeAs<I + 1>(tag, bytes);
    using T = std::variant_alternative_t<I, PeerMessage>;
    BOOST_OUTCOME_TRY(message, Decode<T>(bytes));
    return PeerMessage(std::move(message));
  } else {
    return PeerError::kUnknownTag;
  }
}

}  // namespace

std::string_view ErrorTraits<PeerError>::Message(PeerError error) {
  switch (error) {
    case PeerError::kUnknownTag:
      return "message of an unknown kind";
    case PeerError::kBadAddress:
      return "address is not an IP number";
  }
  return "unknown peer error";
}

std::string EncodePeerMessage(const PeerMessage& message) {
  std::string payload(1, static_cast<char>(message.index()));
  std::visit([&](const auto& body) { payload += Encode(body); }, message);
  return payload;
}

Result<PeerMessage> DecodePeerMessage(std::string_view payload) {
  if (payload.empty())
    return PeerError::kUnknownTag;
  return DecodeAs(static_cast<uint8_t>(payload[0]), payload.substr(1));
}

class PeerNet::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(PeerNet* net, tcp::socket socket)
      : net(net), socket(std::move(socket)) {}

  void Connect(const Endpoint& to) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(to.host, error);
    if (error) {
      this->Fail();
      return;
    }
    this->socket.async_connect(
        tcp::endpoint(address, to.port),
        [self = this->shared_from_this()](std::error_code failure) {
          if (failure)
            self->Fail();
          else
            self->Open();
        });
  }

  void Open() {
    this->open = true;
    boost::system::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->Read();
    this->Write();
  }

  void Send(const PeerMessage& message) {
    AppendFrame(EncodePeerMessage(message), &this->queued);
    if (this->queued.size() > kMaxQueuedBytes)
      this->Fail();
    else
      this->Write();
  }

  void Close() {
    this->net = nullptr;
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

 private:
  void Fail() {
    if (this->net == nullptr)
      return;
    PeerNet* owner = this->net;
    this->Close();
    owner->Drop(this);
  }

  void Read() {
    this->socket.async_read_some(
        boost::asio::buffer(this->received),
        [self = this->shared_from_this()](std::error_code error, size_t size) {
          if (error || self->net == nullptr)
            self->Fail();
          else
            self->Take(size);
        });
  }

  void Take(size_t size) {
    this->reader.Append({this->received.data(), size});
    for (;;) {
      const auto next = this->reader.Next();
      if (next && !next.value())
        break;
      auto message = next ? DecodePeerMessage(*next.value())
                          : Result<PeerMessage>(next.error());
      if (!message) {
        this->net->damaged.Add();
        this->Fail();
        return;
      }
      this->net->handler(std::move(message.value()),
                         [self = this->shared_from_this()](
                             const PeerMessage& reply) { self->Send(reply); });
      if (this->net == nullptr)
        return;
    }
    this->Read();
  }

  void Write() {
    if (!this->open || !this->writing.empty() || this->queued.empty() ||
        this->net == nullptr)
      return;
    this->writing.swap(this->queued);
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->writing),
        [self = this->shared_from_this()](std::error_code error, size_t) {
          self->writing.clear();
          if (error)
            self->Fail();
          else
            self->Write();
        });
  }

  // Null once the connection has ended.
  PeerNet* net;
  tcp::socket socket;
  bool open = false;
  std::array<char, 16384> received;
  FrameReader reader;
  std::string queued;
  std::string writing;
};

PeerNet::PeerNet(EventThread* thread, Metrics* metrics, Handler handler)
    : thread(thread),
      handler(std::move(handler)),
      damaged(metrics->GetCounter("peer_messages_damaged_total")),
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
  this->acceptor.async_accept([this](std::error_code error,
                                     tcp::socket socket) {
    if (error == std::errc::operation_canceled || !this->acceptor.is_open())
      return;
    if (!error && this->connections.size() < kMaxConnections) {
      auto connection = std::make_shared<Connection>(this, std::move(socket));
      this->connections.insert(connection);
      connection->Open();
    }
    this->Accept();
  });
}

void PeerNet::Send(const Endpoint& to, const PeerMessage& message) {
  std::shared_ptr<Connection> connection = this->outgoing[to].lock();
  if (!connection || !this->connections.contains(connection)) {
    connection = std::make_shared<Connection>(
        this, tcp::socket(this->thread->Context()));
    this->outgoing[to] = connection;
    this->connections.insert(connection);
    connection->Connect(to);
  }
  connection->Send(message);
}

void PeerNet::Drop(Connection* connection) {
  std::erase_if(this->connections,
                [&](const auto& held) { return held.get() == connection; });
}

void PeerNet::Close() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& connection : this->connections)
    connection->Close();
  this->connections.clear();
  this->outgoing.clear();
}

}  // namespace cuminjunction
