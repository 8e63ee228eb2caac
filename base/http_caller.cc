#include "base/http_caller.h"

#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <chrono>
#include <optional>
#include <utility>

#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

// Handles kept for later calls; each holds a few kilobytes.
constexpr size_t kMaxIdleHandles = 64;

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// Header fields of one connection, which the agent makes anew on the other.
constexpr std::string_view kHopByHopNames[] = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "TE",         "Trailer",    "Upgrade",           "Proxy-Connection"};

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      std::begin(kHopByHopNames), std::end(kHopByHopNames),
      [&](std::string_view other) { return EqualsIgnoreCase(name, other); });
}

// Global state of libcurl, made once in a process.
void InitializeCurl() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)code;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r' ||
                           text.back() == '\n' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

// The events of epoll_wait() in the form of libcurl. libcurl finds out about an
// error or an end by reading or writing.
int SelectEvents(uint32_t events) {
  int selected = 0;
  if ((events & (EPOLLIN | EPOLLHUP)) != 0)
    selected |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0)
    selected |= CURL_CSELECT_OUT;
  if ((events & EPOLLERR) != 0)
    selected |= CURL_CSELECT_ERR;
  return selected;
}

CallResult ResultOf(CURLcode code) {
  switch (code) {
    case CURLE_OK:
      return CallResult::kAnswered;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return CallResult::kNotStarted;
    case CURLE_OPERATION_TIMEDOUT:
      return CallResult::kTimeout;
    default:
      return CallResult::kCutOff;
  }
}

}  // namespace

struct HttpCaller::Transfer {
  ~Transfer() {
    curl_slist_free_all(this->lines);
    curl_easy_cleanup(this->easy);
  }

  CURL* easy = nullptr;
  uint64_t call = 0;
  HttpCall request;
  std::string url;
  std::string line;
  curl_slist* lines = nullptr;
  HttpAnswer answer;
  size_t header_bytes = 0;
  // Copies of the request that libcurl has begun to send.
  int copies = 0;
  // The answer says where it ends, so that its end differs from a broken
  // connection.
  bool has_length = false;
  bool too_large = false;
  // With HttpCall::max_pause, when the next part of the answer must be here.
  absl::Time deadline;
  std::optional<boost::asio::steady_timer> deadline_timer;

  void OnPart() {
    if (this->request.max_pause > absl::ZeroDuration())
      this->deadline = SteadyClock().Now() + this->request.max_pause;
  }
};

HttpCaller::HttpCaller(boost::asio::io_context* context,
                       const HttpCallerOptions& options,
                       Done done)
    : context(context),
      options(options),
      done(std::move(done)),
      base_url(StrCat("http://", options.host, ":", options.port)),
      timer(*context),
      poller(context, [this](int socket, uint32_t events) {
        this->Act(socket, SelectEvents(events));
      }) {
  InitializeCurl();
  this->multi = curl_multi_init();
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                    static_cast<long>(options.connections));
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(options.connections));
}

HttpCaller::~HttpCaller() {
  this->ending = true;
  for (auto& [call, transfer] : this->transfers)
    curl_multi_remove_handle(this->multi, transfer->easy);
  this->transfers.clear();
  this->idle.clear();
  curl_multi_cleanup(this->multi);
}

void HttpCaller::Start(uint64_t call, HttpCall request) {
  std::unique_ptr<Transfer> transfer = this->TakeTransfer();
  transfer->call = call;
  transfer->request = std::move(request);
  this->Prepare(transfer.get());
  CURL* easy = transfer->easy;
  const bool limits_pauses = transfer->request.max_pause > absl::ZeroDuration();
  if (limits_pauses) {
    transfer->deadline = SteadyClock().Now() + transfer->request.timeout;
    transfer->deadline_timer.emplace(*this->context);
  }
  this->transfers[call] = std::move(transfer);
  curl_multi_add_handle(this->multi, easy);
  if (limits_pauses)
    this->WatchProgress(call);
}

void HttpCaller::WatchProgress(uint64_t call) {
  Transfer* transfer = this->transfers.at(call).get();
  const absl::Duration left = transfer->deadline - SteadyClock().Now();
  transfer->deadline_timer->expires_after(
      absl::ToChronoMicroseconds(std::max(left, absl::Microseconds(1))));
  transfer->deadline_timer->async_wait(
      [this, call, alive = std::weak_ptr(this->alive)](std::error_code error) {
        if (!error && !alive.expired())
          this->CheckProgress(call);
      });
}

