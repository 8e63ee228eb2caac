#include "base/http_front.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <cstring>
#include <iterator>
#include <utility>

#include "base/time.h"
namespace cuminjunction {

namespace {

// Memory of a connection for the header blocks of a request and its answer and
// for the parsed headers. libmicrohttpd clears all of it after each request:
// with 128 KiB that took half of the time of a shard.
constexpr size_t kConnectionMemory =
    kMaxHeaderBytes + kMaxAnswerHeaderBytes + 8 * 1024;

// Connections above the limit that are accepted in order to be told so.
constexpr unsigned kExtraConnections = 64;

// Bytes of a body above the limit that are read before the connection is
// closed; callers that send a little too much still get the typed answer.
constexpr size_t kMaxDiscardedBytes = 4 * kMaxBodyBytes;

// Status of requests that are not answered when the front stops.
constexpr unsigned kUnknownOutcomeStatus = 504;

// How often libmicrohttpd looks for connections that have timed out.
constexpr std::chrono::milliseconds kTick(250);

MHD_Result AddHeader(void* list,
                     MHD_ValueKind /*kind*/,
                     const char* name,
                     const char* value) {
  static_cast<HeaderList*>(list)->emplace_back(name,
                                               value == nullptr ? "" : value);
  return MHD_YES;
}

// Keeps URIs as they were sent.
size_t KeepEscapes(void* /*cls*/, MHD_Connection* /*connection*/, char* text) {
  return std::strlen(text);
}

void FreeString(void* text) {
  delete static_cast<std::string*>(text);
}

MHD_Response* MakeResponse(std::string&& body) {
  if (body.empty())
    return MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
  auto* kept = new std::string(std::move(body));
  return MHD_create_response_from_buffer_with_free_callback_cls(
      kept->size(), kept->data(), &FreeString, kept);
}

uint64_t DeclaredLength(const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    if (strcasecmp(name.c_str(), "Content-Length") == 0)
      return std::strtoull(value.c_str(), nullptr, 10);
  }
  return 0;
}

}  // namespace

std::string_view ErrorTraits<HttpFrontError>::Message(HttpFrontError error) {
  switch (error) {
    case HttpFrontError::kCannotListen:
      return "can't listen on the address";
  }
  return "unknown http error";
}

HttpFront::HttpFront(boost::asio::io_context* context,
                     HttpFrontOptions options,
                     Handler handler)
    : context(context),
      options(std::move(options)),
      handler(std::move(handler)),
      epoll(*context),
      timer(*context) {}

HttpFront::~HttpFront() {
  this->Stop();
}

Result<uint16_t> HttpFront::Start() {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(this->options.port);
  if (inet_pton(AF_INET, this->options.host.c_str(), &address.sin_addr) != 1)
    return HttpFrontError::kCannotListen;
  this->daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, this->options.port, nullptr,
      nullptr, &OnAccess, this, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_CONNECTION_LIMIT,
      this->options.max_connections + kExtraConnections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemory,
      MHD_OPTION_CONNECTION_TIMEOUT, this->options.idle_timeout_s,
      MHD_OPTION_URI_LOG_CALLBACK, &OnUri, this, MHD_OPTION_UNESCAPE_CALLBACK,
      &KeepEscapes, this, MHD_OPTION_NOTIFY_COMPLETED, &OnCompleted, this,
      MHD_OPTION_NOTIFY_CONNECTION, &OnConnection, this, MHD_OPTION_END);
  if (this->daemon == nullptr)
    return HttpFrontError::kCannotListen;
  const MHD_DaemonInfo* port =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
  const MHD_DaemonInfo* epoll_info =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  this->epoll.assign(epoll_info->epoll_fd);
  this->Wait();
  this->Tick();
  return port->port;
}

