// Entries and agents of one test process over real sockets, with stand-ins of
// the platform and of upstreams.

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <nlohmann/json.hpp>

#include "absl/time/clock.h"
#include "base/http_client.h"
#include "base/strings.h"
#include "daemon/agent_process.h"
#include "daemon/entry_process.h"
#include "testing/support/platform_standin.h"
#include "testing/support/upstream_standin.h"

namespace cuminjunction {
namespace {

using Json = nlohmann::json;

// Generous: a test waits for a state, not for a speed.
constexpr absl::Duration kPatience = absl::Seconds(60);

constexpr char kDocument[] = R"(
accounts:
  - {name: growers, weight: 1, quota: {cores: 4, memory_gib: 8, accelerators: 0}}
services:
  - {name: orders, account: growers, upstream: line, timeout_ms: 20000, idempotent_methods: [GET]}
jobs:
  - {name: count, account: growers, kind: batch, size: {cores: 1, memory_gib: 1}, command: sleep 100ms}
  - {name: plan, account: growers, kind: batch, size: {cores: 1, memory_gib: 1}, command: sleep 100ms, depends_on: [count]}
)";

class DeploymentTest : public testing::Test {
 protected:
  void SetUp() override {
    PlatformStandinOptions options;
    options.workers = {{.name = "vm-1",
                        .capacity = {4000, 8 << 10, 0},
                        .rack = "rack-1",
                        .failure_domain = "erie-a",
                        .region = "erie"}};
    this->platform = PlatformStandin::Start(options).value();
    this->upstream_port = this->upstream.Start().value();
    this->entry = this->StartEntry("entry-1");
    this->agent = this->StartAgent();
  }

  std::unique_ptr<EntryProcess> StartEntry(const std::string& name) {
    Settings settings;
    settings.name = name;
    settings.region = "erie";
    settings.failure_domain = "erie-a";
    settings.charts = CUMINJUNCTION_SOURCE_DIR "/charts";
    settings.platform.table_url = this->platform->Url();
    settings.drain_grace_ms = 0;
    if (this->entry) {
      settings.seeds = {
          {"127.0.0.1", this->entry->Listening().membership_port}};
    }
    return EntryProcess::Start(settings, &this->log).value();
  }

  std::unique_ptr<AgentProcess> StartAgent() {
    Settings settings;
    settings.name = "vm-1";
    settings.role = Role::kAgent;
    settings.region = "erie";
    settings.failure_domain = "erie-a";
    settings.charts = CUMINJUNCTION_SOURCE_DIR "/charts";
    settings.platform.table_url = this->platform->Url();
    settings.seeds = {{"127.0.0.1", this->entry->Listening().membership_port}};
    settings.upstream.announces = {"line"};
    settings.upstream.url = StrCat("http://127.0.0.1:", this->upstream_port);
    settings.upstream.probe_path = "/standin/health";
    settings.worker.runtime_url = this->platform->Url() + "/worker/vm-1";
    settings.worker.rack = "rack-1";
    settings.worker.size = {4000, 8 << 10, 0};
    return AgentProcess::Start(settings, &this->log).value();
  }

  Result<HttpResponse> Send(uint16_t port, const HttpRequest& request) {
    return this->client.Send(StrCat("http://127.0.0.1:", port), request,
                             absl::Now() + kPatience);
  }

  Result<HttpResponse> Admin(const HttpRequest& request) {
    return this->Send(this->entry->Listening().admin_port, request);
  }

  Result<HttpResponse> Request(const std::string& method,
                               const std::string& key) {
    HttpRequest request = {method, "/", {}, {}, ""};
    request.headers["Cuminjunction-Service"] = "orders";
    request.headers["Cuminjunction-Account"] = "growers";
    if (!key.empty())
      request.headers["Idempotency-Key"] = key;
    return this->Send(this->entry->Listening().request_port, request);
  }

  HttpResponse Apply(const std::string& document, uint64_t base) {
    return this
        ->Admin({"PUT",
                 "/v1/config",
                 {{"base", StrCat(base)}},
                 {{"Cuminjunction-Operator", "ann"}},
                 document})
        .value();
  }

  void SetStoreDown(bool down) {
    this->platform->Handle(
        {"POST", "/faults", {}, {}, Json{{"store_down", down}}.dump()});
  }

  // Waits until the condition holds.
  static bool Eventually(const std::function<bool()>& condition) {
    const absl::Time deadline = absl::Now() + kPatience;
    while (absl::Now() < deadline) {
      if (condition())
        return true;
      absl::SleepFor(absl::Milliseconds(50));
    }
    return false;
  }

  // Puts the document in force and waits until a request is answered.
  void BringUp() {
    ASSERT_EQ(this->Apply(kDocument, 0).status, 200);
    ASSERT_TRUE(Eventually([this] {
      const auto answer = this->Request("GET", "");
      return answer && answer.value().status == 200;
    }));
  }

