#ifndef BASE_HTTP_CALLER_H_
#define BASE_HTTP_CALLER_H_

// Calls of an agent to its upstream with libcurl's multi interface on an event
// loop.
//
//   HttpCaller caller(&context, options,
//                         [](uint64_t call, HttpAnswer&& answer) { ... });
//   caller.Start(7, {"GET", "/x", headers, body, true, deadline_after});
//
// The sockets belong to libcurl alone, which opens and closes them. Not every
// version reports each socket that it closes.
//
// Only whole answers count as answered. A connection that could not be opened
// is told apart from one that broke, since the first means for certain that
// the upstream did not see the request.

#include <curl/curl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/http_message.h"
#include "base/socket_poller.h"

namespace cuminjunction {

struct HttpCallerOptions {
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  // The most TCP connections to the upstream.
  int connections = 64;
  // Limit for opening a connection, in milliseconds.
  int connect_timeout_ms = 1000;
};

struct HttpCall {
  std::string method;
  // Path with query, starting with '/'.
  std::string path;
  HeaderList headers;
  std::string body;
  bool idempotent = false;
  // How long the answer may take.
  absl::Duration timeout;
  // If not zero, `timeout` only limits the time until the answer begins, and
  // this limits each pause in it. An answer of any size is then received over a
  // slow link, while a connection that falls silent is still noticed.
  absl::Duration max_pause;
};

enum class CallResult : uint8_t {
  // The whole answer was received.
  kAnswered,
  // No connection could be opened: the upstream has not seen the call.
  kNotStarted,
  kCutOff,
  kTooLarge,
  kTimeout,
};

struct HttpAnswer {
  CallResult result = CallResult::kCutOff;
  // The upstream's host has refused the connection: nothing listens there. Only
  // with kNotStarted, which also covers time-outs.
  bool refused = false;
  uint32_t status = 0;
  // The request was sent more than once: a kept connection broke before its
  // answer, and libcurl sent the request again on another one. What the answer
  // says is true of the last copy; the upstream may carry out an earlier one
  // too, also later.
  bool resent = false;
  HeaderList headers;
  std::string body;
};

class HttpCaller {
 public:
  using Done = std::function<void(uint64_t call, HttpAnswer&& answer)>;

  // `done` is called on the event loop for each call that was started and not
  // aborted, never from within Start() or Abort().
  HttpCaller(boost::asio::io_context* context,
             const HttpCallerOptions& options,
             Done done);
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  // Starts a call under a number that no running call has.
  void Start(uint64_t call, HttpCall request);

  // Ends a call without a report; its connection is closed.
  void Abort(uint64_t call);

  size_t RunningCount() const { return this->transfers.size(); }

 private:
  struct Transfer;

  std::unique_ptr<Transfer> TakeTransfer();
  void Prepare(Transfer* transfer);
  void PrepareBody(Transfer* transfer);
  void Release(std::unique_ptr<Transfer> transfer);
  void Act(curl_socket_t socket, int events);
  void ReportFinished();
  void Finish(CURL* easy, CURLcode code);
  // Ends the call at its deadline, which moves with each part of the answer.
  void WatchProgress(uint64_t call);
  void CheckProgress(uint64_t call);
  void ArmTimer(int64_t timeout_ms);
  // Ends the call, of which a socket can't be watched, in a later message.
  void FailLater(CURL* easy);

  static int OnSocket(CURL* easy,
                      curl_socket_t fd,
                      int what,
                      void* self,
                      void* socket);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);
  static curl_socket_t OnOpen(void* self,
                              curlsocktype purpose,
                              curl_sockaddr* address);
  static int OnRequest(void* transfer,
                       char* to,
                       char* from,
                       int to_port,
                       int from_port);
  static size_t OnHeader(char* data, size_t size, size_t count, void* transfer);
  static size_t OnBody(char* data, size_t size, size_t count, void* transfer);

  boost::asio::io_context* context;
  HttpCallerOptions options;
  Done done;
  std::string base_url;
  CURLM* multi;
  boost::asio::steady_timer timer;
  SocketPoller poller;
  bool act_posted = false;
  // Ends with this object, for messages that were posted and timers that have
  // expired before.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  // Set while the destructor runs, when callbacks must not touch the loop.
  bool ending = false;
  absl::flat_hash_map<uint64_t, std::unique_ptr<Transfer>> transfers;
  std::vector<std::unique_ptr<Transfer>> idle;
};

}  // namespace cuminjunction

#endif  // BASE_HTTP_CALLER_H_
