#include "config/parse.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/strings.h"
#include "config/check.h"
#include "config/yaml_limits.h"

namespace cuminjunction {

namespace {

constexpr double kMaxCores = 1e6;
constexpr double kMaxMemoryGib = 1e7;
constexpr int64_t kMaxAccelerators = 1000000;
constexpr int64_t kMaxWeight = 1000;
constexpr int64_t kMaxTasks = 1000000;
// A day, in milliseconds.
constexpr int64_t kMaxTimeoutMs = 24 * 3600 * 1000;
constexpr size_t kMaxCommandBytes = 4096;

const std::vector<std::string>& UrgencyNames() {
  static const std::vector<std::string> names = {"urgent", "normal", "batch"};
  return names;
}

// The methods that are idempotent by the semantics of HTTP.
const std::vector<std::string>& IdempotentMethods() {
  static const std::vector<std::string> methods = {"GET", "HEAD",   "OPTIONS",
                                                   "PUT", "DELETE", "TRACE"};
  return methods;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength && name[0] != '.' &&
         name[0] != '-' &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

std::string ReadName(YamlMap* map, const std::string& key) {
  std::string name = map->RequiredString(key);
  if (!name.empty() && !IsValidName(name)) {
    map->Problem(ConfigError::kBadName, key,
                 StrCat("a to z, 0 to 9, '-', '_' and '.', at most ",
                        kMaxNameLength, " characters"));
  }
  return name;
}

Urgency ReadUrgency(YamlMap* map, Urgency fallback) {
  if (!map->Has("urgency")) {
    // Marks the key as known, so that YamlMap does not report it.
    map->String("urgency", "");
    return fallback;
  }
  const std::string name = map->Choice("urgency", UrgencyNames());
  const auto found =
      std::find(UrgencyNames().begin(), UrgencyNames().end(), name);
  return static_cast<Urgency>(found - UrgencyNames().begin());
}

Size ReadSize(YamlMap* parent, const std::string& key) {
  YamlMap map = parent->Map(key);
  Size size;
  size.millicores = std::llround(map.Double("cores", 0, 0, kMaxCores) * 1000);
  size.memory_mib =
      std::llround(map.Double("memory_gib", 0, 0, kMaxMemoryGib) * 1024);
  size.accelerators = map.Int("accelerators", 0, 0, kMaxAccelerators);
  map.Finish();
  return size;
}

Account ReadAccount(YamlMap* map) {
  Account account;
  account.name = ReadName(map, "name");
  account.weight = map->Int("weight", 1, 1, kMaxWeight);
  if (!map->Has("quota")) {
    map->Problem(YamlError::kMissingKey, "quota",
                 "quota: {cores, memory_gib, accelerators}");
  }
  account.quota = ReadSize(map, "quota");
  map->Finish();
  return account;
}

std::vector<std::string> ReadMethods(YamlMap* map) {
  if (!map->Has("idempotent_methods")) {
    map->Strings("idempotent_methods");
    return IdempotentMethods();
  }
  static const std::set<std::string> known = {
      "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE", "POST", "PATCH"};
  std::vector<std::string> methods = map->Strings("idempotent_methods");
  for (const std::string& method : methods) {
    if (!known.contains(method)) {
      map->Problem(YamlError::kBadValue, "idempotent_methods",
                   StrCat(method, " is not one of ", StrJoin(known, ", ")));
    }
  }
  return methods;
}

Service ReadService(YamlMap* map) {
  Service service;
  service.name = ReadName(map, "name");
  service.account = map->RequiredString("account");
  service.upstream = map->String("upstream", service.name);
  service.replicas = map->Int("replicas", 0, 0, kMaxTasks);
  service.size = ReadSize(map, "size");
  service.timeout_ms = map->Int("timeout_ms", 1000, 1, kMaxTimeoutMs);
  service.urgency = ReadUrgency(map, Urgency::kNormal);
  service.tail_target_ms = map->Int("tail_target_ms", 0, 0, kMaxTimeoutMs);
  service.idempotent_methods = ReadMethods(map);
  service.depends_on = map->Strings("depends_on");
  map->Finish();
  return service;
}

Job ReadJob(YamlMap* map) {
  Job job;
  job.name = ReadName(map, "name");
  job.account = map->RequiredString("account");
  job.kind = map->Choice("kind", {"batch", "watcher"}) == "batch"
                 ? JobKind::kBatch
                 : JobKind::kWatcher;
  job.size = ReadSize(map, "size");
  job.urgency = ReadUrgency(map, Urgency::kBatch);
  job.depends_on = map->Strings("depends_on");
  job.count = map->Int("count", 1, 0, kMaxTasks);
  job.command = map->String("command", "");
  if (job.command.size() > kMaxCommandBytes) {
    map->Problem(YamlError::kOutOfRange, "command",
                 StrCat("at most ", kMaxCommandBytes, " bytes"));
  }
  map->Finish();
  return job;
}

// Returns the lines of the keys that CheckDocument() reports problems for.
std::map<std::string, int> LinesOf(const YamlMap& map) {
  std::map<std::string, int> lines = {{"", map.Line()}};
  for (const char* key :
       {"name", "account", "quota", "size", "depends_on", "replicas", "count"})
    lines[key] = map.Line(key);
  return lines;
}

// Parses the list at `key` into `out`, keyed by name.
template <class T, class F>
void ReadList(YamlMap* root,
              const std::string& key,
              const std::string& prefix,
              F read_section,
              std::map<std::string, T>* out,
              SectionLines* lines) {
  for (YamlMap& map : root->Maps(key)) {
    T value = read_section(&map);
    const std::string name = value.name;
    const std::string section = prefix + name;
    if (name.empty())
      continue;
    if (!out->emplace(name, std::move(value)).second) {
      map.Problem(
          ConfigError::kDuplicateName, "name",
          StrCat(name, " is also in line ", lines->at(section).at("name")));
      continue;
    }
    lines->emplace(section, LinesOf(map));
  }
}

template <class T, class F>
Result<T> ParseSection(const std::string& text,
                       const std::string& file,
                       std::vector<YamlProblem>* problems,
                       F read_section) {
  const size_t initial_problem_count = problems->size();
  if (!CheckYamlLimits(text, file, problems))
    return (*problems)[initial_problem_count].code;
  BOOST_OUTCOME_TRY(node, ParseYaml(text, file, problems));
  YamlMap map(node, file, problems);
  T value = read_section(&map);
  if (problems->size() > initial_problem_count)
    return (*problems)[initial_problem_count].code;
  return value;
}

}  // namespace

Result<Document> ParseDocument(const std::string& text,
                               const std::string& file,
                               const Fleet& fleet,
                               std::vector<YamlProblem>* problems) {
  const size_t initial_problem_count = problems->size();
  if (!CheckYamlLimits(text, file, problems))
    return (*problems)[initial_problem_count].code;
  BOOST_OUTCOME_TRY(node, ParseYaml(text, file, problems));
  YamlMap root(node, file, problems);
  Document document;
  SectionLines lines;
  // Without this check an empty text, such as a truncated upload, would remove
  // all sections.
  if (!root.Has("accounts")) {
    root.Problem(YamlError::kMissingKey, "accounts",
                 "accounts: [] removes all of them");
  }
  ReadList(&root, "accounts", "account/", ReadAccount, &document.accounts,
           &lines);
  ReadList(&root, "services", "service/", ReadService, &document.services,
           &lines);
  ReadList(&root, "jobs", "job/", ReadJob, &document.jobs, &lines);
  root.Finish();
  CheckDocument(document, fleet, lines, file, problems);
  if (problems->size() > initial_problem_count)
    return (*problems)[initial_problem_count].code;
  return document;
}

Result<Account> ParseAccount(const std::string& text,
                             const std::string& file,
                             std::vector<YamlProblem>* problems) {
  return ParseSection<Account>(text, file, problems, ReadAccount);
}

Result<Service> ParseService(const std::string& text,
                             const std::string& file,
                             std::vector<YamlProblem>* problems) {
  return ParseSection<Service>(text, file, problems, ReadService);
}

Result<Job> ParseJob(const std::string& text,
                     const std::string& file,
                     std::vector<YamlProblem>* problems) {
  return ParseSection<Job>(text, file, problems, ReadJob);
}

}  // namespace cuminjunction
