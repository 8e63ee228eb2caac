#ifndef REQUEST_LINK_H_
#define REQUEST_LINK_H_

// One framed TCP connection between an entry and an agent, used by both sides.
//
//   auto link = std::make_shared<Link>(std::move(socket), &handler);
//   link->Start();
//   const uint64_t position = link->Send(submit);
//   ...
//   void OnClosed(Link* link, std::error_code error) {
//     if (!link->MayHaveBeenWritten(position)) ...   // no byte was written
//   }
//
// Messages queued during one iteration of the event loop are sent in one write.
// Large bodies are split into chunks, which are interleaved and follow the
// small messages, so that a large body delays other messages by at most one
// batch. All functions must be called on the event thread of the socket.

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

// True for the errors of damaged or unexpected bytes (FrameError, CodecError
// and MessageError), false for network errors.
bool IsProtocolError(std::error_code error);

// Receives the events of a link.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  // A message that ReadMessage() has validated.
  virtual void OnMessage(Link* link, Message&& message) = 0;
  // The connection has ended. Called at most once, never from within Send()
  // or Close(). `error` is a FrameError, CodecError or MessageError after
  // damaged bytes, and the network error otherwise.
  virtual void OnClosed(Link* link, std::error_code error) = 0;
};

// Direction of a body: sent as BodyChunk or as AnswerChunk messages.
enum class BodyKind : uint8_t { kRequest, kAnswer };

class Link : public std::enable_shared_from_this<Link> {
 public:
  // `handler` must outlive the link or call Close() first.
  Link(boost::asio::ip::tcp::socket socket, LinkHandler* handler);

  // Sets the socket options and starts reading.
  void Start();

  // Queues a message. Returns its byte position in the stream, for
  // MayHaveBeenWritten().
  template <class T>
  uint64_t Send(const T& message) {
    const uint64_t position = this->written_position + this->queued.size();
    this->scratch.clear();
    AppendMessage(message, &this->scratch);
    AppendMessageFrames(this->scratch, &this->queued);
    this->ScheduleFlush();
    return position;
  }

  // Queues the bytes of a body, starting at `offset`, as chunks.
  void SendBody(const AttemptId& id,
                BodyKind kind,
                std::shared_ptr<const std::string> bytes,
                size_t offset);

  // Drops the chunks of a body whose write has not started.
  void DropBody(const AttemptId& id);

  // True when the message at this position may have left the process. False
  // guarantees that no byte of it was passed to the kernel.
  bool MayHaveBeenWritten(uint64_t position) const {
    return position < this->written_position;
  }

  // Bytes that wait to be written, including those of queued bodies.
  size_t PendingBytes() const;

  // Closes the connection without calling the handler. Drops the queued
  // messages.
  void Close();

  // Writes the queued messages, then closes the connection without calling the
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
  // Frames not yet passed to the kernel, and those that are being written.
  std::string queued;
  std::string writing;
  std::deque<Body> bodies;
  size_t body_bytes = 0;
  // Bytes passed to the kernel since the start of the connection. A write
  // counts in full as soon as it starts.
  uint64_t written_position = 0;
  bool flush_scheduled = false;
  bool write_active = false;
  bool close_after_writing = false;
};

}  // namespace cuminjunction

#endif  // REQUEST_LINK_H_
