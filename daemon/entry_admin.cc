#include "daemon/entry_admin.h"

#include <map>
#include <utility>

#include "absl/time/clock.h"
#include "base/strings.h"
#include "request/message.h"

namespace cuminjunction {

namespace {

using Json = nlohmann::json;

constexpr int kPage = 500;
constexpr int kHistoryShown = 50;
// Time for the other entries to answer; a round trip between regions is 24 ms.
constexpr absl::Duration kSurveyTime = absl::Milliseconds(150);

AdminFailure FailureOf(std::error_code error) {
  const Json details = {{"category", error.category().name()},
                        {"reason", error.message()}};
  if (error == TableError::kUnavailable || error == ConfigError::kUnavailable)
    return {AdminError::kUnavailable, details};
  if (error == TableError::kUnknownOutcome ||
      error == ConfigError::kUnknownOutcome)
    return {AdminError::kUnknownOutcome, details};
  if (error == TableError::kNotFound || error == ExplainError::kUnknownTask)
    return {AdminError::kNotFound, details};
  if (error == ChartError::kNoTransition || error == OperateError::kBusy ||
      error == TableError::kConflict)
    return {AdminError::kConflict, details};
  return {AdminError::kBadRequest, details};
}

Json ToJson(const Change& change) {
  return {{"version", change.version},
          {"operator", change.operator_name},
          {"time", absl::FormatTime(change.Time(), absl::UTCTimeZone())},
          {"change", change.change_id},
          {"sections", change.sections}};
}

Json ToJson(const YamlProblem& problem) {
  return {{"file", problem.file},
          {"line", problem.line},
          {"key", problem.key},
          {"category", problem.code.category().name()},
          {"problem", problem.code.message()},
          {"hint", problem.hint}};
}

Json ToJson(const Member& member) {
  return {{"name", member.name},
          {"role", member.role == Role::kEntry ? "entry" : "agent"},
          {"state", std::string(StateName(member.state))},
          {"failure_domain", member.failure_domain},
          {"region", member.region},
          {"services", member.services},
          {"config_version", member.config_version}};
}

Json CountByState(const std::vector<TaskRow>& tasks) {
  std::map<std::string, int> counts;
  for (const TaskRow& task : tasks)
    ++counts[ToString(task.state)];
  return counts;
}

}  // namespace

EntryAdmin::EntryAdmin(EntryParts parts, const std::string& process)
    : parts(std::move(parts)),
      process(process),
      table(this->parts.settings->platform.table_url,
            this->parts.settings->platform.timeout_ms),
      store(&this->table),
      operations(this->parts.charts, process, &this->table) {}

Fleet EntryAdmin::ReadFleet() {
  Fleet fleet;
  uint64_t cursor = 0;
  for (;;) {
    const auto page =
        this->table.ScanSince(std::string(kWorkerPrefix), cursor, kPage);
    // Without the store the change can't be accepted anyway.
    if (!page || page.value().empty())
      return fleet;
    for (const Row& row : page.value()) {
      cursor = std::max(cursor, row.version);
      const auto worker = ParseWorker(row);
      if (!row.deleted && worker)
        fleet.push_back(worker.value().capacity);
    }
  }
}

Result<Document> EntryAdmin::Check(const std::string& text,
                                   AdminReply* problems) {
  Fleet fleet;
  {
    absl::MutexLock lock(&this->mutex);
    fleet = this->ReadFleet();
  }
  std::vector<YamlProblem> found;
  Result<Document> document = ParseDocument(text, "document", fleet, &found);
  if (!document) {
    Json details = Json::array();
    for (const YamlProblem& problem : found)
      details.push_back(ToJson(problem));
    *problems = AdminFailure{AdminError::kRejected, details};
  }
  return document;
}

AdminReply EntryAdmin::ApplyConfig(const std::string& text,
                                   std::optional<uint64_t> base,
                                   const std::string& operator_name) {
  if (!base)
    return AdminFailure{AdminError::kBadRequest, {{"argument", "base"}}};
  AdminReply problems;
  Result<Document> document = this->Check(text, &problems);
  if (!document)
    return problems;
  DocumentChange submission;
  submission.document = std::move(document.value());
  submission.base = *base;
  submission.operator_name = operator_name;
  Change other;
  absl::MutexLock lock(&this->mutex);
  submission.change_id = StrCat(this->process, "/", ++this->changes);
  const auto version = this->store.Accept(submission, absl::Now(), &other);
  LogLine line("config_submitted");
  line.Add("operator", operator_name).Add("base", *base);
  if (!version) {
    this->parts.log->Write(line.Add("error", version.error()));
    if (version.error() == ConfigError::kConflict)
      return AdminFailure{AdminError::kConflict, ToJson(other)};
    return FailureOf(version.error());
  }
  this->parts.log->Write(line.Add("version", version.value()));
  this->parts.store_reader->ReadNow();
  return Json{{"version", version.value()}, {"base", *base}};
}

AdminReply EntryAdmin::ValidateConfig(const std::string& text) {
  AdminReply problems;
  const Result<Document> document = this->Check(text, &problems);
  if (!document)
    return problems;
  return Json{{"valid", true},
              {"accounts", document.value().accounts.size()},
              {"services", document.value().services.size()},
              {"jobs", document.value().jobs.size()}};
}

AdminReply EntryAdmin::DiffConfig(const std::string& text) {
  AdminReply problems;
  const Result<Document> document = this->Check(text, &problems);
  if (!document)
    return problems;
  const SectionTexts before = this->parts.control->Call(
      [this] { return this->parts.config->State().Texts(); });
  const SectionDiff diff = DiffSections(before, ToSections(document.value()));
  Json reply = {{"added", Json::array()},
                {"changed", Json::array()},
                {"removed", diff.removed}};
  for (const auto& [name, section] : diff.changed)
    reply[before.contains(name) ? "changed" : "added"].push_back(name);
  return reply;
}

AdminReply EntryAdmin::GetConfig() {
  uint64_t version = 0;
  const SectionTexts texts = this->parts.control->Call([&] {
    version = this->parts.config->Version();
    return this->parts.config->State().Texts();
  });
  std::vector<YamlProblem> problems;
  const Result<Document> document = FromSections(texts, &problems);
  if (!document)
    return FailureOf(document.error());
  return Json{{"version", version}, {"text", ToYaml(document.value())}};
}

AdminReply EntryAdmin::ConfigHistory() {
  absl::MutexLock lock(&this->mutex);
  const auto history = this->store.History(kHistoryShown);
  if (!history)
    return FailureOf(history.error());
  Json changes = Json::array();
  for (const Change& change : history.value())
    changes.push_back(ToJson(change));
  return Json{{"changes", changes}};
}

AdminReply EntryAdmin::GetStatus() {
  Json reply;
  std::vector<Member> members;
  this->parts.control->Call([&] { this->parts.survey->Ask(); });
  absl::SleepFor(kSurveyTime);
  this->parts.control->Call([&] {
    members = this->parts.survey->Members();
    reply["config_version"] = this->parts.config->Version();
    return 0;
  });
  reply["entry"] = this->parts.settings->name;
  reply["ready"] = this->IsReady();
  reply["store"] =
      this->parts.store_reader->IsReachable() ? "reachable" : "unreachable";
  reply["planning"] = this->parts.planner->IsLeading();
  const auto tasks = this->parts.planner->Tasks();
  if (tasks)
    reply["tasks"] = CountByState(*tasks);
  reply["members"] = Json::array();
  for (const Member& member : members)
    reply["members"].push_back(ToJson(member));
  return reply;
}

Result<std::vector<TaskRow>> EntryAdmin::ReadTasks() {
  std::map<std::string, TaskRow> tasks;
  uint64_t cursor = 0;
  for (;;) {
    BOOST_OUTCOME_TRY(
        page, this->table.ScanSince(std::string(kTaskPrefix), cursor, kPage));
    for (const Row& row : page) {
      cursor = std::max(cursor, row.version);
      const auto task = ParseTask(row);
      if (row.deleted)
        tasks.erase(row.key);
      else if (task)
        tasks[row.key] = task.value();
    }
    if (page.empty())
      break;
  }
  std::vector<TaskRow> out;
  out.reserve(tasks.size());
  for (auto& [key, task] : tasks)
    out.push_back(std::move(task));
  return out;
}

Result<std::vector<TaskRow>> EntryAdmin::Tasks() {
  auto known = this->parts.planner->Tasks();
  if (known)
    return std::move(*known);
  absl::MutexLock lock(&this->mutex);
  return this->ReadTasks();
}

AdminReply EntryAdmin::GetJobs() {
  const auto tasks = this->Tasks();
  if (!tasks)
    return FailureOf(tasks.error());
  std::map<std::string, std::vector<TaskRow>> by_owner;
  for (const TaskRow& task : tasks.value())
    by_owner[task.owner].push_back(task);
  Json jobs = Json::array();
  for (const auto& [name, rows] : by_owner) {
    Json ids = Json::array();
    for (const TaskRow& row : rows)
      ids.push_back({{"id", row.id},
                     {"state", ToString(row.state)},
                     {"attempt", row.attempt},
                     {"worker", row.worker},
                     {"reason", row.reason}});
    jobs.push_back({{"name", name},
                    {"account", rows.front().account},
                    {"kind", ToString(rows.front().kind)},
                    {"tasks", CountByState(rows)},
                    {"task_list", ids}});
  }
  return Json{{"jobs", jobs}};
}

AdminReply EntryAdmin::SetStopped(const std::string& name, bool stopped) {
  absl::MutexLock lock(&this->mutex);
  const Status done = this->operations.SetStopped(name, stopped);
  if (!done)
    return FailureOf(done.error());
  return Json{{"job", name}, {"stopped", stopped}};
}

AdminReply EntryAdmin::StopJob(const std::string& name) {
  return this->SetStopped(name, true);
}

AdminReply EntryAdmin::ResumeJob(const std::string& name) {
  return this->SetStopped(name, false);
}

AdminReply EntryAdmin::CancelTask(const std::string& id) {
  absl::MutexLock lock(&this->mutex);
  const Status cancelled =
      this->operations.CancelTask(id, "cancelled by an operator");
  if (!cancelled)
    return FailureOf(cancelled.error());
  return Json{{"task", id}, {"cancelled", true}};
}

AdminReply EntryAdmin::RetryTask(const std::string& id) {
  absl::MutexLock lock(&this->mutex);
  const Status retried = this->operations.RetryTask(id);
  if (!retried)
    return FailureOf(retried.error());
  return Json{{"task", id}, {"retried", true}};
}

AdminReply EntryAdmin::ReadmitWorker(const std::string& name) {
  absl::MutexLock lock(&this->mutex);
  const Status readmitted = this->operations.ReadmitWorker(name);
  if (!readmitted)
    return FailureOf(readmitted.error());
  return Json{{"worker", name}, {"readmitted", true}};
}

AdminReply EntryAdmin::DrainUpstream(const std::string& name) {
  const bool known = this->parts.control->Call([&] {
    for (const Member& member : this->parts.gossip->Members()) {
      if (member.name != name || member.role != Role::kAgent)
        continue;
      this->parts.net->Send({member.host, member.peer_port}, DrainNotice{name});
      return true;
    }
    return false;
  });
  if (!known)
    return AdminFailure{AdminError::kNotFound, {{"upstream", name}}};
  return Json{{"upstream", name}, {"draining", true}};
}

AdminReply EntryAdmin::Drain(const std::string& kind, const std::string& name) {
  this->parts.log->Write(
      LogLine("drain_requested").Add("kind", kind).Add("name", name));
  if (kind == "upstream")
    return this->DrainUpstream(name);
  absl::MutexLock lock(&this->mutex);
  if (kind == "worker") {
    const Status drained = this->operations.DrainWorker(name);
    if (!drained)
      return FailureOf(drained.error());
    return Json{{"worker", name}, {"draining", true}};
  }
  const auto count = this->operations.DrainRack(name);
  if (!count)
    return FailureOf(count.error());
  if (count.value() == 0)
    return AdminFailure{AdminError::kNotFound, {{"rack", name}}};
  return Json{{"rack", name}, {"draining_workers", count.value()}};
}

std::optional<Explanation> EntryAdmin::ExplainFromRow(const std::string& id) {
  absl::MutexLock lock(&this->mutex);
  const auto row = this->table.Read(TaskKey(id));
  if (!row)
    return std::nullopt;
  State state;
  (void)state.Apply(row.value());
  const auto explanation = Explainer(nullptr).Explain(id, state);
  if (!explanation)
    return std::nullopt;
  return explanation.value();
}

AdminReply EntryAdmin::ExplainTask(const std::string& id) {
  const auto from_planner = this->parts.planner->Explain(id);
  std::optional<Explanation> explanation;
  if (from_planner && *from_planner)
    explanation = from_planner->value();
  else
    explanation = this->ExplainFromRow(id);
  if (!explanation)
    return AdminFailure{AdminError::kNotFound, {{"task", id}}};
  return Json::parse(cuminjunction::ToJson(*explanation));
}

AdminReply EntryAdmin::ExplainRequest(const std::string& id) {
  const auto request = ParseRequestId(id);
  if (!request)
    return AdminFailure{AdminError::kBadRequest, {{"request", id}}};
  const size_t shard = request.value().number % kMaxShards;
  Json decisions = Json::array();
  if (shard < this->parts.shards.size()) {
    for (const std::string& line :
         this->parts.shards[shard]->Explain(request.value()))
      decisions.push_back(Json::parse(line, nullptr, false));
  }
  if (decisions.empty())
    return AdminFailure{AdminError::kNotFound, {{"request", id}}};
  return Json{{"request", id}, {"decisions", decisions}};
}

std::string EntryAdmin::MetricsText() {
  return this->parts.metrics->Text();
}

bool EntryAdmin::IsReady() {
  return this->parts.serving->load() && this->parts.control->Call([this] {
    return this->parts.config->IsReady();
  });
}

}  // namespace cuminjunction
