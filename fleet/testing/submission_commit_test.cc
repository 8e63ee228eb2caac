// Tests of the transactions that store and fence submissions. The property test
// carries them out on a model of the store's rows.

#include "fleet/submission_commit.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "fleet/node_row.h"
#include "fleet/stored_fences.h"

namespace cuminjunction {
namespace {

constexpr char kId[] = "5c0e7a21d94b36f8";

// How late the store carries out a call, and how long a request to the planner
// may be on its way before.
constexpr absl::Duration kLatestEffect = absl::Seconds(12);
constexpr absl::Duration kLongestRelay = absl::Seconds(5);

// Which guards the model has. Each test without one shows that the property
// depends on it.
struct Guards {
  bool fence_expects_no_row = true;
  bool write_expects_fence = true;
  absl::Duration fences_kept = kFenceTime;
};

// Rows of one submission by table.
class RowModel {
 public:
  CommitReply Apply(const StoreCommit& commit) {
    CommitReply reply;
    for (const StoreExpect& expect : commit.expects) {
      const auto found = this->rows.find(expect.table);
      const int64_t version = found == this->rows.end() ? 0 : found->second;
      if (version != expect.version)
        reply.error = PlatformError::kConflict;
      if (version != 0)
        reply.rows.push_back({expect.table, expect.key, "", version});
    }
    reply.version = this->version;
    if (reply.error)
      return reply;
    reply.rows.clear();
    reply.version = ++this->version;
    for (const StorePut& put : commit.puts)
      this->rows[put.table] = this->version;
    for (const StoreRemove& remove : commit.removes)
      this->rows.erase(remove.table);
    return reply;
  }

  bool Has(const std::string& table) const {
    return this->rows.contains(table);
  }

  std::vector<StoreRow> Read(const std::string& table) const {
    const auto found = this->rows.find(table);
    if (found == this->rows.end())
      return {};
    return {{table, kId, "", found->second}};
  }

 private:
  std::map<std::string, int64_t> rows;
  int64_t version = 0;
};

// Requests for one submission at several entries, whose calls are carried out
// in any order, late, or without a reply.
class OutcomeModel {
 public:
  explicit OutcomeModel(const Guards& guards)
      : guards(guards), fences(guards.fences_kept) {}

  // Carries out one step that these numbers choose.
  void Step(uint32_t kind, uint32_t choice) {
    switch (kind % 12) {
      case 0:
        if (this->requests.size() < kMaxRequests)
          this->requests.emplace_back();
        break;
      case 1:
      case 2:
        this->Send(choice, /*fence=*/false);
        break;
      case 3:
        this->Send(choice, /*fence=*/true);
        break;
      case 4:
      case 5:
        this->CarryOut(choice, /*reply_arrives=*/true);
        break;
      case 6:
        this->CarryOut(choice, /*reply_arrives=*/false);
        break;
      case 7:
        this->LosePart(choice);
        break;
      case 8:
        this->Pass(absl::Seconds(1 + choice % 10));
        break;
      case 9:
        this->RemoveFences(choice % 8 == 0);
        break;
      case 10:
        if (choice % 8 == 0)
          this->Cancel();
        else
          this->RefuseUnsent(choice);
        break;
      default:
        this->Crash(choice);
        break;
    }
  }

  // What is wrong; empty if nothing is.
  const std::string& Violation() const { return this->violation; }

 private:
  static constexpr size_t kMaxRequests = 4;

  enum class Answer : uint8_t { kNone, kAccepted, kRefused, kCrashed };

  struct Request {
    int64_t fence_version = 0;
    bool sent = false;
    Answer answer = Answer::kNone;
  };

  struct Copy {
    size_t request = 0;
    bool fence = false;
    StoreCommit commit;
    // When it is carried out at the latest.
    absl::Time due;
  };

  void Send(uint32_t choice, bool fence) {
    if (this->requests.empty())
      return;
    const size_t index = choice % this->requests.size();
    Request& request = this->requests[index];
    if (request.answer != Answer::kNone)
      return;
    request.sent = true;
    Submission submission;
    submission.id = kId;
    Copy copy{index, fence,
              fence ? SubmissionFence(kId)
                    : SubmissionWrite(submission, request.fence_version),
              this->now + kLatestEffect};
    if (choice % 3 == 0)
      copy.due += kLongestRelay;
    const auto drop = [&copy](const std::string& table) {
      std::erase_if(copy.commit.expects, [&](const StoreExpect& expect) {
        return expect.table == table;
      });
    };
    if (fence && !this->guards.fence_expects_no_row)
      drop(kSubmissionTable);
    if (!fence && !this->guards.write_expects_fence)
      drop(kFenceTable);
    this->copies.push_back(std::move(copy));
  }

