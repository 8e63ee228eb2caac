#include "base/yaml.h"

#include <algorithm>
#include <numeric>

#include <boost/locale/utf.hpp>

#include "absl/strings/numbers.h"
#include "base/strings.h"

namespace cuminjunction {

namespace {

// A suggestion further away than this is more confusing than helpful.
constexpr size_t kMaxSuggestionDistance = 3;

int LineOf(const YAML::Node& node) {
  return node.Mark().line + 1;
}

size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
    }
  }
  return row[b.size()];
}

// Whether yaml-cpp writes the text as it is. Between double quotes it replaces
// what is not UTF-8, and the code points that Unicode sets aside as no
// characters, by U+FFFD, so that another value would be stored.
bool IsText(const std::string& value) {
  namespace utf = boost::locale::utf;
  auto at = value.begin();
  while (at != value.end()) {
    const utf::code_point point =
        utf::utf_traits<char>::decode(at, value.end());
    if (!utf::is_valid_codepoint(point))
      return false;
    if ((point & 0xfffe) == 0xfffe || (point >= 0xfdd0 && point <= 0xfdef))
      return false;
  }
  return true;
}

}  // namespace

std::string_view ErrorTraits<YamlError>::Message(YamlError error) {
  switch (error) {
    case YamlError::kSyntax:
      return "text is not valid YAML";
    case YamlError::kNotAMap:
      return "a mapping is expected";
    case YamlError::kNotAList:
      return "a list is expected";
    case YamlError::kUnknownKey:
      return "unknown key";
    case YamlError::kMissingKey:
      return "required key is missing";
    case YamlError::kDuplicateKey:
      return "key occurs twice";
    case YamlError::kBadValue:
      return "value has the wrong type";
    case YamlError::kOutOfRange:
      return "value is out of range";
    case YamlError::kNotText:
      return "value is not valid UTF-8 text";
  }
  return "unknown YAML error";
}

std::string ToString(const YamlProblem& problem) {
  std::string out = StrCat(problem.file, ":", problem.line, ": ");
  if (!problem.key.empty())
    StrAppend(&out, problem.key, ": ");
  StrAppend(&out, problem.code.message());
  if (!problem.hint.empty())
    StrAppend(&out, " (", problem.hint, ")");
  return out;
}

std::string NearestWord(std::string_view word,
                        const std::set<std::string>& candidates) {
  std::string best;
  size_t best_distance = kMaxSuggestionDistance + 1;
  for (const std::string& candidate : candidates) {
    const size_t distance = EditDistance(word, candidate);
    if (distance < best_distance) {
      best = candidate;
      best_distance = distance;
    }
  }
  return best;
}

Result<YAML::Node> ParseYaml(const std::string& text,
                             const std::string& file,
                             std::vector<YamlProblem>* problems) {
  try {
    return YAML::Load(text);
  } catch (const YAML::Exception& error) {
    problems->push_back(
        {YamlError::kSyntax, file, error.mark.line + 1, "", error.msg});
    return YamlError::kSyntax;
  }
}

YamlMap::YamlMap(const YAML::Node& node,
                 std::string file,
                 std::vector<YamlProblem>* problems)
    : node(node.IsDefined() ? node : YAML::Node()),
      file(std::move(file)),
      problems(problems) {
  if (this->node.IsNull())
    return;
  if (!node.IsMap()) {
    this->problems->push_back(
        {YamlError::kNotAMap, this->file, LineOf(node), "", ""});
    // Assignment would change the document that this node is a part of.
    this->node.reset(YAML::Node());
    return;
  }
  std::set<std::string> seen;
  for (const auto& entry : node) {
    const std::string key = entry.first.Scalar();
    if (!seen.insert(key).second) {
      this->problems->push_back(
          {YamlError::kDuplicateKey, this->file, LineOf(entry.first), key, ""});
    }
  }
}

YAML::Node YamlMap::Find(const std::string& key) {
  this->known.insert(key);
  if (!this->node.IsMap())
    return YAML::Node(YAML::NodeType::Undefined);
  return std::as_const(this->node)[key];
}

std::string YamlMap::String(const std::string& key, std::string_view fallback) {
  const YAML::Node value = this->Find(key);
  if (!value.IsDefined() || value.IsNull())
    return std::string(fallback);
  if (!value.IsScalar()) {
    this->Problem(YamlError::kBadValue, key, "a string is expected");
    return std::string(fallback);
  }
  if (!IsText(value.Scalar())) {
    this->Problem(YamlError::kNotText, key, "");
    return std::string(fallback);
  }
  return value.Scalar();
}

