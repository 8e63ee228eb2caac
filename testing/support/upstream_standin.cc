#include "testing/support/upstream_standin.h"

#include <fcntl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace cuminjunction {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

// Most keys that are counted, so that a long run can't fill the memory.
constexpr size_t kMostKeys = 1000000;
constexpr std::string_view kControlPrefix = "/standin/";

// The state of one request; owned by its connection.
struct Work {
  MHD_Connection* connection = nullptr;
  std::string key;
  bool started = false;
  bool done = false;
};

struct Ending {
  SteadyTime at;
  Work* work = nullptr;
  bool operator>(const Ending& other) const { return this->at > other.at; }
};

std::string Argument(MHD_Connection* connection, const char* name) {
  const char* value =
      MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
  return value == nullptr ? "" : value;
}

std::string KeyOf(MHD_Connection* connection) {
  std::string key = Argument(connection, "key");
  if (!key.empty())
    return key;
  const char* header = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                                   "Idempotency-Key");
  return header == nullptr ? "" : header;
}

MHD_Result Reply(MHD_Connection* connection,
                 unsigned status,
                 const std::string& body) {
  MHD_Response* response = MHD_create_response_from_buffer(
      body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
  const MHD_Result result = MHD_queue_response(connection, status, response);
  MHD_destroy_response(response);
  return result;
}

}  // namespace

std::string_view ErrorTraits<StandinError>::Message(StandinError) {
  return "cannot listen";
}

class UpstreamStandin::Server {
 public:
  explicit Server(UpstreamStandinSettings settings)
      : settings(std::move(settings)), random(this->settings.seed) {
    if (!this->settings.executions_file.empty())
      this->file = ::open(this->settings.executions_file.c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  }

  ~Server() {
    if (this->file >= 0)
      ::close(this->file);
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Result<uint16_t> Start() {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->settings.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr,
        nullptr, &Server::OnRequest, this, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, &Server::OnCompleted, this,
        MHD_OPTION_CONNECTION_LIMIT, 1024U, MHD_OPTION_END);
    if (this->daemon == nullptr)
      return StandinError::kCannotListen;
    this->timer = std::thread([this] { this->RunTimer(); });
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
    return static_cast<uint16_t>(info->port);
  }

  void Stop() {
    if (this->daemon == nullptr)
      return;
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
      // MHD can't stop while connections are suspended.
      for (Work* work : this->suspended)
        MHD_resume_connection(work->connection);
      this->suspended.clear();
    }
    this->changed.notify_all();
    this->timer.join();
    MHD_stop_daemon(this->daemon);
    this->daemon = nullptr;
  }

  void SetSlowness(double factor) {
    const std::lock_guard lock(this->mutex);
    this->slowness = factor;
  }

  void Reset() {
    const std::lock_guard lock(this->mutex);
    this->executions.clear();
    this->total = 0;
  }

  std::map<std::string, uint64_t> Executions() const {
    const std::lock_guard lock(this->mutex);
    return this->executions;
  }

  uint64_t Total() const {
    const std::lock_guard lock(this->mutex);
    return this->total;
  }

 private:
  static MHD_Result OnRequest(void* self,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char*,
                              const char*,
                              size_t* upload_size,
                              void** state) {
    auto* server = static_cast<Server*>(self);
    if (*state == nullptr) {
      auto work = std::make_unique<Work>();
      work->connection = connection;
      *state = work.release();
      return MHD_YES;
    }
    if (*upload_size > 0) {
      *upload_size = 0;
      return MHD_YES;
    }
    if (std::string_view(url).starts_with(kControlPrefix))
      return server->Control(connection, url, method);
    return server->Serve(static_cast<Work*>(*state));
  }

  static void OnCompleted(void* self,
                          MHD_Connection*,
                          void** state,
                          MHD_RequestTerminationCode) {
    const std::unique_ptr<Work> work(static_cast<Work*>(*state));
    static_cast<void>(self);
    *state = nullptr;
  }

