#ifndef REQUEST_LINK_H_
#define REQUEST_LINK_H_

// One framed TCP connection between an entry and an agent, on either side.
//
//   auto link = std::make_shared<Link>(std::move(socket), &handler);
//   link->Start();
//   const uint64_t position = link->Send(submit);
//   ...
//   void OnClosed(Link* link, std::error_code error) {
//     if (!link->IsOffered(position)) ...   // certainly never written
//   }
//
// Messages sent during one turn of the event loop go out in one write. Large
// bodies are cut into chunks that alternate with one another and follow the
// small messages, so that a large body delays nothing by more than one batch.
// All calls are made on the event thread of the socket.

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <system_error>

#include "base/frame.h"
#include "request/message.h"

namespace cuminjunction {

class Link;

// True for the errors of damaged or unexpected bytes, in contrast to those of
// the network.
bool IsDamage(std::error_code error);

// What the owner of a link does with its events.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  // A checked message.
  virtual void OnMessage(Link* link, Message&& message) = 0;
  // The connection has ended. Called at most once, never from within Send()
  // or Close(). Damaged bytes give a FrameError, CodecError or MessageError.
  virtual void OnClosed(Link* link, std::error_code error) = 0;
};

// What the chunks of a body are sent as.
enum class BodyKind : uint8_t { kRequest, kAnswer };

class Link : public std::enable_shared_from_this<Link> {
 public:
  // `handler` must outlive the link or call Close().
  Link(boost::asio::ip::tcp::socket socket, LinkHandler* handler);

  // Starts to read.
  void Start();

  // Queues a message. The result is its position in the stream for
  // IsOffered().
  template <class T>
  uint64_t Send(const T& message) {
    const uint64_t position = this->offered + this->queued.size();
    this->scratch.clear();
    AppendMessage(message, &this->scratch);
    AppendFrame(this->scratch, &this->queued);
    this->ScheduleFlush();
    return position;
  }

  // Queues the bytes of a body from `offset` on as chunks.
  void SendBody(const AttemptId& id,
                BodyKind kind,
                std::shared_ptr<const std::string> bytes,
                size_t offset);

  // Drops the chunks of a body that have not been written.
  void DropBody(const AttemptId& id);

  // True when the message at this position may have left the process. False
  // is certain: no byte of it was passed to the system.
  bool IsOffered(uint64_t position) const { return position < this->offered; }

  // Bytes waiting to be written, with those of bodies.
  size_t PendingBytes() const;

  // Ends the connection without a call of the handler. What was queued is
  // dropped.
  void Close();

  // Writes what is queued, then ends the connection without a call of the
  // handler.
  void CloseAfterWriting();

  bool IsOpen() const { return this->socket.is_open(); }

 private:
  struct Body {
    AttemptId id;
    BodyKind kind = BodyKind::kRequest;
    std::shared_ptr<const std::string> bytes;
    size_t offset = 0;
  };

  void ScheduleFlush();
  void Flush();
  void AppendChunks();
  void AppendChunk(Body* body);
  void OnWritten(std::error_code error);
  void Read();
  void OnReadable(std::error_code error);
  void Dispatch();
  void Fail(std::error_code error);

  boost::asio::ip::tcp::socket socket;
  LinkHandler* handler;
  FrameReader reader;
  std::string scratch;
  // Frames not yet passed to the system, and those that are being written.
  std::string queued;
  std::string writing;
  std::deque<Body> bodies;
  size_t body_bytes = 0;
  // Bytes passed to the system since the start of the connection.
  uint64_t offered = 0;
  bool flush_scheduled = false;
  bool write_active = false;
  bool closing = false;
};

}  // namespace cuminjunction

#endif  // REQUEST_LINK_H_
