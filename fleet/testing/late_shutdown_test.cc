// Tests of a runner's announcement that it shuts down which arrives late, when
// the next incarnation of the runner is up under the same id.

#include <cstdint>
#include <string>

#include "fleet/testing/fleet_fixture.h"

namespace cuminjunction {
namespace {

constexpr char kOneTask[] =
    R"({"spec":"text","steps":[{"count":1,"cpu":500}]})";

class LateShutdownTest : public OneAgentTest {
 protected:
  void SetUp() override {
    this->StartFleet(absl::Milliseconds(20));
    this->runner->KeepId();
    this->earlier_born_ms = this->runner->BornMs();
    ASSERT_TRUE(this->Completes("00000000000000a1"));
    this->runner->Leave(this->earlier_born_ms, absl::Milliseconds(100));
    ASSERT_TRUE(this->WaitUntil(
        [this] { return this->runner->BornMs() != this->earlier_born_ms; }));
    this->Heartbeat();
    ASSERT_TRUE(this->Completes("00000000000000a2"));
  }

  void Heartbeat() {
    ASSERT_EQ(this->SendHeartbeat(this->agent_settings, *this->runner), 200);
  }

  bool Completes(const std::string& id) {
    return this->Submit(this->entry_settings, id, kOneTask) &&
           this->WaitForState(this->entry_settings, id, "completed");
  }

  int AnnounceShutdown(const std::string& body) {
    return this
        ->Call(this->agent_settings.fleet.heartbeats, "POST",
               StrCat("/v1/instances/", this->runner->Id(), "/deregister"),
               body)
        .status;
  }

  int64_t earlier_born_ms = 0;
};

// Guards against a VM that refuses all starts for as long as its runner lives
// (review/14): the agent took the announcement for one of the present
// incarnation.
TEST_F(LateShutdownTest, AnEarlierIncarnationDoesNotStopThePresentOne) {
  ASSERT_EQ(
      this->AnnounceShutdown(StrCat(R"({"born":)", this->earlier_born_ms, "}")),
      200);
  this->Heartbeat();
  EXPECT_TRUE(this->Completes("00000000000000a3"));
}

// Guards against the same where the announcement does not name the incarnation.
TEST_F(LateShutdownTest, AReadyRunnerIsUsedAfterAnUnnamedShutdown) {
  ASSERT_EQ(this->AnnounceShutdown(""), 200);
  this->Heartbeat();
  EXPECT_TRUE(this->Completes("00000000000000a3"));
}

// Guards against starts on a runner that shuts down and has sent no heartbeat
// that says so.
TEST_F(LateShutdownTest, ThePresentIncarnationIsNotUsedAfterItsShutdown) {
  ASSERT_EQ(this->AnnounceShutdown(
                StrCat(R"({"born":)", this->runner->BornMs(), "}")),
            200);
  const int starts = this->ledger.Starts();
  ASSERT_TRUE(this->Submit(this->entry_settings, "00000000000000a3", kOneTask));
  absl::SleepFor(absl::Seconds(1));
  EXPECT_EQ(this->ledger.Starts(), starts);
}

// Guards against a body of another writer being taken for an announcement.
TEST_F(LateShutdownTest, ABodyThatCannotBeReadIsRefused) {
  EXPECT_EQ(this->AnnounceShutdown("damaged"), 400);
  EXPECT_EQ(this->AnnounceShutdown(R"({"born":"today"})"), 400);
  EXPECT_TRUE(this->Completes("00000000000000a3"));
}

}  // namespace
}  // namespace cuminjunction
