#include "fleet/store_gate.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace cuminjunction {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

// Deadline of the submissions of a test, as of a caller that waits for 3 s.
const absl::Time kDeadline = kStart + absl::Milliseconds(2850);

constexpr absl::Duration kStep = absl::Milliseconds(20);

class StoreGateTest : public testing::Test {
 protected:
  // Adds a submission and returns what is sent then.
  std::vector<StoreSend> Add(uint64_t submission, bool unresolved = false) {
    EXPECT_TRUE(this->gate.Add(submission, kDeadline, 100, unresolved));
    return this->Decide().sends;
  }

  GateDecisions Decide() {
    GateDecisions decisions = this->gate.Decide(this->conditions, this->now);
    for (const StoreSend& send : decisions.sends)
      this->sent[send.attempt] = this->now;
    this->unknown += decisions.unknown.size();
    for (const UnknownSubmission& each : decisions.unknown)
      this->only_relayed = each.only_relayed;
    this->refused += decisions.refused.size();
    return decisions;
  }

  // Lets time pass until `to`, and returns all that is sent meanwhile.
  std::vector<StoreSend> RunUntil(absl::Time to) {
    std::vector<StoreSend> sends;
    while (this->now < to) {
      this->now += kStep;
      const GateDecisions decisions = this->Decide();
      sends.insert(sends.end(), decisions.sends.begin(), decisions.sends.end());
    }
    return sends;
  }

  void Reply(const StoreSend& send, SendResult result) {
    this->gate.OnReply(send, this->sent[send.attempt], result, this->now);
  }

  StoreGate gate;
  GateConditions conditions;
  absl::Time now = kStart;
  std::map<uint64_t, absl::Time> sent;
  size_t unknown = 0;
  // Of the last one.
  bool only_relayed = false;
  size_t refused = 0;
};

// Guards against an outage that leaves each submission of its time without a
// known outcome: all were sent to the silent store.
TEST_F(StoreGateTest, ASilentStoreGetsFewSubmissions) {
  size_t writes = 0;
  for (uint64_t i = 0; i < 100; ++i) {
    writes += this->Add(i).size();
    this->now += kStep;
  }
  // Within the 100 ms until the first one is late.
  EXPECT_LE(writes, 7u);
  this->RunUntil(kDeadline + absl::Seconds(1));
  EXPECT_EQ(this->unknown, writes);
  EXPECT_EQ(this->refused, 100 - writes);
}

// Guards against waiting submissions that are sent in any order, or only at
// the next tick, although the store answers again.
TEST_F(StoreGateTest, AnAnswerReleasesTheMostUrgentFirst) {
  const StoreSend first = this->Add(1).front();
  const StoreSend second = this->Add(2).front();
  this->now += absl::Milliseconds(150);
  EXPECT_TRUE(this->gate.Add(3, kDeadline + absl::Seconds(1), 100, false));
  EXPECT_TRUE(this->Add(4).empty());
  EXPECT_TRUE(this->gate.IsHolding());
  this->Reply(first, SendResult::kAnswered);
  this->gate.Remove(1);
  this->Reply(second, SendResult::kAnswered);
  this->gate.Remove(2);
  const GateDecisions decisions = this->Decide();
  ASSERT_EQ(decisions.sends.size(), 2u);
  EXPECT_EQ(decisions.sends[0].submission, 4u);
  EXPECT_EQ(decisions.sends[1].submission, 3u);
  EXPECT_FALSE(this->gate.IsHolding());
}

// Guards against an answer of unknown outcome long before the caller's
// deadline, and against repeats that take the entry's processor.
TEST_F(StoreGateTest, ALostAnswerIsFollowedByRepeatsUntilTheDeadline) {
  StoreSend send = this->Add(1).front();
  this->conditions.reads_fail = true;
  size_t repeats = 0;
  while (this->now < kDeadline - absl::Milliseconds(400)) {
    this->Reply(send, SendResult::kUnknown);
    const auto sends = this->RunUntil(this->now + absl::Milliseconds(100));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends.front().step, StoreStep::kWrite);
    send = sends.front();
    ++repeats;
  }
  EXPECT_GE(repeats, 20u);
  EXPECT_EQ(this->unknown, 0u);
  this->Reply(send, SendResult::kUnknown);
  const auto last = this->RunUntil(kDeadline + absl::Milliseconds(100));
  ASSERT_FALSE(last.empty());
  EXPECT_EQ(last.back().step, StoreStep::kFence);
  EXPECT_EQ(this->unknown, 1u);
}

