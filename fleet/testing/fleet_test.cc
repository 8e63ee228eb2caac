// Tests of whole entries and agents of the users' platform, against stand-ins
// of its store and runners on loopback. Waits end as soon as the awaited state
// is reached; their time limit only ends the test on a broken system.

#include <set>

#include "base/event_thread.h"
#include "fleet/planner_nodes.h"
#include "fleet/testing/fleet_fixture.h"

namespace cuminjunction {
namespace {

TEST_F(FleetTest, ASubmissionRunsToCompletion) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(50)).value());
  const Settings entry_settings = this->EntrySettings("entry-1");
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_TRUE(entry);
  ASSERT_TRUE(agent);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  ASSERT_TRUE(this->Submit(entry_settings, kSubmissionId, kTwoSteps));
  EXPECT_TRUE(this->WaitForState(entry_settings, kSubmissionId, "completed"));
  EXPECT_EQ(this->ledger.Starts(), 9);
  EXPECT_EQ(this->ledger.Violations(), 0);
  // A repeated request after the answer creates no second submission.
  EXPECT_TRUE(this->Submit(entry_settings, kSubmissionId, kTwoSteps));
  EXPECT_EQ(this->store->CountRows("submission"), 1u);
}

// Guards against a store that grows without bound, and against answers that
// show a submission whose rows have been removed.
TEST_F(FleetTest, RowsOfEndedSubmissionsAreRemoved) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(50)).value());
  Settings entry_settings = this->EntrySettings("entry-1");
  entry_settings.fleet.state_retention_ms = 400;
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  const std::string cancelled = "00000000000000c1";
  ASSERT_TRUE(this->Submit(entry_settings, cancelled, kTwoSteps));
  EXPECT_EQ(this->Call(entry_settings.fleet.submissions, "DELETE",
                       StrCat("/plans/", cancelled))
                .status,
            200);
  ASSERT_TRUE(this->Submit(entry_settings, kSubmissionId, kTwoSteps));
  EXPECT_TRUE(this->WaitUntil([&] {
    return this->ledger.Starts() >= 9 &&
           this->store->CountRows("submission") == 0 &&
           this->store->CountRows("progress") == 0 &&
           this->store->CountRows("cancellation") == 0;
  }));
  EXPECT_TRUE(this->WaitUntil([&] {
    return this->Call(entry_settings.fleet.submissions, "GET",
                      StrCat("/plans/", kSubmissionId))
               .status == 410;
  }));
  EXPECT_EQ(this->ledger.Violations(), 0);
}

// Guards against a planner that reads the full text of every ended submission
// at its takeover, and against one that runs ended submissions again.
TEST_F(FleetTest, EndedSubmissionsAreSmallAndStayEndedForTheNextPlanner) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(50)).value());
  const Settings entry_settings = this->EntrySettings("entry-1");
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  std::string body = kTwoSteps;
  body.insert(body.find("text"), std::string(3000, 'x'));
  ASSERT_TRUE(this->Submit(entry_settings, kSubmissionId, body));
  ASSERT_TRUE(this->WaitForState(entry_settings, kSubmissionId, "completed"));
  EXPECT_EQ(this->store->CountRows("submission"), 1u);
  EXPECT_LT(this->store->CountBytes("submission"), 100u);
  entry.value() = nullptr;
  entry = FleetEntry::Start(entry_settings, &this->log);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  EXPECT_TRUE(this->WaitForState(entry_settings, kSubmissionId, "completed"));
  ASSERT_TRUE(this->Submit(entry_settings, kSubmissionId, body));
  // Another submission shows that the new planner has taken over.
  ASSERT_TRUE(this->Submit(entry_settings, "00000000000000d1", kTwoSteps));
  EXPECT_TRUE(
      this->WaitForState(entry_settings, "00000000000000d1", "completed"));
  EXPECT_EQ(this->ledger.Starts(), 18);
  EXPECT_EQ(this->ledger.Violations(), 0);
}

