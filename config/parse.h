#ifndef CONFIG_PARSE_H_
#define CONFIG_PARSE_H_

// Reading and writing the operator's document.
//
//   std::vector<YamlProblem> problems;
//   Result<Document> document =
//       ParseDocument(text, "config.yaml", fleet, &problems);
//   if (!document) ...   // `problems` has all of them, with lines and hints
//
// The size, depth and number of values of the text are checked before it is
// parsed. Aliases are rejected, since they let a small text expand to a huge
// one.

#include <map>
#include <string>
#include <vector>

#include "base/yaml.h"
#include "config/document.h"
#include "config/error.h"

namespace cuminjunction {

inline constexpr size_t kMaxDocumentBytes = 4 * 1024 * 1024;
inline constexpr int kMaxDocumentDepth = 16;
inline constexpr int kMaxDocumentValues = 600000;
inline constexpr size_t kMaxSections = 20000;
// Maximum length of a name. Names become parts of row keys and of paths.
inline constexpr size_t kMaxNameLength = 63;

// The capacities of the workers; empty when they are not known.
using Fleet = std::vector<Size>;

// Lines of a document's keys: by section name, such as "job/packing-plan", and
// by key. The key "" is the section itself.
using SectionLines = std::map<std::string, std::map<std::string, int>>;

// Reads and checks a whole document. Fails with the error of the first problem.
// `file` is the file name to report in problems.
Result<Document> ParseDocument(const std::string& text,
                               const std::string& file,
                               const Fleet& fleet,
                               std::vector<YamlProblem>* problems);

// Reads the text of a section as ToYaml() writes it, without the checks that
// need the whole document.
Result<Account> ParseAccount(const std::string& text,
                             const std::string& file,
                             std::vector<YamlProblem>* problems);
Result<Service> ParseService(const std::string& text,
                             const std::string& file,
                             std::vector<YamlProblem>* problems);
Result<Job> ParseJob(const std::string& text,
                     const std::string& file,
                     std::vector<YamlProblem>* problems);

// Returns the text of one section: a YAML mapping with every key.
std::string ToYaml(const Account& account);
std::string ToYaml(const Service& service);
std::string ToYaml(const Job& job);

// Returns the text of a whole document.
std::string ToYaml(const Document& document);

}  // namespace cuminjunction

#endif  // CONFIG_PARSE_H_
