#ifndef CONFIG_SECTIONS_H_
#define CONFIG_SECTIONS_H_

// A document as sections.
//
// The document is stored and distributed in sections, one for each account,
// service and job, so that a change travels as the few sections it touches:
//
//   SectionTexts before = ToSections(old_document);
//   SectionDiff diff = DiffSections(before, ToSections(new_document));
//   ApplyDiff(diff, &before);   // now the new document
//
// A section's name is `account/NAME`, `service/NAME` or `job/NAME`; its text is
// YAML as ToYaml() writes it, so equal sections have equal texts.

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "base/yaml.h"
#include "config/document.h"
#include "config/error.h"

namespace cuminjunction {

// Texts by section name.
using SectionTexts = std::map<std::string, std::string>;

SectionTexts ToSections(const Document& document);

// The document of the sections. Problems name the section as their file. Checks
// that need the whole document were made when it was accepted.
Result<Document> FromSections(const SectionTexts& sections,
                              std::vector<YamlProblem>* problems);

// What makes one set of sections into another.
struct SectionDiff {
  // New texts of sections that are new or differ.
  SectionTexts changed;
  // Names of sections that are gone.
  std::vector<std::string> removed;

  bool operator==(const SectionDiff&) const = default;

  bool IsEmpty() const {
    return this->changed.empty() && this->removed.empty();
  }
};

SectionDiff DiffSections(const SectionTexts& from, const SectionTexts& to);

void ApplyDiff(const SectionDiff& diff, SectionTexts* sections);

}  // namespace cuminjunction

#endif  // CONFIG_SECTIONS_H_