void HttpFront::Answer(HttpExchange* exchange, HttpReply&& reply) {
  exchange->reply = std::move(reply);
  exchange->answered = true;
  const size_t size = exchange->reply.body.size();
  if (size > exchange->held_ahead)
    this->HoldAhead(exchange, size - exchange->held_ahead);
  if (this->suspended.erase(exchange) == 0)
    return;
  // libmicrohttpd calls OnAccess() again, which queues the reply.
  MHD_resume_connection(exchange->connection);
  this->ScheduleRun();
}

void HttpFront::HoldAhead(HttpExchange* exchange, size_t bytes) {
  exchange->held_ahead += bytes;
  exchange->held += bytes;
  this->held_bytes += bytes;
}

void HttpFront::IgnoreNewConnections() {
  if (this->daemon == nullptr)
    return;
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  // Drops the packets that open a connection: those with the flag SYN in the
  // byte of flags of the TCP header.
  sock_filter filter[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, 13),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, 0x02, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
  };
  const sock_fprog program = {std::size(filter), filter};
  setsockopt(info->listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
             sizeof(program));
}

void HttpFront::StopListening() {
  if (this->daemon == nullptr)
    return;
  const MHD_socket socket = MHD_quiesce_daemon(this->daemon);
  if (socket == MHD_INVALID_SOCKET)
    return;
  sockaddr_in address = {};
  socklen_t size = sizeof(address);
  int accepted = 0;
  while ((accepted = accept4(socket, reinterpret_cast<sockaddr*>(&address),
                             &size, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
    MHD_add_connection(this->daemon, accepted,
                       reinterpret_cast<sockaddr*>(&address), size);
    size = sizeof(address);
  }
  close(socket);
  this->ScheduleRun();
}

void HttpFront::Stop() {
  if (this->daemon == nullptr)
    return;
  this->timer.cancel();
  this->closing = true;
  // libmicrohttpd must not be stopped while a connection is suspended.
  while (!this->suspended.empty())
    this->Answer(*this->suspended.begin(), {kUnknownOutcomeStatus, {}, ""});
  // Writes the answers of the last exchanges.
  MHD_run(this->daemon);
  MHD_run(this->daemon);
  // The descriptor belongs to libmicrohttpd.
  this->epoll.release();
  MHD_stop_daemon(std::exchange(this->daemon, nullptr));
}

void HttpFront::Wait() {
  this->epoll.async_wait(
      boost::asio::posix::stream_descriptor::wait_read,
      [this, alive = std::weak_ptr(this->alive)](std::error_code error) {
        if (error || alive.expired() || this->daemon == nullptr)
          return;
        this->Run();
        this->Wait();
      });
}

void HttpFront::Run() {
  MHD_run(this->daemon);
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(this->daemon, &timeout_ms) == MHD_YES && timeout_ms == 0)
    this->ScheduleRun();
}

void HttpFront::ScheduleRun() {
  if (std::exchange(this->run_scheduled, true))
    return;
  boost::asio::post(*this->context, [this, alive = std::weak_ptr(this->alive)] {
    if (alive.expired())
      return;
    this->run_scheduled = false;
    if (this->daemon != nullptr)
      this->Run();
  });
}

void HttpFront::Tick() {
  this->timer.expires_after(kTick);
  this->timer.async_wait(
      [this, alive = std::weak_ptr(this->alive)](std::error_code error) {
        if (error || alive.expired() || this->daemon == nullptr)
          return;
        this->Run();
        this->Tick();
      });
}

MHD_Result HttpFront::OnFirstCall(HttpExchange* exchange, const char* method) {
  exchange->seen = true;
  exchange->method = method;
  exchange->headers.reserve(16);
  MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND, &AddHeader,
                            &exchange->headers);
  const size_t header_bytes =
      HeaderBytes(exchange->headers) + exchange->path.size();
  if (this->connections > this->options.max_connections)
    exchange->limit = HttpLimit::kConnections;
  else if (header_bytes > kMaxHeaderBytes)
    exchange->limit = HttpLimit::kHeaders;
  else if (DeclaredLength(exchange->headers) > kMaxBodyBytes)
    exchange->limit = HttpLimit::kBody;
  else if (this->held_bytes > this->options.max_held_bytes)
    exchange->limit = HttpLimit::kMemory;
  // A refusal that does not need the body is answered before it arrives.
  if (exchange->limit != HttpLimit::kNone)
    return this->HandOver(exchange);
  return MHD_YES;
}

