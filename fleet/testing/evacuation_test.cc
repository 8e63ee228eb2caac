// Tests of evacuated failure domains with whole entries and agents.

#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "fleet/evacuation_guard.h"
#include "fleet/testing/fleet_fixture.h"
#include "fleet/testing/port_process.h"
#include "fleet/testing/script_planner.h"

namespace cuminjunction {
namespace {

constexpr char kOneTask[] =
    R"({"spec":"text","steps":[{"count":1,"cpu":500}]})";

// The domain that the runners of the fixture report.
constexpr char kDomain[] = "domain";

// Long enough for several pings and plans.
constexpr absl::Duration kSeveralPings = absl::Milliseconds(1200);

class EvacuationTest : public OneAgentTest {
 protected:
  EvacuationTest() { this->entry_settings.fleet.evacuate_ms = 5000; }

  void StartFleet(absl::Duration run_time) {
    this->StartRunner(run_time);
    this->agent_settings.fleet.evacuate_ms = 5000;
    this->StartEntry();
    this->StartAgent();
  }

  void Evacuate(const std::string& domain) {
    this->store->Put("op", "", StrCat("evacuate/", domain), "{}");
  }

  void EndEvacuation(const std::string& domain) {
    this->store->Remove("op", "", StrCat("evacuate/", domain));
  }

  bool Completes(const std::string& id) {
    return this->WaitForState(this->entry_settings, id, "completed");
  }
};

// Guards against starts in an evacuated domain, and against a domain that gets
// no work after its evacuation.
TEST_F(EvacuationTest, NoStartDuringAnEvacuationAndStartsAfterIt) {
  this->StartFleet(absl::Milliseconds(20));
  ASSERT_TRUE(this->Submit(this->entry_settings, "00000000000000a1", kOneTask));
  ASSERT_TRUE(this->Completes("00000000000000a1"));
  this->Evacuate(kDomain);
  absl::SleepFor(kSeveralPings);
  ASSERT_TRUE(this->Submit(this->entry_settings, "00000000000000a2", kOneTask));
  absl::SleepFor(kSeveralPings);
  EXPECT_EQ(this->ledger.Starts(), 1);
  this->EndEvacuation(kDomain);
  EXPECT_TRUE(this->Completes("00000000000000a2"));
  EXPECT_EQ(this->ledger.Violations(), 0);
}

// Guards against starts after a restart of the agent, which has forgotten the
// evacuation, and after the loss of the planner that had told it.
TEST_F(EvacuationTest, NothingStartsAfterRestartsOfAgentAndPlanner) {
  this->StartFleet(absl::Milliseconds(20));
  this->Evacuate(kDomain);
  absl::SleepFor(kSeveralPings);
  this->agent = nullptr;
  this->StartAgent();
  ASSERT_TRUE(this->Submit(this->entry_settings, kSubmissionId, kOneTask));
  this->entry = nullptr;
  this->entry_settings = this->EntrySettings("entry-2");
  this->entry_settings.fleet.evacuate_ms = 5000;
  this->StartEntry();
  // The heartbeat that follows the agent's start has the planner's grant.
  absl::SleepFor(2 * kSeveralPings);
  EXPECT_EQ(this->ledger.Starts(), 0);
  this->EndEvacuation(kDomain);
  EXPECT_TRUE(this->Completes(kSubmissionId));
}

// Guards against a fleet that stands still because the operator has misspelt a
// domain or written a row without one.
TEST_F(EvacuationTest, UnknownAndEmptyDomainsStopNothing) {
  this->Evacuate("nowhere");
  this->Evacuate("");
  this->StartFleet(absl::Milliseconds(20));
  ASSERT_TRUE(this->Submit(this->entry_settings, kSubmissionId, kOneTask));
  EXPECT_TRUE(this->Completes(kSubmissionId));
}

// One agent with its runner, and a planner that the test plays.
class EvacuatedAgentTest : public OneAgentTest {
 protected:
  // Starts an agent in the domain "erie-a" by its settings. Its runner reports
  // kDomain.
  void StartAgentAlone(int64_t evacuate_ms) {
    this->StartRunner(absl::Milliseconds(20));
    this->agent_settings.failure_domain = "erie-a";
    this->agent_settings.fleet.evacuate_ms = evacuate_ms;
    this->StartAgent();
    this->planner = std::make_unique<ScriptPlanner>(
        PortProcess::Address(this->agent_settings), kEpoch);
    // The report that names the runner's incarnation.
    ASSERT_TRUE(this->WaitUntil([this] {
      const auto notice = this->planner->WaitFor<WorkerNotice>();
      return notice && notice->alive;
    }));
    this->planner->SetPing({}, kGrant);
  }

  // Orders a start with a timestamp that is this old.
  void Order(uint32_t run, absl::Duration age = absl::ZeroDuration()) {
    StartRuns start;
    start.epoch = kEpoch;
    start.number = run;
    start.born_ms = this->runner->BornMs();
    start.echoed_timestamp_us =
        this->planner->TimestampUs() - absl::ToInt64Microseconds(age);
    start.texts = {"text"};
    start.runs.emplace_back();
    start.runs.front().task = {kSubmissionId, 0, 0, 0};
    start.runs.front().run = run;
    this->planner->Send(start);
  }

  // Waits for the refusal of a start.
  std::optional<StartOutcome> Refusal() {
    const auto refused = this->planner->WaitFor<StartRefused>();
    if (!refused)
      return std::nullopt;
    return static_cast<StartOutcome>(refused->outcome);
  }

