#include "base/frame_link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

using boost::asio::ip::tcp;

// A peer that does not read what it is sent is cut off at this many bytes, so
// that it can't fill the memory of this process.
constexpr size_t kMaxQueuedBytes = 32 * 1024 * 1024;

}  // namespace

FrameLink::FrameLink(tcp::socket socket, FrameHandlers handlers)
    : socket(std::move(socket)), handlers(std::move(handlers)) {}

void FrameLink::Connect(const Endpoint& to) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(to.host, error);
  if (error) {
    this->Fail(error);
    return;
  }
  this->socket.async_connect(
      tcp::endpoint(address, to.port),
      [self = this->shared_from_this()](std::error_code failure) {
        if (self->closed)
          return;
        if (failure) {
          self->Fail(failure);
          return;
        }
        self->Open();
        if (self->handlers.on_open)
          self->handlers.on_open();
      });
}

void FrameLink::Open() {
  this->open = true;
  boost::system::error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->Read();
  this->Write();
}

void FrameLink::Send(std::string_view message) {
  if (this->closed)
    return;
  if (message.size() > kMaxMessageBytes) {
    this->Fail(make_error_code(FrameError::kTooLong));
    return;
  }
  AppendMessageFrames(message, &this->queued);
  if (this->queued.size() > kMaxQueuedBytes)
    this->Fail(std::make_error_code(std::errc::no_buffer_space));
  else
    this->ScheduleWrite();
}

void FrameLink::Close() {
  this->closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void FrameLink::Fail(std::error_code reason) {
  if (this->closed)
    return;
  this->Close();
  if (this->handlers.on_closed)
    this->handlers.on_closed(reason);
}

void FrameLink::Read() {
  this->socket.async_read_some(
      boost::asio::buffer(this->received),
      [self = this->shared_from_this()](std::error_code error, size_t size) {
        if (self->closed)
          return;
        if (error)
          self->Fail(error);
        else
          self->Take(size);
      });
}

void FrameLink::Take(size_t size) {
  this->last_received = BootClock().Now();
  this->reader.Append({this->received.data(), size});
  for (;;) {
    const auto next = this->reader.Next();
    if (!next) {
      this->Fail(next.error());
      return;
    }
    if (!next.value())
      break;
    const Status taken = this->handlers.on_message(*next.value());
    if (this->closed)
      return;
    if (!taken) {
      this->Fail(taken.error());
      return;
    }
  }
  this->Read();
}

void FrameLink::ScheduleWrite() {
  if (!this->open || std::exchange(this->write_posted, true))
    return;
  boost::asio::post(this->socket.get_executor(),
                    [self = this->shared_from_this()] {
                      self->write_posted = false;
                      self->Write();
                    });
}

void FrameLink::Write() {
  if (!this->open || this->closed || !this->writing.empty() ||
      this->queued.empty())
    return;
  this->writing.swap(this->queued);
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->writing),
      [self = this->shared_from_this()](std::error_code error, size_t) {
        self->writing.clear();
        if (error)
          self->Fail(error);
        else
          self->Write();
      });
}

}  // namespace cuminjunction
