#include "task/row.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

#include "base/strings.h"

namespace cuminjunction {

namespace {

using Json = nlohmann::json;

const std::array<std::string, 11> kTaskStates = {
    "blocked", "pending", "starting", "running",  "checkpointing", "stopped",
    "resumed", "failed",  "parked",   "finished", "cancelled"};
const std::array<std::string, 4> kWorkerStates = {"ready", "draining",
                                                  "suspect", "fenced"};
const std::array<std::string, 3> kKinds = {"replica", "watcher", "batch"};
const std::array<std::string, 3> kUrgencies = {"urgent", "normal", "batch"};
const std::array<std::string, 3> kActions = {"run", "evict", "stop"};
const std::array<std::string, 5> kParkReasons = {
    "none", "failures", "no-worker-fits", "dependency-failed", "operator"};

template <class E, size_t kCount>
Result<E> ParseName(const std::array<std::string, kCount>& names,
                    std::string_view text) {
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end())
    return RowError::kBadField;
  return static_cast<E>(found - names.begin());
}

template <class E, size_t kCount>
const std::string& NameOf(const std::array<std::string, kCount>& names,
                          E value) {
  return names.at(static_cast<size_t>(value));
}

// Reads the fields of one JSON object and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(const Json& json) : json(json) {}

  template <class T>
  void Read(const char* key, T* out) {
    const auto found = this->json.find(key);
    if (found == this->json.end())
      this->Fail(RowError::kMissingField);
    else if (!Convert(*found, out))
      this->Fail(RowError::kBadField);
  }

  template <class E, size_t kCount>
  void ReadName(const char* key,
                const std::array<std::string, kCount>& names,
                E* out) {
    std::string text;
    this->Read(key, &text);
    if (this->error)
      return;
    const Result<E> value = ParseName<E>(names, text);
    if (value)
      *out = value.value();
    else
      this->Fail(RowError::kBadField);
  }

  void Fail(RowError failure) {
    if (!this->error)
      this->error = failure;
  }

  const std::optional<RowError>& Error() const { return this->error; }

 private:
  static bool Convert(const Json& value, std::string* out) {
    if (!value.is_string())
      return false;
    *out = value.get_ref<const std::string&>();
    return true;
  }

  static bool Convert(const Json& value, bool* out) {
    if (!value.is_boolean())
      return false;
    *out = value.get<bool>();
    return true;
  }

  template <class T>
  static std::enable_if_t<std::is_integral_v<T>, bool> Convert(
      const Json& value,
      T* out) {
    if (!value.is_number_integer())
      return false;
    if (value.is_number_unsigned()) {
      const uint64_t number = value.get<uint64_t>();
      if (number > static_cast<uint64_t>(std::numeric_limits<T>::max()))
        return false;
      *out = static_cast<T>(number);
      return true;
    }
    if (std::is_unsigned_v<T>)
      return false;
    *out = static_cast<T>(value.get<int64_t>());
    return true;
  }

  static bool Convert(const Json& value, Size* out) {
    return value.is_array() && value.size() == 3 &&
           Convert(value[0], &out->millicores) &&
           Convert(value[1], &out->memory_mib) &&
           Convert(value[2], &out->accelerators) && out->millicores >= 0 &&
           out->memory_mib >= 0 && out->accelerators >= 0;
  }

  static bool Convert(const Json& value, Assignment* out) {
    if (!value.is_object())
      return false;
    FieldReader reader(value);
    reader.Read("task", &out->task);
    reader.Read("attempt", &out->attempt);
    reader.Read("size", &out->size);
    reader.Read("epoch", &out->epoch);
    reader.ReadName("action", kActions, &out->action);
    reader.Read("share_percent", &out->share_percent);
    return !reader.Error();
  }

  template <class T>
  static bool Convert(const Json& value, std::vector<T>* out) {
    if (!value.is_array())
      return false;
    out->resize(value.size());
    for (size_t i = 0; i < value.size(); ++i) {
      if (!Convert(value[i], &(*out)[i]))
        return false;
    }
    return true;
  }

  const Json& json;
  std::optional<RowError> error;
};

Json SizeJson(const Size& size) {
  return {size.millicores, size.memory_mib, size.accelerators};
}

