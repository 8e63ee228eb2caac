#include "base/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <cctype>
#include <utility>

namespace cuminjunction {

namespace {

// Seconds after which an idle connection is closed.
constexpr unsigned kConnectionTimeoutSeconds = 30;

std::string LowerCase(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

// A request while its body arrives.
struct Pending {
  HttpRequest request;
  size_t header_bytes = 0;
  bool too_large = false;
};

MHD_Result AddHeader(void* closure,
                     MHD_ValueKind /*kind*/,
                     const char* key,
                     const char* value) {
  auto* pending = static_cast<Pending*>(closure);
  const std::string_view text = value != nullptr ? value : "";
  pending->header_bytes += std::string_view(key).size() + text.size();
  pending->request.headers[LowerCase(key)] = std::string(text);
  return MHD_YES;
}

MHD_Result AddQuery(void* closure,
                    MHD_ValueKind /*kind*/,
                    const char* key,
                    const char* value) {
  auto* pending = static_cast<Pending*>(closure);
  pending->request.query[key] = value != nullptr ? value : "";
  return MHD_YES;
}

MHD_Result Respond(MHD_Connection* connection, const HttpResponse& response) {
  if (response.status == 0)
    return MHD_NO;
  MHD_Response* reply = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()),
      MHD_RESPMEM_MUST_COPY);
  if (reply == nullptr)
    return MHD_NO;
  MHD_add_response_header(reply, MHD_HTTP_HEADER_CONTENT_TYPE,
                          response.content_type.c_str());
  for (const auto& [name, value] : response.headers)
    MHD_add_response_header(reply, name.c_str(), value.c_str());
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(response.status), reply);
  MHD_destroy_response(reply);
  return result;
}

HttpResponse LimitResponse(int status, std::string_view code) {
  return {status,
          "application/json",
          std::string(R"({"error":{"category":"http","code":")")
                  .append(code)
                  .append(R"(","message":"request is above a limit"}})") +
              "\n",
          {}};
}

}  // namespace

std::string_view ErrorTraits<HttpError>::Message(HttpError error) {
  switch (error) {
    case HttpError::kCannotListen:
      return "port can't be listened on";
    case HttpError::kBadAddress:
      return "address is not an IPv4 number";
    case HttpError::kNotSent:
      return "no connection; the request was not sent";
    case HttpError::kNoAnswer:
      return "the answer is missing or broken";
  }
  return "unknown HTTP error";
}

struct HttpServer::Impl {
  HttpServerOptions options;
  Handler handler;
  MHD_Daemon* daemon = nullptr;

  static MHD_Result OnRequest(void* closure,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char* version,
                              const char* upload,
                              size_t* upload_size,
                              void** state);
  static void OnCompleted(void* closure,
                          MHD_Connection* connection,
                          void** state,
                          MHD_RequestTerminationCode code);
};

MHD_Result HttpServer::Impl::OnRequest(void* closure,
                                       MHD_Connection* connection,
                                       const char* url,
                                       const char* method,
                                       const char* /*version*/,
                                       const char* upload,
                                       size_t* upload_size,
                                       void** state) {
  auto* self = static_cast<Impl*>(closure);
  auto* pending = static_cast<Pending*>(*state);
  if (pending == nullptr) {
    pending = new Pending;
    *state = pending;
    pending->request.method = method;
    pending->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, AddHeader, pending);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, AddQuery,
                              pending);
    return MHD_YES;
  }
  if (*upload_size > 0) {
    std::string& body = pending->request.body;
    if (body.size() + *upload_size > self->options.max_body_bytes)
      pending->too_large = true;
    else
      body.append(upload, *upload_size);
    *upload_size = 0;
    return MHD_YES;
  }
  if (pending->too_large)
    return Respond(connection, LimitResponse(413, "body_too_large"));
  if (pending->header_bytes > self->options.max_header_bytes)
    return Respond(connection, LimitResponse(431, "headers_too_large"));
  return Respond(connection, self->handler(pending->request));
}

void HttpServer::Impl::OnCompleted(void* /*closure*/,
                                   MHD_Connection* /*connection*/,
                                   void** state,
                                   MHD_RequestTerminationCode /*code*/) {
  delete static_cast<Pending*>(*state);
  *state = nullptr;
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Start(
    const HttpServerOptions& options,
    Handler handler) {
  auto impl = std::make_unique<Impl>();
  impl->options = options;
  impl->handler = std::move(handler);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.host.c_str(), &address.sin_addr) != 1)
    return HttpError::kBadAddress;
  const bool has_pool = options.threads > 0;
  const unsigned flags =
      MHD_USE_INTERNAL_POLLING_THREAD |
      (has_pool ? MHD_USE_EPOLL : MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL);
  // The server's buffer holds the header block, so it must exceed the limit
  // for the limit's own answer to be given.
  const size_t memory = 2 * options.max_header_bytes;
  impl->daemon = MHD_start_daemon(
      flags, options.port, nullptr, nullptr, &Impl::OnRequest, impl.get(),
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address),
      MHD_OPTION_THREAD_POOL_SIZE,
      static_cast<unsigned>(has_pool ? options.threads : 0),
      MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned>(options.max_connections),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory, MHD_OPTION_CONNECTION_TIMEOUT,
      kConnectionTimeoutSeconds, MHD_OPTION_NOTIFY_COMPLETED,
      &Impl::OnCompleted, nullptr, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
      MHD_OPTION_END);
  if (impl->daemon == nullptr)
    return HttpError::kCannotListen;
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::~HttpServer() {
  MHD_stop_daemon(this->impl->daemon);
}

uint16_t HttpServer::Port() const {
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(this->impl->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info != nullptr ? info->port : 0;
}

}  // namespace cuminjunction
