// Tests of cancels of submissions that are not stored, with a whole entry.
// Waits end as soon as the awaited state is reached.

#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/time.h"
#include "daemon/node_row.h"
#include "daemon/testing/fleet_fixture.h"

namespace cuminjunction {
namespace {

// More calls than a test makes.
constexpr int kAll = 1000000;

// Patience of a caller that is long enough for several attempts.
constexpr int64_t kLongPatienceMs = 1500;

constexpr char kOneTask[] =
    R"({"spec":"text","steps":[{"count":1,"cpu":500}]})";

class UnknownCancelsTest : public FleetTest {
 protected:
  void StartEntry() {
    this->entry =
        std::move(FleetEntry::Start(this->entry_settings, &this->log).value());
    ASSERT_TRUE(this->WaitUntilReady(this->entry_settings));
  }

  // Returns the status of the answer.
  int Cancel(const std::string& id) {
    return this
        ->Call(this->entry_settings.fleet.submissions, "DELETE",
               StrCat("/plans/", id))
        .status;
  }

  // Hands the submission in for a caller that waits this long. Returns the
  // status of the answer.
  int Submit(int64_t patience_ms) {
    HttpRequest request;
    request.method = "POST";
    request.path = StrCat("/plans/", kSubmissionId);
    request.body = kOneTask;
    request.headers["Host"] = "shop.example";
    request.headers["X-Cuminjunction-Deadline-Ms"] = StrCat(patience_ms);
    const auto answer = this->client.Send(
        StrCat("http://", ToString(this->entry_settings.fleet.submissions)),
        request, absl::Now() + kTestTimeout);
    return answer ? answer.value().status : 0;
  }

  Settings entry_settings = this->EntrySettings("entry-1");
  std::unique_ptr<FleetEntry> entry;
};

// Guards against a submission that runs although the cancel of its caller was
// answered: the store carried out the transaction that stores it after the
// cancel had found no row.
TEST_F(UnknownCancelsTest, ASubmissionIsNotStoredAfterItsCancel) {
  this->StartEntry();
  this->store->KeepNextWrites(kSubmissionTable, kAll);
  // Too short for a repetition.
  EXPECT_EQ(this->Submit(160), 504);
  EXPECT_EQ(this->Cancel(kSubmissionId), 410);
  this->store->KeepNextWrites(kSubmissionTable, 0);
  this->store->CarryOutKept();
  EXPECT_EQ(this->store->CountRows(kSubmissionTable), 0u);
  // A copy of the request that comes late is told so.
  EXPECT_EQ(this->Submit(kLongPatienceMs), 410);
}

// Guards against the same fault where the entry has asked the planner to store
// the submission, and the planner's commit is carried out after the cancel.
TEST_F(UnknownCancelsTest, ASubmissionThatThePlannerStoresLateDoesNotRun) {
  auto runner = std::move(
      RunnerStandin::Start(&this->ledger, absl::Milliseconds(50)).value());
  const Settings agent_settings = this->AgentSettings("agent-1", *runner);
  this->StartEntry();
  auto agent = FleetAgent::Start(agent_settings, &this->log);
  ASSERT_EQ(this->SendHeartbeat(agent_settings, *runner), 200);
  this->store->KeepNextWrites(kSubmissionTable, kAll);
  EXPECT_EQ(this->Submit(kLongPatienceMs), 504);
  EXPECT_EQ(this->Cancel(kSubmissionId), 410);
  this->store->KeepNextWrites(kSubmissionTable, 0);
  this->store->CarryOutKept();
  const std::string later = "00000000000000a1";
  ASSERT_TRUE(FleetTest::Submit(this->entry_settings, later, kOneTask));
  EXPECT_TRUE(this->WaitForState(this->entry_settings, later, "completed"));
  EXPECT_EQ(this->ledger.StartedSubmissions(), std::set<std::string>{later});
}

// Guards against an answer that nothing stands behind: the cancellation could
// not be stored.
TEST_F(UnknownCancelsTest, ACancelThatIsNotStoredIsNotAcknowledged) {
  this->StartEntry();
  this->store->KeepNextWrites(kCancellationTable, kAll);
  EXPECT_EQ(this->Cancel(kSubmissionId), 504);
}

// Guards against a cancellation that is lost with its first reply.
TEST_F(UnknownCancelsTest, ALostReplyDelaysTheAnswer) {
  this->StartEntry();
  this->store->KeepNextWrites(kCancellationTable, 1);
  EXPECT_EQ(this->Cancel(kSubmissionId), 410);
  EXPECT_EQ(this->store->CountRows(kCancellationTable), 1u);
}

// Guards against a store that grows with each cancel of an unknown submission.
TEST_F(UnknownCancelsTest, CancellationsOfUnknownSubmissionsAreRemoved) {
  this->entry_settings.fleet.state_retention_ms = 400;
  this->StartEntry();
  EXPECT_EQ(this->Cancel(kSubmissionId), 410);
  EXPECT_EQ(this->store->CountWrites(kCancellationTable), 1);
  EXPECT_TRUE(this->WaitUntil(
      [this] { return this->store->CountRows(kCancellationTable) == 0; }));
}

// Guards against a flood of cancels that takes the store from the planner: each
// one was a transaction of its own.
TEST_F(UnknownCancelsTest, CancelsOfAFloodShareTransactions) {
  constexpr int kCallers = 100;
  this->StartEntry();
  const absl::Time start = SteadyClock().Now();
  std::vector<std::thread> callers;
  std::vector<int> statuses(kCallers);
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([this, i, &statuses] {
      HttpClient own_client;
      HttpRequest request;
      request.method = "DELETE";
      request.path = StrCat("/plans/000000000000a", 100 + i);
      request.headers["Host"] = "shop.example";
      const auto answer = own_client.Send(
          StrCat("http://", ToString(this->entry_settings.fleet.submissions)),
          request, absl::Now() + kTestTimeout);
      statuses[i] = answer ? answer.value().status : 0;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  EXPECT_EQ(statuses, std::vector<int>(kCallers, 410));
  EXPECT_EQ(this->store->CountRows(kCancellationTable),
            static_cast<size_t>(kCallers));
  const absl::Duration elapsed = SteadyClock().Now() - start;
  // The first at once, and one in each 100 ms.
  EXPECT_LE(this->store->CountWrites(kCancellationTable),
            elapsed / absl::Milliseconds(100) + 1);
}

}  // namespace
}  // namespace cuminjunction
