#ifndef REQUEST_TESTING_SCRIPT_PEER_H_
#define REQUEST_TESTING_SCRIPT_PEER_H_

// A scripted peer of a framed connection for tests: an agent or an entry that
// sends the messages of the test and records those it receives.

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/event_thread.h"
#include "request/link.h"
#include "request/testing/path_harness.h"

namespace cuminjunction {

class ScriptPeer : public LinkHandler {
 public:
  // Called on the peer's thread for each message; may send.
  using Reaction = std::function<void(Link*, const Message&)>;

  explicit ScriptPeer(std::string name, Reaction reaction = nullptr)
      : name(std::move(name)),
        reaction(std::move(reaction)),
        thread("peer"),
        acceptor(thread.Context()) {
    this->thread.Start();
  }

  ~ScriptPeer() override {
    this->thread.Call([this] {
      boost::system::error_code ignored;
      this->acceptor.close(ignored);
      if (this->link)
        this->link->Close();
      return 0;
    });
    this->thread.Stop();
  }

  // Listens as an agent with the name of the peer.
  UpstreamEndpoint Listen() {
    return this->thread.Call([this] {
      using boost::asio::ip::tcp;
      const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
      this->acceptor = tcp::acceptor(this->thread.Context(), any);
      this->Accept();
      return UpstreamEndpoint{this->name,
                              "127.0.0.1",
                              this->acceptor.local_endpoint().port(),
                              {"runner"}};
    });
  }

  // Connects as an entry. Sends Hello unless `incarnation` is 0.
  void Connect(uint16_t port, uint64_t incarnation) {
    this->thread.Call([&] {
      using boost::asio::ip::tcp;
      tcp::socket socket(this->thread.Context());
      socket.connect({boost::asio::ip::address_v4::loopback(), port});
      this->StartLink(std::move(socket), incarnation);
      return 0;
    });
  }

  template <class T>
  void Send(const T& message) {
    this->thread.Call([&] {
      if (this->link)
        this->link->Send(message);
      return 0;
    });
  }

  // Sends a whole body as chunks.
  void SendBody(const AttemptId& id, BodyKind kind, const std::string& body) {
    this->thread.Call([&] {
      this->link->SendBody(id, kind, std::make_shared<std::string>(body),
                           kMaxChunkBytes);
      return 0;
    });
  }

  // Writes bytes to the raw connection without framing them.
  void SendRaw(const std::string& bytes) {
    this->thread.Call([&] {
      boost::system::error_code ignored;
      boost::asio::write(*this->raw, boost::asio::buffer(bytes), ignored);
      return 0;
    });
  }

  // Opens a connection that only SendRaw() writes to. RawClosed() waits until
  // the other side closes it.
  void ConnectRaw(uint16_t port) {
    this->raw.emplace(this->thread.Context());
    this->raw->connect({boost::asio::ip::address_v4::loopback(), port});
  }

  bool RawClosed() {
    std::string buffer(4096, 0);
    this->raw->non_blocking(true);
    return WaitUntil([&] {
      boost::system::error_code error;
      this->raw->read_some(boost::asio::buffer(buffer), error);
      return error && error != boost::asio::error::would_block;
    });
  }

  // Closes the connection abruptly, as the exit of a process does.
  void Disconnect() {
    this->thread.Call([this] {
      if (this->link)
        this->link->Close();
      this->link = nullptr;
      return 0;
    });
  }

  // Waits for `count` messages of a kind and returns them.
  template <class T>
  std::vector<T> Wait(size_t count) {
    std::vector<T> out;
    EXPECT_TRUE(WaitUntil([&] {
      out = this->Received<T>();
      return out.size() >= count;
    }));
    return out;
  }

  template <class T>
  std::vector<T> Received() {
    const absl::MutexLock lock(&this->mutex);
    std::vector<T> out;
    for (const Message& message : this->messages) {
      if (const T* found = std::get_if<T>(&message))
        out.push_back(*found);
    }
    return out;
  }

  bool IsClosed() {
    const absl::MutexLock lock(&this->mutex);
    return this->closed;
  }

 private:
  void Accept() {
    this->acceptor.async_accept(
        [this](std::error_code error, boost::asio::ip::tcp::socket socket) {
          if (error)
            return;
          this->StartLink(std::move(socket), 1);
          this->Accept();
        });
  }

  void StartLink(boost::asio::ip::tcp::socket socket, uint64_t incarnation) {
    this->link = std::make_shared<Link>(std::move(socket), this);
    this->link->Start();
    if (incarnation > 0)
      this->link->Send(Hello{kProtocolVersion, this->name, incarnation});
  }

  void OnMessage(Link* from, Message&& message) override {
    if (this->reaction)
      this->reaction(from, message);
    const absl::MutexLock lock(&this->mutex);
    this->messages.push_back(std::move(message));
  }

  void OnClosed(Link* /*link*/, std::error_code /*error*/) override {
    const absl::MutexLock lock(&this->mutex);
    this->closed = true;
  }

  std::string name;
  Reaction reaction;
  EventThread thread;
  boost::asio::ip::tcp::acceptor acceptor;
  std::shared_ptr<Link> link;
  std::optional<boost::asio::ip::tcp::socket> raw;
  absl::Mutex mutex;
  std::vector<Message> messages;
  bool closed = false;
};

// A whole answer to an attempt.
inline AnswerHead AnswerTo(const AttemptId& id, const std::string& body) {
  AnswerHead head;
  head.id = id;
  head.status = 200;
  head.body_size = body.size();
  head.bytes = body;
  return head;
}

// An agent that answers every attempt with the path of the request.
inline void AnswerWithPath(Link* link, const Message& message) {
  if (const Submit* submit = std::get_if<Submit>(&message))
    link->Send(AnswerTo(submit->id, submit->path));
}

}  // namespace cuminjunction

#endif  // REQUEST_TESTING_SCRIPT_PEER_H_
