#include "submission/permits.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cuminjunction {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(100);
const absl::Time kValid = kNow + absl::Seconds(30);
const StepRef kStep{"5c0e7a21d94b36f8", 0, 1};

std::vector<RunnerInfo> MakeRunners(int count) {
  std::vector<RunnerInfo> runners(static_cast<size_t>(count));
  for (size_t index = 0; index < runners.size(); ++index) {
    runners[index].runner = "i-" + std::to_string(index);
    runners[index].born_ms = 1000;
  }
  return runners;
}

std::vector<const RunnerInfo*> Pointers(
    const std::vector<RunnerInfo>& runners) {
  std::vector<const RunnerInfo*> pointers;
  pointers.reserve(runners.size());
  for (const RunnerInfo& runner : runners)
    pointers.push_back(&runner);
  return pointers;
}

// Guards against a start without a ticket, which the runner rejects.
TEST(PermitsTest, OnlyAGrantedRunnerHasATicket) {
  Permits permits;
  const auto runners = MakeRunners(3);
  const auto query = permits.NextQuery(kStep, Pointers(runners), kNow);
  ASSERT_TRUE(query);
  EXPECT_EQ(query->runners, (std::vector<std::string>{"i-0", "i-1", "i-2"}));
  // One query at a time.
  EXPECT_FALSE(permits.NextQuery(kStep, Pointers(runners), kNow));
  EXPECT_EQ(permits.Find(kStep, runners[1], kNow), nullptr);
  permits.OnAnswer(*query, {{"i-1", "ticket"}, {"i-9", "other"}}, kValid);
  ASSERT_NE(permits.Find(kStep, runners[1], kNow), nullptr);
  EXPECT_EQ(*permits.Find(kStep, runners[1], kNow), "ticket");
  EXPECT_EQ(permits.Find(kStep, runners[0], kNow), nullptr);
  EXPECT_EQ(permits.Find({kStep.submission, 0, 2}, runners[1], kNow), nullptr);
  // All runners have an answer.
  EXPECT_FALSE(permits.NextQuery(kStep, Pointers(runners), kNow));
}

// Guards against using a ticket after its expiry or on another incarnation of
// the runner, and against a step that never gets a new one.
TEST(PermitsTest, ATicketIsValidForOneIncarnationAndExpires) {
  Permits permits;
  auto runners = MakeRunners(2);
  const auto query = permits.NextQuery(kStep, Pointers(runners), kNow);
  permits.OnAnswer(*query, {{"i-1", "ticket"}}, kValid);
  EXPECT_EQ(permits.Find(kStep, runners[1], kValid), nullptr);
  const auto renewal = permits.NextQuery(kStep, Pointers(runners), kValid);
  ASSERT_TRUE(renewal);
  // The denied runner is not queried again.
  EXPECT_EQ(renewal->runners, std::vector<std::string>{"i-1"});
  permits.OnAnswer(*renewal, {{"i-1", "second"}}, kValid + absl::Seconds(30));
  EXPECT_EQ(*permits.Find(kStep, runners[1], kValid), "second");
  runners[1].born_ms = 2000;
  EXPECT_EQ(permits.Find(kStep, runners[1], kValid), nullptr);
  EXPECT_TRUE(permits.NextQuery(kStep, Pointers(runners), kValid));
}

// Load pattern: a burst of steps, so that the adviser rejects calls. Guards
// against waiting forever for an answer to a failed query.
TEST(PermitsTest, AQueryWithoutAnAnswerIsRepeatedAfterAPause) {
  Permits permits;
  const auto runners = MakeRunners(2);
  const auto query = permits.NextQuery(kStep, Pointers(runners), kNow);
  permits.OnFailed(*query, kNow);
  EXPECT_FALSE(permits.NextQuery(kStep, Pointers(runners), kNow));
  EXPECT_EQ(
      permits.NextQuery(kStep, Pointers(runners), kNow + absl::Seconds(1)),
      query);
}

// Load pattern: a large fleet. Guards against queries that take longer than the
// users' objective allows for.
TEST(PermitsTest, ALargeFleetIsQueriedInParts) {
  Permits permits;
  const auto runners = MakeRunners(70);
  const auto first = permits.NextQuery(kStep, Pointers(runners), kNow);
  ASSERT_EQ(first->runners.size(), 30u);
  permits.OnAnswer(*first, {{"i-3", "ticket"}}, kValid);
  const auto second = permits.NextQuery(kStep, Pointers(runners), kNow);
  ASSERT_EQ(second->runners.size(), 30u);
  EXPECT_EQ(second->runners.front(), "i-30");
}

TEST(PermitsTest, ARejectedTicketAndAForgottenStepAreQueriedAgain) {
  Permits permits;
  const auto runners = MakeRunners(1);
  const auto query = permits.NextQuery(kStep, Pointers(runners), kNow);
  permits.OnAnswer(*query, {{"i-0", "ticket"}}, kValid);
  permits.Revoke(kStep, "i-0");
  EXPECT_EQ(permits.Find(kStep, runners[0], kNow), nullptr);
  EXPECT_TRUE(permits.NextQuery(kStep, Pointers(runners), kNow));
  permits.Forget(kStep.submission);
  // An answer to a query from before Forget() is ignored.
  permits.OnAnswer(*query, {{"i-0", "ticket"}}, kValid);
  EXPECT_EQ(permits.Find(kStep, runners[0], kNow), nullptr);
}

}  // namespace
}  // namespace cuminjunction