// Row texts are written by this system only; a byte that is not UTF-8 in a name
// is replaced and does not end the process.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// The part of the key after the prefix, and the row's JSON object.
Status Open(const Row& row,
            std::string_view prefix,
            std::string* id,
            Json* json) {
  if (!row.key.starts_with(prefix) || row.key.size() == prefix.size())
    return RowError::kWrongKey;
  *id = row.key.substr(prefix.size());
  *json = Json::parse(row.value, nullptr, false);
  if (!json->is_object())
    return RowError::kNotJson;
  return Ok();
}

}  // namespace

std::string_view ErrorTraits<RowError>::Message(RowError error) {
  switch (error) {
    case RowError::kWrongKey:
      return "row key has another prefix than expected";
    case RowError::kNotJson:
      return "row value is not a JSON object";
    case RowError::kMissingField:
      return "row value lacks a field";
    case RowError::kBadField:
      return "row value has a field of the wrong type or range";
  }
  return "unknown row error";
}

const std::string& ToString(TaskState state) {
  return NameOf(kTaskStates, state);
}
const std::string& ToString(WorkerState state) {
  return NameOf(kWorkerStates, state);
}
const std::string& ToString(TaskKind kind) {
  return NameOf(kKinds, kind);
}
const std::string& ToString(ParkReason reason) {
  return NameOf(kParkReasons, reason);
}
Result<TaskState> ParseTaskState(std::string_view text) {
  return ParseName<TaskState>(kTaskStates, text);
}
Result<WorkerState> ParseWorkerState(std::string_view text) {
  return ParseName<WorkerState>(kWorkerStates, text);
}

std::string TaskKey(std::string_view id) {
  return StrCat(kTaskPrefix, id);
}
std::string WorkerKey(std::string_view id) {
  return StrCat(kWorkerPrefix, id);
}
std::string OwnerKey(std::string_view name) {
  return StrCat(kOwnerPrefix, name);
}
std::string PlannerKey(std::string_view name) {
  return StrCat(kPlannerPrefix, name);
}

Size WorkerRow::Committed() const {
  Size sum;
  for (const Assignment& assignment : this->assignments)
    sum = sum + assignment.size;
  return sum;
}

const Assignment* WorkerRow::Find(const std::string& task) const {
  for (const Assignment& assignment : this->assignments) {
    if (assignment.task == task)
      return &assignment;
  }
  return nullptr;
}

std::string ToText(const TaskRow& row) {
  Json json = {{"account", row.account},
               {"owner", row.owner},
               {"kind", ToString(row.kind)},
               {"urgency", ToString(row.urgency)},
               {"size", SizeJson(row.size)},
               {"command", row.command},
               {"depends_on", row.depends_on},
               {"created_us", row.created_us},
               {"config_version", row.config_version},
               {"state", ToString(row.state)},
               {"attempt", row.attempt},
               {"worker", row.worker},
               {"resume_object", row.resume_object},
               {"output_object", row.output_object},
               {"placed_us", row.placed_us},
               {"not_before_us", row.not_before_us},
               {"failed_on", row.failed_on},
               {"failures", row.failures},
               {"evictions", row.evictions},
               {"park_reason", ToString(row.park_reason)},
               {"reason", row.reason},
               {"transaction", row.transaction}};
  return Dump(json);
}

Result<TaskRow> ParseTask(const Row& row) {
  TaskRow out;
  Json json;
  BOOST_OUTCOME_TRY(Open(row, kTaskPrefix, &out.id, &json));
  FieldReader reader(json);
  reader.Read("account", &out.account);
  reader.Read("owner", &out.owner);
  reader.ReadName("kind", kKinds, &out.kind);
  reader.ReadName("urgency", kUrgencies, &out.urgency);
  reader.Read("size", &out.size);
  reader.Read("command", &out.command);
  reader.Read("depends_on", &out.depends_on);
  reader.Read("created_us", &out.created_us);
  reader.Read("config_version", &out.config_version);
  reader.ReadName("state", kTaskStates, &out.state);
  reader.Read("attempt", &out.attempt);
  reader.Read("worker", &out.worker);
  reader.Read("resume_object", &out.resume_object);
  reader.Read("output_object", &out.output_object);
  reader.Read("placed_us", &out.placed_us);
  reader.Read("not_before_us", &out.not_before_us);
  reader.Read("failed_on", &out.failed_on);
  reader.Read("failures", &out.failures);
  reader.Read("evictions", &out.evictions);
  reader.ReadName("park_reason", kParkReasons, &out.park_reason);
  reader.Read("reason", &out.reason);
  reader.Read("transaction", &out.transaction);
  if (reader.Error())
    return *reader.Error();
  return out;
}

