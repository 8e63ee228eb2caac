// Tests of the outcomes that an entry reports while its store or its planner
// fails. Each brings one failure about. Waits end as soon as the awaited state
// is reached.

#include <chrono>
#include <future>
#include <memory>
#include <set>
#include <string>

#include "base/time.h"
#include "fleet/node_row.h"
#include "fleet/testing/fleet_fixture.h"
#include "testing/support/fault_proxy.h"

namespace cuminjunction {
namespace {

// More calls than a test makes.
constexpr int kAll = 1000000;

constexpr char kOneTask[] =
    R"({"spec":"text","steps":[{"count":1,"cpu":500}]})";

const std::set<std::string> kBothTables = {kSubmissionTable, kFenceTable};

class DefiniteOutcomesTest : public OneAgentTest {
 protected:
  // Hands the submission in at the entry for a caller that waits this long.
  std::future<HttpResponse> SubmitTo(const Settings& to,
                                     int64_t patience_ms = 3000) {
    HttpRequest request;
    request.method = "POST";
    request.path = StrCat("/plans/", kSubmissionId);
    request.body = kOneTask;
    request.headers["Host"] = "shop.example";
    request.headers["X-Cuminjunction-Deadline-Ms"] = StrCat(patience_ms);
    const std::string url = StrCat("http://", ToString(to.fleet.submissions));
    return std::async(std::launch::async, [url, request] {
      // A client belongs to one thread, and calls may overlap.
      HttpClient own_client;
      const auto answer =
          own_client.Send(url, request, absl::Now() + kTestTimeout);
      return answer ? answer.value() : HttpResponse{0, "", "", {}};
    });
  }

  std::future<HttpResponse> Submit(int64_t patience_ms = 3000) {
    return this->SubmitTo(this->entry_settings, patience_ms);
  }

