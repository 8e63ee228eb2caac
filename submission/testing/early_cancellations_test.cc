#include "submission/early_cancellations.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cuminjunction {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

// Guards against a flood of cancels of unknown submissions that fills the
// planner's memory and the store.
TEST(EarlyCancellationsTest, OldOnesAreTakenInOrderAndInParts) {
  EarlyCancellations early;
  for (int i = 0; i < 5; ++i)
    early.Add(std::string(1, static_cast<char>('a' + i)),
              kStart + absl::Seconds(i));
  EXPECT_EQ(early.TakeBefore(kStart + absl::Seconds(3), 2),
            (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(early.TakeBefore(kStart + absl::Seconds(3), 2),
            std::vector<std::string>{"c"});
  EXPECT_TRUE(early.TakeBefore(kStart + absl::Seconds(3), 2).empty());
  EXPECT_EQ(early.Count(), 2u);
}

// Guards against a cancellation that is kept for ever, since each read of its
// row renews it, and against one that is taken at the time of an earlier one.
TEST(EarlyCancellationsTest, ACancellationKeepsItsTime) {
  EarlyCancellations early;
  early.Add("a", kStart);
  early.Add("a", kStart + absl::Seconds(9));
  EXPECT_EQ(early.TakeBefore(kStart + absl::Seconds(1), 9).size(), 1u);
  early.Add("b", kStart);
  EXPECT_TRUE(early.Remove("b"));
  EXPECT_FALSE(early.Remove("b"));
  early.Add("b", kStart + absl::Seconds(9));
  EXPECT_TRUE(early.TakeBefore(kStart + absl::Seconds(1), 9).empty());
  EXPECT_TRUE(early.Contains("b"));
}

}  // namespace
}  // namespace cuminjunction
