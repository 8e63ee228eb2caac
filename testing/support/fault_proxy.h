#ifndef TESTING_SUPPORT_FAULT_PROXY_H_
#define TESTING_SUPPORT_FAULT_PROXY_H_

// A TCP proxy on loopback that disturbs the connections through it.
//
//   auto proxy = FaultProxy::Start(&thread, server_address).value();
//   ... clients use proxy->Address() ...
//   proxy->SetFault(LinkFault::kCutToServer);
//   proxy->SetFault(LinkFault::kNone);
//   proxy->SetRate(250000);

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>

#include "absl/time/time.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "base/event_thread.h"

namespace cuminjunction {

enum class LinkFault : uint8_t {
  kNone,
  // Bytes arrive late.
  kDelayed,
  // Bytes of one direction are lost.
  kCutToServer,
  kCutToClient,
  // Bytes of both directions are lost; new connections open and stay silent.
  kSilent,
  // Open connections and new ones are reset.
  kReset,
};

class FaultProxy {
 public:
  // `thread` must outlive the proxy and be stopped before it is destroyed.
  // Fails with the system's error when no port can be listened on.
  static Result<std::unique_ptr<FaultProxy>> Start(EventThread* thread,
                                                   const Endpoint& server);

  FaultProxy(EventThread* thread, const Endpoint& server);

  Endpoint Address() const { return this->address; }

  // Callable from any thread. Connections that lost bytes are reset when the
  // fault ends, since the bytes would be missing in the middle.
  void SetFault(LinkFault fault);

  // Limits each direction of each connection to this many bytes a second; 0
  // means no limit. Callable from any thread.
  void SetRate(int64_t bytes_per_second);

 private:
  struct Link;
  // One direction of a link.
  struct Pipe;

  Status Listen();
  void Accept();
  void Open(boost::asio::ip::tcp::socket client);
  void Read(const std::shared_ptr<Link>& link, Pipe* pipe);
  // How long `size` bytes are held back.
  absl::Duration Delay(size_t size) const;
  void Forward(const std::shared_ptr<Link>& link, Pipe* pipe, size_t size);
  void Reset(const std::shared_ptr<Link>& link);

  EventThread* thread;
  Endpoint server;
  Endpoint address;
  boost::asio::ip::tcp::acceptor acceptor;
  LinkFault fault = LinkFault::kNone;
  int64_t bytes_per_second = 0;
  std::set<std::shared_ptr<Link>> links;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_FAULT_PROXY_H_