TEST_F(FleetTest, BadRequestsGetSpecificStatuses) {
  const Settings settings = this->EntrySettings("entry-1");
  auto entry = FleetEntry::Start(settings, &this->log);
  ASSERT_TRUE(entry);
  ASSERT_TRUE(this->WaitUntilReady(settings));
  const Endpoint& front = settings.fleet.submissions;
  EXPECT_EQ(this->Call(front, "POST", "/other/1", "{}").status, 404);
  EXPECT_EQ(this->Call(front, "POST", "/plans/short", kTwoSteps).status, 400);
  EXPECT_EQ(
      this->Call(front, "POST", StrCat("/plans/", kSubmissionId), "{").status,
      400);
  EXPECT_EQ(this->Call(front, "GET", StrCat("/plans/", kSubmissionId)).status,
            410);
  EXPECT_EQ(
      this->Call(front, "DELETE", StrCat("/plans/", kSubmissionId)).status,
      410);
  EXPECT_EQ(this->Call(front, "PUT", StrCat("/plans/", kSubmissionId)).status,
            405);
  EXPECT_EQ(this->store->CountRows("submission"), 0u);
}

// Guards against starts without the adviser's permit on a queue of restricted
// placement, and against tasks that never start after the adviser has refused a
// call.
TEST_F(FleetTest, ARestrictedQueueRunsOnlyWhereTheAdviserPermits) {
  std::string policy = kPolicy;
  const std::string last = R"("targetDurationMs":1000)";
  policy.insert(policy.find(last) + last.size(),
                R"(,"advice":{"decideMs":10,"eachMs":1,"validMs":60000})");
  this->store->Put("op", "", "config", policy);
  auto adviser = std::move(AdviserStandin::Start().value());
  adviser->RefuseNext(1);
  RunLedger forbidden;
  auto runner_1 = std::move(
      RunnerStandin::Start(&forbidden, absl::Milliseconds(50)).value());
  auto runner_2 = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(50)).value());
  adviser->Allow(runner_2->Id(), "ticket-2");
  runner_1->RequireTicket("none");
  runner_2->RequireTicket("ticket-2");
  const Settings entry_settings = this->EntrySettings("entry-1");
  Settings settings_1 = this->AgentSettings("agent-1", *runner_1);
  Settings settings_2 = this->AgentSettings("agent-2", *runner_2);
  settings_1.fleet.adviser = adviser->Address();
  settings_2.fleet.adviser = adviser->Address();
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent_1 = FleetAgent::Start(settings_1, &this->log);
  auto agent_2 = FleetAgent::Start(settings_2, &this->log);
  ASSERT_EQ(this->SendHeartbeat(settings_1, *runner_1), 200);
  ASSERT_EQ(this->SendHeartbeat(settings_2, *runner_2), 200);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  ASSERT_TRUE(this->Submit(entry_settings, kSubmissionId, kTwoSteps));
  EXPECT_TRUE(this->WaitForState(entry_settings, kSubmissionId, "completed"));
  EXPECT_EQ(this->ledger.Starts(), 9);
  EXPECT_EQ(this->ledger.Violations(), 0);
  EXPECT_EQ(forbidden.Starts(), 0);
}

// Guards against treating a lost reply of the store as a refusal, or the
// conflict of the repeated commit as one with another planner.
TEST_F(FleetTest, LostStoreRepliesCauseNoExtraRun) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(50)).value());
  const Settings entry_settings = this->EntrySettings("entry-1");
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  this->store->LoseReplies(3);
  ASSERT_TRUE(this->Submit(entry_settings, kSubmissionId, kTwoSteps));
  this->store->LoseReplies(3);
  EXPECT_TRUE(this->WaitForState(entry_settings, kSubmissionId, "completed"));
  EXPECT_EQ(this->ledger.Starts(), 9);
  EXPECT_EQ(this->ledger.Violations(), 0);
}

// Guards against a second run of a task when the answer to its start is lost.
TEST_F(FleetTest, LostRunnerRepliesCauseNoExtraRun) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(300)).value());
  const Settings entry_settings = this->EntrySettings("entry-1");
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  runner->LoseStartReplies(4);
  ASSERT_TRUE(this->Submit(entry_settings, kSubmissionId, kTwoSteps));
  EXPECT_TRUE(this->WaitForState(entry_settings, kSubmissionId, "completed"));
  EXPECT_EQ(this->ledger.Starts(), 9);
  EXPECT_EQ(this->ledger.Violations(), 0);
}

