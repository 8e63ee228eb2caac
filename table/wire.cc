#include "table/wire.h"

#include "absl/strings/escaping.h"
#include "base/strings.h"

namespace cuminjunction {

namespace {

using Json = nlohmann::json;

std::string ToBase64(const std::string& bytes) {
  return absl::Base64Escape(bytes);
}

std::string FromBase64(const std::string& text) {
  std::string out;
  if (!absl::Base64Unescape(text, &out))
    throw Json::other_error::create(501, "not base64", nullptr);
  return out;
}

// Runs a reader. nlohmann-json reports missing fields and wrong types as
// exceptions, which end here.
template <class F>
auto Read(F&& reader) -> Result<decltype(reader())> {
  try {
    return reader();
  } catch (const Json::exception&) {
    return WireError::kMalformed;
  }
}

Row ReadRow(const Json& json) {
  Row row;
  row.key = json.at("key").get<std::string>();
  row.value = FromBase64(json.at("value").get<std::string>());
  row.version = json.at("version").get<uint64_t>();
  row.deleted = json.value("deleted", false);
  return row;
}

Size ReadSize(const Json& json) {
  return {json.at("millicores").get<int64_t>(),
          json.at("memory_mib").get<int64_t>(),
          json.at("accelerators").get<int64_t>()};
}

std::string_view EndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kSucceeded:
      return "succeeded";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kStopped:
      return "stopped";
  }
  return "";
}

AttemptEnd ReadEnd(const std::string& name) {
  for (const AttemptEnd end :
       {AttemptEnd::kSucceeded, AttemptEnd::kFailed, AttemptEnd::kStopped}) {
    if (name == EndName(end))
      return end;
  }
  throw Json::other_error::create(501, "unknown end", nullptr);
}

RuntimeState ReadState(const Json& json) {
  RuntimeState state;
  state.boot_id = json.at("boot_id").get<std::string>();
  for (const Json& task : json.at("running")) {
    state.running.push_back({task.at("task").get<std::string>(),
                             task.at("attempt").get<uint32_t>(),
                             task.at("used_millicores").get<int64_t>(),
                             task.at("used_memory_mib").get<int64_t>(),
                             task.at("throttle").get<double>()});
  }
  for (const Json& task : json.at("ended")) {
    state.ended.push_back({task.at("task").get<std::string>(),
                           task.at("attempt").get<uint32_t>(),
                           ReadEnd(task.at("end").get<std::string>()),
                           task.at("output_object").get<std::string>()});
  }
  return state;
}

}  // namespace

std::string_view ErrorTraits<WireError>::Message(WireError /*error*/) {
  return "JSON text of the platform protocol is malformed";
}

Result<Json> ParseJson(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  // A JSON value converts from an error code too, so the failure is explicit.
  if (json.is_discarded())
    return boost::outcome_v2::failure(make_error_code(WireError::kMalformed));
  return boost::outcome_v2::success(std::move(json));
}

Json ToJson(const Row& row) {
  Json json = {{"key", row.key},
               {"value", ToBase64(row.value)},
               {"version", row.version}};
  if (row.deleted)
    json["deleted"] = true;
  return json;
}

Json ToJson(const Transaction& transaction) {
  Json expects = Json::array();
  for (const Expectation& expectation : transaction.expects) {
    expects.push_back(
        {{"key", expectation.key}, {"version", expectation.version}});
  }
  Json writes = Json::array();
  for (const RowWrite& write : transaction.writes) {
    Json value = nullptr;
    if (write.value)
      value = ToBase64(*write.value);
    writes.push_back({{"key", write.key}, {"value", value}});
  }
  return {{"id", transaction.id}, {"expects", expects}, {"writes", writes}};
}

Json ToJson(const Size& size) {
  return {{"millicores", size.millicores},
          {"memory_mib", size.memory_mib},
          {"accelerators", size.accelerators}};
}

Json ToJson(const TaskStart& start) {
  return {{"task", start.task},
          {"attempt", start.attempt},
          {"job", start.job},
          {"command", start.command},
          {"size", ToJson(start.size)},
          {"exclusive", start.exclusive},
          {"resume_object", start.resume_object}};
}

Json ToJson(const RuntimeState& state) {
  Json running = Json::array();
  for (const RunningTask& task : state.running) {
    running.push_back({{"task", task.task},
                       {"attempt", task.attempt},
                       {"used_millicores", task.used_millicores},
                       {"used_memory_mib", task.used_memory_mib},
                       {"throttle", task.throttle}});
  }
  Json ended = Json::array();
  for (const EndedTask& task : state.ended) {
    ended.push_back({{"task", task.task},
                     {"attempt", task.attempt},
                     {"end", std::string(EndName(task.end))},
                     {"output_object", task.output_object}});
  }
  return {{"boot_id", state.boot_id}, {"running", running}, {"ended", ended}};
}

Result<Row> RowFromJson(const Json& json) {
  return Read([&] { return ReadRow(json); });
}

Result<std::vector<Row>> RowsFromJson(const Json& json) {
  return Read([&] {
    std::vector<Row> rows;
    for (const Json& row : json.at("rows"))
      rows.push_back(ReadRow(row));
    return rows;
  });
}

Result<Transaction> TransactionFromJson(const Json& json) {
  return Read([&] {
    Transaction transaction;
    transaction.id = json.at("id").get<std::string>();
    for (const Json& expectation : json.at("expects")) {
      transaction.expects.push_back(
          {expectation.at("key").get<std::string>(),
           expectation.at("version").get<uint64_t>()});
    }
    for (const Json& write : json.at("writes")) {
      RowWrite read = {write.at("key").get<std::string>(), std::nullopt};
      if (!write.at("value").is_null())
        read.value = FromBase64(write.at("value").get<std::string>());
      transaction.writes.push_back(std::move(read));
    }
    return transaction;
  });
}

Result<Size> SizeFromJson(const Json& json) {
  return Read([&] { return ReadSize(json); });
}

Result<TaskStart> TaskStartFromJson(const Json& json) {
  return Read([&] {
    TaskStart start;
    start.task = json.at("task").get<std::string>();
    start.attempt = json.at("attempt").get<uint32_t>();
    start.job = json.at("job").get<std::string>();
    start.command = json.at("command").get<std::string>();
    start.size = ReadSize(json.at("size"));
    start.exclusive = json.at("exclusive").get<bool>();
    start.resume_object = json.at("resume_object").get<std::string>();
    return start;
  });
}

Result<RuntimeState> RuntimeStateFromJson(const Json& json) {
  return Read([&] { return ReadState(json); });
}

HttpResponse MakeErrorResponse(int status,
                               std::string_view name,
                               std::string_view category,
                               std::string_view message) {
  const Json error = {{"code", std::string(name)},
                      {"category", std::string(category)},
                      {"message", std::string(message)}};
  return {status, "application/json", Json{{"error", error}}.dump(), {}};
}

std::string ErrorCodeOf(const HttpResponse& response) {
  const Result<Json> json = ParseJson(response.body);
  if (!json)
    return "";
  const Result<std::string> code = Read(
      [&] { return json.value().at("error").at("code").get<std::string>(); });
  return code ? code.value() : "";
}

}  // namespace cuminjunction
