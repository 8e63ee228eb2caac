#include "testing/support/fault_proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>
#include <vector>

namespace cuminjunction {

namespace {

using boost::asio::ip::tcp;

// How late bytes arrive: more than the daemon's limit for a call to the store
// (500 ms) takes for two of them.
constexpr absl::Duration kDelay = absl::Milliseconds(300);

constexpr size_t kBufferBytes = 16384;

}  // namespace

struct FaultProxy::Pipe {
  tcp::socket* from = nullptr;
  tcp::socket* to = nullptr;
  bool to_server = false;
  std::array<char, kBufferBytes> buffer = {};
};

struct FaultProxy::Link {
  explicit Link(tcp::socket client_socket)
      : client(std::move(client_socket)),
        server(client.get_executor()),
        timer(client.get_executor()) {}

  tcp::socket client;
  tcp::socket server;
  boost::asio::steady_timer timer;
  Pipe up;
  Pipe down;
  // Bytes were lost.
  bool damaged = false;
};

Result<std::unique_ptr<FaultProxy>> FaultProxy::Start(EventThread* thread,
                                                      const Endpoint& server) {
  auto proxy = std::make_unique<FaultProxy>(thread, server);
  FaultProxy* self = proxy.get();
  BOOST_OUTCOME_TRY(thread->Call([self] { return self->Listen(); }));
  return proxy;
}

FaultProxy::FaultProxy(EventThread* thread, const Endpoint& server)
    : thread(thread), server(server), acceptor(thread->Context()) {}

Status FaultProxy::Listen() {
  boost::system::error_code error;
  const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
  this->acceptor.open(tcp::v4(), error);
  if (!error)
    this->acceptor.bind(any, error);
  if (!error)
    this->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                          error);
  if (error)
    return std::error_code(error);
  this->address = {"127.0.0.1", this->acceptor.local_endpoint().port()};
  this->Accept();
  return Ok();
}

void FaultProxy::Accept() {
  this->acceptor.async_accept(
      [this](boost::system::error_code error, tcp::socket client) {
        if (error)
          return;
        this->Open(std::move(client));
        this->Accept();
      });
}

void FaultProxy::Open(tcp::socket client) {
  auto link = std::make_shared<Link>(std::move(client));
  this->links.insert(link);
  if (this->fault == LinkFault::kReset) {
    this->Reset(link);
    return;
  }
  const tcp::endpoint to(boost::asio::ip::make_address(this->server.host),
                         this->server.port);
  link->server.async_connect(to, [this, link](boost::system::error_code error) {
    if (error) {
      this->Reset(link);
      return;
    }
    link->up.from = &link->client;
    link->up.to = &link->server;
    link->up.to_server = true;
    link->down.from = &link->server;
    link->down.to = &link->client;
    this->Read(link, &link->up);
    this->Read(link, &link->down);
  });
}

void FaultProxy::Read(const std::shared_ptr<Link>& link, Pipe* pipe) {
  pipe->from->async_read_some(
      boost::asio::buffer(pipe->buffer),
      [this, link, pipe](boost::system::error_code error, size_t size) {
        if (error) {
          this->Reset(link);
          return;
        }
        const bool cut =
            this->fault == LinkFault::kSilent ||
            (this->fault == LinkFault::kCutToServer && pipe->to_server) ||
            (this->fault == LinkFault::kCutToClient && !pipe->to_server);
        if (cut) {
          link->damaged = true;
          this->Read(link, pipe);
          return;
        }
        const absl::Duration delay = this->Delay(size);
        if (delay == absl::ZeroDuration()) {
          this->Forward(link, pipe, size);
          return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(
            link->client.get_executor(), absl::ToChronoMicroseconds(delay));
        timer->async_wait(
            [this, link, pipe, size, timer](boost::system::error_code failed) {
              if (!failed)
                this->Forward(link, pipe, size);
            });
      });
}

absl::Duration FaultProxy::Delay(size_t size) const {
  if (this->fault == LinkFault::kDelayed)
    return kDelay;
  if (this->bytes_per_second == 0)
    return absl::ZeroDuration();
  return absl::Seconds(static_cast<double>(size) /
                       static_cast<double>(this->bytes_per_second));
}

void FaultProxy::Forward(const std::shared_ptr<Link>& link,
                         Pipe* pipe,
                         size_t size) {
  boost::asio::async_write(
      *pipe->to, boost::asio::buffer(pipe->buffer.data(), size),
      [this, link, pipe](boost::system::error_code error, size_t) {
        if (error)
          this->Reset(link);
        else
          this->Read(link, pipe);
      });
}

void FaultProxy::Reset(const std::shared_ptr<Link>& link) {
  boost::system::error_code ignored;
  link->client.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  link->client.close(ignored);
  link->server.close(ignored);
  this->links.erase(link);
}

void FaultProxy::SetFault(LinkFault new_fault) {
  this->thread->Post([this, new_fault] {
    this->fault = new_fault;
    const std::vector<std::shared_ptr<Link>> all(this->links.begin(),
                                                 this->links.end());
    for (const auto& link : all) {
      if (new_fault == LinkFault::kReset ||
          (new_fault == LinkFault::kNone && link->damaged))
        this->Reset(link);
    }
  });
}

void FaultProxy::SetRate(int64_t new_rate) {
  this->thread->Post([this, new_rate] { this->bytes_per_second = new_rate; });
}

}  // namespace cuminjunction
