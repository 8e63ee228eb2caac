#ifndef BASE_FRAME_LINK_H_
#define BASE_FRAME_LINK_H_

// One TCP connection that carries messages (base/frame.h) in both directions.
//
//   auto link = std::make_shared<FrameLink>(std::move(socket), FrameHandlers{
//       .on_message = [](std::string_view message) { return Use(message); },
//       .on_closed = [](std::error_code reason) { ... }});
//   link->Open();
//   link->Send(message);
//
// Messages that are sent during one turn of the event loop go out in one write.
// What is queued is lost when the connection breaks; senders repeat what
// matters. All calls are made on the event thread of the socket.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "absl/time/time.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "base/frame.h"

namespace cuminjunction {

struct FrameHandlers {
  // The connection has been made, on the side that called Connect().
  std::function<void()> on_open;
  // One message. An error closes the connection.
  std::function<Status(std::string_view message)> on_message;
  // The connection has ended for this reason. Called at most once and not
  // after Close().
  std::function<void(std::error_code reason)> on_closed;
};

class FrameLink : public std::enable_shared_from_this<FrameLink> {
 public:
  FrameLink(boost::asio::ip::tcp::socket socket, FrameHandlers handlers);

  // Makes the connection. Frames may be sent before it stands.
  void Connect(const Endpoint& to);

  // Starts to use a connection that stands.
  void Open();

  // Queues a message. A peer that does not read is cut off, and so is one to
  // which a message longer than kMaxMessageBytes is sent.
  void Send(std::string_view message);

  // Ends the connection without a call of the handlers.
  void Close();

  bool IsClosed() const { return this->closed; }

  // When bytes last arrived, by the boot clock: a long message may still be on
  // its way.
  absl::Time LastReceived() const { return this->last_received; }

 private:
  void Fail(std::error_code reason);
  void Read();
  void Take(size_t size);
  void ScheduleWrite();
  void Write();

  boost::asio::ip::tcp::socket socket;
  FrameHandlers handlers;
  bool open = false;
  bool closed = false;
  bool write_posted = false;
  std::array<char, 16384> received;
  FrameReader reader;
  absl::Time last_received = absl::InfinitePast();
  std::string queued;
  std::string writing;
};

}  // namespace cuminjunction

#endif  // BASE_FRAME_LINK_H_