std::string ToText(const WorkerRow& row) {
  Json assignments = Json::array();
  for (const Assignment& assignment : row.assignments) {
    assignments.push_back({{"task", assignment.task},
                           {"attempt", assignment.attempt},
                           {"size", SizeJson(assignment.size)},
                           {"epoch", assignment.epoch},
                           {"action", NameOf(kActions, assignment.action)},
                           {"share_percent", assignment.share_percent}});
  }
  Json json = {{"capacity", SizeJson(row.capacity)},
               {"failure_domain", row.failure_domain},
               {"rack", row.rack},
               {"region", row.region},
               {"boot_id", row.boot_id},
               {"epoch", row.epoch},
               {"sequence", row.sequence},
               {"lease_deadline_us", row.lease_deadline_us},
               {"state", ToString(row.state)},
               {"drain_requested", row.drain_requested},
               {"assignments", std::move(assignments)},
               {"transaction", row.transaction}};
  return Dump(json);
}

Result<WorkerRow> ParseWorker(const Row& row) {
  WorkerRow out;
  Json json;
  BOOST_OUTCOME_TRY(Open(row, kWorkerPrefix, &out.id, &json));
  FieldReader reader(json);
  reader.Read("capacity", &out.capacity);
  reader.Read("failure_domain", &out.failure_domain);
  reader.Read("rack", &out.rack);
  reader.Read("region", &out.region);
  reader.Read("boot_id", &out.boot_id);
  reader.Read("epoch", &out.epoch);
  reader.Read("sequence", &out.sequence);
  reader.Read("lease_deadline_us", &out.lease_deadline_us);
  reader.ReadName("state", kWorkerStates, &out.state);
  reader.Read("drain_requested", &out.drain_requested);
  reader.Read("assignments", &out.assignments);
  reader.Read("transaction", &out.transaction);
  if (reader.Error())
    return *reader.Error();
  return out;
}

std::string ToText(const OwnerRow& row) {
  return Dump({{"kind", ToString(row.kind)},
               {"generation", row.generation},
               {"next_index", row.next_index},
               {"config_version", row.config_version},
               {"declaration", row.declaration},
               {"removed", row.removed},
               {"stopped", row.stopped},
               {"transaction", row.transaction}});
}

Result<OwnerRow> ParseOwner(const Row& row) {
  OwnerRow out;
  Json json;
  BOOST_OUTCOME_TRY(Open(row, kOwnerPrefix, &out.name, &json));
  FieldReader reader(json);
  reader.ReadName("kind", kKinds, &out.kind);
  reader.Read("generation", &out.generation);
  reader.Read("next_index", &out.next_index);
  reader.Read("config_version", &out.config_version);
  reader.Read("declaration", &out.declaration);
  reader.Read("removed", &out.removed);
  reader.Read("stopped", &out.stopped);
  reader.Read("transaction", &out.transaction);
  if (reader.Error())
    return *reader.Error();
  return out;
}

std::string ToText(const PlannerRow& row) {
  return Dump({{"holder", row.holder},
               {"deadline_us", row.deadline_us},
               {"transaction", row.transaction}});
}

Result<PlannerRow> ParsePlanner(const Row& row) {
  PlannerRow out;
  Json json;
  BOOST_OUTCOME_TRY(Open(row, kPlannerPrefix, &out.name, &json));
  FieldReader reader(json);
  reader.Read("holder", &out.holder);
  reader.Read("deadline_us", &out.deadline_us);
  reader.Read("transaction", &out.transaction);
  if (reader.Error())
    return *reader.Error();
  return out;
}

}  // namespace cuminjunction