  // Waits until a start has no answer and is tried again.
  bool WaitForRetry() {
    return this->WaitUntil([this] { return this->runner->KeptCalls() > 1; });
  }

  // Carries out the starts that were kept, after the agent has stopped them.
  void CarryOutLateStarts() {
    this->runner->KeepNextCalls(kStartPath, 0);
    this->runner->CarryOutKept();
  }

  static constexpr uint64_t kEpoch = 100;
  static constexpr absl::Duration kGrant = absl::Seconds(6);
  static constexpr char kStartPath[] = "/v1/run-start";
  // More calls than a test makes.
  static constexpr int kAll = 1000000;
  std::unique_ptr<ScriptPlanner> planner;
};

// Guards against starts on a VM one of whose two names of its domain is not the
// one that is evacuated.
TEST_F(EvacuatedAgentTest, BothDomainsOfTheVmCount) {
  this->StartAgentAlone(5000);
  this->planner->SetPing({{"erie-a", "erie-b"}}, kGrant);
  this->Order(1);
  EXPECT_EQ(this->Refusal(), StartOutcome::kEvacuated);
  this->planner->SetPing({{kDomain}}, kGrant);
  this->Order(2);
  EXPECT_EQ(this->Refusal(), StartOutcome::kEvacuated);
  EXPECT_EQ(this->ledger.Starts(), 0);
  this->planner->SetPing({{"erie-b"}}, kGrant);
  this->Order(3);
  EXPECT_TRUE(this->WaitUntil([this] { return this->ledger.Starts() == 1; }));
}

// Guards against starts by orders of a planner that was frozen, or that were
// delayed on a link, and may be older than an evacuation.
TEST_F(EvacuatedAgentTest, AnOrderWithAnOldTimestampIsRefused) {
  this->StartAgentAlone(5000);
  this->Order(1, absl::Seconds(2));
  EXPECT_EQ(this->Refusal(), StartOutcome::kExpired);
  EXPECT_EQ(this->ledger.Starts(), 0);
  this->Order(2);
  EXPECT_TRUE(this->WaitUntil([this] { return this->ledger.Starts() == 1; }));
}

// Guards against a new reason to refuse orders on deployments without a bound.
TEST_F(EvacuatedAgentTest, WithoutABoundNoOrderIsTooOld) {
  this->StartAgentAlone(0);
  this->Order(1, absl::Seconds(2));
  EXPECT_TRUE(this->WaitUntil([this] { return this->ledger.Starts() == 1; }));
}

// Guards against a start that is repeated after the evacuation until the runner
// has taken it.
TEST_F(EvacuatedAgentTest, AStartThatHasNotReachedItsRunnerIsAbandoned) {
  this->StartAgentAlone(5000);
  this->runner->KeepNextCalls(kStartPath, kAll);
  this->Order(1);
  ASSERT_TRUE(this->WaitForRetry());
  this->planner->SetPing({{"erie-a"}}, kGrant);
  EXPECT_EQ(this->Refusal(), StartOutcome::kEvacuated);
  this->CarryOutLateStarts();
  EXPECT_EQ(this->ledger.Starts(), 0);
}

// Guards against the same without an evacuation that the agent knows of.
TEST_F(EvacuatedAgentTest, AStartIsAbandonedWhenItsOrderHasExpired) {
  this->StartAgentAlone(2000);
  this->runner->KeepNextCalls(kStartPath, kAll);
  this->Order(1);
  ASSERT_TRUE(this->WaitForRetry());
  EXPECT_EQ(this->Refusal(), StartOutcome::kExpired);
  this->CarryOutLateStarts();
  EXPECT_EQ(this->ledger.Starts(), 0);
}

// Guards against starts by old knowledge, and against work that stops although
// nobody can read of an evacuation.
TEST(EvacuationGuardTest, StartsNeedRecentKnowledge) {
  const absl::Time now = BootClock().Now();
  const absl::Duration bound = absl::Seconds(5);
  const auto may_order = [&](absl::Duration age, bool store_lost) {
    return MayOrderStarts(now - age, now, store_lost, bound);
  };
  EXPECT_TRUE(may_order(bound / 2, false));
  EXPECT_FALSE(may_order(bound / 2 + absl::Milliseconds(1), false));
  EXPECT_TRUE(may_order(absl::Hours(1), true));
  EXPECT_FALSE(may_order(absl::InfiniteDuration(), false));
  EXPECT_TRUE(MayOrderStarts(absl::InfinitePast(), now, false, {}));
}

// Guards against orders that never expire, or that are refused although they
// came in time.
TEST(EvacuationGuardTest, OrdersExpireAfterAQuarterOfTheBound) {
  const absl::Time now = BootClock().Now();
  const absl::Duration bound = absl::Seconds(5);
  const int64_t now_us = ToMicros(now);
  EXPECT_EQ(StartDeadline(now_us, now, bound), FromMicros(now_us) + bound / 4);
  EXPECT_EQ(StartDeadline(now_us, now, {}), absl::InfiniteFuture());
  // The agent has sent no timestamp, or it is of an earlier boot of the VM.
  EXPECT_LT(StartDeadline(0, now, bound), now);
  EXPECT_LT(StartDeadline(now_us + 2, now, bound), now);
}

}  // namespace
}  // namespace cuminjunction
