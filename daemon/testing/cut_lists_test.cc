// Tests of lists that are a part of a longer one, with whole entries and
// agents. Waits end as soon as the awaited state is reached.

#include <memory>
#include <string>

#include "daemon/testing/fleet_fixture.h"

namespace cuminjunction {
namespace {

// More runs than a runner lists ends at a time, and a submission of as many
// tasks.
constexpr int kManyRuns = 600;
constexpr char kManyTasks[] =
    R"({"spec":"text","steps":[{"count":600,"cpu":1,"memMb":1}]})";

// Longer than a test takes.
constexpr absl::Duration kLongRun = absl::Hours(1);

class CutListsTest : public FleetTest {
 protected:
  // Starts an entry, and an agent with a runner that has kManyRuns runs.
  void StartManyRuns() {
    this->runner =
        std::move(RunnerStandin::Start(&this->ledger, kLongRun).value());
    this->entry_settings = this->EntrySettings("entry-1");
    this->agent_settings = this->AgentSettings("agent-1", *this->runner);
    this->StartEntry();
    this->StartAgent();
    ASSERT_TRUE(this->Submit(this->entry_settings, kSubmissionId, kManyTasks));
    ASSERT_TRUE(
        this->WaitUntil([this] { return this->ledger.Starts() == kManyRuns; }));
  }

  void StartEntry() {
    this->entry =
        std::move(FleetEntry::Start(this->entry_settings, &this->log).value());
    ASSERT_TRUE(this->WaitUntilReady(this->entry_settings));
  }

  void StartAgent() {
    this->agent =
        std::move(FleetAgent::Start(this->agent_settings, &this->log).value());
    ASSERT_EQ(this->SendHeartbeat(this->agent_settings, *this->runner), 200);
  }

  void ExpectEachTaskRanOnce() {
    EXPECT_TRUE(
        this->WaitForState(this->entry_settings, kSubmissionId, "completed"));
    EXPECT_EQ(this->ledger.Starts(), kManyRuns);
    EXPECT_EQ(this->ledger.Violations(), 0);
  }

  Settings entry_settings;
  Settings agent_settings;
  std::unique_ptr<RunnerStandin> runner;
  std::unique_ptr<FleetEntry> entry;
  std::unique_ptr<FleetAgent> agent;
};

// Guards against tasks that run again after their end: more runs than a runner
// lists ends at a time had ended while the agent was down, and its next process
// took the first part of the ends for all of them.
TEST_F(CutListsTest, RunsThatEndWhileTheAgentIsDownAreNotStartedAgain) {
  this->StartManyRuns();
  this->agent = nullptr;
  this->runner->FinishAll();
  this->StartAgent();
  this->ExpectEachTaskRanOnce();
}

// Guards against the same fault at a takeover while ends can't be stored.
TEST_F(CutListsTest, RunsThatEndBeforeATakeoverAreNotStartedAgain) {
  this->StartManyRuns();
  this->store->SetRefusing(true);
  this->runner->FinishAll();
  // The call after the first that lists ends.
  const int holds = this->runner->Holds();
  ASSERT_TRUE(
      this->WaitUntil([&] { return this->runner->Holds() > holds + 1; }));
  this->entry = nullptr;
  this->store->SetRefusing(false);
  this->StartEntry();
  this->ExpectEachTaskRanOnce();
}

}  // namespace
}  // namespace cuminjunction
