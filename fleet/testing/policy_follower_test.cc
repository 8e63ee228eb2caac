#include "fleet/policy_follower.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "base/event_thread.h"
#include "base/strings.h"
#include "fleet/node_row.h"
#include "testing/support/fault_proxy.h"
#include "testing/support/store_standin.h"

namespace cuminjunction {
namespace {

// Ends the wait of a test on a broken system.
constexpr absl::Duration kTestTimeout = absl::Seconds(60);

// The operator's document with this many queues.
std::string Configuration(int64_t version, int queues) {
  std::string text = StrCat(R"({"version":)", version, R"(,"routes":[)");
  for (int i = 0; i < queues; ++i)
    StrAppend(&text, i == 0 ? "" : ",", R"({"name":"q)", i,
              R"(","host":"shop.example","prefix":"/q)", i,
              R"(/","kind":"non_idempotent","timeoutMs":3000,)"
              R"("targetDurationMs":1000,"priority":0,"service":"line",)"
              R"("maxAttempts":2,"stretch":2.0})");
  StrAppend(&text, R"(],"services":[{"name":"line"}],"limits":{}})");
  return text;
}

class PolicyFollowerTest : public testing::Test {
 protected:
  PolicyFollowerTest() : log(""), links("links"), thread("follower") {
    this->standin = std::move(StoreStandin::Start().value());
    this->links.Start();
    this->thread.Start();
    this->link = std::move(
        FaultProxy::Start(&this->links, this->standin->Address()).value());
  }

  ~PolicyFollowerTest() override {
    this->thread.Stop();
    this->follower = nullptr;
    this->store = nullptr;
    this->links.Stop();
  }

  void Put(int64_t version, int queues) {
    this->standin->Put("op", "", "config", Configuration(version, queues));
  }

  void Follow() {
    this->thread.Call([this] {
      this->store = std::make_unique<Store>(
          &this->thread.Context(),
          StoreOptions{this->link->Address(), kFleetPart});
      this->follower = std::make_unique<PolicyFollower>(
          &this->thread.Context(), this->store.get(), absl::ZeroDuration(),
          &this->log, &this->metrics,
          PolicyFollowerHandlers{
              .on_policy =
                  [this](const FleetPolicy& policy) {
                    this->version = policy.version;
                  },
              .on_evacuations = [](const EvacuatedDomains&) {}});
      this->follower->Start();
    });
  }

  bool WaitForVersion(int64_t expected) {
    const absl::Time limit = absl::Now() + kTestTimeout;
    while (this->version != expected && absl::Now() < limit)
      absl::SleepFor(absl::Milliseconds(10));
    return this->version == expected;
  }

  Log log;
  Metrics metrics;
  std::unique_ptr<StoreStandin> standin;
  EventThread links;
  std::unique_ptr<FaultProxy> link;
  EventThread thread;
  std::unique_ptr<Store> store;
  std::unique_ptr<PolicyFollower> follower;
  std::atomic<int64_t> version = 0;
};

// Guards against reads that are given up while their answer still arrives: a
// document that takes longer than one read may was never in force.
TEST_F(PolicyFollowerTest, ALargeDocumentIsTakenOverASlowLink) {
  // About 1 MB in an answer, which takes 2.5 s.
  this->link->SetRate(400000);
  this->Put(3, 4000);
  this->Follow();
  ASSERT_TRUE(this->WaitForVersion(3));
  this->Put(4, 4001);
  EXPECT_TRUE(this->WaitForVersion(4));
}

}  // namespace
}  // namespace cuminjunction
