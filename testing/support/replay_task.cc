// Task traces: the transitions over a table, and the observation of leases.
// Inputs, each with an optional "hold", which keeps the decided transaction for
// a later `commit`, as a paused process does:
//
//   register {worker, millicores}; renew {worker, epoch}; fence {worker,
//     sequence}; drain {worker}
//   create {task, millicores}; place, evict, cancel, release {task, worker}
//   finish, fail, stopped {task, worker, attempt, epoch}
//   commit {name}
//   store {down, lost_replies}
//   observe {until_ms}: reads all worker rows once a second until then; the
//     leases that lapsed at the last read are in the outcome
//   row {task}; worker {worker}: the row as it is in the table

#include <map>
#include <utility>

#include "base/strings.h"
#include "task/charts.h"
#include "task/lease.h"
#include "task/transitions.h"
#include "testing/support/replay.h"
#include "testing/support/replay_table.h"

namespace cuminjunction {

namespace {

using nlohmann::json;

constexpr absl::Duration kObserveEvery = absl::Seconds(1);
constexpr int64_t kMemoryMib = 8192;
constexpr int64_t kTaskMemoryMib = 64;

TaskCharts LoadCharts() {
  std::vector<YamlProblem> problems;
  return LoadTaskCharts(StrCat(CUMINJUNCTION_SOURCE_DIR, "/charts"), &problems)
      .value();
}

class TaskTarget : public TraceTarget {
 public:
  Result<TraceOutcome> Step(const json& input, absl::Time now) override {
    const std::string op = input.at("op").get<std::string>();
    if (op == "store") {
      this->table.down = input.value("down", this->table.down);
      this->table.lost_replies = input.value("lost_replies", 0);
      return json::object();
    }
    if (op == "observe")
      return this->ObserveUntil(now, input.at("until_ms").get<int64_t>());
    if (op == "row")
      return this->DescribeTask(input.at("task").get<std::string>());
    if (op == "worker")
      return this->DescribeWorker(input.at("worker").get<std::string>());
    if (op == "commit") {
      const auto found = this->held.find(input.at("name").get<std::string>());
      if (found == this->held.end())
        return ReplayError::kBadInput;
      return this->Commit(found->second);
    }
    Batch batch(&this->charts, StrCat("replay/", ++this->transactions));
    BOOST_OUTCOME_TRY(decided, this->Decide(op, input, now, &batch));
    if (!decided.empty())
      return json{{"result", decided}};
    if (!input.contains("hold"))
      return this->Commit(batch.ToTransaction());
    this->held[input.at("hold").get<std::string>()] = batch.ToTransaction();
    return json{{"result", "held"}};
  }

 private:
  json Commit(const Transaction& transaction) {
    const Result<uint64_t> committed = this->table.Commit(transaction);
    return json{{"result", committed ? "ok" : committed.error().message()}};
  }

  Result<TaskEntry> Task(const json& input) {
    const std::string id = input.at("task").get<std::string>();
    BOOST_OUTCOME_TRY(row, this->table.Read(TaskKey(id)));
    BOOST_OUTCOME_TRY(task, ParseTask(row));
    return TaskEntry{task, row.version};
  }

  Result<WorkerEntry> Worker(const json& input) {
    const std::string id = input.at("worker").get<std::string>();
    BOOST_OUTCOME_TRY(row, this->table.Read(WorkerKey(id)));
    BOOST_OUTCOME_TRY(worker, ParseWorker(row));
    return WorkerEntry{worker, row.version};
  }

  // Runs a transition. Returns "" or the reason of its refusal; fails with
  // kBadInput.
  Result<std::string> Decide(const std::string& op,
                             const json& input,
                             absl::Time now,
                             Batch* batch) {
    const Status decided = this->Transit(op, input, now, batch);
    if (decided)
      return std::string();
    if (decided.error() == ReplayError::kBadInput)
      return ReplayError::kBadInput;
    return decided.error().message();
  }

  Status Transit(const std::string& op,
                 const json& input,
                 absl::Time now,
                 Batch* batch) {
    if (op == "create")
      return this->Create(input, now, batch);
    if (op == "register")
      return this->RegisterWorker(input, now, batch);
    BOOST_OUTCOME_TRY(worker, this->Worker(input));
    if (op == "renew") {
      return Renew(worker, input.at("epoch").get<uint64_t>(),
                   now + this->policy.length, batch);
    }
    if (op == "fence")
      return Fence(worker, input.at("sequence").get<uint64_t>(), batch);
    if (op == "drain")
      return Drain(worker, batch);
    BOOST_OUTCOME_TRY(task, this->Task(input));
    if (op == "place")
      return Place(task, worker, now, PlaceMode::kNormal, batch);
    if (op == "evict")
      return Evict(task, worker, "replay", batch);
    if (op == "cancel")
      return Cancel(task, &worker, "replay", batch);
    if (op == "release")
      return ReleaseLost(task, worker, batch);
    return this->Report(op, input, task, worker, now, batch);
  }

