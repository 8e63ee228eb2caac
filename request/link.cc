#include "request/link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace cuminjunction {

namespace {

constexpr size_t kReadBufferBytes = 256 * 1024;

// Body chunks are added to a write until it has this many bytes. This keeps the
// delay of a small message behind them below 0.1 ms on a fast network.
constexpr size_t kWriteBatchBytes = 256 * 1024;

// A connection fails when its peer acknowledges no data for this long. The
// default of the kernel is about 15 minutes, during which the attempts sent to
// a failed VM would stay outstanding.
constexpr int kPeerTimeoutMs = 10'000;

void SetTcpOption(int fd, int option, int value) {
  setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
}

}  // namespace

bool IsProtocolError(std::error_code error) {
  const std::error_category& category = error.category();
  return category == make_error_code(FrameError::kChecksum).category() ||
         category == make_error_code(CodecError::kTruncated).category() ||
         category == make_error_code(MessageError::kEmpty).category();
}

Link::Link(boost::asio::ip::tcp::socket socket, LinkHandler* handler)
    : socket(std::move(socket)), handler(handler) {}

void Link::Start() {
  boost::system::error_code ignored;
  this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const int fd = this->socket.native_handle();
  SetTcpOption(fd, TCP_USER_TIMEOUT, kPeerTimeoutMs);
  SetTcpOption(fd, TCP_KEEPIDLE, kPeerTimeoutMs / 2000);
  SetTcpOption(fd, TCP_KEEPINTVL, kPeerTimeoutMs / 4000);
  this->socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  this->socket.non_blocking(true, ignored);
  this->Read();
}

void Link::SendBody(const AttemptId& id,
                    BodyKind kind,
                    std::shared_ptr<const std::string> bytes,
                    size_t offset) {
  this->body_bytes += bytes->size() - offset;
  this->bodies.push_back({id, kind, std::move(bytes), offset});
  this->ScheduleFlush();
}

void Link::DropBody(const AttemptId& id) {
  std::erase_if(this->bodies, [&](const Body& body) {
    if (body.id != id)
      return false;
    this->body_bytes -= body.bytes->size() - body.offset;
    return true;
  });
}

size_t Link::PendingBytes() const {
  return this->queued.size() + this->writing.size() + this->body_bytes;
}

void Link::Close() {
  this->handler = nullptr;
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void Link::CloseAfterWriting() {
  this->handler = nullptr;
  this->close_after_writing = true;
  this->ScheduleFlush();
}

void Link::ScheduleFlush() {
  if (this->flush_scheduled || this->write_active)
    return;
  this->flush_scheduled = true;
  boost::asio::post(this->socket.get_executor(),
                    [self = this->shared_from_this()] {
                      self->flush_scheduled = false;
                      self->Flush();
                    });
}

void Link::Flush() {
  if (this->write_active || !this->socket.is_open())
    return;
  this->writing.clear();
  this->writing.swap(this->queued);
  this->AppendChunks();
  if (this->writing.empty()) {
    if (this->close_after_writing)
      this->Close();
    return;
  }
  this->written_position += this->writing.size();
  this->write_active = true;
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->writing),
      [self = this->shared_from_this()](std::error_code error, size_t) {
        self->OnWritten(error);
      });
}

void Link::AppendChunks() {
  while (!this->bodies.empty() && this->writing.size() < kWriteBatchBytes) {
    Body body = std::move(this->bodies.front());
    this->bodies.pop_front();
    this->AppendChunk(&body);
    if (body.offset < body.bytes->size())
      this->bodies.push_back(std::move(body));
  }
}

void Link::AppendChunk(Body* body) {
  const size_t size =
      std::min(kMaxChunkBytes, body->bytes->size() - body->offset);
  const bool last = body->offset + size == body->bytes->size();
  this->scratch.clear();
  if (body->kind == BodyKind::kRequest) {
    AppendMessage(
        BodyChunk{body->id, last, body->bytes->substr(body->offset, size)},
        &this->scratch);
  } else {
    AppendMessage(
        AnswerChunk{body->id, last, body->bytes->substr(body->offset, size)},
        &this->scratch);
  }
  AppendMessageFrames(this->scratch, &this->writing);
  body->offset += size;
  this->body_bytes -= size;
}

void Link::OnWritten(std::error_code error) {
  this->write_active = false;
  this->writing.clear();
  if (error) {
    this->Fail(error);
    return;
  }
  this->Flush();
}

void Link::Read() {
  this->socket.async_wait(
      boost::asio::socket_base::wait_read,
      [self = this->shared_from_this()](std::error_code error) {
        self->OnReadable(error);
      });
}

void Link::OnReadable(std::error_code error) {
  if (error) {
    this->Fail(error);
    return;
  }
  if (this->handler == nullptr)
    return;
  // Shared by all links of the thread. A buffer for each link would cost every
  // shard of an entry 256 KiB for each of 800 agents.
  thread_local const auto buffer = std::make_unique<char[]>(kReadBufferBytes);
  boost::system::error_code failure;
  const size_t size = this->socket.read_some(
      boost::asio::buffer(buffer.get(), kReadBufferBytes), failure);
  if (failure && failure != boost::asio::error::would_block) {
    this->Fail(failure);
    return;
  }
  this->reader.Append(std::string_view(buffer.get(), size));
  this->Dispatch();
  if (this->socket.is_open())
    this->Read();
}

void Link::Dispatch() {
  while (this->handler != nullptr) {
    Result<std::optional<std::string_view>> payload = this->reader.Next();
    if (!payload) {
      this->Fail(payload.error());
      return;
    }
    if (!payload.value())
      return;
    Result<Message> message = ReadMessage(*payload.value());
    if (!message) {
      this->Fail(message.error());
      return;
    }
    this->handler->OnMessage(this, std::move(message.value()));
  }
}

void Link::Fail(std::error_code error) {
  LinkHandler* last_handler = this->handler;
  this->Close();
  if (last_handler != nullptr)
    last_handler->OnClosed(this, error);
}

}  // namespace cuminjunction