  // Members outlive the processes that use them.
  Log log{""};
  std::unique_ptr<PlatformStandin> platform;
  UpstreamStandin upstream{{.service_us = 1000}};
  uint16_t upstream_port = 0;
  std::unique_ptr<EntryProcess> entry;
  std::unique_ptr<AgentProcess> agent;
  HttpClient client;
};

TEST_F(DeploymentTest, ServesRequestsAndRunsJobsInOrder) {
  this->BringUp();
  const HttpResponse answer = this->Request("GET", "").value();
  EXPECT_EQ(answer.headers.at("cuminjunction-outcome"), "answered");
  const std::string id = answer.headers.at("cuminjunction-request");
  EXPECT_EQ(this->Admin({"GET", "/v1/explain/request/" + id, {}, {}, ""})
                .value()
                .status,
            200);
  EXPECT_TRUE(Eventually([this] {
    const HttpResponse jobs =
        this->Admin({"GET", "/v1/jobs", {}, {}, ""}).value();
    const Json json = Json::parse(jobs.body, nullptr, false);
    int finished = 0;
    for (const Json& job : json.value("jobs", Json::array()))
      finished += job["tasks"].value("finished", 0);
    return finished == 2;
  }));
  const Json attempts = Json::parse(
      this->platform->Handle({"GET", "/attempts", {}, {}, ""}).body);
  ASSERT_EQ(attempts["attempts"].size(), 2u);
  EXPECT_EQ(attempts["attempts"][0]["job"], "count");
  EXPECT_EQ(attempts["attempts"][1]["job"], "plan");
}

// Guards against an order that is carried out twice because its caller sends it
// again.
TEST_F(DeploymentTest, RepeatedKeyIsNotRunAgain) {
  this->BringUp();
  EXPECT_EQ(this->Request("POST", "order-1").value().status, 200);
  EXPECT_EQ(this->Request("POST", "order-1").value().status, 409);
  EXPECT_EQ(this->upstream.Executions().at("order-1"), 1u);
}

// Guards against an outage of the store stopping requests, and against running
// an order whose key can't be claimed.
TEST_F(DeploymentTest, OutageOfTheStoreStopsOnlyWhatNeedsIt) {
  this->BringUp();
  this->SetStoreDown(true);
  EXPECT_EQ(this->Request("GET", "").value().status, 200);
  const HttpResponse refused = this->Request("POST", "order-2").value();
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(refused.headers.at("cuminjunction-outcome"), "not-run");
  EXPECT_FALSE(this->upstream.Executions().contains("order-2"));
  EXPECT_EQ(this->Apply(kDocument, 1).status, 503);
  this->SetStoreDown(false);
  EXPECT_EQ(this->Request("POST", "order-2").value().status, 200);
}

// Guards against the loser of a race between operators overwriting the winner.
TEST_F(DeploymentTest, SecondOperatorGetsTheOtherChange) {
  ASSERT_EQ(this->Apply(kDocument, 0).status, 200);
  const HttpResponse second = this->Apply(
      "accounts: [{name: other, quota: {cores: 1, memory_gib: 1}}]", 0);
  EXPECT_EQ(second.status, 409);
  const Json error = Json::parse(second.body)["error"];
  EXPECT_EQ(error["details"]["operator"], "ann");
  EXPECT_EQ(error["details"]["version"], 1);
}

// Guards against a replaced entry that starts in an outage serving without a
// configuration although its peers have one.
TEST_F(DeploymentTest, EntryStartedInAnOutageLearnsFromItsPeer) {
  this->BringUp();
  this->SetStoreDown(true);
  std::unique_ptr<EntryProcess> second = this->StartEntry("entry-2");
  EXPECT_TRUE(Eventually([&] {
    const auto answer = this->Send(second->Listening().admin_port,
                                   {"GET", "/v1/config", {}, {}, ""});
    return answer && Json::parse(answer.value().body, nullptr, false)
                             .value("version", 0) == 1;
  }));
}

// Guards against foreign bytes ending a process or stopping its other work.
TEST_F(DeploymentTest, ForeignBytesOnEveryPortAreHarmless) {
  this->BringUp();
  const ListenSettings& entry_ports = this->entry->Listening();
  const ListenSettings& agent_ports = this->agent->Listening();
  for (const uint16_t port : {entry_ports.request_port, entry_ports.admin_port,
                              entry_ports.peer_port, agent_ports.agent_port,
                              agent_ports.peer_port, agent_ports.admin_port}) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    // The line ends let an HTTP server judge the bytes without a timeout.
    const std::string bytes = std::string(300, '\xee') + "\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(bytes));
    char reply = 0;
    boost::system::error_code error;
    // The process closes the connection; before, it may answer.
    while (!error)
      socket.read_some(boost::asio::buffer(&reply, 1), error);
  }
  EXPECT_EQ(this->Request("GET", "").value().status, 200);
  EXPECT_EQ(this->Admin({"GET", "/v1/status", {}, {}, ""}).value().status, 200);
}

// Guards against a planned stop that cuts off the request in flight.
TEST_F(DeploymentTest, ShutdownAnswersWhatIsInFlight) {
  this->BringUp();
  this->upstream.SetSlowness(300);
  const uint64_t before = this->upstream.Total();
  auto in_flight = std::async(std::launch::async, [this] {
    HttpRequest request = {"POST", "/", {}, {}, ""};
    request.headers["Cuminjunction-Service"] = "orders";
    request.headers["Cuminjunction-Account"] = "growers";
    return HttpClient().Send(
        StrCat("http://127.0.0.1:", this->entry->Listening().request_port),
        request, absl::Now() + kPatience);
  });
  ASSERT_TRUE(Eventually([&] { return this->upstream.Total() > before; }));
  this->agent->Shutdown();
  this->entry->Shutdown();
  const auto answer = in_flight.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.value().status, 200);
}

}  // namespace
}  // namespace cuminjunction