void HttpCaller::CheckProgress(uint64_t call) {
  const auto found = this->transfers.find(call);
  if (found == this->transfers.end())
    return;
  if (found->second->deadline > SteadyClock().Now())
    this->WatchProgress(call);
  else
    this->Finish(found->second->easy, CURLE_OPERATION_TIMEDOUT);
}

void HttpCaller::Abort(uint64_t call) {
  const auto found = this->transfers.find(call);
  if (found == this->transfers.end())
    return;
  std::unique_ptr<Transfer> transfer = std::move(found->second);
  this->transfers.erase(found);
  curl_multi_remove_handle(this->multi, transfer->easy);
  this->Release(std::move(transfer));
}

std::unique_ptr<HttpCaller::Transfer> HttpCaller::TakeTransfer() {
  if (!this->idle.empty()) {
    std::unique_ptr<Transfer> transfer = std::move(this->idle.back());
    this->idle.pop_back();
    return transfer;
  }
  auto transfer = std::make_unique<Transfer>();
  transfer->easy = curl_easy_init();
  return transfer;
}

void HttpCaller::Release(std::unique_ptr<Transfer> transfer) {
  if (this->idle.size() >= kMaxIdleHandles)
    return;
  curl_slist_free_all(transfer->lines);
  transfer->lines = nullptr;
  transfer->answer = HttpAnswer();
  transfer->header_bytes = 0;
  transfer->copies = 0;
  transfer->has_length = false;
  transfer->too_large = false;
  transfer->deadline_timer.reset();
  curl_easy_reset(transfer->easy);
  this->idle.push_back(std::move(transfer));
}

void HttpCaller::Prepare(Transfer* transfer) {
  CURL* easy = transfer->easy;
  const HttpCall& request = transfer->request;
  transfer->url = StrCat(this->base_url, request.path);
  curl_easy_setopt(easy, CURLOPT_URL, transfer->url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  // Settings of the environment must not lead requests elsewhere.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(this->options.connect_timeout_ms));
  if (request.max_pause == absl::ZeroDuration())
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(std::max<int64_t>(
                         1, absl::ToInt64Milliseconds(request.timeout))));
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OnOpen);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  // When a reused connection ends before the first byte of the answer, libcurl
  // sends the request again on a new one. The upstream may have run it, so a
  // request that must run once at most never uses an old connection.
  if (!request.idempotent)
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  this->PrepareBody(transfer);
}

void HttpCaller::PrepareBody(Transfer* transfer) {
  CURL* easy = transfer->easy;
  const HttpCall& request = transfer->request;
  if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (!request.body.empty() || request.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    // Without these, libcurl waits for "100 Continue" before a large body and
    // adds a content type.
    transfer->lines = curl_slist_append(transfer->lines, "Expect:");
    transfer->lines = curl_slist_append(transfer->lines, "Content-Type:");
  } else if (request.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }
  for (const auto& [name, value] : request.headers) {
    if (IsHopByHop(name) || EqualsIgnoreCase(name, "Expect"))
      continue;
    // libcurl's form of a header with an empty value ends in a semicolon.
    transfer->line =
        value.empty() ? StrCat(name, ";") : StrCat(name, ": ", value);
    transfer->lines =
        curl_slist_append(transfer->lines, transfer->line.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->lines);
}

void HttpCaller::Act(curl_socket_t socket, int events) {
  int running = 0;
  curl_multi_socket_action(this->multi, socket, events, &running);
  this->ReportFinished();
}

void HttpCaller::ReportFinished() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    CURL* easy = message->easy_handle;
    const CURLcode code = message->data.result;
    this->Finish(easy, code);
  }
}

void HttpCaller::Finish(CURL* easy, CURLcode code) {
  Transfer* finished = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &finished);
  const auto found = this->transfers.find(finished->call);
  std::unique_ptr<Transfer> transfer = std::move(found->second);
  this->transfers.erase(found);
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  // Bytes of the request that were written to a socket.
  long request_size = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
  long connect_errno = 0;
  curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &connect_errno);
  curl_multi_remove_handle(this->multi, easy);

  HttpAnswer answer = std::move(transfer->answer);
  answer.status = static_cast<uint32_t>(status);
  answer.result = ResultOf(code);
  answer.resent = transfer->copies > 1;
  // Only a call of which no byte was written certainly has not started.
  if (answer.result == CallResult::kTimeout && request_size == 0)
    answer.result = CallResult::kNotStarted;
  if (answer.result == CallResult::kNotStarted && request_size > 0)
    answer.result = CallResult::kCutOff;
  answer.refused = answer.result == CallResult::kNotStarted &&
                   code == CURLE_COULDNT_CONNECT &&
                   connect_errno == ECONNREFUSED;
  if (transfer->too_large)
    answer.result = CallResult::kTooLarge;
  // Without a stated length the end of the answer can't be told from a broken
  // connection.
  const bool has_body = !answer.body.empty();
  if (answer.result == CallResult::kAnswered &&
      ((has_body && !transfer->has_length) || !IsFinalStatus(answer.status)))
    answer.result = CallResult::kCutOff;
  const uint64_t call = transfer->call;
  this->Release(std::move(transfer));
  this->done(call, std::move(answer));
}