// Guards against repeats of many submissions at once: their number a second is
// bounded over all of them.
TEST_F(StoreGateTest, RepeatsOfManySubmissionsShareOneRate) {
  size_t sends = 0;
  for (uint64_t i = 0; i < 50; ++i)
    sends += this->Add(i, /*unresolved=*/true).size();
  for (int i = 0; i < 50; ++i) {
    this->now += kStep;
    for (const StoreSend& send : this->Decide().sends) {
      ++sends;
      this->Reply(send, SendResult::kUnknown);
    }
  }
  EXPECT_LE(sends, 42u);
  EXPECT_GE(sends, 20u);
}

// Guards against a refusal that is not true: a submission of which a copy is on
// its way must not be refused.
TEST_F(StoreGateTest, OnlyASubmissionWithoutACopyIsRefused) {
  const StoreSend send = this->Add(1).front();
  this->conditions.planner_available = true;
  this->Reply(send, SendResult::kNotDone);
  // Before the direct repeat.
  const auto relayed = this->RunUntil(this->now + kStep);
  ASSERT_EQ(relayed.size(), 1u);
  EXPECT_EQ(relayed.front().route, StoreRoute::kPlanner);
  // The store refuses all direct repeats, and the planner does not answer.
  while (this->now < kDeadline + absl::Seconds(1)) {
    this->now += kStep;
    for (const StoreSend& each : this->Decide().sends) {
      if (each.route == StoreRoute::kDirect)
        this->Reply(each, SendResult::kNotDone);
    }
  }
  EXPECT_EQ(this->refused, 0u);
  EXPECT_EQ(this->unknown, 1u);
  EXPECT_TRUE(this->only_relayed);
}

// Guards against a planner that gets the writes of all entries when the store
// is slow, though it answers.
TEST_F(StoreGateTest, ASlowStoreDoesNotLoadThePlanner) {
  this->conditions.planner_available = true;
  std::multimap<absl::Time, StoreSend> replies;
  uint64_t number = 0;
  while (this->now < kStart + absl::Seconds(2)) {
    while (!replies.empty() && replies.begin()->first <= this->now) {
      this->Reply(replies.begin()->second, SendResult::kAnswered);
      this->gate.Remove(replies.begin()->second.submission);
      replies.erase(replies.begin());
    }
    EXPECT_TRUE(this->gate.Add(++number, this->now + absl::Seconds(3), 100,
                               /*unresolved=*/false));
    for (const StoreSend& send : this->Decide().sends) {
      EXPECT_EQ(send.route, StoreRoute::kDirect);
      replies.emplace(this->now + absl::Milliseconds(240), send);
    }
    this->now += kStep;
  }
}

// Guards against submissions that wait at an entry whose link is cut, while the
// planner reaches the store.
TEST_F(StoreGateTest, WhatWaitsGoesToThePlannerWhenTheStoreStalls) {
  this->Add(1);
  this->Add(2);
  this->now += absl::Milliseconds(150);
  EXPECT_TRUE(this->Add(3).empty());
  this->conditions.planner_available = true;
  EXPECT_TRUE(this->Decide().sends.empty());
  this->now += absl::Milliseconds(200);
  bool relayed = false;
  for (const StoreSend& send : this->Decide().sends)
    relayed =
        relayed || (send.submission == 3 && send.route == StoreRoute::kPlanner);
  EXPECT_TRUE(relayed);
}

