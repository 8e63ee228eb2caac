#ifndef MEMBERSHIP_UDP_SOCKET_H_
#define MEMBERSHIP_UDP_SOCKET_H_

// A UDP socket for membership messages on an event thread.
//
//   UdpSocket socket(&thread.Context(), &metrics);
//   Status opened = socket.Open({"127.0.0.1", 0}, [](Datagram message,
//                                                    const UdpAddress& from) {
//     ...
//   });
//   socket.Send(EncodeMessage(heartbeat), to);
//
// Datagrams that can't be read are counted by reason and dropped. The bytes
// counted include 28 bytes of IP and UDP header a datagram. Used only on the
// thread of the context.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <system_error>

#include "base/error.h"
#include "base/metrics.h"
#include "membership/message.h"
#include "membership/options.h"

namespace cuminjunction {

// Bytes of the IPv4 and UDP headers of a datagram.
inline constexpr size_t kIpUdpHeaderBytes = 28;

class UdpSocket {
 public:
  using OnMessage = std::function<void(Datagram, const UdpAddress&)>;

  // Counts in `metrics`, which must outlive the socket.
  UdpSocket(boost::asio::io_context* context, Metrics* metrics);

  // Binds the address (port 0 lets the kernel choose) and starts to receive.
  // Fails with the error of the system.
  Status Open(const UdpAddress& local, OnMessage on_message);
  void Close();

  // The port that is bound.
  uint16_t Port() const { return this->port; }

  // Sends a datagram without waiting. One that the system does not take is
  // counted and lost, as the network could lose it.
  void Send(const std::string& bytes, const UdpAddress& to);

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;

  void Receive();
  void ReadPending();
  void HandleDatagram(size_t size);
  const Endpoint* Resolve(const UdpAddress& address);

  boost::asio::ip::udp::socket socket;
  uint16_t port = 0;
  OnMessage on_message;
  // Longer than any message; a datagram cut at this size fails its checksum.
  std::array<char, 16 * 1024> buffer;
  Endpoint from;
  // Parsed addresses, since a heartbeat goes to the same few each time.
  std::map<UdpAddress, Endpoint> endpoints;
  Metrics* metrics;
  Counter& sent_bytes;
  Counter& received_bytes;
  Counter& unsent;
};

}  // namespace cuminjunction

#endif  // MEMBERSHIP_UDP_SOCKET_H_