void HttpCaller::ArmTimer(int64_t timeout_ms) {
  if (timeout_ms < 0) {
    this->timer.cancel();
    return;
  }
  if (timeout_ms == 0) {
    // libcurl asks for this with each new call; a message costs no system
    // call and one of them serves all calls of this turn of the loop.
    if (std::exchange(this->act_posted, true))
      return;
    boost::asio::post(*this->context,
                      [this, alive = std::weak_ptr(this->alive)] {
                        if (alive.expired())
                          return;
                        this->act_posted = false;
                        this->Act(CURL_SOCKET_TIMEOUT, 0);
                      });
    return;
  }
  this->timer.expires_after(std::chrono::milliseconds(timeout_ms));
  this->timer.async_wait(
      [this, alive = std::weak_ptr(this->alive)](std::error_code error) {
        if (!error && !alive.expired())
          this->Act(CURL_SOCKET_TIMEOUT, 0);
      });
}

void HttpCaller::FailLater(CURL* easy) {
  Transfer* failed = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &failed);
  boost::asio::post(*this->context, [this, call = failed->call,
                                     alive = std::weak_ptr(this->alive)] {
    if (alive.expired())
      return;
    const auto found = this->transfers.find(call);
    if (found != this->transfers.end())
      this->Finish(found->second->easy, CURLE_RECV_ERROR);
  });
}

int HttpCaller::OnSocket(CURL* easy,
                         curl_socket_t fd,
                         int what,
                         void* self,
                         void* /*socket*/) {
  auto* caller = static_cast<HttpCaller*>(self);
  if (what == CURL_POLL_REMOVE) {
    caller->poller.Unwatch(fd);
    return 0;
  }
  const uint32_t events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0u) |
                          ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0u);
  if (caller->poller.Watch(fd, events) && !caller->ending)
    caller->FailLater(easy);
  return 0;
}

int HttpCaller::OnTimer(CURLM* /*multi*/, long timeout_ms, void* self) {
  auto* caller = static_cast<HttpCaller*>(self);
  if (!caller->ending)
    caller->ArmTimer(timeout_ms);
  return 0;
}

curl_socket_t HttpCaller::OnOpen(void* /*self*/,
                                 curlsocktype /*purpose*/,
                                 curl_sockaddr* address) {
  const int fd =
      socket(address->family, address->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK,
             address->protocol);
  return fd < 0 ? CURL_SOCKET_BAD : fd;
}

int HttpCaller::OnRequest(void* transfer,
                          char* /*to*/,
                          char* /*from*/,
                          int /*to_port*/,
                          int /*from_port*/) {
  ++static_cast<Transfer*>(transfer)->copies;
  return CURL_PREREQFUNC_OK;
}

size_t HttpCaller::OnHeader(char* data,
                            size_t size,
                            size_t count,
                            void* transfer) {
  auto* self = static_cast<Transfer*>(transfer);
  const std::string_view line(data, size * count);
  self->OnPart();
  self->header_bytes += line.size();
  if (self->header_bytes > kMaxAnswerHeaderBytes) {
    self->too_large = true;
    return 0;
  }
  const size_t colon = line.find(':');
  if (line.starts_with("HTTP/")) {
    // Also ends the headers of an interim answer.
    self->answer.headers.clear();
    self->header_bytes = line.size();
    self->has_length = false;
  } else if (colon != std::string_view::npos) {
    const std::string_view name = line.substr(0, colon);
    if (EqualsIgnoreCase(name, "Content-Length") ||
        EqualsIgnoreCase(name, "Transfer-Encoding"))
      self->has_length = true;
    const std::string_view value = Trim(line.substr(colon + 1));
    if (!IsHopByHop(name) && IsValidHeader(name, value))
      self->answer.headers.emplace_back(name, value);
  }
  return size * count;
}

size_t HttpCaller::OnBody(char* data,
                          size_t size,
                          size_t count,
                          void* transfer) {
  auto* self = static_cast<Transfer*>(transfer);
  if (self->answer.body.size() + size * count > kMaxBodyBytes) {
    self->too_large = true;
    return 0;
  }
  self->OnPart();
  self->answer.body.append(data, size * count);
  return size * count;
}

}  // namespace cuminjunction
