#include "config/yaml_limits.h"

#include <yaml-cpp/depthguard.h>
#include <yaml-cpp/eventhandler.h>

#include <optional>
#include <sstream>

#include "base/strings.h"
#include "config/parse.h"

namespace cuminjunction {

namespace {

// Counts values and depth from the parser's events, without storing the text.
// yaml-cpp itself stops at 500 levels of nesting.
class LimitCounter : public YAML::EventHandler {
 public:
  // An exceeded limit. `line` is counted from 1.
  struct Excess {
    ConfigError error;
    int line;
    std::string hint;
  };

  const std::optional<Excess>& FirstExcess() const {
    return this->first_excess;
  }

  void OnDocumentStart(const YAML::Mark& mark) override {
    if (++this->documents > 1)
      this->RecordExcess(ConfigError::kSeveralDocuments, mark, "");
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    this->CountValue(mark);
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    this->RecordExcess(ConfigError::kAlias, mark, "write the value out");
  }
  void OnScalar(const YAML::Mark& mark,
                const std::string& /*tag*/,
                YAML::anchor_t /*anchor*/,
                const std::string& /*value*/) override {
    this->CountValue(mark);
  }
  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string& /*tag*/,
                       YAML::anchor_t /*anchor*/,
                       YAML::EmitterStyle::value /*style*/) override {
    this->EnterCollection(mark);
  }
  void OnSequenceEnd() override { --this->depth; }
  void OnMapStart(const YAML::Mark& mark,
                  const std::string& /*tag*/,
                  YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {
    this->EnterCollection(mark);
  }
  void OnMapEnd() override { --this->depth; }

 private:
  void EnterCollection(const YAML::Mark& mark) {
    this->CountValue(mark);
    if (++this->depth > kMaxDocumentDepth) {
      this->RecordExcess(ConfigError::kTooDeep, mark,
                         StrCat("at most ", kMaxDocumentDepth, " levels"));
    }
  }

  void CountValue(const YAML::Mark& mark) {
    if (++this->values > kMaxDocumentValues) {
      this->RecordExcess(ConfigError::kTooManyValues, mark,
                         StrCat("at most ", kMaxDocumentValues));
    }
  }

  void RecordExcess(ConfigError error,
                    const YAML::Mark& mark,
                    const std::string& hint) {
    if (!this->first_excess)
      this->first_excess = Excess{error, mark.line + 1, hint};
  }

  std::optional<Excess> first_excess;
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
    while (!counter.FirstExcess() && parser.HandleNextDocument(counter)) {
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
  if (!counter.FirstExcess())
    return true;
  problems->push_back({counter.FirstExcess()->error, file,
                       counter.FirstExcess()->line, "",
                       counter.FirstExcess()->hint});
  return false;
}

}  // namespace cuminjunction