// Guards against a caller that waits for its whole deadline for a refusal, and
// against one that is refused while it could still be stored.
TEST_F(StoreGateTest, ARefusedWriteWaitsWhileItCouldBeStored) {
  StoreSend send = this->Add(1).front();
  while (this->refused == 0) {
    this->now += kStep;
    for (const StoreSend& each : this->Decide().sends)
      this->Reply(each, SendResult::kNotDone);
    if (this->now == kStart + kStep)
      this->Reply(send, SendResult::kNotDone);
    ASSERT_LT(this->now, kDeadline);
  }
  EXPECT_GE(this->now, kDeadline - absl::Milliseconds(320));
  EXPECT_EQ(this->unknown, 0u);
}

// Guards against submissions that wait although the store answers: one that
// went silent gets no first writes, so that a read has to find out.
TEST_F(StoreGateTest, AReadFindsOutThatTheStoreAnswers) {
  this->conditions.reads_fail = true;
  EXPECT_TRUE(this->gate.Add(1, kDeadline, 100, false));
  const GateDecisions first = this->Decide();
  EXPECT_TRUE(first.probe);
  EXPECT_TRUE(first.sends.empty());
  this->gate.OnProbe(false, this->now, this->now);
  EXPECT_FALSE(this->Decide().probe);
  this->now += absl::Milliseconds(200);
  EXPECT_TRUE(this->Decide().probe);
  this->gate.OnProbe(true, this->now, this->now);
  EXPECT_EQ(this->Decide().sends.size(), 1u);
}

// Guards against a wait for the time-out of a call whose answer was lost.
TEST_F(StoreGateTest, ALateSubmissionIsSentAgainOnceTheStoreAnswers) {
  this->Add(1);
  this->now += absl::Milliseconds(150);
  const StoreSend second = this->Add(2).front();
  this->now += kStep;
  this->Reply(second, SendResult::kAnswered);
  this->gate.Remove(2);
  const GateDecisions decisions = this->Decide();
  ASSERT_EQ(decisions.sends.size(), 1u);
  EXPECT_EQ(decisions.sends.front().submission, 1u);
}

// Guards against a transaction of each entry's own while the store is slow: the
// planner combines the writes of all entries.
TEST_F(StoreGateTest, ASlowStoreIsWrittenThroughThePlanner) {
  this->conditions = {.planner_available = true, .store_is_slow = true};
  const auto sends = this->Add(1);
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends.front().route, StoreRoute::kPlanner);
  this->Reply(sends.front(), SendResult::kNotDone);
  for (const StoreSend& send :
       this->RunUntil(this->now + absl::Milliseconds(500)))
    EXPECT_EQ(send.route, StoreRoute::kPlanner);
}

// Guards against submissions that wait for a planner that is not there, or that
// is this process.
TEST_F(StoreGateTest, ASlowStoreIsWrittenDirectlyWithoutAnotherPlanner) {
  this->conditions = {.store_is_slow = true};
  const auto alone = this->Add(1);
  ASSERT_EQ(alone.size(), 1u);
  EXPECT_EQ(alone.front().route, StoreRoute::kDirect);
  this->conditions.planner_available = true;
  this->conditions.planner_is_own = true;
  const auto own = this->Add(2);
  ASSERT_EQ(own.size(), 1u);
  EXPECT_EQ(own.front().route, StoreRoute::kDirect);
}

// Guards against writes that go through the planner for ever after the store
// was slow: only a read shows that it no longer is.
TEST_F(StoreGateTest, ASlowStoreIsRead) {
  this->conditions = {.planner_available = true, .store_is_slow = true};
  EXPECT_TRUE(this->gate.Add(1, kDeadline, 100, false));
  EXPECT_TRUE(this->Decide().probe);
  this->gate.OnProbe(true, this->now, this->now);
  this->now += absl::Milliseconds(200);
  EXPECT_TRUE(this->Decide().probe);
  this->conditions.store_is_slow = false;
  this->gate.OnProbe(true, this->now, this->now);
  this->now += absl::Milliseconds(200);
  EXPECT_FALSE(this->Decide().probe);
}

