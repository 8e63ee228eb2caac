#include "table/memory_table.h"

#include <gtest/gtest.h>

namespace cuminjunction {
namespace {

static_assert(Table<MemoryTable>);

// Guards against a transaction that writes although a row changed meanwhile.
TEST(MemoryTableTest, StaleExpectationHasNoEffect) {
  MemoryTable table;
  const uint64_t first = table.Commit({"t1", {{"a", 0}}, {{"a", "1"}}}).value();
  EXPECT_EQ(table.Commit({"t2", {{"a", 0}}, {{"a", "2"}, {"b", "2"}}}).error(),
            TableError::kConflict);
  EXPECT_EQ(table.Read("a").value().value, "1");
  EXPECT_EQ(table.Read("b").error(), TableError::kNotFound);
  EXPECT_TRUE(table.Commit({"t3", {{"a", first}}, {{"a", "3"}}}));
}

// Guards against a follower that misses rows, deleted ones above all.
TEST(MemoryTableTest, ScanSinceReturnsChangesInOrder) {
  MemoryTable table;
  table.Commit({"t1", {}, {{"x/a", "1"}, {"x/b", "1"}, {"y/c", "1"}}}).value();
  const uint64_t seen = table.Commit({"t2", {}, {{"x/a", "2"}}}).value();
  table.Commit({"t3", {}, {{"x/b", std::nullopt}}}).value();
  const auto all = table.ScanSince("x/", 0, 100).value();
  ASSERT_EQ(all.size(), 2u);
  EXPECT_EQ(all[0].key, "x/a");
  EXPECT_TRUE(all[1].deleted);
  EXPECT_EQ(table.ScanSince("x/", seen, 100).value().size(), 1u);
  EXPECT_EQ(table.ScanSince("x/", 0, 1).value().size(), 1u);
}

}  // namespace
}  // namespace cuminjunction
