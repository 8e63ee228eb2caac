#ifndef REQUEST_TESTING_PATH_HARNESS_H_
#define REQUEST_TESTING_PATH_HARNESS_H_

// The request path in one process for tests: agents with their upstreams and
// an entry shard, connected over loopback.

#include <curl/curl.h>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/chart.h"
#include "request/agent_server.h"
#include "request/entry_front.h"
#include "request/testing/script_upstream.h"

namespace cuminjunction {

struct CallerAnswer {
  CURLcode code = CURLE_OK;
  long status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Outcome() const {
    const auto found = this->headers.find("cuminjunction-outcome");
    return found == this->headers.end() ? "" : found->second;
  }
};

// Sends one request as a caller and waits for the whole answer.
inline CallerAnswer CallEntry(uint16_t port,
                              const std::string& method,
                              const std::string& path,
                              const std::vector<std::string>& headers,
                              const std::string& body = "") {
  CallerAnswer answer;
  CURL* easy = curl_easy_init();
  const std::string url = StrCat("http://127.0.0.1:", port, path);
  curl_slist* lines = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : headers)
    lines = curl_slist_append(lines, header.c_str());
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines);
  if (!body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt(
      easy, CURLOPT_WRITEFUNCTION,
      +[](char* data, size_t size, size_t count, void* out) -> size_t {
        static_cast<std::string*>(out)->append(data, size * count);
        return size * count;
      });
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &answer.headers);
  curl_easy_setopt(
      easy, CURLOPT_HEADERFUNCTION,
      +[](char* data, size_t size, size_t count, void* out) -> size_t {
        const std::string line(data, size * count);
        const size_t colon = line.find(": ");
        if (colon != std::string::npos) {
          std::string name = line.substr(0, colon);
          for (char& c : name)
            c = static_cast<char>(std::tolower(c));
          const size_t end = line.find('\r');
          // A header that comes twice shows both values.
          std::string& value =
              (*static_cast<std::map<std::string, std::string>*>(out))[name];
          if (!value.empty())
            value += ", ";
          value += line.substr(colon + 2, end - colon - 2);
        }
        return size * count;
      });
  answer.code = curl_easy_perform(easy);
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.status);
  curl_slist_free_all(lines);
  curl_easy_cleanup(easy);
  return answer;
}

// Waits until the condition holds. Returns false after 30 s, far longer than a
// loaded machine needs, so that a test fails instead of hanging.
inline bool WaitUntil(const std::function<bool()>& condition) {
  for (int i = 0; i < 6000; ++i) {
    if (condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

inline RequestChart TestChart() {
  std::vector<YamlProblem> problems;
  const Result<Chart> chart =
      LoadChart(CUMINJUNCTION_SOURCE_DIR "/charts/request.yaml", &problems);
  return RequestChart::Compile(chart.value()).value();
}

// A configuration with the service "check", for which GET is idempotent.
inline std::shared_ptr<const Document> TestDocument() {
  auto document = std::make_shared<Document>();
  document->accounts["growers"].name = "growers";
  Service service;
  service.name = "check";
  service.account = "growers";
  service.upstream = "runner";
  service.timeout_ms = 20'000;
  service.idempotent_methods = {"GET"};
  document->services["check"] = service;
  return document;
}

// An agent with its thread.
struct TestAgent {
  explicit TestAgent(const std::string& name,
                     uint16_t upstream_port,
                     Log* log,
                     Metrics* metrics,
                     uint32_t slots = 8,
                     AgentOptions options = {})
      : thread(name) {
    options.process = name;
    options.services = {"runner"};
    options.upstream.port = upstream_port;
    options.probe_path = "/probe";
    options.probe_interval_ms = 20;
    this->thread.Start();
    this->server = std::make_unique<AgentServer>(
        &this->thread, options, std::make_unique<FifoAgentQueue>(slots, 1000),
        log, metrics);
    this->endpoint = {
        name, "127.0.0.1", this->server->Start().value(), {"runner"}};
  }

  ~TestAgent() { this->Stop(); }

  void Stop() {
    if (!this->server)
      return;
    this->server->Stop();
    this->thread.Stop();
    this->server.reset();
  }

  EventThread thread;
  std::unique_ptr<AgentServer> server;
  UpstreamEndpoint endpoint;
};

class PathHarness {
 public:
  explicit PathHarness(EntryOptions options = {},
                       const RoundRobinOptions& policy = {},
                       IdempotencyClaims* claims = nullptr)
      : log(""), chart(TestChart()), thread("entry") {
    options.process = "entry";
    this->thread.Start();
    this->entry =
        std::make_unique<EntryFront>(&this->thread, options, &this->chart,
                                     std::make_unique<RoundRobinPolicy>(policy),
                                     claims, &this->log, &this->metrics);
    this->port = this->entry->Start().value();
    this->entry->SetDocument(TestDocument());
  }

  ~PathHarness() {
    this->entry->Stop();
    this->thread.Stop();
    this->entry.reset();
  }

  TestAgent* AddAgent(uint16_t upstream_port, uint32_t slots = 8) {
    this->agents.push_back(std::make_unique<TestAgent>(
        StrCat("agent", this->agents.size()), upstream_port, &this->log,
        &this->metrics, slots));
    return this->agents.back().get();
  }

  // Sets the endpoints at the entry and waits until all are connected.
  bool Connect(std::vector<UpstreamEndpoint> endpoints = {}) {
    for (const auto& agent : this->agents)
      endpoints.push_back(agent->endpoint);
    const size_t count = endpoints.size();
    this->entry->SetUpstreams(std::move(endpoints));
    return WaitUntil([&] { return this->entry->ReadyCount() == count; });
  }

  CallerAnswer Call(const std::string& method,
                    const std::string& path,
                    const std::string& body = "",
                    std::vector<std::string> headers = {}) const {
    headers.emplace_back("Cuminjunction-Service: check");
    return CallEntry(this->port, method, path, headers, body);
  }

  uint64_t Count(const std::string& name, const std::string& labels = "") {
    return this->metrics.GetCounter(name, labels).Value();
  }

  Log log;
  Metrics metrics;
  RequestChart chart;
  EventThread thread;
  std::vector<std::unique_ptr<TestAgent>> agents;
  std::unique_ptr<EntryFront> entry;
  uint16_t port = 0;
};

}  // namespace cuminjunction

#endif  // REQUEST_TESTING_PATH_HARNESS_H_