  bool IsStored() {
    return this->store->RowVersion(kSubmissionTable, kSubmissionId) > 0;
  }
};

// Guards against a refusal in an outage that is shorter than the caller's wait.
TEST_F(DefiniteOutcomesTest, AnOutageShorterThanTheCallersWaitIsWaitedOut) {
  this->StartEntry();
  this->store->SetRefusing(true);
  auto answer = this->Submit();
  EXPECT_EQ(answer.wait_for(std::chrono::milliseconds(1500)),
            std::future_status::timeout);
  this->store->SetRefusing(false);
  EXPECT_EQ(answer.get().status, 200);
  EXPECT_TRUE(this->IsStored());
}

// Guards against an answer of unknown outcome as soon as the reads of the store
// fail, while the write without an answer can still be settled.
TEST_F(DefiniteOutcomesTest, AnUnansweredWriteIsSettledWhileReadsFail) {
  this->StartEntry();
  this->store->KeepNextWrites(kSubmissionTable, kAll);
  auto answer = this->Submit();
  ASSERT_TRUE(
      this->WaitUntil([this] { return this->store->KeptWrites() > 0; }));
  this->store->SetRefusing(true);
  this->store->KeepNextWrites(kSubmissionTable, 0);
  EXPECT_EQ(answer.wait_for(std::chrono::milliseconds(1500)),
            std::future_status::timeout);
  this->store->SetRefusing(false);
  EXPECT_EQ(answer.get().status, 200);
  const int64_t version =
      this->store->RowVersion(kSubmissionTable, kSubmissionId);
  EXPECT_GT(version, 0);
  this->store->CarryOutKept();
  EXPECT_EQ(this->store->RowVersion(kSubmissionTable, kSubmissionId), version);
}

// Guards against an unknown outcome of a submission that the store never took:
// it is refused, while the caller still waits, with the time of its retry.
TEST_F(DefiniteOutcomesTest, ASubmissionThatWasNeverSentIsRefused) {
  this->StartEntry();
  this->store->SetRefusing(true);
  const HttpResponse answer = this->Submit(1000).get();
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.headers.contains("retry-after"));
  this->store->SetRefusing(false);
  EXPECT_EQ(this->Submit().get().status, 200);
}

// Guards against a late copy of a write that stores a submission whose caller
// was told that it never runs, and against a fence that stops the caller's
// retry as well.
TEST_F(DefiniteOutcomesTest, AFenceStopsLateWritesAndNoRetry) {
  this->StartEntry();
  this->store->KeepNextWrites(kSubmissionTable, kAll);
  const HttpResponse answer = this->Submit(1000).get();
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(answer.body, R"({"error":"fenced"})");
  EXPECT_TRUE(answer.headers.contains("retry-after"));
  this->store->KeepNextWrites(kSubmissionTable, 0);
  EXPECT_GT(this->store->KeptWrites(), 0u);
  this->store->CarryOutKept();
  EXPECT_FALSE(this->IsStored());
  EXPECT_EQ(this->Submit().get().status, 200);
  EXPECT_TRUE(this->IsStored());
}

// Guards against a refusal of a submission that is stored: a write was carried
// out late, right before the fence.
TEST_F(DefiniteOutcomesTest, AFenceFindsARowThatWasStoredLate) {
  this->StartEntry();
  this->store->KeepNextWrites(kBothTables, kAll);
  auto answer = this->Submit(1500);
  ASSERT_TRUE(
      this->WaitUntil([this] { return this->store->KeptWrites() > 0; }));
  // Only the fences reach the store from now on.
  this->store->KeepNextWrites(kSubmissionTable, kAll);
  this->store->CarryOutKept();
  EXPECT_EQ(answer.get().status, 200);
  EXPECT_TRUE(this->IsStored());
  EXPECT_EQ(this->store->CountRows(kFenceTable), 0u);
}

// Guards against a refusal although the fence has no answer, and against a
// fence that is carried out after a retry was accepted.
TEST_F(DefiniteOutcomesTest, AFenceWithoutAnAnswerRefusesNothing) {
  this->entry_settings.fleet.metrics.port = FreePort();
  this->StartEntry();
  this->store->KeepNextWrites(kBothTables, kAll);
  EXPECT_EQ(this->Submit(1000).get().status, 504);
  EXPECT_NE(this->Call({"127.0.0.1", this->entry_settings.fleet.metrics.port},
                       "GET", "/metrics")
                .body.find("submissions_unknown_total{cause=\"store_slow\"} 1"),
            std::string::npos);
  // The last fence may have been sent just before the answer. It has to be kept
  // as well, or it is carried out before the retry, whose write leaves it.
  absl::SleepFor(absl::Milliseconds(300));
  this->store->KeepNextWrites(kSubmissionTable, 0);
  EXPECT_EQ(this->Submit().get().status, 200);
  const int64_t version =
      this->store->RowVersion(kSubmissionTable, kSubmissionId);
  this->store->CarryOutKept();
  EXPECT_EQ(this->store->RowVersion(kSubmissionTable, kSubmissionId), version);
  EXPECT_EQ(this->store->CountRows(kFenceTable), 0u);
}

// Guards against a store that is slow, though it answers, and that gets no
// submissions.
TEST_F(DefiniteOutcomesTest, ASlowStoreStillGetsSubmissions) {
  this->StartEntry();
  this->store->SetWriteDelay(absl::Milliseconds(240));
  EXPECT_EQ(this->Submit().get().status, 200);
}

// Guards against an entry that is ready, or that accepts or loses submissions,
// before it has reached the store once.
TEST_F(DefiniteOutcomesTest, ANewEntryTakesNothingBeforeItReachesTheStore) {
  this->store->SetRefusing(true);
  this->entry =
      std::move(FleetEntry::Start(this->entry_settings, &this->log).value());
  EXPECT_EQ(this->Submit().get().status, 503);
  EXPECT_NE(
      this->Call(this->entry_settings.fleet.ready, "GET", "/v1/ready").status,
      200);
  this->store->SetRefusing(false);
  EXPECT_TRUE(this->WaitUntilReady(this->entry_settings));
}

// Guards against connections that a stopping entry breaks: it answers what it
// cannot settle before it ends.
TEST_F(DefiniteOutcomesTest, AStoppingEntryAnswersWhatItCannotSettle) {
  this->StartEntry();
  this->store->KeepNextWrites(kBothTables, kAll);
  auto answer = this->Submit(20000);
  ASSERT_TRUE(
      this->WaitUntil([this] { return this->store->KeptWrites() > 0; }));
  this->entry->Shutdown();
  this->entry = nullptr;
  EXPECT_EQ(answer.get().status, 504);
}

// Guards against a stop that gives up what could be settled in the grace time.
TEST_F(DefiniteOutcomesTest, AStoppingEntrySettlesWhatItHolds) {
  this->StartEntry();
  this->store->KeepNextWrites(kBothTables, kAll);
  auto answer = this->Submit(20000);
  ASSERT_TRUE(
      this->WaitUntil([this] { return this->store->KeptWrites() > 0; }));
  auto stopped =
      std::async(std::launch::async, [this] { this->entry->Shutdown(); });
  absl::SleepFor(absl::Seconds(1));
  this->store->KeepNextWrites(kSubmissionTable, 0);
  EXPECT_EQ(answer.get().status, 200);
  stopped.get();
  this->entry = nullptr;
}

// Fixture with an entry that plans, and another one whose link to the store can
// fail.
// Guards against a refusal of a repeat that the store refused, while a copy of
// the first attempt is on its way.
TEST_F(DefiniteOutcomesTest, ARepeatBesideAnUnansweredAttemptIsNotRefused) {
  this->StartEntry();
  this->store->KeepNextWrites(kBothTables, kAll);
  auto first = this->Submit();
  ASSERT_TRUE(
      this->WaitUntil([this] { return this->store->KeptWrites() > 0; }));
  this->store->SetRefusing(true);
  EXPECT_EQ(this->Submit(400).get().status, 504);
  this->store->SetRefusing(false);
  this->store->KeepNextWrites(kBothTables, 0);
  this->store->CarryOutKept();
  EXPECT_TRUE(this->IsStored());
  EXPECT_EQ(first.get().status, 200);
}

class RelayedOutcomesTest : public DefiniteOutcomesTest {
 protected:
  RelayedOutcomesTest() : links("links") {
    this->links.Start();
    this->link = std::move(
        FaultProxy::Start(&this->links, this->store->Address()).value());
    this->other_settings.fleet.store = this->link->Address();
  }