int64_t YamlMap::Int(const std::string& key,
                     int64_t fallback,
                     int64_t least,
                     int64_t most) {
  const std::string text = this->String(key, "");
  if (text.empty())
    return fallback;
  int64_t value = 0;
  if (!absl::SimpleAtoi(text, &value)) {
    this->Problem(YamlError::kBadValue, key, "an integer is expected");
    return fallback;
  }
  if (value < least || value > most) {
    this->Problem(YamlError::kOutOfRange, key,
                  StrCat("from ", least, " to ", most));
    return fallback;
  }
  return value;
}

double YamlMap::Double(const std::string& key,
                       double fallback,
                       double least,
                       double most) {
  const std::string text = this->String(key, "");
  if (text.empty())
    return fallback;
  double value = 0;
  if (!absl::SimpleAtod(text, &value)) {
    this->Problem(YamlError::kBadValue, key, "a number is expected");
    return fallback;
  }
  // Written so that NaN is out of range.
  if (!(value >= least && value <= most)) {
    this->Problem(YamlError::kOutOfRange, key,
                  StrCat("from ", least, " to ", most));
    return fallback;
  }
  return value;
}

bool YamlMap::Bool(const std::string& key, bool fallback) {
  const std::string text = this->String(key, "");
  if (text.empty())
    return fallback;
  if (text == "true")
    return true;
  if (text == "false")
    return false;
  this->Problem(YamlError::kBadValue, key, "true or false is expected");
  return fallback;
}

std::vector<std::string> YamlMap::Strings(const std::string& key) {
  std::vector<std::string> out;
  const YAML::Node value = this->Find(key);
  if (!value.IsDefined() || value.IsNull())
    return out;
  if (!value.IsSequence()) {
    this->Problem(YamlError::kNotAList, key, "");
    return out;
  }
  for (const auto& item : value) {
    if (!item.IsScalar())
      this->Problem(YamlError::kBadValue, key, "strings are expected");
    else if (!IsText(item.Scalar()))
      this->Problem(YamlError::kNotText, key, "");
    else
      out.push_back(item.Scalar());
  }
  return out;
}

std::string YamlMap::RequiredString(const std::string& key) {
  std::string value = this->String(key, "");
  if (value.empty())
    this->Problem(YamlError::kMissingKey, key, "");
  return value;
}

std::string YamlMap::Choice(const std::string& key,
                            const std::vector<std::string>& choices) {
  std::string value = this->String(key, choices.front());
  if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
    this->Problem(YamlError::kBadValue, key,
                  StrCat("one of ", StrJoin(choices, ", ")));
    return choices.front();
  }
  return value;
}

YamlMap YamlMap::Map(const std::string& key) {
  return {this->Find(key), this->file, this->problems};
}

std::vector<YamlMap> YamlMap::Maps(const std::string& key) {
  std::vector<YamlMap> out;
  const YAML::Node value = this->Find(key);
  if (!value.IsDefined() || value.IsNull())
    return out;
  if (!value.IsSequence()) {
    this->Problem(YamlError::kNotAList, key, "");
    return out;
  }
  for (const auto& item : value)
    out.emplace_back(item, this->file, this->problems);
  return out;
}

bool YamlMap::Has(const std::string& key) const {
  return this->node.IsMap() && this->node[key].IsDefined();
}

int YamlMap::Line(const std::string& key) const {
  if (this->Has(key))
    return LineOf(this->node[key]);
  return this->Line();
}

int YamlMap::Line() const {
  return this->node.IsDefined() ? LineOf(this->node) : 0;
}

void YamlMap::Problem(std::error_code code,
                      const std::string& key,
                      const std::string& hint) {
  this->problems->push_back({code, this->file, this->Line(key), key, hint});
}

void YamlMap::Finish() {
  if (!this->node.IsMap())
    return;
  for (const auto& entry : this->node) {
    const std::string key = entry.first.Scalar();
    if (this->known.contains(key))
      continue;
    const std::string nearest = NearestWord(key, this->known);
    this->problems->push_back(
        {YamlError::kUnknownKey, this->file, LineOf(entry.first), key,
         nearest.empty() ? "" : StrCat("did you mean ", nearest, "?")});
  }
}

}  // namespace cuminjunction
