// Tests of an entry that refuses submissions by the planner's CapacityNotice.

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <string>

#include "base/strings.h"
#include "fleet/testing/fleet_fixture.h"
#include "fleet/testing/port_process.h"
#include "fleet/testing/script_planner.h"

namespace cuminjunction {
namespace {

// Epochs above those of the planner that an entry starts.
constexpr uint64_t kEpoch = 100;

// Two queues, the second less urgent, with an objective of 2.1 s for kPlan.
constexpr char kTwoQueues[] =
    R"({"version":4,"routes":[{"name":"plans","host":"shop.example",)"
    R"("prefix":"/plans/","service":"line","priority":2,"maxAttempts":2,)"
    R"("stretch":2,"targetDurationMs":2000}],)"
    R"("services":[{"name":"line","enforcesCapacity":true}],)"
    R"("limits":{"maxBodyBytes":65536}})";
constexpr char kPlan[] =
    R"({"spec":"text","steps":[{"count":1,"cpu":500,"memMb":10,)"
    R"("estRuntimeMs":50}]})";

// 100 s of more urgent work for the whole capacity.
CapacityNotice MakeNotice(uint64_t epoch) {
  return {epoch,
          {{"line",
            4000,
            {{0, 256'000, 400'000'000, 400'000'000, {500, 10, 0}, 1000}}}}};
}

class OverloadNoticeTest : public OneAgentTest {
 protected:
  OverloadNoticeTest() { this->store->Put("op", "", "config", kTwoQueues); }

  void Connect() {
    this->entry_settings.fleet.overload_control = true;
    this->StartEntry();
    this->planner = std::make_unique<ScriptPlanner>(
        PortProcess::Address(this->entry_settings), kEpoch);
    // The second ping carries an echo of the entry's clock, and the third one
    // shows that it has arrived.
    for (int pong = 0; pong < 3; ++pong)
      ASSERT_TRUE(this->planner->WaitFor<NodePong>());
  }

  HttpResponse SubmitPlan(int number) {
    return this->Call(this->entry_settings.fleet.submissions, "POST",
                      StrCat("/plans/", absl::Hex(number, absl::kZeroPad16)),
                      kPlan);
  }

  // Sends a notice and waits until the entry has handled it.
  void SendNotice(const CapacityNotice& notice) {
    this->planner->Send(notice);
    ASSERT_TRUE(this->planner->WaitFor<NodePong>());
    ASSERT_TRUE(this->planner->WaitFor<NodePong>());
  }

  std::unique_ptr<ScriptPlanner> planner;
};

// Load pattern: a backlog of urgent work. Guards against accepting a submission
// that certainly is of no use, and against refusing by a notice that is old,
// damaged, or of a planner that was replaced.
TEST_F(OverloadNoticeTest, RefusesOnlyByARecentAndSoundNotice) {
  this->Connect();
  EXPECT_EQ(this->SubmitPlan(1).status, 200);
  this->SendNotice(MakeNotice(kEpoch));
  const HttpResponse refused = this->SubmitPlan(2);
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(refused.body, R"({"error":"overloaded"})");
  // The backlog of 100 s is limited.
  EXPECT_EQ(refused.headers.at("retry-after"), "60");
  // What is accepted already stays so.
  EXPECT_EQ(this->SubmitPlan(1).status, 200);
  absl::SleepFor(absl::Milliseconds(2100));
  EXPECT_EQ(this->SubmitPlan(3).status, 200);
  this->SendNotice(MakeNotice(kEpoch - 1));
  EXPECT_EQ(this->SubmitPlan(4).status, 200);
  CapacityNotice damaged = MakeNotice(kEpoch);
  damaged.services[0].queued[0].work = -1;
  this->SendNotice(damaged);
  EXPECT_EQ(this->SubmitPlan(5).status, 200);
}

}  // namespace
}  // namespace cuminjunction