  ~RelayedOutcomesTest() override {
    this->other = nullptr;
    this->entry = nullptr;
    this->links.Stop();
  }

  void StartEntries() {
    this->StartEntry();
    ASSERT_TRUE(this->WaitUntil(
        [this] { return this->store->RowVersion("lease", "planner") > 0; }));
    this->other =
        std::move(FleetEntry::Start(this->other_settings, &this->log).value());
    ASSERT_TRUE(this->WaitUntilReady(this->other_settings));
    // The counts of waiting submissions come from the planner.
    ASSERT_TRUE(this->WaitUntil([this] {
      return this->Call(this->other_settings.fleet.submissions, "GET",
                        "/plans/")
                 .status == 200;
    }));
  }

  Settings other_settings = this->EntrySettings("entry-2");
  EventThread links;
  std::unique_ptr<FaultProxy> link;
  std::unique_ptr<FleetEntry> other;
};

// Guards against a refusal, or an unknown outcome, at an entry that can't
// connect to the store, while the planner can.
TEST_F(RelayedOutcomesTest, AnEntryWithoutALinkHasThePlannerStore) {
  this->StartEntries();
  this->link->SetFault(LinkFault::kReset);
  EXPECT_EQ(this->SubmitTo(this->other_settings).get().status, 200);
  EXPECT_TRUE(this->IsStored());
}

// Guards against the same fault where the link is silent, so that the entry's
// own write may still arrive.
TEST_F(RelayedOutcomesTest, AnEntryWithASilentLinkHasThePlannerStore) {
  this->StartEntries();
  this->link->SetFault(LinkFault::kSilent);
  EXPECT_EQ(this->SubmitTo(this->other_settings).get().status, 200);
  EXPECT_TRUE(this->IsStored());
}

// Guards against an unknown outcome of a submission that the planner could have
// fenced.
TEST_F(RelayedOutcomesTest, AnEntryWithoutALinkHasThePlannerFence) {
  this->StartEntries();
  this->link->SetFault(LinkFault::kSilent);
  this->store->KeepNextWrites(kSubmissionTable, kAll);
  const HttpResponse answer = this->SubmitTo(this->other_settings).get();
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(answer.body, R"({"error":"fenced"})");
  this->store->KeepNextWrites(kSubmissionTable, 0);
  EXPECT_GT(this->store->KeptWrites(), 0u);
  this->store->CarryOutKept();
  EXPECT_FALSE(this->IsStored());
}

// Guards against a refusal of a submission that a lost planner may be storing.
TEST_F(RelayedOutcomesTest, APlannerLostDuringARelayLeavesTheOutcomeUnknown) {
  this->StartEntries();
  this->link->SetFault(LinkFault::kReset);
  this->store->KeepNextWrites(kBothTables, kAll);
  auto answer = this->SubmitTo(this->other_settings, 2000);
  ASSERT_TRUE(
      this->WaitUntil([this] { return this->store->KeptWrites() > 0; }));
  this->entry = nullptr;
  EXPECT_EQ(answer.get().status, 504);
  this->store->KeepNextWrites(kSubmissionTable, 0);
  this->store->CarryOutKept();
  EXPECT_TRUE(this->IsStored());
}

// Guards against a submission that is lost with an entry that is killed while
// it settles: the caller's retry elsewhere finds the row or writes it.
TEST_F(RelayedOutcomesTest, ARetryAfterAKilledEntryIsAccepted) {
  this->StartEntries();
  this->store->KeepNextWrites(kBothTables, kAll);
  auto answer = this->SubmitTo(this->other_settings);
  ASSERT_TRUE(
      this->WaitUntil([this] { return this->store->KeptWrites() > 0; }));
  this->other = nullptr;
  this->store->KeepNextWrites(kSubmissionTable, 0);
  EXPECT_NE(answer.get().status, 200);
  EXPECT_EQ(this->Submit().get().status, 200);
  const int64_t version =
      this->store->RowVersion(kSubmissionTable, kSubmissionId);
  this->store->CarryOutKept();
  EXPECT_EQ(this->store->RowVersion(kSubmissionTable, kSubmissionId), version);
}

}  // namespace
}  // namespace cuminjunction
