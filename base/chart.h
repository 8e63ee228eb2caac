#ifndef BASE_CHART_H_
#define BASE_CHART_H_

// State charts read from files.
//
// A chart file under charts/ names the states of something and which event
// leads from which state to which:
//
//   chart: door
//   initial: closed
//   final: [broken]
//   states:
//     closed: {open: opened, hit: broken}
//     opened: {close: closed}
//     broken: {}
//
// The daemon reads its charts at start and asks them for each transition, so
// that the code can't take a step that the chart does not have. The models
// under models/ are checked against the same files.

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/yaml.h"

namespace cuminjunction {

enum class ChartError {
  kUnknownState = 1,
  kUnknownTarget,
  kUnreachableState,
  kFinalStateHasTransition,
  kDeadEnd,
  kNoTransition,
  kUnreadableFile,
};

template <>
struct ErrorTraits<ChartError> {
  static constexpr const char* kCategory = "chart";
  static std::string_view Message(ChartError error);
};

// A checked chart. Every state is reachable from the initial one, and exactly
// the final states have no transitions.
struct Chart {
  std::string name;
  std::string initial;
  std::set<std::string> final_states;
  std::map<std::string, std::map<std::string, std::string>> transitions;

  bool operator==(const Chart&) const = default;

  // The state after `event` in `state`. Fails with kUnknownState or
  // kNoTransition.
  Result<std::string> Next(const std::string& state,
                           const std::string& event) const;

  bool IsFinal(const std::string& state) const {
    return this->final_states.contains(state);
  }

  // All events of the chart, sorted.
  std::set<std::string> Events() const;
};

// Reads and checks a chart. Problems are recorded with their lines; the result
// is the first problem's code.
Result<Chart> ParseChart(const std::string& text,
                         const std::string& file,
                         std::vector<YamlProblem>* problems);

// Reads the file and parses it. Fails with kUnreadableFile or as ParseChart.
Result<Chart> LoadChart(const std::string& path,
                        std::vector<YamlProblem>* problems);

}  // namespace cuminjunction

#endif  // BASE_CHART_H_