  Status Report(const std::string& op,
                const json& input,
                const TaskEntry& task,
                const WorkerEntry& worker,
                absl::Time now,
                Batch* batch) {
    const AttemptRef ref = {input.at("attempt").get<uint32_t>(),
                            input.at("epoch").get<uint64_t>()};
    if (op == "finish")
      return ReportFinished(task, worker, ref, "output", now, {}, batch);
    if (op == "fail")
      return ReportFailed(task, worker, ref, "replay", now, {}, batch);
    if (op == "stopped")
      return ReportStopped(task, worker, ref, "checkpoint", batch);
    return ReplayError::kBadInput;
  }

  static Status Create(const json& input, absl::Time now, Batch* batch) {
    TaskRow row;
    row.id = input.at("task").get<std::string>();
    row.account = "replay";
    row.owner = row.id;
    row.kind = TaskKind::kBatch;
    row.size = {input.at("millicores").get<int64_t>(), kTaskMemoryMib, 0};
    row.created_us = absl::ToUnixMicros(now);
    return CreateTask(row, batch);
  }

  // Registers a worker, which has a row already when it is registered anew.
  Status RegisterWorker(const json& input, absl::Time now, Batch* batch) {
    WorkerRow declared;
    declared.id = input.at("worker").get<std::string>();
    declared.capacity = {input.at("millicores").get<int64_t>(), kMemoryMib, 0};
    declared.boot_id = batch->Id();
    const Result<WorkerEntry> present = this->Worker(input);
    if (!present && present.error() != TableError::kNotFound)
      return present.error();
    const WorkerEntry entry =
        present ? present.value() : WorkerEntry{declared, 0};
    return Register(entry, declared, now + this->policy.length, batch);
  }

  Result<TraceOutcome> ObserveUntil(absl::Time now, int64_t until_ms) {
    const absl::Time until = absl::UnixEpoch() + absl::Milliseconds(until_ms);
    Result<TraceOutcome> last = this->Observe(now);
    while (now + kObserveEvery <= until) {
      now += kObserveEvery;
      last = this->Observe(now);
    }
    return last;
  }

  // One read of all workers by an observer of leases.
  Result<TraceOutcome> Observe(absl::Time now) {
    const Result<std::vector<Row>> rows =
        this->table.ScanSince(std::string(kWorkerPrefix), 0, 1000);
    if (!rows) {
      this->observer.RecordReadFailure();
      return json{{"result", rows.error().message()}};
    }
    this->observer.RecordRead(now);
    for (const Row& row : rows.value()) {
      BOOST_OUTCOME_TRY(worker, ParseWorker(row));
      this->observer.RecordObservation(worker.id, worker.epoch, worker.sequence,
                                       now);
    }
    json lapsed = json::array();
    for (const ExpiredLease& lapse : this->observer.ExpiredLeases(now))
      lapsed.push_back(lapse.worker);
    return json{{"result", "ok"}, {"lapsed", lapsed}};
  }

  Result<TraceOutcome> DescribeTask(const std::string& id) {
    BOOST_OUTCOME_TRY(row, this->table.Truth().Read(TaskKey(id)));
    BOOST_OUTCOME_TRY(task, ParseTask(row));
    return json{{"state", ToString(task.state)},
                {"attempt", task.attempt},
                {"worker", task.worker},
                {"output", task.output_object}};
  }

  Result<TraceOutcome> DescribeWorker(const std::string& id) {
    BOOST_OUTCOME_TRY(row, this->table.Truth().Read(WorkerKey(id)));
    BOOST_OUTCOME_TRY(worker, ParseWorker(row));
    return json{{"state", ToString(worker.state)},
                {"epoch", worker.epoch},
                {"sequence", worker.sequence},
                {"committed", worker.Committed().millicores}};
  }

  const TaskCharts charts = LoadCharts();
  const LeasePolicy policy = {};
  ReplayTable table;
  LeaseObserver observer{LeasePolicy()};
  std::map<std::string, Transaction> held;
  int transactions = 0;
};

}  // namespace

std::unique_ptr<TraceTarget> MakeTaskTarget() {
  return std::make_unique<TaskTarget>();
}

}  // namespace cuminjunction
