#include "testing/support/platform_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "base/strings.h"
#include "base/time.h"
#include "table/wire.h"

namespace cuminjunction {

namespace {

using Json = nlohmann::json;

// Objects are written whole.
constexpr size_t kMaxObjectBytes = 64 * 1024 * 1024;
constexpr int kMaxConnections = 4000;
constexpr int kMaxScanRows = 100000;

HttpResponse Answer(const Json& json) {
  return {200, "application/json", json.dump(), {}};
}

HttpResponse NoAnswer() {
  return {0, "", "", {}};
}

HttpResponse Malformed() {
  return ErrorResponse(TableError::kMalformed);
}

template <class E>
HttpResponse ErrorOf(std::error_code error) {
  return ErrorResponse(static_cast<E>(error.value()));
}

HttpResponse AnswerOf(const Status& status) {
  return status ? Answer(Json::object())
                : ErrorOf<RuntimeError>(status.error());
}

std::string QueryValue(const HttpRequest& request, const std::string& key) {
  const auto found = request.query.find(key);
  return found == request.query.end() ? "" : found->second;
}

int64_t RecordMicros(absl::Time time) {
  return time == absl::InfiniteFuture() ? -1 : ToMicros(time);
}

Json RecordJson(const AttemptRecord& record) {
  return {{"task", record.task},
          {"attempt", record.attempt},
          {"job", record.job},
          {"worker", record.worker},
          {"boot_id", record.boot_id},
          {"size", ToJson(record.size)},
          {"exclusive", record.exclusive},
          {"started_us", RecordMicros(record.started)},
          {"ended_us", RecordMicros(record.ended)},
          {"end", record.end},
          {"resumed_ms", record.resumed_ms},
          {"progress_ms", record.progress_ms}};
}

StoreFaults ReadStoreFaults(const Json& json, StoreFaults faults) {
  faults.down = json.value("store_down", faults.down);
  faults.delay_ms = json.value("delay_ms", faults.delay_ms);
  faults.lost_reply_share =
      json.value("lost_reply_share", faults.lost_reply_share);
  faults.late_write_share =
      json.value("late_write_share", faults.late_write_share);
  faults.late_write_ms = json.value("late_write_ms", faults.late_write_ms);
  faults.writes_per_second =
      json.value("writes_per_second", faults.writes_per_second);
  faults.reads_per_second =
      json.value("reads_per_second", faults.reads_per_second);
  return faults;
}

Json DescribeWorker(const EmulatedWorker& worker) {
  const EmulatedWorkerOptions& options = worker.Options();
  return {
      {"name", options.name},     {"capacity", ToJson(options.capacity)},
      {"rack", options.rack},     {"failure_domain", options.failure_domain},
      {"region", options.region}, {"boot_id", worker.BootId()}};
}

}  // namespace

PlatformStandin::PlatformStandin(const PlatformStandinOptions& options)
    : plan(options.seed), random(options.seed + 1) {
  for (const EmulatedWorkerOptions& worker : options.workers) {
    this->workers[worker.name] =
        std::make_unique<Worker>(worker, &this->objects);
  }
}

Result<std::unique_ptr<PlatformStandin>> PlatformStandin::Start(
    const PlatformStandinOptions& options) {
  std::unique_ptr<PlatformStandin> standin(new PlatformStandin(options));
  HttpServerOptions server;
  server.host = options.host;
  server.port = options.port;
  // Calls wait here for the delays, so each connection has its own thread.
  server.threads = 0;
  server.max_body_bytes = kMaxObjectBytes;
  server.max_connections = kMaxConnections;
  PlatformStandin* self = standin.get();
  BOOST_OUTCOME_TRY(
      started, HttpServer::Start(server, [self](const HttpRequest& request) {
        return self->Handle(request);
      }));
  standin->server = std::move(started);
  return standin;
}

std::string PlatformStandin::Url() const {
  return StrCat("http://127.0.0.1:", this->Port());
}

absl::Time PlatformStandin::Now() const {
  // Stop deadlines are points of this clock.
  return SteadyClock().Now();
}

void PlatformStandin::ApplyLateWrites() {
  const absl::Time now = this->Now();
  while (!this->late.empty() && this->late.begin()->first <= now) {
    (void)this->table.Commit(this->late.begin()->second);
    this->late.erase(this->late.begin());
  }
}

CallFate PlatformStandin::WaitForRead(int64_t rows) {
  CallDecision decision;
  absl::Time now = this->Now();
  {
    absl::MutexLock lock(&this->mutex);
    decision = this->plan.Read(rows, now);
  }
  absl::SleepFor(std::max(decision.when - now, absl::ZeroDuration()));
  return decision.fate;
}

CallFate PlatformStandin::WaitForWrite(int64_t rows) {
  CallDecision decision;
  absl::Time now = this->Now();
  {
    absl::MutexLock lock(&this->mutex);
    decision = this->plan.Write(rows, now);
  }
  absl::SleepFor(std::max(decision.when - now, absl::ZeroDuration()));
  return decision.fate;
}

HttpResponse PlatformStandin::Handle(const HttpRequest& request) {
  if (request.path.starts_with("/table/"))
    return this->HandleTable(request);
  if (request.path == "/object")
    return this->HandleObject(request);
  if (request.path.starts_with("/worker/"))
    return this->HandleWorker(request);
  if (request.path == "/workers" && request.method == "POST")
    return this->AddWorker(request);
  if (request.path == "/faults")
    return request.method == "POST" ? this->SetFaults(request)
                                    : this->ShowFaults();
  if (request.path == "/attempts")
    return this->ShowAttempts();
  if (request.path == "/violations")
    return this->ShowViolations();
  if (request.path == "/healthz")
    return Answer({{"ok", true}});
  return MakeErrorResponse(404, "no_such_path", "platform", "");
}

HttpResponse PlatformStandin::HandleTable(const HttpRequest& request) {
  {
    absl::MutexLock lock(&this->mutex);
    this->ApplyLateWrites();
  }
  if (request.path == "/table/row" && request.method == "GET")
    return this->ReadRow(request);
  if (request.path == "/table/rows" && request.method == "GET")
    return this->ScanRows(request);
  if (request.path == "/table/commit" && request.method == "POST")
    return this->Commit(request);
  return Malformed();
}

HttpResponse PlatformStandin::ReadRow(const HttpRequest& request) {
  if (this->WaitForRead(1) == CallFate::kRefused)
    return ErrorResponse(TableError::kUnavailable);
  const Result<Row> row = this->table.Read(QueryValue(request, "key"));
  return row ? Answer(ToJson(row.value())) : ErrorOf<TableError>(row.error());
}

HttpResponse PlatformStandin::ScanRows(const HttpRequest& request) {
  uint64_t since = 0;
  int limit = 0;
  if (!absl::SimpleAtoi(QueryValue(request, "since"), &since) ||
      !absl::SimpleAtoi(QueryValue(request, "limit"), &limit) || limit < 1 ||
      limit > kMaxScanRows)
    return Malformed();
  const Result<std::vector<Row>> rows =
      this->table.ScanSince(QueryValue(request, "prefix"), since, limit);
  if (!rows)
    return ErrorOf<TableError>(rows.error());
  const auto count = static_cast<int64_t>(rows.value().size());
  if (this->WaitForRead(count) == CallFate::kRefused)
    return ErrorResponse(TableError::kUnavailable);
  Json list = Json::array();
  for (const Row& row : rows.value())
    list.push_back(ToJson(row));
  return Answer({{"rows", list}});
}

HttpResponse PlatformStandin::Commit(const HttpRequest& request) {
  const Result<Json> json = ParseJson(request.body);
  if (!json)
    return Malformed();
  const Result<Transaction> transaction = TransactionFromJson(json.value());
  if (!transaction)
    return Malformed();
  const auto rows = static_cast<int64_t>(transaction.value().writes.size());
  const CallFate fate = this->WaitForWrite(rows);
  if (fate == CallFate::kRefused)
    return ErrorResponse(TableError::kUnavailable);
  if (fate == CallFate::kLate) {
    absl::MutexLock lock(&this->mutex);
    const int64_t late_ms = this->plan.Faults().late_write_ms;
    this->late.emplace(this->Now() + absl::Milliseconds(late_ms),
                       transaction.value());
    return NoAnswer();
  }
  const Result<uint64_t> version = this->table.Commit(transaction.value());
  if (fate == CallFate::kReplyLost)
    return NoAnswer();
  return version ? Answer({{"version", version.value()}})
                 : ErrorOf<TableError>(version.error());
}

HttpResponse PlatformStandin::HandleObject(const HttpRequest& request) {
  if (request.method == "PUT")
    return this->PutObject(request);
  if (this->WaitForRead(1) == CallFate::kRefused)
    return ErrorResponse(ObjectError::kUnavailable);
  const Result<std::string> bytes =
      this->objects.Get(QueryValue(request, "name"));
  if (!bytes)
    return ErrorOf<ObjectError>(bytes.error());
  return {200, "application/octet-stream", bytes.value(), {}};
}

HttpResponse PlatformStandin::PutObject(const HttpRequest& request) {
  const CallFate fate = this->WaitForWrite(1);
  if (fate == CallFate::kRefused)
    return ErrorResponse(ObjectError::kUnavailable);
  // A late write of an object is indistinguishable from one whose reply is
  // lost, since objects are written under new names only.
  (void)this->objects.Put(QueryValue(request, "name"), request.body);
  return fate == CallFate::kNormal ? Answer(Json::object()) : NoAnswer();
}

HttpResponse PlatformStandin::HandleWorker(const HttpRequest& request) {
  const std::vector<std::string> parts = StrSplit(request.path, '/');
  if (parts.size() != 4)
    return Malformed();
  absl::MutexLock lock(&this->mutex);
  const auto found = this->workers.find(parts[2]);
  if (found == this->workers.end())
    return MakeErrorResponse(404, "no_such_worker", "platform", "");
  Worker* worker = found->second.get();
  if (worker->unreachable)
    return NoAnswer();
  const std::string& command = parts[3];
  if (command == "describe")
    return Answer(DescribeWorker(worker->runtime));
  if (command == "list") {
    const Result<RuntimeState> state = worker->runtime.List(this->Now());
    return state ? Answer(ToJson(state.value()))
                 : ErrorOf<RuntimeError>(state.error());
  }
  HttpResponse response = this->RunCommand(worker, command, request.body);
  std::uniform_real_distribution<double> draw(0, 1);
  return draw(this->random) < worker->lost_reply_share ? NoAnswer() : response;
}

HttpResponse PlatformStandin::RunCommand(Worker* worker,
                                         const std::string& command,
                                         const std::string& body) {
  const Result<Json> parsed = ParseJson(body);
  if (!parsed)
    return Malformed();
  const Json& json = parsed.value();
  EmulatedWorker& runtime = worker->runtime;
  const absl::Time now = this->Now();
  if (command == "start") {
    const Result<TaskStart> start = TaskStartFromJson(json);
    return start ? AnswerOf(runtime.Start(start.value(), now)) : Malformed();
  }
  try {
    if (command == "extend") {
      const auto deadline = json.at("stop_deadline_us").get<int64_t>();
      return AnswerOf(runtime.Extend(FromMicros(deadline), now));
    }
    const auto task = json.at("task").get<std::string>();
    const auto attempt = json.at("attempt").get<uint32_t>();
    if (command == "stop")
      return AnswerOf(runtime.Stop(task, attempt, now));
    if (command == "forget")
      return AnswerOf(runtime.Forget(task, attempt, now));
    if (command == "throttle") {
      const auto share = json.at("share").get<double>();
      return AnswerOf(runtime.Throttle(task, attempt, share, now));
    }
    if (command == "checkpoint") {
      const Result<std::string> name = runtime.Checkpoint(task, attempt, now);
      return name ? Answer({{"object", name.value()}})
                  : ErrorOf<RuntimeError>(name.error());
    }
  } catch (const Json::exception&) {
    return Malformed();
  }
  return Malformed();
}

HttpResponse PlatformStandin::AddWorker(const HttpRequest& request) {
  const Result<Json> json = ParseJson(request.body);
  if (!json || !json.value().is_object())
    return Malformed();
  const Result<Size> capacity =
      SizeFromJson(json.value().value("capacity", Json::object()));
  if (!capacity)
    return Malformed();
  EmulatedWorkerOptions options;
  try {
    options.name = json.value().at("name").get<std::string>();
    options.rack = json.value().value("rack", "");
    options.failure_domain = json.value().value("failure_domain", "");
    options.region = json.value().value("region", "");
  } catch (const Json::exception&) {
    return Malformed();
  }
  options.capacity = capacity.value();
  absl::MutexLock lock(&this->mutex);
  this->workers.try_emplace(options.name,
                            std::make_unique<Worker>(options, &this->objects));
  return Answer(Json::object());
}

Status PlatformStandin::ApplyStoreFaults(const Json& json) {
  const StoreFaults faults = ReadStoreFaults(json, this->plan.Faults());
  this->plan.SetFaults(faults);
  for (auto& [name, worker] : this->workers) {
    worker->runtime.SetStoreDown(faults.down);
    if (json.contains("usage_lag_ms"))
      worker->runtime.SetUsageLag(json.at("usage_lag_ms").get<int64_t>());
  }
  return Ok();
}

Status PlatformStandin::ApplyWorkerFaults(const Json& json) {
  const auto found = this->workers.find(json.at("worker").get<std::string>());
  if (found == this->workers.end())
    return WireError::kMalformed;
  Worker* worker = found->second.get();
  const absl::Time now = this->Now();
  if (json.value("crash", false))
    worker->runtime.Crash(now);
  if (json.value("boot", false))
    worker->runtime.Boot(now);
  if (json.contains("fail_starts"))
    worker->runtime.FailStarts(json.at("fail_starts").get<bool>());
  worker->unreachable = json.value("unreachable", worker->unreachable);
  worker->lost_reply_share =
      json.value("lost_reply_share", worker->lost_reply_share);
  return Ok();
}

HttpResponse PlatformStandin::SetFaults(const HttpRequest& request) {
  const Result<Json> json = ParseJson(request.body);
  if (!json || !json.value().is_object())
    return Malformed();
  absl::MutexLock lock(&this->mutex);
  try {
    const Status status = json.value().contains("worker")
                              ? this->ApplyWorkerFaults(json.value())
                              : this->ApplyStoreFaults(json.value());
    return status ? Answer(Json::object()) : Malformed();
  } catch (const Json::exception&) {
    return Malformed();
  }
}

HttpResponse PlatformStandin::ShowFaults() {
  absl::MutexLock lock(&this->mutex);
  const StoreFaults& faults = this->plan.Faults();
  return Answer({{"store_down", faults.down},
                 {"delay_ms", faults.delay_ms},
                 {"lost_reply_share", faults.lost_reply_share},
                 {"late_write_share", faults.late_write_share},
                 {"late_write_ms", faults.late_write_ms},
                 {"writes_per_second", faults.writes_per_second},
                 {"reads_per_second", faults.reads_per_second}});
}

std::vector<AttemptRecord> PlatformStandin::AllRecords() {
  std::vector<AttemptRecord> out;
  for (auto& [name, worker] : this->workers) {
    worker->runtime.Advance(this->Now());
    const std::vector<AttemptRecord>& records = worker->runtime.Records();
    out.insert(out.end(), records.begin(), records.end());
  }
  return out;
}

HttpResponse PlatformStandin::ShowAttempts() {
  absl::MutexLock lock(&this->mutex);
  Json list = Json::array();
  for (const AttemptRecord& record : this->AllRecords())
    list.push_back(RecordJson(record));
  return Answer({{"attempts", list}});
}

HttpResponse PlatformStandin::ShowViolations() {
  absl::MutexLock lock(&this->mutex);
  Json overlaps = Json::array();
  for (const auto& [first, second] : FindOverlaps(this->AllRecords()))
    overlaps.push_back({RecordJson(first), RecordJson(second)});
  int64_t overcommits = 0;
  for (const auto& [name, worker] : this->workers)
    overcommits += worker->runtime.Overcommits();
  return Answer({{"overlaps", overlaps}, {"overcommits", overcommits}});
}

Result<EmulatedWorkerOptions> ParseWorkerOption(const std::string& text) {
  std::map<std::string, std::string> values;
  for (const std::string& part : StrSplit(text, ',')) {
    const size_t equals = part.find('=');
    if (equals == std::string::npos)
      return WireError::kMalformed;
    values[part.substr(0, equals)] = part.substr(equals + 1);
  }
  double cores = 0;
  double memory_gib = 0;
  EmulatedWorkerOptions options;
  options.name = values["name"];
  if (options.name.empty() || !absl::SimpleAtod(values["cores"], &cores) ||
      !absl::SimpleAtod(values["memory_gib"], &memory_gib))
    return WireError::kMalformed;
  if (values.contains("accelerators") &&
      !absl::SimpleAtoi(values["accelerators"], &options.capacity.accelerators))
    return WireError::kMalformed;
  options.capacity.millicores = static_cast<int64_t>(cores * 1000);
  options.capacity.memory_mib = static_cast<int64_t>(memory_gib * 1024);
  options.rack = values["rack"];
  options.failure_domain = values["domain"];
  options.region = values["region"];
  return options;
}

}  // namespace cuminjunction
