#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/strings.h"
#include "config/store.h"
#include "testing/support/faulty_store.h"

namespace cuminjunction {
namespace {

// Simulates operators that submit changes through three entries over a faulty
// table.
class Operators {
 public:
  Operators() : table(*rc::gen::inRange<uint64_t>(0, 1000000)) {
    for (int i = 0; i < 3; ++i)
      this->stores.emplace_back(&this->table);
  }

  void Step() {
    this->now += absl::Milliseconds(*rc::gen::inRange(0, 2000));
    this->table.SetNow(this->now);
    if (*rc::gen::inRange(0, 8) == 0) {
      StoreFaults faults;
      faults.lost_reply_share = 0.3;
      faults.late_write_share = 0.3;
      faults.down = *rc::gen::arbitrary<bool>();
      this->table.SetFaults(faults);
    }
    this->Submit();
  }

  // Ends the faults, applies late writes and compares the outcomes reported to
  // operators with the accepted changes.
  void CheckOutcomes() {
    this->table.SetFaults({});
    this->table.SetNow(this->now + absl::Hours(1));
    std::set<std::string> accepted;
    const std::vector<Change> history = this->stores[0].History(1000).value();
    for (const Change& change : history)
      RC_ASSERT(accepted.insert(change.change_id).second);
    for (const auto& [submission, reported] : this->results) {
      Change conflicting;
      const Result<uint64_t> resolved =
          this->stores[1].ResolveOutcome(submission, &conflicting);
      const bool was_accepted = accepted.contains(submission.change_id);
      if (reported) {
        RC_ASSERT(was_accepted);
        RC_ASSERT(resolved.value() == reported.value());
      } else if (reported.error() != ConfigError::kUnknownOutcome) {
        RC_ASSERT(!was_accepted);
      }
      RC_ASSERT(resolved.has_value() == was_accepted);
    }
    const ConfigState* state = this->stores[2].Load().value();
    RC_ASSERT(state->Version() == history.size());
    if (!history.empty()) {
      RC_ASSERT(state->Texts() ==
                ToSections(this->documents.at(history.front().change_id)));
    }
  }

 private:
  void Submit() {
    ConfigStore<FaultyTable>& store = this->stores[*rc::gen::inRange(0, 3)];
    const Result<const ConfigState*> state = store.Load();
    if (!state)
      return;
    DocumentChange submission;
    submission.base = state.value()->Version();
    // The operator submits on an outdated base.
    if (submission.base > 0 && *rc::gen::inRange(0, 4) == 0)
      --submission.base;
    submission.change_id = StrCat("c", this->results.size());
    submission.operator_name = "ann";
    const auto weight = static_cast<int64_t>(this->results.size()) + 1;
    submission.document.accounts["a"] = {"a", weight, {1, 1, 0}};
    const std::string extra = StrCat("x", *rc::gen::inRange(0, 3));
    submission.document.accounts[extra] = {extra, 1, {1, 1, 0}};
    this->documents[submission.change_id] = submission.document;
    Change conflicting;
    const Result<uint64_t> reported =
        store.Accept(submission, this->now, &conflicting);
    this->results.emplace_back(std::move(submission), reported);
  }

  FaultyTable table;
  absl::Time now = absl::UnixEpoch();
  std::vector<ConfigStore<FaultyTable>> stores;
  std::vector<std::pair<DocumentChange, Result<uint64_t>>> results;
  std::map<std::string, Document> documents;
};

// Guards against reporting a change as accepted that is not, or as without
// effect although it takes effect later, and against accepting a change twice.
// Lost replies and late writes can cause both.
RC_GTEST_PROP(StoreFaultsTest, ReportedOutcomesAreCorrect, ()) {
  for (int schedule = 0; schedule < 10; ++schedule) {
    Operators operators;
    const auto steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i)
      operators.Step();
    operators.CheckOutcomes();
  }
}

}  // namespace
}  // namespace cuminjunction