// Guards against lost or repeated runs when the planning entry ends while tasks
// run: another entry takes over, adopts the active runs and starts none twice.
TEST_F(FleetTest, AnotherEntryTakesOverFromADeadPlanner) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(700)).value());
  const Settings first_settings = this->EntrySettings("entry-1");
  const Settings second_settings = this->EntrySettings("entry-2");
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  auto first = FleetEntry::Start(first_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  ASSERT_TRUE(this->WaitUntilReady(first_settings));
  ASSERT_TRUE(this->Submit(first_settings, kSubmissionId, kTwoSteps));
  ASSERT_TRUE(this->WaitUntil([&] { return this->ledger.Starts() >= 4; }));
  auto second = FleetEntry::Start(second_settings, &this->log);
  ASSERT_TRUE(this->WaitUntilReady(second_settings));
  first.value().reset();
  EXPECT_TRUE(this->WaitForState(second_settings, kSubmissionId, "completed"));
  EXPECT_EQ(this->ledger.Starts(), 9);
  EXPECT_EQ(this->ledger.Violations(), 0);
}

// Guards against losing active runs, or starting them again, while their agent
// restarts.
TEST_F(FleetTest, ARestartedAgentFindsItsTasksRunning) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(1500)).value());
  const Settings entry_settings = this->EntrySettings("entry-1");
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  ASSERT_TRUE(this->Submit(
      entry_settings, kSubmissionId,
      R"({"spec":"t","steps":[{"count":2,"cpu":500,"estRuntimeMs":1500}]})"));
  ASSERT_TRUE(this->WaitUntil([&] { return this->ledger.Starts() == 2; }));
  agent.value().reset();
  agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_TRUE(agent);
  this->SendHeartbeat(agent_settings, *runner);
  EXPECT_TRUE(this->WaitForState(entry_settings, kSubmissionId, "completed"));
  EXPECT_EQ(this->ledger.Starts(), 2);
  EXPECT_EQ(this->ledger.Violations(), 0);
}

// Guards against an outage of the store that stops accepted submissions. While
// the store refuses every call, new submissions are refused with a Retry-After
// header, accepted ones continue and their state is answered from memory, and
// none is shown as completed before its completion is stored.
TEST_F(FleetTest, AnOutageOfTheStoreStopsOnlyNewSubmissions) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(50)).value());
  const Settings entry_settings = this->EntrySettings("entry-1");
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  // A first submission shows that the agent is connected.
  ASSERT_TRUE(this->Submit(entry_settings, kSubmissionId, kTwoSteps));
  ASSERT_TRUE(this->WaitForState(entry_settings, kSubmissionId, "completed"));
  const std::string second = "00000000000000b2";
  ASSERT_TRUE(this->Submit(entry_settings, second, kTwoSteps));
  this->store->SetRefusing(true);
  EXPECT_TRUE(this->WaitUntil([&] { return this->ledger.Starts() == 18; }));
  const Endpoint& front = entry_settings.fleet.submissions;
  // The first requests may be relayed to the planner, so that their outcome is
  // unknown; later ones are refused. Each attempt uses a new id.
  std::string refused_id;
  int tries = 0;
  EXPECT_TRUE(this->WaitUntil([&] {
    refused_id = StrCat("00000000000000", 10 + tries++);
    const HttpResponse answer =
        this->Call(front, "POST", StrCat("/plans/", refused_id), kTwoSteps);
    return answer.status == 503 && answer.headers.contains("retry-after");
  }));
  EXPECT_EQ(this->Call(front, "GET", StrCat("/plans/", second)).body,
            R"({"state":"running"})");
  this->store->SetRefusing(false);
  EXPECT_TRUE(this->WaitForState(entry_settings, second, "completed"));
  // The refused submission is not stored, so it never runs.
  EXPECT_EQ(this->Call(front, "GET", StrCat("/plans/", refused_id)).status,
            410);
  EXPECT_EQ(this->ledger.Violations(), 0);
}

// Guards against a planner that reads only the first page of a table, at its
// start or after the store has compacted its change history.
TEST_F(FleetTest, EveryPageIsReadAlsoAfterCompaction) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(50)).value());
  this->store->SetPageSize(2);
  const Settings entry_settings = this->EntrySettings("entry-1");
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  const auto put = [&](const std::string& id) {
    Submission submission;
    submission.id = id;
    submission.queue = "plans";
    submission.text = "text";
    Step step;
    step.count = 1;
    step.size = {500, 10, 0};
    submission.steps.push_back(step);
    this->store->Put("submission", "fleet", id,
                     Encode(SubmissionRow{submission}));
  };
  for (int number = 10; number < 15; ++number)
    put(StrCat("00000000000000", number));
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  EXPECT_TRUE(this->WaitUntil([&] { return this->ledger.Starts() == 5; }));
  // Rows of another entry that ended before it notified the planner.
  for (int number = 15; number < 20; ++number)
    put(StrCat("00000000000000", number));
  this->store->Compact();
  EXPECT_TRUE(this->WaitUntil([&] { return this->ledger.Starts() == 10; }));
  EXPECT_EQ(this->ledger.Violations(), 0);
}