  Copy Take(uint32_t choice) {
    const auto found = this->copies.begin() +
                       static_cast<ptrdiff_t>(choice % this->copies.size());
    Copy copy = std::move(*found);
    this->copies.erase(found);
    return copy;
  }

  void CarryOut(uint32_t choice, bool reply_arrives) {
    if (!this->copies.empty())
      this->Apply(this->Take(choice), reply_arrives);
  }

  void Apply(const Copy& copy, bool reply_arrives) {
    const bool was_stored = this->store.Has(kSubmissionTable);
    const CommitReply reply = this->store.Apply(copy.commit);
    Request& request = this->requests[copy.request];
    if (!reply.error && !copy.fence) {
      if (was_stored)
        this->violation = "the row was written twice";
      if (this->cancelled)
        this->violation = "stored after its cancellation";
      if (request.answer == Answer::kRefused)
        this->violation = "a refused request was stored";
      this->writer = copy.request;
    }
    if (!reply_arrives || request.answer != Answer::kNone)
      return;
    const SubmissionReply result =
        copy.fence ? FenceReply(reply) : WriteReply(reply);
    switch (result.outcome) {
      case SubmissionOutcome::kStored:
        request.answer = Answer::kAccepted;
        if (!this->store.Has(kSubmissionTable))
          this->violation = "accepted without a row";
        break;
      case SubmissionOutcome::kCancelled:
      case SubmissionOutcome::kFenced:
        this->Refuse(copy.request);
        break;
      case SubmissionOutcome::kFenceChanged:
        request.fence_version = result.version;
        break;
      case SubmissionOutcome::kNotDone:
      case SubmissionOutcome::kUnknown:
        break;
    }
  }

  void Refuse(size_t index) {
    this->requests[index].answer = Answer::kRefused;
    if (this->store.Has(kSubmissionTable) && this->writer == index)
      this->violation = "a stored request was refused";
  }

  // The copy never takes effect, and no reply comes.
  void LosePart(uint32_t choice) {
    if (!this->copies.empty())
      this->Take(choice);
  }

  void Pass(absl::Duration time) {
    this->now += time;
    for (size_t i = 0; i < this->copies.size();) {
      if (this->copies[i].due > this->now)
        ++i;
      else
        this->CarryOut(static_cast<uint32_t>(i), /*reply_arrives=*/false);
    }
  }

  // The planner reads the fences, after a takeover as a new one.
  void RemoveFences(bool takeover) {
    if (takeover)
      this->fences = StoredFences(this->guards.fences_kept);
    this->fences.Update(this->store.Read(kFenceTable), this->now);
    if (const auto removal = this->fences.Removal(this->now))
      this->store.Apply(*removal);
  }

  void Cancel() {
    this->store.Apply({.expects = {}, .puts = {{kCancellationTable, kId, ""}}});
    this->cancelled = true;
  }

  void RefuseUnsent(uint32_t choice) {
    if (this->requests.empty())
      return;
    const size_t index = choice % this->requests.size();
    if (!this->requests[index].sent &&
        this->requests[index].answer == Answer::kNone)
      this->Refuse(index);
  }

  void Crash(uint32_t choice) {
    if (this->requests.empty())
      return;
    Request& request = this->requests[choice % this->requests.size()];
    if (request.answer == Answer::kNone)
      request.answer = Answer::kCrashed;
  }

