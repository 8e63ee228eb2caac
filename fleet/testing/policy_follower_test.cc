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
#include "base/time.h"
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

  void Follow(absl::Duration evacuation_bound = absl::Seconds(5)) {
    this->thread.Call([this, evacuation_bound] {
      this->store = std::make_unique<Store>(
          &this->thread.Context(),
          StoreOptions{this->link->Address(), kFleetPart});
      this->follower = std::make_unique<PolicyFollower>(
          &this->thread.Context(), this->store.get(), evacuation_bound,
          &this->log, &this->metrics,
          PolicyFollowerHandlers{.on_policy =
                                     [this](const FleetPolicy& policy) {
                                       this->version = policy.version;
                                     },
                                 .on_evacuations =
                                     [this](const EvacuatedDomains& domains) {
                                       this->evacuations = domains;
                                       this->version_at_change = this->version;
                                     }});
      this->follower->Start();
    });
  }

  bool WaitForVersion(int64_t expected) {
    const absl::Time limit = absl::Now() + kTestTimeout;
    while (this->version != expected && absl::Now() < limit)
      absl::SleepFor(absl::Milliseconds(10));
    return this->version == expected;
  }

  void Evacuate(const std::string& domain, const std::string& value = "{}") {
    this->standin->Put("op", "", StrCat("evacuate/", domain), value);
  }

  bool WaitForEvacuations(const EvacuatedDomains& expected) {
    const absl::Time limit = absl::Now() + kTestTimeout;
    const auto is_expected = [&] {
      return this->thread.Call([&] { return this->evacuations == expected; });
    };
    while (!is_expected() && absl::Now() < limit)
      absl::SleepFor(absl::Milliseconds(10));
    return is_expected();
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
  // The last set that the follower has passed on, and the version of the
  // configuration at that time.
  EvacuatedDomains evacuations;
  int64_t version_at_change = 0;
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

// Guards against a planner that has the configuration, and so plans, before it
// knows the evacuations; also where the table has several pages.
TEST_F(PolicyFollowerTest, EvacuationsAreKnownBeforeTheConfiguration) {
  // The stand-in repeats the last row of a page on the next one.
  this->standin->SetPageSize(2);
  this->Put(3, 1);
  this->Evacuate("erie-a");
  this->Evacuate("");
  this->Evacuate("erie-b", "not even JSON");
  this->standin->Put("op", "", "wave/1", "");
  const absl::Time before = BootClock().Now();
  this->Follow();
  ASSERT_TRUE(this->WaitForVersion(3));
  ASSERT_TRUE(this->WaitForEvacuations({{"erie-a", "erie-b"}}));
  EXPECT_EQ(this->version_at_change, 0);
  EXPECT_GE(this->thread.Call([&] { return this->follower->AsOf(); }), before);
}

// Guards against changes of which the feed tells and that the follower drops.
TEST_F(PolicyFollowerTest, TheFeedAddsAndRemovesEvacuations) {
  this->Put(3, 1);
  this->Evacuate("erie-a");
  this->Follow();
  ASSERT_TRUE(this->WaitForEvacuations({{"erie-a"}}));
  this->Evacuate("erie-b");
  ASSERT_TRUE(this->WaitForEvacuations({{"erie-a", "erie-b"}}));
  this->standin->Remove("op", "", "evacuate/erie-a");
  ASSERT_TRUE(this->WaitForEvacuations({{"erie-b"}}));
}

// Guards against a deployment without evacuations whose VMs take no work since
// its operator has written such a row.
TEST_F(PolicyFollowerTest, WithoutABoundEvacuationsAreIgnored) {
  this->Evacuate("erie-a");
  this->Put(3, 1);
  this->Follow(absl::ZeroDuration());
  ASSERT_TRUE(this->WaitForVersion(3));
  // The feed tells of the second row before the new configuration.
  this->Evacuate("erie-b");
  this->Put(4, 1);
  ASSERT_TRUE(this->WaitForVersion(4));
  EXPECT_TRUE(this->WaitForEvacuations({}));
}

// Guards against an evacuation that never ends, since its row was removed while
// the follower was behind and the store has dropped that from its history.
TEST_F(PolicyFollowerTest, ARemovalThatTheHistoryLacksIsNoticed) {
  this->Put(3, 1);
  this->Evacuate("erie-a");
  this->Follow();
  ASSERT_TRUE(this->WaitForEvacuations({{"erie-a"}}));
  this->standin->SetFeedDelay(absl::Milliseconds(300));
  const int reads = this->standin->FeedReads("op");
  while (this->standin->FeedReads("op") == reads)
    absl::SleepFor(absl::Milliseconds(5));
  // The answer that is on its way was read before the removal.
  this->standin->Remove("op", "", "evacuate/erie-a");
  this->standin->Compact();
  EXPECT_TRUE(this->WaitForEvacuations({}));
}

// Guards against knowledge that seems recent although the store has not
// answered: its age limits what a planner may start.
TEST_F(PolicyFollowerTest, FailedReadsDoNotRenewTheKnowledge) {
  this->Put(3, 1);
  this->Follow();
  ASSERT_TRUE(this->WaitForVersion(3));
  this->standin->SetRefusing(true);
  const auto is_unreachable = [this] {
    return this->thread.Call(
        [this] { return this->follower->IsStoreUnreachable(); });
  };
  while (!is_unreachable())
    absl::SleepFor(absl::Milliseconds(5));
  const auto as_of = [this] {
    return this->thread.Call([this] { return this->follower->AsOf(); });
  };
  const absl::Time last = as_of();
  absl::SleepFor(absl::Milliseconds(300));
  EXPECT_EQ(as_of(), last);
  this->standin->SetRefusing(false);
  const absl::Time limit = absl::Now() + kTestTimeout;
  while (as_of() == last && absl::Now() < limit)
    absl::SleepFor(absl::Milliseconds(5));
  EXPECT_GT(as_of(), last);
}

}  // namespace
}  // namespace cuminjunction
