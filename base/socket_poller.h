#ifndef BASE_SOCKET_POLLER_H_
#define BASE_SOCKET_POLLER_H_

// Reports when sockets that are owned by other code, such as a library, can be
// read or written.
//
//   SocketPoller poller(&context, [&](int socket, uint32_t events) { ... });
//   std::error_code error = poller.Watch(socket, EPOLLIN);
//   ...
//   poller.Unwatch(socket);
//
// The poller never closes a watched socket, and the owner may close one without
// a call of Unwatch(): the sockets are in an epoll set of their own, from which
// the kernel removes a closed socket. Another descriptor that gets the number
// afterwards is not affected.

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

namespace cuminjunction {

class SocketPoller {
 public:
  // `events` are those of epoll_wait(). The number can be that of a socket that
  // was closed and opened again since: a socket that is not ready may be
  // reported.
  using Handler = std::function<void(int socket, uint32_t events)>;

  // `handler` is called on the event loop, never from within a call of this
  // object, and must not destroy it.
  SocketPoller(boost::asio::io_context* context, Handler handler);
  ~SocketPoller();
  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;

  // Reports the socket for as long as one of `events` (EPOLLIN, EPOLLOUT) is
  // true of it, instead of those watched before. Fails with the system's error.
  std::error_code Watch(int socket, uint32_t events);

  // Ends the reports of the socket, which may have been closed.
  void Unwatch(int socket);

 private:
  void Wait();
  void Report();

  Handler handler;
  // The epoll set; not open if the system has refused it.
  boost::asio::posix::stream_descriptor set;
  bool waiting = false;
  // Ends with this object, for a wait that is still reported.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace cuminjunction

#endif  // BASE_SOCKET_POLLER_H_