MHD_Result HttpFront::OnData(HttpExchange* exchange,
                             const char* data,
                             size_t* size) {
  const size_t count = std::exchange(*size, 0);
  if (exchange->limit == HttpLimit::kNone &&
      exchange->body.size() + count > kMaxBodyBytes)
    exchange->limit = HttpLimit::kBody;
  if (exchange->limit == HttpLimit::kNone &&
      this->held_bytes + count > this->options.max_held_bytes)
    exchange->limit = HttpLimit::kMemory;
  if (exchange->limit != HttpLimit::kNone) {
    exchange->discarded += count;
    return exchange->discarded > kMaxDiscardedBytes ? MHD_NO : MHD_YES;
  }
  exchange->body.append(data, count);
  exchange->held += count;
  this->held_bytes += count;
  return MHD_YES;
}

MHD_Result HttpFront::HandOver(HttpExchange* exchange) {
  exchange->handed_over = true;
  exchange->received = BootClock().Now();
  this->handler(exchange);
  if (exchange->answered)
    return this->QueueReply(exchange);
  this->suspended.insert(exchange);
  MHD_suspend_connection(exchange->connection);
  return MHD_YES;
}

MHD_Result HttpFront::QueueReply(HttpExchange* exchange) {
  HttpReply& reply = exchange->reply;
  MHD_Response* response = MakeResponse(std::move(reply.body));
  for (const auto& [name, value] : reply.headers)
    MHD_add_response_header(response, name.c_str(), value.c_str());
  const bool close = this->closing || exchange->limit != HttpLimit::kNone;
  if (close)
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  const MHD_Result result =
      MHD_queue_response(exchange->connection, reply.status, response);
  MHD_destroy_response(response);
  return result;
}

void* HttpFront::OnUri(void* self,
                       const char* uri,
                       MHD_Connection* connection) {
  ++static_cast<HttpFront*>(self)->open;
  auto* exchange = new HttpExchange;
  exchange->path = uri;
  exchange->connection = connection;
  return exchange;
}

MHD_Result HttpFront::OnAccess(void* self,
                               MHD_Connection* /*connection*/,
                               const char* /*url*/,
                               const char* method,
                               const char* /*version*/,
                               const char* data,
                               size_t* size,
                               void** exchange_slot) {
  auto* front = static_cast<HttpFront*>(self);
  auto* exchange = static_cast<HttpExchange*>(*exchange_slot);
  if (exchange->answered)
    return front->QueueReply(exchange);
  if (!exchange->seen)
    return front->OnFirstCall(exchange, method);
  if (*size > 0)
    return front->OnData(exchange, data, size);
  if (exchange->handed_over)
    return MHD_YES;
  return front->HandOver(exchange);
}

void HttpFront::OnCompleted(void* self,
                            MHD_Connection* /*connection*/,
                            void** exchange_slot,
                            MHD_RequestTerminationCode /*code*/) {
  auto* front = static_cast<HttpFront*>(self);
  auto* exchange = static_cast<HttpExchange*>(*exchange_slot);
  *exchange_slot = nullptr;
  if (exchange == nullptr)
    return;
  front->held_bytes -= exchange->held;
  --front->open;
  delete exchange;
}

void HttpFront::OnConnection(void* self,
                             MHD_Connection* /*connection*/,
                             void** /*socket_context*/,
                             MHD_ConnectionNotificationCode code) {
  auto* front = static_cast<HttpFront*>(self);
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    ++front->connections;
  else
    --front->connections;
}

}  // namespace cuminjunction
