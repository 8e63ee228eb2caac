#include <gtest/gtest.h>

#include "absl/time/clock.h"
#include "base/time.h"
#include "table/http_object_store.h"
#include "table/http_runtime.h"
#include "table/http_table.h"
#include "table/wire.h"
#include "testing/support/platform_standin.h"

namespace cuminjunction {
namespace {

static_assert(Table<HttpTable>);
static_assert(ObjectStore<HttpObjectStore>);
static_assert(Runtime<HttpRuntime>);

class HttpPlatformTest : public testing::Test {
 protected:
  HttpPlatformTest() {
    PlatformStandinOptions options;
    EmulatedWorkerOptions worker;
    worker.name = "w1";
    worker.capacity = {4000, 4096, 0};
    options.workers = {worker};
    this->standin = PlatformStandin::Start(options).value();
  }

  void SetFaults(const std::string& json) {
    HttpClient client;
    const auto answer =
        client.Send(this->standin->Url(), {"POST", "/faults", {}, {}, json},
                    absl::Now() + absl::Seconds(20));
    ASSERT_TRUE(answer);
    ASSERT_EQ(answer.value().status, 200);
  }

  std::unique_ptr<PlatformStandin> standin;
};

TEST_F(HttpPlatformTest, CarriesRowsOfAnyBytes) {
  HttpTable table(this->standin->Url());
  const std::string bytes("\0\xff\n\"", 4);
  const uint64_t version =
      table.Commit({"t1", {{"a/b c", 0}}, {{"a/b c", bytes}}}).value();
  const Row row = table.Read("a/b c").value();
  EXPECT_EQ(row, (Row{"a/b c", bytes, version, false}));
  EXPECT_EQ(table.Commit({"t2", {{"a/b c", 0}}, {}}).error(),
            TableError::kConflict);
  table.Commit({"t3", {}, {{"a/b c", std::nullopt}}}).value();
  EXPECT_EQ(table.Read("a/b c").error(), TableError::kNotFound);
  EXPECT_TRUE(table.ScanSince("a/", version, 10).value().at(0).deleted);
}

// Guards against a lost reply that is reported as a failure without effect.
TEST_F(HttpPlatformTest, LostReplyIsUnknown) {
  HttpTable table(this->standin->Url());
  this->SetFaults(R"({"lost_reply_share": 1})");
  EXPECT_EQ(table.Commit({"t1", {{"a", 0}}, {{"a", "1"}}}).error(),
            TableError::kUnknownOutcome);
  EXPECT_EQ(table.Read("a").value().version, 1u);
  HttpObjectStore store(this->standin->Url());
  EXPECT_EQ(store.Put("o", "1").error(), ObjectError::kUnknownOutcome);
  EXPECT_EQ(store.Get("o").value(), "1");
}

// Guards against taking an unknown outcome for "no effect": the write comes
// after a read that did not see it.
TEST_F(HttpPlatformTest, LateWriteTakesEffectAfterItsReplyWasLost) {
  HttpTable table(this->standin->Url());
  this->SetFaults(R"({"late_write_share": 1, "late_write_ms": 1000000})");
  EXPECT_EQ(table.Commit({"t1", {{"a", 0}}, {{"a", "1"}}}).error(),
            TableError::kUnknownOutcome);
  EXPECT_EQ(table.Read("a").error(), TableError::kNotFound);
  this->SetFaults(R"({"late_write_ms": 0})");
  EXPECT_EQ(table.Commit({"t2", {{"b", 0}}, {{"b", "1"}}}).error(),
            TableError::kUnknownOutcome);
  EXPECT_EQ(table.Read("b").value().value, "1");
}

TEST_F(HttpPlatformTest, OutageAndRefusedConnectionHaveNoEffect) {
  HttpTable table(this->standin->Url());
  HttpObjectStore store(this->standin->Url());
  this->SetFaults(R"({"store_down": true})");
  EXPECT_EQ(table.Commit({"t1", {}, {{"a", "1"}}}).error(),
            TableError::kUnavailable);
  EXPECT_EQ(store.Put("o", "1").error(), ObjectError::kUnavailable);
  this->SetFaults(R"({"store_down": false})");
  EXPECT_EQ(table.Read("a").error(), TableError::kNotFound);
  EXPECT_EQ(store.Get("o").error(), ObjectError::kNotFound);
  const std::string url = this->standin->Url();
  this->standin.reset();
  HttpTable gone(url);
  EXPECT_EQ(gone.Commit({"t1", {}, {{"a", "1"}}}).error(),
            TableError::kUnavailable);
}

// Guards against trusting the status of a load balancer that can't know whether
// the platform saw the request.
TEST(WireTest, StatusWithoutErrorBodyIsUnknown) {
  const HttpResponse foreign = {503, "text/html", "<html>", {}};
  EXPECT_EQ(ReadAnswer<TableError>(foreign).error(),
            TableError::kUnknownOutcome);
  EXPECT_EQ(
      ReadAnswer<TableError>(ErrorResponse(TableError::kUnavailable)).error(),
      TableError::kUnavailable);
}

TEST(WireTest, DamagedJsonIsATypedError) {
  EXPECT_FALSE(ParseJson("{"));
  for (const char* text :
       {"[]", "{}", R"({"key":1,"value":"","version":1})",
        R"({"key":"a","value":"%","version":1})",
        R"({"id":"t","expects":[{"key":"a","version":"x"}],"writes":[]})"}) {
    const nlohmann::json json = ParseJson(text).value();
    EXPECT_FALSE(RowFromJson(json)) << text;
    EXPECT_FALSE(TransactionFromJson(json)) << text;
    EXPECT_FALSE(TaskStartFromJson(json)) << text;
    EXPECT_FALSE(RuntimeStateFromJson(json)) << text;
  }
}

TEST_F(HttpPlatformTest, RuntimeRunsAndReportsTasks) {
  HttpRuntime runtime(this->standin->Url() + "/worker/w1");
  TaskStart start;
  start.task = "t1";
  start.attempt = 1;
  start.command = "forever";
  start.size = {1000, 512, 0};
  EXPECT_EQ(runtime.Start(start).error(), RuntimeError::kLeaseExpired);
  ASSERT_TRUE(runtime.Extend(SteadyClock().Now() + absl::Hours(1)));
  ASSERT_TRUE(runtime.Start(start));
  ASSERT_TRUE(runtime.Throttle("t1", 1, 0.5));
  EXPECT_EQ(runtime.List().value().running.at(0).throttle, 0.5);
  EXPECT_EQ(runtime.Checkpoint("t1", 1).value(), "checkpoint/t1/1");
  EXPECT_EQ(runtime.Stop("t2", 1).error(), RuntimeError::kNotFound);
  ASSERT_TRUE(runtime.Stop("t1", 1));
  EXPECT_EQ(runtime.List().value().ended.at(0).end, AttemptEnd::kStopped);
  ASSERT_TRUE(runtime.Forget("t1", 1));
  EXPECT_TRUE(runtime.List().value().ended.empty());
  this->SetFaults(R"({"worker": "w1", "unreachable": true})");
  EXPECT_EQ(runtime.Start(start).error(), RuntimeError::kUnknownOutcome);
  EXPECT_EQ(runtime.List().error(), RuntimeError::kUnavailable);
}

}  // namespace
}  // namespace cuminjunction
