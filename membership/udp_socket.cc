#include "membership/udp_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "base/strings.h"

namespace cuminjunction {

namespace {

using boost::asio::ip::udp;

// Datagrams read per event, so that other events of the thread are not delayed.
constexpr int kMaxReadsPerEvent = 64;

// Parsed addresses kept; a fleet has far fewer.
constexpr size_t kMaxEndpoints = 8192;

// The socket buffer holds the heartbeats that arrive while the process is
// paused for a few seconds.
constexpr int kReceiveBufferBytes = 1024 * 1024;

std::string_view ReasonLabel(const std::error_code& error) {
  if (error == DatagramError::kForeign)
    return "reason=\"foreign\"";
  if (error == DatagramError::kChecksum)
    return "reason=\"checksum\"";
  if (error == DatagramError::kUnknownType)
    return "reason=\"unknown_type\"";
  return "reason=\"malformed\"";
}

}  // namespace

UdpSocket::UdpSocket(boost::asio::io_context* context, Metrics* metrics)
    : socket(*context),
      metrics(metrics),
      sent_bytes(
          metrics->GetCounter("membership_bytes_total", "direction=\"sent\"")),
      received_bytes(metrics->GetCounter("membership_bytes_total",
                                         "direction=\"received\"")),
      unsent(metrics->GetCounter("membership_unsent_total")) {}

Status UdpSocket::Open(const UdpAddress& local, OnMessage on_message) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(local.host, error);
  if (!error)
    this->socket.open(udp::v4(), error);
  if (!error)
    this->socket.bind(udp::endpoint(address, local.port), error);
  if (!error)
    this->socket.non_blocking(true, error);
  if (error)
    return std::error_code(error);
  // A smaller buffer than asked for is no reason to fail.
  this->socket.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes),
      error);
  this->port = this->socket.local_endpoint(error).port();
  this->on_message = std::move(on_message);
  this->Receive();
  return Ok();
}

void UdpSocket::Close() {
  boost::system::error_code error;
  this->socket.close(error);
}

void UdpSocket::Send(const std::string& bytes, const UdpAddress& to) {
  const Endpoint* endpoint = this->Resolve(to);
  boost::system::error_code error;
  if (endpoint)
    this->socket.send_to(boost::asio::buffer(bytes), *endpoint, 0, error);
  if (!endpoint || error) {
    this->unsent.Add();
    return;
  }
  this->sent_bytes.Add(bytes.size() + kIpUdpHeaderBytes);
}

void UdpSocket::Receive() {
  this->socket.async_wait(udp::socket::wait_read,
                          [this](const boost::system::error_code& error) {
                            if (error)
                              return;
                            this->ReadPending();
                            if (this->socket.is_open())
                              this->Receive();
                          });
}

void UdpSocket::ReadPending() {
  for (int i = 0; i < kMaxReadsPerEvent && this->socket.is_open(); ++i) {
    boost::system::error_code error;
    const size_t size = this->socket.receive_from(
        boost::asio::buffer(this->buffer), this->from, 0, error);
    if (error == boost::asio::error::would_block)
      return;
    // Other errors report that a peer refused an earlier datagram (ICMP); no
    // received datagram is affected.
    if (!error)
      this->HandleDatagram(size);
  }
}

void UdpSocket::HandleDatagram(size_t size) {
  this->received_bytes.Add(size + kIpUdpHeaderBytes);
  Result<Datagram> message =
      ParseMessage(std::string_view(this->buffer.data(), size));
  if (!message) {
    this->metrics
        ->GetCounter("membership_dropped_total", ReasonLabel(message.error()))
        .Add();
    return;
  }
  this->on_message(std::move(message).value(),
                   {this->from.address().to_string(), this->from.port()});
}

const UdpSocket::Endpoint* UdpSocket::Resolve(const UdpAddress& address) {
  const auto found = this->endpoints.find(address);
  if (found != this->endpoints.end())
    return &found->second;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.host, error);
  if (error)
    return nullptr;
  if (this->endpoints.size() >= kMaxEndpoints)
    this->endpoints.clear();
  return &this->endpoints.emplace(address, Endpoint(ip, address.port))
              .first->second;
}

}  // namespace cuminjunction
