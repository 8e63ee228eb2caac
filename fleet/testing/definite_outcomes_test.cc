// Tests of the outcomes that an entry reports while its store or its planner
// fails. Each brings one failure about. Waits end as soon as the awaited state
// is reached.

#include <future>
#include <memory>
#include <set>
#include <string>

#include "base/time.h"
#include "fleet/node_row.h"
#include "fleet/testing/fleet_fixture.h"

namespace cuminjunction {
namespace {

// More calls than a test makes.
constexpr int kAll = 1000000;

constexpr char kOneTask[] =
    R"({"spec":"text","steps":[{"count":1,"cpu":500}]})";

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
    return std::async(std::launch::async, [this, url, request] {
      const auto answer =
          this->client.Send(url, request, absl::Now() + kTestTimeout);
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

}  // namespace
}  // namespace cuminjunction
