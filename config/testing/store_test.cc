#include "config/store.h"

#include <gtest/gtest.h>

#include "table/memory_table.h"

namespace cuminjunction {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

Document MakeDocument(const std::vector<std::string>& accounts,
                      int64_t weight = 1) {
  Document document;
  for (const std::string& name : accounts)
    document.accounts[name] = {name, weight, {1000, 1024, 0}};
  return document;
}

DocumentChange Submit(Document document,
                      uint64_t base,
                      const std::string& operator_name = "ann",
                      const std::string& change_id = "c1") {
  return {std::move(document), base, operator_name, change_id};
}

// A table whose Commit() is provided by the test.
class ScriptedTable {
 public:
  using OnCommit = std::function<Result<uint64_t>(const Transaction&)>;

  explicit ScriptedTable(OnCommit on_commit)
      : on_commit(std::move(on_commit)) {}

  Result<Row> Read(const std::string& key) {
    if (this->down)
      return TableError::kUnavailable;
    return this->table.Read(key);
  }
  Result<std::vector<Row>> ScanSince(const std::string& prefix,
                                     uint64_t version,
                                     int limit) {
    return this->table.ScanSince(prefix, version, limit);
  }
  Result<uint64_t> Commit(const Transaction& transaction) {
    return this->on_commit(transaction);
  }

