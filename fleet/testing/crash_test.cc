// Tests of tasks that crash the runners that start them, with whole entries and
// agents. Waits end as soon as the awaited state is reached.

#include <memory>
#include <string>
#include <vector>

#include "fleet/testing/fleet_fixture.h"

namespace cuminjunction {
namespace {

constexpr int kVms = 4;

class CrashTest : public FleetTest {
 protected:
  // Starts an entry, and agents with runners that `task` crashes.
  void StartFleet(const std::string& task) {
    this->entry_settings = this->EntrySettings("entry-1");
    this->entry =
        std::move(FleetEntry::Start(this->entry_settings, &this->log).value());
    for (int i = 0; i < kVms; ++i) {
      this->runners.push_back(
          std::move(RunnerStandin::Start(&this->ledger, absl::Milliseconds(100))
                        .value()));
      this->runners.back()->CrashOnStartOf(task);
      this->agent_settings.push_back(
          this->AgentSettings(StrCat("agent-", i), *this->runners.back()));
      this->agents.push_back(std::move(
          FleetAgent::Start(this->agent_settings.back(), &this->log).value()));
    }
    this->heard_born_ms.resize(kVms);
    this->SendHeartbeats();
    ASSERT_TRUE(this->WaitUntilReady(this->entry_settings));
  }

  // Sends the heartbeats of the incarnations that have sent none.
  void SendHeartbeats() {
    for (int i = 0; i < kVms; ++i) {
      const int64_t born_ms = this->runners[i]->BornMs();
      if (std::exchange(this->heard_born_ms[i], born_ms) != born_ms)
        this->SendHeartbeat(this->agent_settings[i], *this->runners[i]);
    }
  }

  int Crashes() const {
    int crashes = 0;
    for (const auto& runner : this->runners)
      crashes += runner->Crashes();
    return crashes;
  }

  std::string State(const std::string& id) {
    return this
        ->Call(this->entry_settings.fleet.submissions, "GET",
               StrCat("/plans/", id))
        .body;
  }

  Settings entry_settings;
  std::unique_ptr<FleetEntry> entry;
  std::vector<std::unique_ptr<RunnerStandin>> runners;
  std::vector<Settings> agent_settings;
  std::vector<std::unique_ptr<FleetAgent>> agents;
  std::vector<int64_t> heard_born_ms;
};

// Guards against a task that is started again and again although each runner
// that starts it crashes, and takes the other runs there with it.
TEST_F(CrashTest, ATaskThatCrashesItsRunnersIsGivenUp) {
  const std::string bystander = "00000000000000b1";
  this->StartFleet(StrCat(kSubmissionId, ".0.0.2"));
  ASSERT_TRUE(this->Submit(this->entry_settings, kSubmissionId, kTwoSteps));
  ASSERT_TRUE(this->Submit(this->entry_settings, bystander, kTwoSteps));
  ASSERT_TRUE(this->WaitUntil([&] {
    this->SendHeartbeats();
    // The rules allow two starts after the third crash.
    return this->State(kSubmissionId) == R"({"state":"failed"})" ||
           this->Crashes() > 5;
  }));
  EXPECT_LE(this->Crashes(), 3);
  EXPECT_EQ(this->State(kSubmissionId), R"({"state":"failed"})");
  EXPECT_TRUE(this->WaitUntil([&] {
    this->SendHeartbeats();
    return this->State(bystander) == R"({"state":"completed"})";
  }));
  EXPECT_EQ(this->ledger.Violations(), 0);
}

}  // namespace
}  // namespace cuminjunction
