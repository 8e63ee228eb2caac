#ifndef BASE_YAML_H_
#define BASE_YAML_H_

// Checked reading of YAML.
//
// A YamlMap reads the keys of one mapping. Every problem is recorded with file,
// line and key, and reading goes on with a default, so that one pass reports
// all problems of a text:
//
//   std::vector<YamlProblem> problems;
//   Result<YAML::Node> root = ParseYaml(text, "settings.yaml", &problems);
//   YamlMap map(root.value(), "settings.yaml", &problems);
//   settings.port = map.Int("port", 8080, 1, 65535);
//   map.Finish();               // reports the keys that nobody asked for
//   if (!problems.empty()) ...

#include <yaml-cpp/yaml.h>

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace cuminjunction {

enum class YamlError {
  kSyntax = 1,
  kNotAMap,
  kNotAList,
  kUnknownKey,
  kMissingKey,
  kDuplicateKey,
  kBadValue,
  kOutOfRange,
  kNotText,
};

template <>
struct ErrorTraits<YamlError> {
  static constexpr const char* kCategory = "yaml";
  static std::string_view Message(YamlError error);
};

// One problem of a text. `line` counts from 1; 0 means the whole text.
struct YamlProblem {
  std::error_code code;
  std::string file;
  int line = 0;
  std::string key;
  std::string hint;

  bool operator==(const YamlProblem&) const = default;
};

// "FILE:LINE: KEY: message (hint)".
std::string ToString(const YamlProblem& problem);

// The candidate nearest to `word` by edit distance, or "" when none is near.
std::string NearestWord(std::string_view word,
                        const std::set<std::string>& candidates);

// Parses a text. Fails with kSyntax, which is also recorded in `problems`.
Result<YAML::Node> ParseYaml(const std::string& text,
                             const std::string& file,
                             std::vector<YamlProblem>* problems);

class YamlMap {
 public:
  // `problems` must outlive this object.
  YamlMap(const YAML::Node& node,
          std::string file,
          std::vector<YamlProblem>* problems);

  // Values of optional keys, with the value to use when the key is absent.
  std::string String(const std::string& key, std::string_view fallback);
  int64_t Int(const std::string& key,
              int64_t fallback,
              int64_t least,
              int64_t most);
  double Double(const std::string& key,
                double fallback,
                double least,
                double most);
  bool Bool(const std::string& key, bool fallback);
  std::vector<std::string> Strings(const std::string& key);

  // A required string that is not empty; records kMissingKey.
  std::string RequiredString(const std::string& key);

  // One of `choices`; the first is used when the key is absent.
  std::string Choice(const std::string& key,
                     const std::vector<std::string>& choices);

  // A mapping below `key`; an empty one when the key is absent.
  YamlMap Map(const std::string& key);

  // The mappings of the list below `key`.
  std::vector<YamlMap> Maps(const std::string& key);

  bool Has(const std::string& key) const;

  // Line of the key, or of the mapping when the key is absent.
  int Line(const std::string& key) const;
  int Line() const;

  // Records a problem of a value that this reader can't judge by itself.
  void Problem(std::error_code code,
               const std::string& key,
               const std::string& hint);

  // Records each key that was not asked for, with the nearest known key.
  void Finish();

 private:
  YAML::Node Find(const std::string& key);

  YAML::Node node;
  std::string file;
  std::vector<YamlProblem>* problems;
  std::set<std::string> known;
};

}  // namespace cuminjunction

#endif  // BASE_YAML_H_
