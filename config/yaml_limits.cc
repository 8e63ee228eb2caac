#include "config/yaml_limits.h"

#include <yaml-cpp/depthguard.h>
#include <yaml-cpp/eventhandler.h>

#include <optional>
#include <sstream>

#include "base/strings.h"
#include "config/parse.h"

namespace cuminjunction {

namespace {

// Counts values and depth while yaml-cpp reads the text, without keeping any
// of it. yaml-cpp itself stops at 500 levels of nesting.
class LimitCounter : public YAML::EventHandler {
 public:
  // The first limit exceeded: its error, its line counted from 1, a hint.
  struct Excess {
    ConfigError error;
    int line;
    std::string hint;
  };

  const std::optional<Excess>& First() const { return this->first; }

  void OnDocumentStart(const YAML::Mark& mark) override {
    if (++this->documents > 1)
      this->Exceeded(ConfigError::kSeveralDocuments, mark, "");
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    this->Value(mark);
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    this->Exceeded(ConfigError::kAlias, mark, "write the value out");
  }
  void OnScalar(const YAML::Mark& mark,
                const std::string& /*tag*/,
                YAML::anchor_t /*anchor*/,
                const std::string& /*value*/) override {
    this->Value(mark);
  }
  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string& /*tag*/,
                       YAML::anchor_t /*anchor*/,
                       YAML::EmitterStyle::value /*style*/) override {
    this->Enter(mark);
  }
  void OnSequenceEnd() override { --this->depth; }
  void OnMapStart(const YAML::Mark& mark,
                  const std::string& /*tag*/,
                  YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {
    this->Enter(mark);
  }
  void OnMapEnd() override { --this->depth; }

 private:
  void Enter(const YAML::Mark& mark) {
    this->Value(mark);
    if (++this->depth > kMaxDocumentDepth) {
      this->Exceeded(ConfigError::kTooDeep, mark,
                     StrCat("at most ", kMaxDocumentDepth, " levels"));
    }
  }

  void Value(const YAML::Mark& mark) {
    if (++this->values > kMaxDocumentValues) {
      this->Exceeded(ConfigError::kTooManyValues, mark,
                     StrCat("at most ", kMaxDocumentValues));
    }
  }

  void Exceeded(ConfigError error,
                const YAML::Mark& mark,
                const std::string& hint) {
    if (!this->first)
      this->first = Excess{error, mark.line + 1, hint};
  }

  std::optional<Excess> first;
  int documents = 0;
  int depth = 0;
  int values = 0;
};

}  // namespace

bool CheckYamlLimits(const std::string& text,
                     const std::string& file,
                     std::vector<YamlProblem>* problems) {
  if (text.size() > kMaxDocumentBytes) {
    problems->push_back({ConfigError::kTextTooLarge, file, 0, "",
                         StrCat("at most ", kMaxDocumentBytes, " bytes")});
    return false;
  }
  LimitCounter counter;
  try {
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    while (!counter.First() && parser.HandleNextDocument(counter)) {
    }
  } catch (const YAML::DeepRecursion& error) {
    problems->push_back({ConfigError::kTooDeep, file, error.mark.line + 1, "",
                         StrCat("at most ", kMaxDocumentDepth, " levels")});
    return false;
  } catch (const YAML::Exception& error) {
    problems->push_back(
        {YamlError::kSyntax, file, error.mark.line + 1, "", error.msg});
    return false;
  }
  if (!counter.First())
    return true;
  problems->push_back({counter.First()->error, file, counter.First()->line, "",
                       counter.First()->hint});
  return false;
}

}  // namespace cuminjunction
