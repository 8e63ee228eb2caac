#ifndef CONFIG_SECTIONS_H_
#define CONFIG_SECTIONS_H_

// Splits a document into sections.
//
// The document is stored and distributed in sections, one for each account,
// service and job, so that a change transfers only the sections it modifies:
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

// Parses the sections into a document. Problems report the section name as
// their file. Checks that span sections are not repeated here; they ran before
// the document was accepted.
Result<Document> FromSections(const SectionTexts& sections,
                              std::vector<YamlProblem>* problems);

// The difference between two sets of sections.
struct SectionDiff {
  // New texts of sections that are new or differ.
  SectionTexts changed;
  // Names of removed sections.
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
