#include <yaml-cpp/emitter.h>
#include <yaml-cpp/emittermanip.h>

#include <cstdio>

#include "config/parse.h"

namespace cuminjunction {

namespace {

// Formats value / units_per_one exactly as a decimal without trailing zeros.
// `units_per_one` is 1000 or 1024; ten decimals represent any multiple of
// 1/1024.
std::string Decimal(int64_t value, int64_t units_per_one) {
  char text[64];
  std::snprintf(
      text, sizeof(text), "%.10f",
      static_cast<double>(value) / static_cast<double>(units_per_one));
  std::string out = text;
  while (out.back() == '0')
    out.pop_back();
  if (out.back() == '.')
    out.pop_back();
  return out;
}

const char* Name(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kBatch:
      return "batch";
  }
  return "";
}

// yaml-cpp escapes control characters only in double-quoted strings.
void Add(YAML::Emitter* out, const char* key, const std::string& value) {
  *out << YAML::Key << key << YAML::Value;
  if (value.find_first_of("\n\t\r") != std::string::npos)
    *out << YAML::DoubleQuoted;
  *out << value;
}

void Add(YAML::Emitter* out, const char* key, int64_t value) {
  *out << YAML::Key << key << YAML::Value << value;
}

void Add(YAML::Emitter* out,
         const char* key,
         const std::vector<std::string>& values) {
  *out << YAML::Key << key << YAML::Value << YAML::Flow << YAML::BeginSeq;
  for (const std::string& value : values)
    *out << value;
  *out << YAML::EndSeq;
}

void Add(YAML::Emitter* out, const char* key, const Size& size) {
  *out << YAML::Key << key << YAML::Value << YAML::Flow << YAML::BeginMap;
  *out << YAML::Key << "cores" << YAML::Value << Decimal(size.millicores, 1000);
  *out << YAML::Key << "memory_gib" << YAML::Value
       << Decimal(size.memory_mib, 1024);
  Add(out, "accelerators", size.accelerators);
  *out << YAML::EndMap;
}

void Write(YAML::Emitter* out, const Account& account) {
  *out << YAML::BeginMap;
  Add(out, "name", account.name);
  Add(out, "weight", account.weight);
  Add(out, "quota", account.quota);
  *out << YAML::EndMap;
}

void Write(YAML::Emitter* out, const Service& service) {
  *out << YAML::BeginMap;
  Add(out, "name", service.name);
  Add(out, "account", service.account);
  Add(out, "upstream", service.upstream);
  Add(out, "replicas", service.replicas);
  Add(out, "size", service.size);
  Add(out, "timeout_ms", service.timeout_ms);
  Add(out, "urgency", Name(service.urgency));
  Add(out, "tail_target_ms", service.tail_target_ms);
  Add(out, "idempotent_methods", service.idempotent_methods);
  Add(out, "depends_on", service.depends_on);
  *out << YAML::EndMap;
}

void Write(YAML::Emitter* out, const Job& job) {
  *out << YAML::BeginMap;
  Add(out, "name", job.name);
  Add(out, "account", job.account);
  Add(out, "kind", job.kind == JobKind::kBatch ? "batch" : "watcher");
  Add(out, "size", job.size);
  Add(out, "urgency", Name(job.urgency));
  Add(out, "depends_on", job.depends_on);
  Add(out, "count", job.count);
  Add(out, "command", job.command);
  *out << YAML::EndMap;
}

template <class T>
std::string WriteSection(const T& section) {
  YAML::Emitter out;
  Write(&out, section);
  return std::string(out.c_str(), out.size()) + "\n";
}

template <class T>
void WriteList(YAML::Emitter* out,
               const char* key,
               const std::map<std::string, T>& sections) {
  *out << YAML::Key << key << YAML::Value << YAML::BeginSeq;
  for (const auto& [name, section] : sections)
    Write(out, section);
  *out << YAML::EndSeq;
}

}  // namespace

std::string ToYaml(const Account& account) {
  return WriteSection(account);
}

std::string ToYaml(const Service& service) {
  return WriteSection(service);
}

std::string ToYaml(const Job& job) {
  return WriteSection(job);
}

std::string ToYaml(const Document& document) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  WriteList(&out, "accounts", document.accounts);
  WriteList(&out, "services", document.services);
  WriteList(&out, "jobs", document.jobs);
  out << YAML::EndMap;
  return std::string(out.c_str(), out.size()) + "\n";
}

}  // namespace cuminjunction
