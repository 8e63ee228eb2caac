#ifndef REQUEST_HTTP_FRONT_H_
#define REQUEST_HTTP_FRONT_H_

// The HTTP side of an entry shard: a libmicrohttpd daemon that an event loop
// drives.
//
//   HttpFront front(&context, options, [&](HttpExchange* exchange) {
//     ...                               // the whole request has arrived
//     front.Answer(exchange, {200, headers, body});   // now or later
//   });
//   Result<uint16_t> port = front.Start();
//
// A connection is suspended from the moment its request is handed over until
// Answer(). An exchange lives until it is answered. All calls are made on the
// thread of the event loop.

#include <microhttpd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "base/error.h"
#include "base/http_message.h"

namespace cuminjunction {

struct HttpFrontOptions {
  // Address to listen on; port 0 lets the system choose. Several shards listen
  // on one port.
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  // The most connections; requests on one more are answered 503.
  unsigned max_connections = 4096;
  // The most bytes of request and answer bodies that are held at a time;
  // requests beyond them are answered 503.
  size_t max_held_bytes = 256 * 1024 * 1024;
  // How long a connection may be idle, in seconds.
  unsigned idle_timeout_s = 60;
};

enum class HttpFrontError { kCannotListen = 1 };

template <>
struct ErrorTraits<HttpFrontError> {
  static constexpr const char* kCategory = "http";
  static std::string_view Message(HttpFrontError error);
};

struct HttpReply {
  unsigned status = 0;
  HeaderList headers;
  std::string body;
};

// Limits that the front itself enforces.
enum class HttpLimit : uint8_t {
  kNone,
  kBody,
  kHeaders,
  kConnections,
  kMemory
};

// One request with the connection that waits for its answer.
struct HttpExchange {
  std::string method;
  // Path and query as they were sent.
  std::string path;
  HeaderList headers;
  std::string body;
  // Not kNone when a limit was exceeded; the body is then incomplete.
  HttpLimit limit = HttpLimit::kNone;
  // When the whole request had arrived, by the boot clock.
  absl::Time received;

 private:
  friend class HttpFront;

  MHD_Connection* connection = nullptr;
  bool seen = false;
  bool handed_over = false;
  bool answered = false;
  size_t discarded = 0;
  // Bytes of request and answer that count as held, and those of them that
  // count for an answer that has not arrived in whole.
  size_t held = 0;
  size_t held_ahead = 0;
  HttpReply reply;
};

class HttpFront {
 public:
  using Handler = std::function<void(HttpExchange* exchange)>;

  HttpFront(boost::asio::io_context* context,
            HttpFrontOptions options,
            Handler handler);
  ~HttpFront();
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  // Listens. Returns the port, or kCannotListen.
  Result<uint16_t> Start();

  // Answers an exchange, which ends with this call.
  void Answer(HttpExchange* exchange, HttpReply&& reply);

  // Counts the bytes of an answer that is arriving as held, so that they
  // belong to max_held_bytes before Answer().
  void HoldAhead(HttpExchange* exchange, size_t bytes);

  // From now on each answer ends its connection.
  void CloseConnectionsAfterAnswers() { this->closing = true; }

  // Ignores new connections from now on, while those that the system has
  // begun to open are still accepted. Closing the socket at once would reset
  // connections whose callers have sent a request already.
  void IgnoreNewConnections();

  // Closes the listening socket; connections that exist go on. To be called
  // a few round trips after IgnoreNewConnections().
  void StopListening();

  // Connections that exist, and requests of which a part has arrived and the
  // answer is not written in whole.
  unsigned ConnectionCount() const { return this->connections; }
  size_t OpenCount() const { return this->open; }

  // Closes all connections. Exchanges that are not answered end with status
  // 504, since their outcome is unknown.
  void Stop();

 private:
  void Wait();
  void Run();
  void ScheduleRun();
  void Tick();
  MHD_Result OnData(HttpExchange* exchange, const char* data, size_t* size);
  MHD_Result OnFirstCall(HttpExchange* exchange, const char* method);
  MHD_Result HandOver(HttpExchange* exchange);
  MHD_Result QueueReply(HttpExchange* exchange);

  static void* OnUri(void* self, const char* uri, MHD_Connection* connection);
  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* data,
                             size_t* size,
                             void** exchange);
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** exchange,
                          MHD_RequestTerminationCode code);
  static void OnConnection(void* self,
                           MHD_Connection* connection,
                           void** socket_context,
                           MHD_ConnectionNotificationCode code);

  boost::asio::io_context* context;
  HttpFrontOptions options;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  boost::asio::posix::stream_descriptor epoll;
  boost::asio::steady_timer timer;
  bool run_scheduled = false;
  bool closing = false;
  unsigned connections = 0;
  size_t open = 0;
  size_t held_bytes = 0;
  // Exchanges that wait for Answer(), with a suspended connection each.
  absl::flat_hash_set<HttpExchange*> suspended;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace cuminjunction

#endif  // REQUEST_HTTP_FRONT_H_
