#ifndef FLEET_TESTING_FLEET_FIXTURE_H_
#define FLEET_TESTING_FLEET_FIXTURE_H_

// Fixture of the tests that run whole entries and agents: a stand-in of the
// platform's store that holds a configuration, settings with free ports, and
// helpers that call an entry and wait for conditions.
//
//   TEST_F(FleetTest, ...) {
//     const Settings settings = this->EntrySettings("entry-1");
//     auto entry = FleetEntry::Start(settings, &this->log);
//     ASSERT_TRUE(this->WaitUntilReady(settings));

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "base/http_client.h"
#include "base/strings.h"
#include "fleet/fleet_agent.h"
#include "fleet/fleet_entry.h"
#include "testing/support/adviser_standin.h"
#include "testing/support/free_port.h"
#include "testing/support/runner_standin.h"
#include "testing/support/store_standin.h"

namespace cuminjunction {

// Ends the waits and calls of a test on a broken system.
inline constexpr absl::Duration kTestTimeout = absl::Seconds(60);
inline constexpr char kPolicy[] =
    R"({"version":3,"routes":[{"name":"plans","host":"shop.example",)"
    R"("prefix":"/plans/","service":"line","priority":0,"maxAttempts":2,)"
    R"("stretch":2,"targetDurationMs":1000}],)"
    R"("services":[{"name":"line","enforcesCapacity":true}],)"
    R"("limits":{"maxBodyBytes":65536}})";
inline constexpr char kTwoSteps[] =
    R"({"spec":"text","steps":[{"count":6,"cpu":500,"memMb":10,)"
    R"("estRuntimeMs":50},{"count":3,"cpu":500,"memMb":10,)"
    R"("estRuntimeMs":50,"after":[0]}]})";

class FleetTest : public testing::Test {
 protected:
  FleetTest() : log("") {
    this->store = std::move(StoreStandin::Start().value());
    this->store->Put("op", "", "config", kPolicy);
  }

  Settings CommonSettings(const std::string& name) {
    Settings settings;
    settings.name = name;
    settings.region = "region";
    settings.failure_domain = "domain";
    settings.listen.peer_port = FreePort();
    settings.fleet.store = this->store->Address();
    return settings;
  }

  Settings EntrySettings(const std::string& name) {
    Settings settings = this->CommonSettings(name);
    settings.role = Role::kEntry;
    settings.fleet.submissions = {"127.0.0.1", FreePort()};
    settings.fleet.ready = {"127.0.0.1", FreePort()};
    return settings;
  }

  Settings AgentSettings(const std::string& name, const RunnerStandin& runner) {
    Settings settings = this->CommonSettings(name);
    settings.role = Role::kAgent;
    settings.fleet.heartbeats = {"127.0.0.1", FreePort()};
    settings.fleet.runner = runner.Address();
    return settings;
  }

  // Returns a response with status 0 when no answer came.
  HttpResponse Call(const Endpoint& to,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body = "") {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers["Host"] = "shop.example";
    const auto answer = this->client.Send(StrCat("http://", ToString(to)),
                                          request, absl::Now() + kTestTimeout);
    return answer ? answer.value() : HttpResponse{0, "", "", {}};
  }

  // Sends a heartbeat of the runner to its agent. Returns the HTTP status.
  int SendHeartbeat(const Settings& agent,
                    const RunnerStandin& runner,
                    const std::string& state = "ready") {
    return this
        ->Call(agent.fleet.heartbeats, "POST",
               StrCat("/v1/instances/", runner.Id(), "/heartbeat"),
               StrCat(R"({"service":"line","state":")", state,
                      R"(","zone":"domain",)",
                      R"("capacity":{"cpu":2000,"memMb":1000,"gpu":0},)",
                      R"("labels":["a","r1"],"sequence":)", ++this->sequence,
                      R"(,"born":)", runner.BornMs(), "}"))
        .status;
  }

  // Returns false when the condition is still false after kTestTimeout.
  bool WaitUntil(const std::function<bool()>& condition) {
    const absl::Time limit = absl::Now() + kTestTimeout;
    while (!condition()) {
      if (absl::Now() > limit)
        return false;
      absl::SleepFor(absl::Milliseconds(20));
    }
    return true;
  }

  bool WaitForState(const Settings& entry,
                    const std::string& id,
                    const std::string& state) {
    return this->WaitUntil([&] {
      return this->Call(entry.fleet.submissions, "GET", StrCat("/plans/", id))
                 .body == StrCat(R"({"state":")", state, R"("})");
    });
  }

  bool WaitUntilReady(const Settings& entry) {
    return this->WaitUntil([&] {
      return this->Call(entry.fleet.ready, "GET", "/v1/ready").status == 200;
    });
  }

  bool Submit(const Settings& entry,
              const std::string& id,
              const std::string& body) {
    return this->WaitUntil([&] {
      return this->Call(entry.fleet.submissions, "POST", StrCat("/plans/", id),
                        body)
                 .status == 200;
    });
  }

  Log log;
  HttpClient client;
  RunLedger ledger;
  int64_t sequence = 0;
  std::unique_ptr<StoreStandin> store;
};

inline constexpr char kSubmissionId[] = "5c0e7a21d94b36f8";

// Fixture with at most one entry, and one agent with its runner. The settings
// may be changed before the process starts.
class OneAgentTest : public FleetTest {
 protected:
  void StartEntry() {
    this->entry =
        std::move(FleetEntry::Start(this->entry_settings, &this->log).value());
    ASSERT_TRUE(this->WaitUntilReady(this->entry_settings));
  }

  // Starts the runner, on which a task runs this long.
  void StartRunner(absl::Duration run_time) {
    this->runner =
        std::move(RunnerStandin::Start(&this->ledger, run_time).value());
    this->agent_settings = this->AgentSettings("agent-1", *this->runner);
  }

  void StartAgent() {
    this->agent =
        std::move(FleetAgent::Start(this->agent_settings, &this->log).value());
    ASSERT_EQ(this->SendHeartbeat(this->agent_settings, *this->runner), 200);
  }

  void StartFleet(absl::Duration run_time) {
    this->StartRunner(run_time);
    this->StartEntry();
    this->StartAgent();
  }

  Settings entry_settings = this->EntrySettings("entry-1");
  Settings agent_settings;
  std::unique_ptr<RunnerStandin> runner;
  std::unique_ptr<FleetEntry> entry;
  std::unique_ptr<FleetAgent> agent;
};

}  // namespace cuminjunction

#endif  // FLEET_TESTING_FLEET_FIXTURE_H_