  MHD_Result Control(MHD_Connection* connection,
                     std::string_view url,
                     std::string_view method) {
    const bool is_post = method == "POST";
    if (is_post && url == "/standin/slowness") {
      const std::string factor = Argument(connection, "factor");
      this->SetSlowness(std::max(0.0, std::strtod(factor.c_str(), nullptr)));
      return Reply(connection, MHD_HTTP_OK, "{}");
    }
    if (is_post && url == "/standin/reset") {
      this->Reset();
      return Reply(connection, MHD_HTTP_OK, "{}");
    }
    if (url == "/standin/health")
      return Reply(connection, MHD_HTTP_OK, "{}");
    if (!is_post && url == "/standin/executions") {
      nlohmann::json list;
      list["total"] = this->Total();
      list["keys"] = this->Executions();
      return Reply(connection, MHD_HTTP_OK, list.dump());
    }
    return Reply(connection, MHD_HTTP_NOT_FOUND, "{}");
  }

  MHD_Result Serve(Work* work) {
    if (!work->started) {
      work->started = true;
      work->key = KeyOf(work->connection);
      if (this->settings.service_us > 0)
        return this->Queue(work);
      const std::lock_guard lock(this->mutex);
      this->Count(*work);
      work->done = true;
    }
    // Resumed by Stop() before its end.
    if (!work->done)
      return MHD_NO;
    return Reply(
        work->connection, MHD_HTTP_OK,
        work->key + "\n" + std::string(this->settings.answer_bytes, 'x'));
  }

  MHD_Result Queue(Work* work) {
    const std::lock_guard lock(this->mutex);
    if (this->stopping)
      return MHD_NO;
    MHD_suspend_connection(work->connection);
    this->suspended.push_back(work);
    this->waiting.push_back(work);
    this->StartWaiting();
    this->changed.notify_one();
    return MHD_YES;
  }

  void Count(const Work& work) {
    this->total += 1;
    if (this->file >= 0) {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      const std::string line =
          (work.key.empty() ? "-" : work.key) + " " +
          std::to_string(
              std::chrono::duration_cast<std::chrono::microseconds>(now)
                  .count()) +
          "\n";
      static_cast<void>(!::write(this->file, line.data(), line.size()));
    }
    if (!work.key.empty() && (this->executions.size() < kMostKeys ||
                              this->executions.contains(work.key)))
      this->executions[work.key] += 1;
  }

  void StartWaiting() {
    while (!this->waiting.empty() &&
           this->running.size() < this->settings.slots) {
      Work* work = this->waiting.front();
      this->waiting.pop_front();
      this->Count(*work);
      this->running.push({std::chrono::steady_clock::now() +
                              std::chrono::microseconds(this->ServiceUs()),
                          work});
    }
  }

  int64_t ServiceUs() {
    std::exponential_distribution<double> extra(1);
    const double share = this->settings.exponential_share;
    const double mean =
        static_cast<double>(this->settings.service_us) * this->slowness;
    return static_cast<int64_t>(mean *
                                (1 - share + share * extra(this->random)));
  }

  void RunTimer() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
      if (this->running.empty()) {
        this->changed.wait(lock);
        continue;
      }
      const SteadyTime next = this->running.top().at;
      if (std::chrono::steady_clock::now() < next) {
        this->changed.wait_until(lock, next);
        continue;
      }
      Work* work = this->running.top().work;
      this->running.pop();
      work->done = true;
      std::erase(this->suspended, work);
      MHD_resume_connection(work->connection);
      this->StartWaiting();
    }
  }

  const UpstreamStandinSettings settings;
  MHD_Daemon* daemon = nullptr;
  int file = -1;
  std::thread timer;
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  double slowness = 1;
  std::mt19937_64 random;
  std::map<std::string, uint64_t> executions;
  uint64_t total = 0;
  std::vector<Work*> suspended;
  std::deque<Work*> waiting;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> running;
};

UpstreamStandin::UpstreamStandin(UpstreamStandinSettings settings)
    : server(std::make_unique<Server>(std::move(settings))) {}

UpstreamStandin::~UpstreamStandin() {
  this->Stop();
}

Result<uint16_t> UpstreamStandin::Start() {
  return this->server->Start();
}

void UpstreamStandin::Stop() {
  this->server->Stop();
}

void UpstreamStandin::SetSlowness(double factor) {
  this->server->SetSlowness(factor);
}

std::map<std::string, uint64_t> UpstreamStandin::Executions() const {
  return this->server->Executions();
}

uint64_t UpstreamStandin::Total() const {
  return this->server->Total();
}

}  // namespace cuminjunction