  MemoryTable table;
  OnCommit on_commit;
  bool down = false;
};

TEST(SectionsTest, DiffLeadsFromOneDocumentToTheOther) {
  const SectionTexts from = ToSections(MakeDocument({"a", "b"}));
  const Document to = MakeDocument({"b", "c"});
  const SectionDiff diff = DiffSections(from, ToSections(to));
  EXPECT_EQ(diff.removed, std::vector<std::string>{"account/a"});
  EXPECT_EQ(diff.changed.size(), 1u);
  SectionTexts result = from;
  ApplyDiff(diff, &result);
  std::vector<YamlProblem> problems;
  EXPECT_EQ(FromSections(result, &problems).value(), to);
  // A section stored under the wrong key is detected.
  EXPECT_EQ(
      FromSections({{"account/x", result.at("account/b")}}, &problems).error(),
      ConfigError::kDamagedRow);
}

TEST(ConfigStoreTest, AcceptsChangesInOrder) {
  MemoryTable table;
  ConfigStore store(&table);
  Change conflicting;
  EXPECT_EQ(
      store.Accept(Submit(MakeDocument({"a"}), 0), kNow, &conflicting).value(),
      1u);
  EXPECT_EQ(store
                .Accept(Submit(MakeDocument({"b"}), 1, "bob", "c2"), kNow,
                        &conflicting)
                .value(),
            2u);
  // A change that modifies no section creates no version.
  EXPECT_EQ(store
                .Accept(Submit(MakeDocument({"b"}), 2, "bob", "c3"), kNow,
                        &conflicting)
                .value(),
            2u);
  ConfigStore fresh(&table);
  EXPECT_EQ(fresh.Load().value()->Texts(), ToSections(MakeDocument({"b"})));
  EXPECT_EQ(fresh.Load().value()->Version(), 2u);
  const std::vector<Change> history = fresh.History(10).value();
  ASSERT_EQ(history.size(), 2u);
  EXPECT_EQ(history[0].operator_name, "bob");
  EXPECT_EQ(history[0].sections,
            (std::vector<std::string>{"account/b", "account/a"}));
  EXPECT_EQ(history[0].Time(), kNow);
}

// Guards against a change that silently replaces another operator's.
TEST(ConfigStoreTest, ConflictReportsTheAcceptedChange) {
  MemoryTable table;
  ConfigStore ann(&table);
  ConfigStore bob(&table);
  Change conflicting;
  ASSERT_TRUE(ann.Accept(Submit(MakeDocument({"a"}), 0), kNow, &conflicting));
  // Both have read version 1 when they submit.
  ASSERT_TRUE(ann.Load());
  ASSERT_TRUE(bob.Load());
  ASSERT_TRUE(ann.Accept(Submit(MakeDocument({"a", "x"}), 1, "ann", "c2"), kNow,
                         &conflicting));
  EXPECT_EQ(bob.Accept(Submit(MakeDocument({"a", "y"}), 1, "bob", "c3"), kNow,
                       &conflicting)
                .error(),
            ConfigError::kConflict);
  EXPECT_EQ(conflicting.operator_name, "ann");
  EXPECT_EQ(conflicting.change_id, "c2");
  EXPECT_EQ(conflicting.version, 2u);
  // A base that does not exist is a conflict with the head.
  EXPECT_EQ(bob.Accept(Submit(MakeDocument({"y"}), 9, "bob", "c4"), kNow,
                       &conflicting)
                .error(),
            ConfigError::kConflict);
  EXPECT_EQ(conflicting.version, 2u);
}

// Guards against a race that the check of the base does not detect: the other
// change is committed after the head was read.
TEST(ConfigStoreTest, RaceInsideTheCommitIsAConflict) {
  ScriptedTable table(nullptr);
  table.on_commit = [&](const Transaction& transaction) {
    ConfigStore bob(&table.table);
    Change ignored;
    EXPECT_TRUE(bob.Accept(Submit(MakeDocument({"b"}), 0, "bob", "c2"), kNow,
                           &ignored));
    return table.table.Commit(transaction);
  };
  ConfigStore ann(&table);
  Change conflicting;
  EXPECT_EQ(
      ann.Accept(Submit(MakeDocument({"a"}), 0), kNow, &conflicting).error(),
      ConfigError::kConflict);
  EXPECT_EQ(conflicting.operator_name, "bob");
  EXPECT_EQ(ConfigStore(&table.table).Load().value()->Texts(),
            ToSections(MakeDocument({"b"})));
}

// Guards against reporting a conflict of a change with itself after its reply
// was lost.
TEST(ConfigStoreTest, LostReplyIsResolvedByTheChangeId) {
  ScriptedTable table(nullptr);
  table.on_commit = [&](const Transaction& transaction) -> Result<uint64_t> {
    (void)table.table.Commit(transaction);
    return TableError::kUnknownOutcome;
  };
  ConfigStore store(&table);
  Change conflicting;
  EXPECT_EQ(
      store.Accept(Submit(MakeDocument({"a"}), 0), kNow, &conflicting).value(),
      1u);
  // The operator submits the same change again.
  EXPECT_EQ(
      store.Accept(Submit(MakeDocument({"a"}), 0), kNow, &conflicting).value(),
      1u);
}

// Guards against a write that takes effect after the change was sent again.
TEST(ConfigStoreTest, LateWriteIsAcceptedOnce) {
  ScriptedTable table(nullptr);
  std::vector<Transaction> late;
  table.on_commit = [&](const Transaction& transaction) -> Result<uint64_t> {
    late.push_back(transaction);
    if (late.size() < 2)
      return TableError::kUnknownOutcome;
    EXPECT_TRUE(table.table.Commit(late[0]));
    return table.table.Commit(late[1]);
  };
  ConfigStore store(&table);
  Change conflicting;
  EXPECT_EQ(
      store.Accept(Submit(MakeDocument({"a"}), 0), kNow, &conflicting).value(),
      1u);
  EXPECT_EQ(store.Load().value()->Version(), 1u);
}

// Guards against reporting kUnavailable for a change that may still take
// effect: the reply to its commit was lost and an outage followed.
TEST(ConfigStoreTest, OutageAfterALostReplyLeavesTheOutcomeUnknown) {
  ScriptedTable table(nullptr);
  Transaction late;
  table.on_commit = [&](const Transaction& transaction) -> Result<uint64_t> {
    const bool first = late.writes.empty();
    late = transaction;
    return first ? TableError::kUnknownOutcome : TableError::kUnavailable;
  };
  ConfigStore store(&table);
  Change conflicting;
  const DocumentChange submission = Submit(MakeDocument({"a"}), 0);
  EXPECT_EQ(store.Accept(submission, kNow, &conflicting).error(),
            ConfigError::kUnknownOutcome);
  EXPECT_EQ(store.ResolveOutcome(submission, &conflicting).error(),
            ConfigError::kUnknownOutcome);
  ASSERT_TRUE(table.table.Commit(late));
  EXPECT_EQ(store.ResolveOutcome(submission, &conflicting).value(), 1u);
  table.down = true;
  EXPECT_EQ(
      store.Accept(Submit(MakeDocument({"b"}), 1), kNow, &conflicting).error(),
      ConfigError::kUnavailable);
}

// Guards against an inconsistent state when changes are accepted between two
// pages of a scan.
TEST(ConfigStoreTest, ReaderEndsAtAVersionThatWasTheHead) {
  MemoryTable table;
  ConfigStore writer(&table);
  Change conflicting;
  Document document;
  std::map<uint64_t, SectionTexts> accepted;
  const auto accept = [&] {
    const uint64_t base = accepted.size();
    ASSERT_EQ(writer
                  .Accept(Submit(document, base, "ann", StrCat("c", base)),
                          kNow, &conflicting)
                  .value(),
              base + 1);
    accepted[base + 1] = ToSections(document);
  };
  for (int i = 0; i < 1600; ++i) {
    document.accounts[StrCat("a", i)] = {StrCat("a", i), 1, {1, 1, 0}};
    if (i % 400 == 399)
      accept();
  }
  struct Racing {
    MemoryTable* table;
    std::function<void()> between;
    Result<Row> Read(const std::string& key) { return this->table->Read(key); }
    Result<std::vector<Row>> ScanSince(const std::string& prefix,
                                       uint64_t version,
                                       int limit) {
      auto rows = this->table->ScanSince(prefix, version, limit);
      this->between();
      return rows;
    }
    Result<uint64_t> Commit(const Transaction& transaction) {
      return this->table->Commit(transaction);
    }
  };
  Racing racing = {&table, [&] {
                     if (accepted.size() >= 7)
                       return;
                     document.accounts.erase(document.accounts.begin());
                     ++document.accounts["a500"].weight;
                     accept();
                   }};
  StoreCursor cursor;
  ConfigState state;
  int reads = 0;
  while (state.Version() < 7) {
    ASSERT_LT(++reads, 10);
    const auto delta = ReadStore(&racing, &cursor).value();
    ASSERT_TRUE(delta);
    EXPECT_TRUE(state.Apply(*delta).value());
    EXPECT_EQ(state.Texts(), accepted.at(state.Version()));
  }
  EXPECT_GT(reads, 1);
  EXPECT_FALSE(ReadStore(&racing, &cursor).value());
}

TEST(ConfigStoreTest, DamagedRowsAreATypedError) {
  MemoryTable table;
  ASSERT_TRUE(table.Commit({"t", {}, {{kHeadKey, "\xff"}}}));
  ConfigStore store(&table);
  EXPECT_EQ(store.Load().error(), ConfigError::kDamagedRow);
  EXPECT_EQ(store.History(1).error(), ConfigError::kDamagedRow);
}

}  // namespace
}  // namespace cuminjunction
