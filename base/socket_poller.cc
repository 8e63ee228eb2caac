#include "base/socket_poller.h"

#include <sys/epoll.h>

#include <array>
#include <cerrno>
#include <utility>

namespace cuminjunction {

namespace {

// Sockets reported per event, so that other events of the loop are not delayed.
constexpr int kMaxReports = 64;

std::error_code LastSystemError() {
  return {errno, std::system_category()};
}

}  // namespace

SocketPoller::SocketPoller(boost::asio::io_context* context, Handler handler)
    : handler(std::move(handler)), set(*context) {
  const int descriptor = epoll_create1(EPOLL_CLOEXEC);
  if (descriptor >= 0)
    this->set.assign(descriptor);
}

SocketPoller::~SocketPoller() = default;

std::error_code SocketPoller::Watch(int socket, uint32_t events) {
  if (!this->set.is_open())
    return std::make_error_code(std::errc::too_many_files_open);
  epoll_event event = {};
  event.events = events;
  event.data.fd = socket;
  const int descriptor = this->set.native_handle();
  if (epoll_ctl(descriptor, EPOLL_CTL_ADD, socket, &event) != 0 &&
      (errno != EEXIST ||
       epoll_ctl(descriptor, EPOLL_CTL_MOD, socket, &event) != 0))
    return LastSystemError();
  this->Wait();
  return {};
}

void SocketPoller::Unwatch(int socket) {
  // Fails if the socket was closed, which has removed it from the set.
  if (this->set.is_open())
    epoll_ctl(this->set.native_handle(), EPOLL_CTL_DEL, socket, nullptr);
}

void SocketPoller::Wait() {
  if (std::exchange(this->waiting, true))
    return;
  this->set.async_wait(
      boost::asio::posix::stream_descriptor::wait_read,
      [this, alive = std::weak_ptr(this->alive)](std::error_code error) {
        if (error || alive.expired())
          return;
        this->waiting = false;
        this->Report();
        this->Wait();
      });
}

void SocketPoller::Report() {
  std::array<epoll_event, kMaxReports> ready;
  const int count =
      epoll_wait(this->set.native_handle(), ready.data(), kMaxReports, 0);
  for (int i = 0; i < count; ++i)
    this->handler(ready[i].data.fd, ready[i].events);
}

}  // namespace cuminjunction
