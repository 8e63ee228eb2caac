#ifndef REQUEST_TESTING_SCRIPT_UPSTREAM_H_
#define REQUEST_TESTING_SCRIPT_UPSTREAM_H_

// An HTTP upstream for tests that answers with the bytes that a script returns,
// including damaged, delayed or truncated answers.

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "base/event_thread.h"
#include "base/strings.h"

namespace cuminjunction {

// A request as received by the upstream.
struct ScriptRequest {
  std::string head;
  std::string body;

  bool IsProbe() const { return this->head.starts_with("GET /probe "); }
  bool StartsWith(std::string_view text) const {
    return this->head.starts_with(text);
  }
};

// Response of the script to a request: the bytes to write, the delay before the
// write, and whether to close the connection afterwards.
struct ScriptReaction {
  std::string bytes;
  std::chrono::milliseconds delay{0};
  bool close = false;
};

inline ScriptReaction Reply(const std::string& body, int status = 200) {
  return {StrCat("HTTP/1.1 ", status, " OK\r\nContent-Length: ", body.size(),
                 "\r\nX-Upstream: script\r\n\r\n", body)};
}

class ScriptUpstream {
 public:
  using Script = std::function<ScriptReaction(const ScriptRequest&)>;

  // Probes are answered without the script, which runs on the upstream's
  // thread.
  explicit ScriptUpstream(Script script, uint16_t port = 0)
      : script(std::move(script)),
        thread("upstream"),
        acceptor(thread.Context(),
                 {boost::asio::ip::address_v4::loopback(), port}),
        port(this->acceptor.local_endpoint().port()) {
    this->Accept();
    this->thread.Start();
  }

  ~ScriptUpstream() { this->Stop(); }

  // Closes all connections, as a crash does.
  void Stop() {
    if (std::exchange(this->stopped, true))
      return;
    this->thread.Call([this] {
      boost::system::error_code ignored;
      this->acceptor.close(ignored);
      for (const std::weak_ptr<Session>& session : this->sessions) {
        if (const auto open = session.lock())
          open->socket.close(ignored);
      }
      return 0;
    });
    this->thread.Stop();
  }

  uint16_t Port() const { return this->port; }
  // Requests other than probes.
  int Count() const { return this->count.load(); }

 private:
  struct Session : std::enable_shared_from_this<Session> {
    Session(ScriptUpstream* upstream, boost::asio::ip::tcp::socket socket)
        : upstream(upstream),
          socket(std::move(socket)),
          timer(upstream->thread.Context()) {}

    void ReadHead() {
      boost::asio::async_read_until(this->socket, this->buffer, "\r\n\r\n",
                                    [self = this->shared_from_this()](
                                        std::error_code error, size_t size) {
                                      if (!error)
                                        self->OnHead(size);
                                    });
    }

    void OnHead(size_t size) {
      this->request = {};
      this->request.head = this->Consume(size);
      const size_t at = this->request.head.find("Content-Length: ");
      size_t length = 0;
      if (at != std::string::npos)
        length =
            std::strtoull(this->request.head.c_str() + at + 16, nullptr, 10);
      this->ReadBody(length);
    }

    void ReadBody(size_t length) {
      const size_t have = this->buffer.size();
      boost::asio::async_read(
          this->socket, this->buffer,
          boost::asio::transfer_exactly(have < length ? length - have : 0),
          [self = this->shared_from_this(), length](std::error_code error,
                                                    size_t) {
            if (error)
              return;
            self->request.body = self->Consume(length);
            self->React();
          });
    }

    void React() {
      if (!this->request.IsProbe())
        ++this->upstream->count;
      const ScriptReaction reaction = this->request.IsProbe()
                                          ? Reply("up")
                                          : this->upstream->script(request);
      this->bytes = reaction.bytes;
      this->timer.expires_after(reaction.delay);
      this->timer.async_wait(
          [self = this->shared_from_this(),
           close = reaction.close](std::error_code) { self->Write(close); });
    }

    void Write(bool close) {
      boost::asio::async_write(this->socket, boost::asio::buffer(this->bytes),
                               [self = this->shared_from_this(), close](
                                   std::error_code error, size_t) {
                                 boost::system::error_code ignored;
                                 if (close)
                                   self->socket.close(ignored);
                                 else if (!error)
                                   self->ReadHead();
                               });
    }

    std::string Consume(size_t size) {
      const auto begin = boost::asio::buffers_begin(this->buffer.data());
      std::string out(begin, begin + static_cast<std::ptrdiff_t>(size));
      this->buffer.consume(size);
      return out;
    }

    ScriptUpstream* upstream;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::asio::streambuf buffer;
    ScriptRequest request;
    std::string bytes;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](std::error_code error, boost::asio::ip::tcp::socket socket) {
          if (error)
            return;
          auto session = std::make_shared<Session>(this, std::move(socket));
          this->sessions.push_back(session);
          session->ReadHead();
          this->Accept();
        });
  }

  Script script;
  std::atomic<int> count = 0;
  EventThread thread;
  boost::asio::ip::tcp::acceptor acceptor;
  uint16_t port;
  bool stopped = false;
  std::vector<std::weak_ptr<Session>> sessions;
};

}  // namespace cuminjunction

#endif  // REQUEST_TESTING_SCRIPT_UPSTREAM_H_