// Guards against submissions that end without a known outcome although the
// store answers, since the planner is frozen or does not reach it.
TEST_F(StoreGateTest, ASilentPlannerIsPassedOverWhileTheStoreIsSlow) {
  this->conditions = {.planner_available = true, .store_is_slow = true};
  EXPECT_EQ(this->Add(1).front().route, StoreRoute::kPlanner);
  std::vector<StoreSend> direct;
  for (const StoreSend& send :
       this->RunUntil(kDeadline - absl::Milliseconds(1000))) {
    if (send.route == StoreRoute::kDirect)
      direct.push_back(send);
  }
  ASSERT_EQ(direct.size(), 1u);
  this->Reply(direct.front(), SendResult::kAnswered);
  this->gate.Remove(1);
  // The next one does not wait for the planner either.
  const auto next = this->Add(2);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next.front().route, StoreRoute::kDirect);
}

// Guards against submissions that are held for a planner whose loss is known.
TEST_F(StoreGateTest, ALostPlannerDoesNotHoldSubmissions) {
  this->conditions = {.planner_available = true, .store_is_slow = true};
  const StoreSend lost = this->Add(1).front();
  this->now += absl::Milliseconds(500);
  this->Reply(lost, SendResult::kUnknown);
  const auto next = this->Add(2);
  ASSERT_FALSE(next.empty());
  for (const StoreSend& send : next)
    EXPECT_EQ(send.route, StoreRoute::kDirect);
}

// Guards against submissions that are held because one request was too late,
// such as a fence shortly before its deadline, while the planner answers.
TEST_F(StoreGateTest, ALateRequestDoesNotHoldOthersWhileThePlannerAnswers) {
  this->conditions = {.planner_available = true, .store_is_slow = true};
  const StoreSend late = this->Add(1).front();
  const StoreSend other = this->Add(2).front();
  this->now += absl::Milliseconds(500);
  this->Reply(other, SendResult::kAnswered);
  this->gate.Remove(2);
  this->Reply(late, SendResult::kUnknown);
  this->gate.Remove(1);
  const auto next = this->Add(3);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next.front().route, StoreRoute::kPlanner);
}

// Guards against direct writes beside those of a planner that answers, if only
// slowly.
TEST_F(StoreGateTest, APlannerThatAnswersIsNotPassedOver) {
  this->conditions = {.planner_available = true, .store_is_slow = true};
  StoreSend send = this->Add(1).front();
  for (uint64_t next = 2; next < 12; ++next) {
    const auto sends = this->RunUntil(this->now + absl::Milliseconds(200));
    EXPECT_TRUE(sends.empty());
    const auto added = this->Add(next);
    ASSERT_EQ(added.size(), 1u);
    EXPECT_EQ(added.front().route, StoreRoute::kPlanner);
    this->Reply(send, SendResult::kAnswered);
    this->gate.Remove(send.submission);
    send = added.front();
  }
}

// Guards against memory that grows with an outage.
TEST_F(StoreGateTest, WaitingSubmissionsAreLimitedInNumberAndSize) {
  this->conditions.reads_fail = true;
  EXPECT_FALSE(this->gate.Add(1, kDeadline, 100 << 20, false));
  for (uint64_t i = 0; i < 256; ++i)
    EXPECT_TRUE(this->gate.Add(i, kDeadline, 64 << 10, false));
  EXPECT_FALSE(this->gate.Add(256, kDeadline, 0, false));
  this->gate.Remove(7);
  EXPECT_TRUE(this->gate.Add(256, kDeadline, 64 << 10, false));
}

// Guards against answers that come after the process has ended.
TEST_F(StoreGateTest, AStopBringsAllDeadlinesForward) {
  const StoreSend send = this->Add(1).front();
  this->gate.LimitDeadlines(this->now + absl::Milliseconds(500));
  this->RunUntil(this->now + absl::Milliseconds(600));
  EXPECT_EQ(this->unknown, 1u);
  this->Reply(send, SendResult::kUnknown);
  EXPECT_TRUE(this->gate.Add(2, kDeadline, 0, true));
  this->RunUntil(this->now + absl::Milliseconds(100));
  EXPECT_EQ(this->unknown, 2u);
}

}  // namespace
}  // namespace cuminjunction
