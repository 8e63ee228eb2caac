// Tests of cancels of submissions that are not stored, with a whole entry.
// Waits end as soon as the awaited state is reached.

#include <future>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/time.h"
#include "fleet/node_row.h"
#include "fleet/submission_commit.h"
#include "fleet/testing/fleet_fixture.h"
#include "fleet/testing/port_process.h"

namespace cuminjunction {
namespace {

// More calls than a test makes.
constexpr int kAll = 1000000;

// Patience of a caller that is long enough for several attempts.
constexpr int64_t kLongPatienceMs = 1500;

// Concurrent callers of a flood.
constexpr int kCallers = 100;

constexpr char kOneTask[] =
    R"({"spec":"text","steps":[{"count":1,"cpu":500}]})";

class UnknownCancelsTest : public OneAgentTest {
 protected:
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
  this->StartFleet(absl::Milliseconds(50));
  // A fence would keep the submission from being stored, as the cancel does.
  this->store->KeepNextWrites(
      std::set<std::string>{kSubmissionTable, kFenceTable}, kAll);
  EXPECT_EQ(this->Submit(kLongPatienceMs), 504);
  EXPECT_EQ(this->Cancel(kSubmissionId), 410);
  this->store->KeepNextWrites(kSubmissionTable, 0);
  this->store->CarryOutKept();
  const std::string later = "00000000000000a1";
  ASSERT_TRUE(FleetTest::Submit(this->entry_settings, later, kOneTask));
  EXPECT_TRUE(this->WaitForState(this->entry_settings, later, "completed"));
  EXPECT_EQ(this->ledger.StartedSubmissions(), std::set<std::string>{later});
}

// An entry that has the planner store submissions.
class RefusedEntry {
 public:
  RefusedEntry(const Settings& settings, Log* log)
      : process(
            settings,
            log,
            [this] { this->connected = true; },
            [this](FleetMessage&& message) {
              if (const auto* done = std::get_if<StoreDone>(&message))
                this->outcomes[done->number] =
                    static_cast<SubmissionOutcome>(done->outcome);
            }) {}

  bool IsConnected() {
    return this->process.Call([this] { return this->connected; });
  }

  void Send(const StoreRequest& request) {
    this->process.Call([&] { this->process.Send(request); });
  }

  // Outcomes of the requests that the planner has answered, by number.
  std::map<uint64_t, SubmissionOutcome> Outcomes() {
    return this->process.Call([this] { return this->outcomes; });
  }

 private:
  bool connected = false;
  std::map<uint64_t, SubmissionOutcome> outcomes;
  // Last, so that its thread ends first.
  PortProcess process;
};

// Guards against a submission that runs after its cancel, and against one whose
// row is written anew, so that a planner takes it for one that none before it
// can have started: the planner stored it for an entry whatever was there. The
// same of one that its entry has fenced.
TEST_F(UnknownCancelsTest, ThePlannerStoresNoSubmissionTwiceOrAfterItsCancel) {
  const Settings refused_settings = this->CommonSettings("entry-2");
  RefusedEntry refused(refused_settings, &this->log);
  this->store->Put(
      kNodeTable, kFleetPart, refused_settings.name,
      Encode(NodeRow{PortProcess::Address(refused_settings), false}));
  this->StartEntry();
  ASSERT_TRUE(this->WaitUntil([&] { return refused.IsConnected(); }));
  const auto request = [](uint64_t number, const std::string& id) {
    StoreRequest store_request;
    store_request.number = number;
    store_request.submission.id = id;
    store_request.submission.queue = "plans";
    Step step;
    step.count = 1;
    store_request.submission.steps.push_back(step);
    return store_request;
  };
  const std::string cancelled = "00000000000000a1";
  const std::string known = "00000000000000a2";
  const std::string unknown = "00000000000000a3";
  this->store->Put(kCancellationTable, kFleetPart, cancelled, "");
  // Another text shows whether the row is written anew.
  Submission stored = request(0, known).submission;
  stored.text = "stored by another entry";
  this->store->Put(kSubmissionTable, kFleetPart, known,
                   Encode(SubmissionRow{stored}));
  refused.Send(request(1, cancelled));
  refused.Send(request(2, known));
  refused.Send(request(3, unknown));
  // The entry may have fenced this request before the planner received it.
  const std::string fenced = "00000000000000a4";
  this->store->Put(kFenceTable, kFleetPart, fenced, "");
  refused.Send(request(4, fenced));
  StoreRequest fence = request(5, "00000000000000a5");
  fence.kind = static_cast<uint8_t>(StoreRequestKind::kFence);
  refused.Send(fence);
  EXPECT_TRUE(this->WaitUntil([&] { return refused.Outcomes().size() == 5; }));
  EXPECT_EQ(refused.Outcomes(), (std::map<uint64_t, SubmissionOutcome>{
                                    {1, SubmissionOutcome::kCancelled},
                                    {2, SubmissionOutcome::kStored},
                                    {3, SubmissionOutcome::kStored},
                                    {4, SubmissionOutcome::kFenceChanged},
                                    {5, SubmissionOutcome::kFenced}}));
  EXPECT_EQ(this->store->CountRows(kSubmissionTable), 2u);
  EXPECT_EQ(this->store->CountBytes(kSubmissionTable),
            Encode(SubmissionRow{stored}).size() +
                Encode(SubmissionRow{request(3, unknown).submission}).size());
}

// Guards against an answer that nothing stands behind: the cancellation could
// not be stored.
TEST_F(UnknownCancelsTest, ACancelThatIsNotStoredIsNotAcknowledged) {
  this->StartEntry();
  this->store->KeepNextWrites(kCancellationTable, kAll);
  EXPECT_EQ(this->Cancel(kSubmissionId), 504);
}

// Guards against a refusal of a cancellation that is stored: the answer to its
// first copy was lost, and the store refused the second one.
TEST_F(UnknownCancelsTest, ARefusalAfterALostReplyIsNoOutcome) {
  this->StartEntry();
  this->store->KeepNextWrites(kCancellationTable, kAll);
  std::future<int> answer = std::async(
      std::launch::async, [this] { return this->Cancel(kSubmissionId); });
  ASSERT_TRUE(
      this->WaitUntil([this] { return this->store->KeptWrites() > 0; }));
  this->store->SetRefusing(true);
  EXPECT_EQ(answer.get(), 504);
  this->store->SetRefusing(false);
  this->store->KeepNextWrites(kCancellationTable, 0);
  this->store->CarryOutKept();
  EXPECT_EQ(this->store->CountRows(kCancellationTable), 1u);
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
