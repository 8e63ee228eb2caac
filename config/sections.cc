#include "config/sections.h"

#include "config/parse.h"

namespace cuminjunction {

namespace {

constexpr std::string_view kAccountPrefix = "account/";
constexpr std::string_view kServicePrefix = "service/";
constexpr std::string_view kJobPrefix = "job/";

// Adds a parsed section to its map. Fails with kDamagedRow when the name in the
// text differs from that of the section.
template <class T>
Status AddSection(std::string_view name,
                  Result<T> section,
                  std::map<std::string, T>* out) {
  if (!section)
    return section.error();
  if (section.value().name != name)
    return ConfigError::kDamagedRow;
  out->emplace(name, std::move(section).value());
  return Ok();
}

Status ReadSection(const std::string& section,
                   const std::string& text,
                   Document* document,
                   std::vector<YamlProblem>* problems) {
  const std::string_view name = section;
  if (name.starts_with(kAccountPrefix)) {
    return AddSection(name.substr(kAccountPrefix.size()),
                      ParseAccount(text, section, problems),
                      &document->accounts);
  }
  if (name.starts_with(kServicePrefix)) {
    return AddSection(name.substr(kServicePrefix.size()),
                      ParseService(text, section, problems),
                      &document->services);
  }
  if (name.starts_with(kJobPrefix)) {
    return AddSection(name.substr(kJobPrefix.size()),
                      ParseJob(text, section, problems), &document->jobs);
  }
  return ConfigError::kDamagedRow;
}

template <class T>
void AddTexts(std::string_view prefix,
              const std::map<std::string, T>& sections,
              SectionTexts* out) {
  for (const auto& [name, section] : sections)
    out->emplace(std::string(prefix).append(name), ToYaml(section));
}

}  // namespace

SectionTexts ToSections(const Document& document) {
  SectionTexts out;
  AddTexts(kAccountPrefix, document.accounts, &out);
  AddTexts(kServicePrefix, document.services, &out);
  AddTexts(kJobPrefix, document.jobs, &out);
  return out;
}

Result<Document> FromSections(const SectionTexts& sections,
                              std::vector<YamlProblem>* problems) {
  Document document;
  for (const auto& [section, text] : sections) {
    BOOST_OUTCOME_TRYV(ReadSection(section, text, &document, problems));
  }
  return document;
}

SectionDiff DiffSections(const SectionTexts& from, const SectionTexts& to) {
  SectionDiff diff;
  for (const auto& [section, text] : to) {
    const auto found = from.find(section);
    if (found == from.end() || found->second != text)
      diff.changed.emplace(section, text);
  }
  for (const auto& [section, text] : from) {
    if (!to.contains(section))
      diff.removed.push_back(section);
  }
  return diff;
}

void ApplyDiff(const SectionDiff& diff, SectionTexts* sections) {
  for (const auto& [section, text] : diff.changed)
    (*sections)[section] = text;
  for (const std::string& section : diff.removed)
    sections->erase(section);
}

}  // namespace cuminjunction