  Guards guards;
  RowModel store;
  StoredFences fences;
  absl::Time now = absl::FromUnixSeconds(1000);
  std::vector<Request> requests;
  std::vector<Copy> copies;
  bool cancelled = false;
  // The request whose write stored the row.
  size_t writer = kMaxRequests;
  std::string violation;
};

using Steps = std::vector<std::pair<uint32_t, uint32_t>>;

std::string ViolationOf(const Steps& steps, const Guards& guards) {
  OutcomeModel model(guards);
  for (const auto& [kind, choice] : steps) {
    model.Step(kind, choice);
    if (!model.Violation().empty())
      break;
  }
  return model.Violation();
}

constexpr size_t kStepCount = 60;

// Sequences for the tests without a guard, and for many more runs than those of
// RapidCheck, which also shrinks what fails.
constexpr int kSequences = 20000;

// Returns the violations that were found in random sequences.
std::map<std::string, int> FindViolations(const Guards& guards) {
  std::mt19937 random(1);
  std::map<std::string, int> found;
  for (int i = 0; i < kSequences; ++i) {
    Steps steps(kStepCount);
    for (auto& [kind, choice] : steps) {
      kind = random();
      choice = random();
    }
    const std::string violation = ViolationOf(steps, guards);
    if (!violation.empty())
      ++found[violation];
  }
  return found;
}

// Guards against a refusal that is not true, an acknowledgement without a row,
// and a row after a cancellation, whatever order calls are carried out in.
TEST(SubmissionCommitTest, EachAnswerIsTrueInAnyOrderOfEvents) {
  EXPECT_TRUE(rc::check("answers are true", [] {
    const auto steps = *rc::gen::container<Steps>(
        kStepCount, rc::gen::pair(rc::gen::inRange<uint32_t>(0, 12),
                                  rc::gen::arbitrary<uint32_t>()));
    RC_ASSERT(ViolationOf(steps, {}) == "");
  }));
  EXPECT_EQ(FindViolations({}), (std::map<std::string, int>{}));
}

// Each of the next tests guards against a property test that would not notice
// the loss of a guard.
TEST(SubmissionCommitTest, AFenceThatExpectsNoRowIsNeeded) {
  EXPECT_GT(
      FindViolations({.fence_expects_no_row = false})["a stored request was "
                                                      "refused"],
      0);
}

TEST(SubmissionCommitTest, AWriteThatExpectsItsFenceIsNeeded) {
  EXPECT_GT(FindViolations(
                {.write_expects_fence = false})["a refused request was stored"],
            0);
}

TEST(SubmissionCommitTest, FencesMustOutliveTheCopiesOfWrites) {
  EXPECT_GT(FindViolations({.fences_kept = absl::Seconds(
                                5)})["a refused request was stored"],
            0);
}

// Guards against a fence that a later one renewed and that is removed at the
// age of the first.
TEST(SubmissionCommitTest, ARenewedFenceIsKeptAnew) {
  const absl::Time start = absl::FromUnixSeconds(1000);
  StoredFences fences;
  fences.Update({{kFenceTable, "a", "", 5}, {kFenceTable, "b", "", 6}}, start);
  EXPECT_FALSE(fences.Removal(start + absl::Seconds(29)));
  fences.Update({{kFenceTable, "a", "", 9}, {kFenceTable, "b", "", 6}},
                start + absl::Seconds(29));
  const auto removal = fences.Removal(start + absl::Seconds(30));
  ASSERT_TRUE(removal);
  ASSERT_EQ(removal->removes.size(), 1u);
  EXPECT_EQ(removal->removes.front().key, "b");
  ASSERT_EQ(removal->expects.size(), 1u);
  EXPECT_EQ(removal->expects.front().version, 6);
}

// Guards against a reply that is taken for a refusal although the transaction
// may have been carried out.
TEST(SubmissionCommitTest, OnlyRepliesOfTheStoreAreDefinite) {
  const auto outcome = [](PlatformError error) {
    CommitReply reply;
    reply.error = error;
    const SubmissionOutcome of_fence = FenceReply(reply).outcome;
    EXPECT_TRUE(WriteReply(reply).outcome == of_fence ||
                error == PlatformError::kConflict);
    return of_fence;
  };
  EXPECT_EQ(outcome(PlatformError::kRefused), SubmissionOutcome::kNotDone);
  EXPECT_EQ(outcome(PlatformError::kNotSent), SubmissionOutcome::kNotDone);
  EXPECT_EQ(outcome(PlatformError::kConflict), SubmissionOutcome::kNotDone);
  EXPECT_EQ(outcome(PlatformError::kUnknownOutcome),
            SubmissionOutcome::kUnknown);
  EXPECT_EQ(outcome(PlatformError::kUnexpectedStatus),
            SubmissionOutcome::kUnknown);
}

// Guards against a refusal that is not true: a second copy of a call finds a
// fence, which is removed before the first copy is carried out.
TEST(SubmissionCommitTest, AConflictOfASecondCopyIsNoOutcome) {
  CommitReply reply = {.error = PlatformError::kConflict,
                       .rows = {{kFenceTable, kId, "", 7}}};
  EXPECT_EQ(WriteReply(reply).outcome, SubmissionOutcome::kFenceChanged);
  reply.resent = true;
  EXPECT_EQ(WriteReply(reply).outcome, SubmissionOutcome::kUnknown);
  EXPECT_EQ(FenceReply(reply).outcome, SubmissionOutcome::kUnknown);
  // A row or a cancellation that is found is stored, by whichever copy.
  reply.rows = {{kSubmissionTable, kId, "", 8}};
  EXPECT_EQ(WriteReply(reply).outcome, SubmissionOutcome::kStored);
}

}  // namespace
}  // namespace cuminjunction