// An entry follows no planner of a lower epoch after one of this epoch.
constexpr uint64_t kHighEpoch = 1000;

// A planner without a lease that takes note of the cancellations it is told.
class ListeningPlanner {
 public:
  ListeningPlanner(Log* log, const NodeRow& entry, uint64_t epoch)
      : thread("planner"),
        nodes(&this->thread.Context(),
              "planner",
              log,
              {.on_connected = [this](const std::string&,
                                      bool) { this->connected = true; },
               .on_disconnected = [](const std::string&, bool) {},
               .on_long_grants_ruled_out = [] {},
               .may_grant = [](const std::string&) { return false; },
               .on_granted = [](const std::string&, absl::Time) {},
               .on_message =
                   [this](const std::string&, FleetMessage&& message) {
                     if (const auto* notice =
                             std::get_if<CancelledNotice>(&message))
                       this->cancelled.insert(notice->submission);
                   },
               .on_higher_epoch = [] {}}) {
    this->thread.Start();
    this->thread.Call([&] {
      this->nodes.Start(epoch);
      this->nodes.Add("entry-1", entry);
    });
  }
  ~ListeningPlanner() {
    this->thread.Call([this] { this->nodes.Stop(); });
    this->thread.Stop();
  }

  bool IsConnected() {
    return this->thread.Call([this] {
      this->nodes.Tick(absl::ZeroDuration(), false);
      return this->connected;
    });
  }

  bool IsCancelled(const std::string& id) {
    return this->thread.Call([&] { return this->cancelled.contains(id); });
  }

 private:
  EventThread thread;
  PlannerNodes nodes;
  bool connected = false;
  std::set<std::string> cancelled;
};

// Guards against tasks that start seconds after an acknowledged cancellation:
// the entry had no planner at that moment, and the planner that connected next
// was not told.
TEST_F(FleetTest, ACancellationIsRepeatedToThePlannerThatConnects) {
  const Settings settings = this->EntrySettings("entry-1");
  const NodeRow row{{settings.listen.host, settings.listen.peer_port}, false};
  auto entry = FleetEntry::Start(settings, &this->log);
  ASSERT_TRUE(this->WaitUntilReady(settings));
  ASSERT_TRUE(this->Submit(settings, kSubmissionId, kTwoSteps));
  {
    ListeningPlanner planner(&this->log, row, kHighEpoch);
    ASSERT_TRUE(this->WaitUntil([&] { return planner.IsConnected(); }));
  }
  EXPECT_EQ(this->Call(settings.fleet.submissions, "DELETE",
                       StrCat("/plans/", kSubmissionId))
                .status,
            200);
  ListeningPlanner planner(&this->log, row, kHighEpoch + 1);
  ASSERT_TRUE(this->WaitUntil([&] { return planner.IsConnected(); }));
  EXPECT_TRUE(
      this->WaitUntil([&] { return planner.IsCancelled(kSubmissionId); }));
}

TEST_F(FleetTest, ACancelledSubmissionStopsAndStaysCancelled) {
  auto runner =
      std::move(RunnerStandin::Start(&this->ledger, absl::Seconds(50)).value());
  const Settings entry_settings = this->EntrySettings("entry-1");
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  auto entry = FleetEntry::Start(entry_settings, &this->log);
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  ASSERT_TRUE(this->WaitUntilReady(entry_settings));
  ASSERT_TRUE(this->Submit(entry_settings, kSubmissionId, kTwoSteps));
  ASSERT_TRUE(this->WaitUntil([&] { return this->ledger.Starts() == 4; }));
  EXPECT_EQ(this->Call(entry_settings.fleet.submissions, "DELETE",
                       StrCat("/plans/", kSubmissionId))
                .status,
            200);
  EXPECT_TRUE(this->WaitForState(entry_settings, kSubmissionId, "cancelled"));
  // The capacity of the cancelled runs is free again.
  const std::string second = "00000000000000b2";
  ASSERT_TRUE(this->Submit(entry_settings, second, kTwoSteps));
  EXPECT_TRUE(this->WaitUntil([&] { return this->ledger.Starts() == 8; }));
  EXPECT_EQ(this->ledger.Violations(), 0);
}

}  // namespace
}  // namespace cuminjunction
