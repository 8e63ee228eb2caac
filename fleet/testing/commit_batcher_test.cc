// Tests of the batches of commits: the functions that combine them and split
// the reply, and the batcher with the store stand-in. Waits end as soon as the
// awaited state is reached.

#include "fleet/commit_batcher.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "base/strings.h"
#include "base/time.h"
#include "fleet/commit_batch.h"
#include "testing/support/store_standin.h"

namespace cuminjunction {
namespace {

// The part whose row versions the stand-in reports.
constexpr char kPart[] = "fleet";

// A commit that stores a row which must not exist.
StoreCommit NewRow(const std::string& key, size_t bytes = 1) {
  return {.expects = {{"table", key, 0}},
          .puts = {{"table", key, std::string(bytes, 'x')}}};
}

// Guards against a transaction that the platform refuses for its size.
TEST(CommitBatchTest, ABatchStaysWithinTheLimitsOfATransaction) {
  StoreCommit batch;
  size_t commits = 0;
  while (CanMerge(batch, NewRow(StrCat("key", commits))))
    Merge(NewRow(StrCat("key", commits++)), &batch);
  EXPECT_EQ(commits, 48u);
  StoreCommit large;
  Merge(NewRow("a", 400'000), &large);
  EXPECT_FALSE(CanMerge(large, NewRow("b", 400'000)));
  EXPECT_TRUE(CanMerge(large, NewRow("b", 100'000)));
}

// Guards against a commit that is never sent, since it is too large to share a
// transaction.
TEST(CommitBatchTest, AnEmptyBatchTakesAnyCommit) {
  EXPECT_TRUE(CanMerge(StoreCommit(), NewRow("a", 2'000'000)));
}

// Guards against a write and the fence of one submission in one transaction, of
// which the fence would let the write pass.
TEST(CommitBatchTest, CommitsThatShareARowAreNotMerged) {
  StoreCommit batch;
  Merge(NewRow("a"), &batch);
  EXPECT_FALSE(CanMerge(batch, NewRow("a")));
  EXPECT_FALSE(CanMerge(batch, {.expects = {{"table", "a", 7}}, .puts = {}}));
  EXPECT_FALSE(CanMerge(
      batch, {.expects = {}, .puts = {}, .removes = {{"table", "a"}}}));
  EXPECT_TRUE(CanMerge(batch, {.expects = {{"other", "a", 0}}, .puts = {}}));
}

// Guards against a submission that is answered for the row of another one.
TEST(CommitBatchTest, AReplyIsSplitByTheExpectedRows) {
  const CommitReply batch_reply = {
      .error = PlatformError::kConflict,
      .rows = {{"table", "a", "x", 3}, {"table", "c", "x", 4}},
      .version = 9};
  EXPECT_TRUE(HasConflict(NewRow("a"), batch_reply.rows));
  EXPECT_FALSE(HasConflict(NewRow("b"), batch_reply.rows));
  EXPECT_FALSE(HasConflict({.expects = {{"table", "c", 4}}, .puts = {}},
                           batch_reply.rows));
  // A row that is expected and does not exist.
  EXPECT_TRUE(HasConflict({.expects = {{"table", "b", 4}}, .puts = {}},
                          batch_reply.rows));
  const CommitReply reply = ReplyTo(NewRow("a"), batch_reply);
  EXPECT_EQ(reply.error, PlatformError::kConflict);
  ASSERT_EQ(reply.rows.size(), 1u);
  EXPECT_EQ(reply.rows.front().key, "a");
  EXPECT_TRUE(ReplyTo(NewRow("b"), batch_reply).rows.empty());
}

class CommitBatcherTest : public testing::Test {
 protected:
  CommitBatcherTest()
      : standin(std::move(StoreStandin::Start().value())),
        store(&this->context, {standin->Address(), kPart}),
        batcher(&this->context, &this->store) {}

  void Commit(const std::string& key,
              absl::Duration timeout = absl::Seconds(2)) {
    this->batcher.Commit(NewRow(key), timeout,
                         [this, key](CommitReply&& reply) {
                           EXPECT_FALSE(this->replies.contains(key));
                           this->replies[key] = std::move(reply);
                         });
  }

  // Runs the event loop until this many commits have a reply.
  void WaitForReplies(size_t count) {
    const absl::Time end = absl::Now() + absl::Seconds(10);
    while (this->replies.size() < count && absl::Now() < end)
      this->context.run_one_for(std::chrono::milliseconds(20));
    EXPECT_EQ(this->replies.size(), count);
  }

  void RunFor(absl::Duration duration) {
    this->context.run_for(absl::ToChronoMilliseconds(duration));
  }

  int64_t Version(const std::string& key) {
    return this->standin->RowVersion("table", key);
  }

  std::unique_ptr<StoreStandin> standin;
  boost::asio::io_context context;
  Store store;
  CommitBatcher batcher;
  std::map<std::string, CommitReply> replies;
};

// Guards against a transaction for each submission while the store is slow.
TEST_F(CommitBatcherTest, CommitsThatWaitShareATransaction) {
  this->standin->SetWriteDelay(absl::Milliseconds(100));
  for (int i = 0; i < 10; ++i)
    this->Commit(StrCat("key", i));
  this->WaitForReplies(10);
  for (const auto& [key, reply] : this->replies) {
    EXPECT_FALSE(reply.error) << key;
    EXPECT_EQ(reply.version, this->Version(key));
  }
  EXPECT_EQ(this->standin->CountWrites("table"), 2);
}

// Guards against commits that fail since another one of their batch conflicts.
TEST_F(CommitBatcherTest, AConflictOfOneDoesNotFailTheOthers) {
  this->standin->Put("table", kPart, "b", "x");
  this->Commit("first");
  for (const std::string key : {"a", "b", "c"})
    this->Commit(key);
  this->WaitForReplies(4);
  EXPECT_FALSE(this->replies["a"].error);
  EXPECT_FALSE(this->replies["c"].error);
  EXPECT_EQ(this->replies["b"].error, PlatformError::kConflict);
  ASSERT_EQ(this->replies["b"].rows.size(), 1u);
  EXPECT_EQ(this->replies["b"].rows.front().version, this->Version("b"));
  EXPECT_GT(this->Version("a"), 0);
  EXPECT_GT(this->Version("c"), 0);
}

// Guards against a submission that is refused because the store refused one
// transaction, and against repeats that follow the refusals at once.
TEST_F(CommitBatcherTest, ARefusalIsRepeated) {
  this->standin->RefuseNextWrites(2);
  const absl::Time start = absl::Now();
  this->Commit("a");
  this->WaitForReplies(1);
  EXPECT_FALSE(this->replies["a"].error);
  EXPECT_GE(absl::Now() - start, absl::Milliseconds(300));
  EXPECT_TRUE(this->batcher.IsSlow(BootClock().Now()));
}

// Guards against a refusal that takes the caller's whole time: with little left
// the commit is returned as refused.
TEST_F(CommitBatcherTest, ARefusalWithLittleTimeLeftIsReturned) {
  this->standin->RefuseNextWrites(1);
  this->Commit("a", absl::Milliseconds(300));
  this->WaitForReplies(1);
  EXPECT_EQ(this->replies["a"].error, PlatformError::kRefused);
  EXPECT_EQ(this->Version("a"), 0);
}

// Guards against a commit that is reported as not sent and is stored later.
TEST_F(CommitBatcherTest, ACommitThatWaitedUntilItsDeadlineIsNotSent) {
  this->standin->SetWriteDelay(absl::Milliseconds(300));
  this->Commit("first");
  this->Commit("late", absl::Milliseconds(100));
  this->WaitForReplies(1);
  EXPECT_EQ(this->replies["late"].error, PlatformError::kNotSent);
  this->WaitForReplies(2);
  this->Commit("next");
  this->WaitForReplies(3);
  EXPECT_EQ(this->Version("late"), 0);
}

// Guards against a commit that a process sends after it was frozen: its caller
// was refused by another process with a fence that has been removed since. The
// reply of the first batch is handled before the timer.
TEST_F(CommitBatcherTest, ACommitIsNotSentAfterItsDeadline) {
  this->standin->SetWriteDelay(absl::Milliseconds(100));
  this->Commit("first");
  this->Commit("late", absl::Milliseconds(200));
  this->RunFor(absl::Milliseconds(20));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  this->WaitForReplies(2);
  EXPECT_FALSE(this->replies["first"].error);
  EXPECT_EQ(this->replies["late"].error, PlatformError::kNotSent);
  this->RunFor(absl::Milliseconds(200));
  EXPECT_EQ(this->Version("late"), 0);
}

// Guards against a refusal of a commit that is stored: its answer was lost.
TEST_F(CommitBatcherTest, ALostAnswerIsAnUnknownOutcome) {
  this->standin->KeepNextWrites("table", 1);
  this->Commit("a", absl::Milliseconds(300));
  this->WaitForReplies(1);
  EXPECT_EQ(this->replies["a"].error, PlatformError::kUnknownOutcome);
  this->standin->CarryOutKept();
  EXPECT_GT(this->Version("a"), 0);
}

// Guards against commits that wait for a transaction whose connection has gone
// silent.
TEST_F(CommitBatcherTest, ASilentTransactionDoesNotHoldTheOthers) {
  this->standin->SetReplyDelay(absl::Milliseconds(1500));
  this->Commit("silent");
  this->RunFor(absl::Milliseconds(50));
  this->standin->SetReplyDelay(absl::ZeroDuration());
  this->Commit("a");
  const absl::Time start = absl::Now();
  this->WaitForReplies(1);
  EXPECT_FALSE(this->replies["a"].error);
  EXPECT_LT(absl::Now() - start, absl::Milliseconds(1000));
}

// Guards against commits that wait for the timeout of transactions whose
// connections have gone silent, although a read has shown that the store
// answers.
TEST_F(CommitBatcherTest, AReadReleasesCommitsBehindSilentTransactions) {
  this->standin->SetReplyDelay(absl::Milliseconds(2300));
  this->Commit("a");
  this->RunFor(absl::Milliseconds(520));
  this->Commit("b");
  this->RunFor(absl::Milliseconds(520));
  this->Commit("c");
  this->RunFor(absl::Milliseconds(520));
  this->standin->SetReplyDelay(absl::ZeroDuration());
  this->Commit("d", absl::Milliseconds(600));
  this->RunFor(absl::Milliseconds(20));
  EXPECT_EQ(this->Version("d"), 0);
  this->batcher.RecordLatency(absl::Milliseconds(4));
  this->WaitForReplies(1);
  EXPECT_FALSE(this->replies["d"].error);
  EXPECT_GT(this->Version("d"), 0);
}

// Guards against a timer that wakes an entry with 0.12 of a core a thousand
// times a second, while an overdue transaction and a recent one are under way.
TEST_F(CommitBatcherTest, WaitingForAnOverdueTransactionTakesFewWakeups) {
  this->standin->SetReplyDelay(absl::Milliseconds(1500));
  this->Commit("a");
  this->RunFor(absl::Milliseconds(550));
  this->Commit("b");
  this->RunFor(absl::Milliseconds(50));
  this->Commit("c");
  size_t events = 0;
  const absl::Time end = absl::Now() + absl::Milliseconds(300);
  while (absl::Now() < end)
    events += this->context.run_one_for(std::chrono::milliseconds(20));
  EXPECT_GT(this->Version("b"), 0);
  EXPECT_EQ(this->Version("c"), 0);
  EXPECT_LT(events, 30u);
}

// Guards against a refusal of a commit that is stored late: libcurl sent the
// batch twice, the second copy conflicted because of another commit, and the
// first one was carried out once that conflict was gone.
TEST_F(CommitBatcherTest, AConflictOfASecondCopySaysNothingOfTheFirst) {
  this->standin->Put("table", kPart, "b", "x");
  // Leaves a kept connection for the batch.
  this->batcher.Commit({.expects = {}, .puts = {{"other", "first", "x"}}},
                       absl::Seconds(1),
                       [](CommitReply&& reply) { EXPECT_FALSE(reply.error); });
  this->standin->KeepNextWrites("table", 1);
  this->Commit("a", absl::Milliseconds(800));
  this->Commit("b", absl::Milliseconds(800));
  this->WaitForReplies(1);
  this->standin->SetRefusing(true);
  EXPECT_EQ(this->replies["b"].error, PlatformError::kConflict);
  this->WaitForReplies(2);
  EXPECT_EQ(this->replies["a"].error, PlatformError::kUnknownOutcome);
  this->standin->SetRefusing(false);
  this->standin->Remove("table", kPart, "b");
  this->standin->CarryOutKept();
  EXPECT_GT(this->Version("a"), 0);
}

// Guards against a store that counts as slow for ever, since nothing is written
// to it any more.
TEST_F(CommitBatcherTest, AFastReadEndsTheSlowState) {
  this->standin->SetWriteDelay(absl::Milliseconds(200));
  EXPECT_FALSE(this->batcher.IsSlow(BootClock().Now()));
  this->Commit("a");
  this->RunFor(absl::Milliseconds(170));
  EXPECT_TRUE(this->batcher.IsSlow(BootClock().Now()));
  this->WaitForReplies(1);
  EXPECT_TRUE(this->batcher.IsSlow(BootClock().Now()));
  this->batcher.RecordLatency(absl::Milliseconds(4));
  EXPECT_FALSE(this->batcher.IsSlow(BootClock().Now()));
}

}  // namespace
}  // namespace cuminjunction
