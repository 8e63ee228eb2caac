#include "base/chart.h"

#include <deque>

#include "base/file.h"

namespace cuminjunction {

namespace {

std::set<std::string> ReachableStates(const Chart& chart) {
  std::set<std::string> reached = {chart.initial};
  std::deque<std::string> queue = {chart.initial};
  while (!queue.empty()) {
    const auto found = chart.transitions.find(queue.front());
    queue.pop_front();
    if (found == chart.transitions.end())
      continue;
    for (const auto& [event, target] : found->second) {
      if (reached.insert(target).second)
        queue.push_back(target);
    }
  }
  return reached;
}

void CheckChart(const Chart& chart, YamlMap* root) {
  if (!chart.transitions.contains(chart.initial))
    root->Problem(ChartError::kUnknownState, "initial", chart.initial);
  for (const std::string& state : chart.final_states) {
    if (!chart.transitions.contains(state))
      root->Problem(ChartError::kUnknownState, "final", state);
  }
  const std::set<std::string> reached = ReachableStates(chart);
  for (const auto& [state, events] : chart.transitions) {
    if (!reached.contains(state))
      root->Problem(ChartError::kUnreachableState, "states", state);
    if (chart.IsFinal(state) && !events.empty())
      root->Problem(ChartError::kFinalStateHasTransition, "states", state);
    if (!chart.IsFinal(state) && events.empty())
      root->Problem(ChartError::kDeadEnd, "states", state);
    for (const auto& [event, target] : events) {
      if (!chart.transitions.contains(target))
        root->Problem(ChartError::kUnknownTarget, "states", target);
    }
  }
}

}  // namespace

std::string_view ErrorTraits<ChartError>::Message(ChartError error) {
  switch (error) {
    case ChartError::kUnknownState:
      return "chart names a state that it does not define";
    case ChartError::kUnknownTarget:
      return "transition leads to a state that is not defined";
    case ChartError::kUnreachableState:
      return "state can't be reached from the initial state";
    case ChartError::kFinalStateHasTransition:
      return "final state has a transition";
    case ChartError::kDeadEnd:
      return "state without a transition is not listed as final";
    case ChartError::kNoTransition:
      return "event is not allowed in this state";
    case ChartError::kUnreadableFile:
      return "chart file can't be read";
  }
  return "unknown chart error";
}

Result<std::string> Chart::Next(const std::string& state,
                                const std::string& event) const {
  const auto found = this->transitions.find(state);
  if (found == this->transitions.end())
    return ChartError::kUnknownState;
  const auto target = found->second.find(event);
  if (target == found->second.end())
    return ChartError::kNoTransition;
  return target->second;
}

std::set<std::string> Chart::Events() const {
  std::set<std::string> out;
  for (const auto& [state, events] : this->transitions) {
    for (const auto& [event, target] : events)
      out.insert(event);
  }
  return out;
}

Result<Chart> ParseChart(const std::string& text,
                         const std::string& file,
                         std::vector<YamlProblem>* problems) {
  const size_t before = problems->size();
  BOOST_OUTCOME_TRY(node, ParseYaml(text, file, problems));
  YamlMap root(node, file, problems);
  Chart chart;
  chart.name = root.RequiredString("chart");
  chart.initial = root.RequiredString("initial");
  for (const std::string& state : root.Strings("final"))
    chart.final_states.insert(state);
  root.Map("states");
  root.Finish();
  const YAML::Node states = node.IsMap() ? node["states"] : YAML::Node();
  if (states.IsMap()) {
    for (const auto& entry : states) {
      const std::string state = entry.first.Scalar();
      auto& events = chart.transitions[state];
      YamlMap map(entry.second, file, problems);
      for (const auto& transition : entry.second)
        events[transition.first.Scalar()] = transition.second.Scalar();
    }
  }
  if (problems->size() == before)
    CheckChart(chart, &root);
  if (problems->size() > before)
    return (*problems)[before].code;
  return chart;
}

Result<Chart> LoadChart(const std::string& path,
                        std::vector<YamlProblem>* problems) {
  Result<std::string> text = ReadFile(path);
  if (!text) {
    problems->push_back({ChartError::kUnreadableFile, path, 0, "", ""});
    return ChartError::kUnreadableFile;
  }
  return ParseChart(text.value(), path, problems);
}

}  // namespace cuminjunction
