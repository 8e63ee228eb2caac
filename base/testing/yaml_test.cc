#include "base/yaml.h"

#include <gtest/gtest.h>

#include "base/chart.h"

namespace cuminjunction {
namespace {

TEST(YamlTest, UnknownKeyNamesLineAndNearestKey) {
  std::vector<YamlProblem> problems;
  const auto node = ParseYaml("a: 1\nprot: 80\n", "s.yaml", &problems);
  YamlMap map(node.value(), "s.yaml", &problems);
  map.Int("a", 0, 0, 10);
  map.Int("port", 1, 1, 65535);
  map.Finish();
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(ToString(problems[0]),
            "s.yaml:2: prot: unknown key (did you mean port?)");
}

TEST(YamlTest, BadValuesAreAllReported) {
  std::vector<YamlProblem> problems;
  const auto node =
      ParseYaml("a: x\nb: 11\nc: [1]\nd: maybe\n", "s.yaml", &problems);
  YamlMap map(node.value(), "s.yaml", &problems);
  EXPECT_EQ(map.Int("a", 5, 0, 10), 5);
  EXPECT_EQ(map.Int("b", 6, 0, 10), 6);
  EXPECT_EQ(map.String("c", "z"), "z");
  EXPECT_TRUE(map.Bool("d", true));
  map.RequiredString("e");
  ASSERT_EQ(problems.size(), 5u);
  EXPECT_EQ(problems[1].code, YamlError::kOutOfRange);
  EXPECT_EQ(problems[1].line, 2);
  EXPECT_EQ(problems[4].code, YamlError::kMissingKey);
}

// Guards against an exception of yaml-cpp for a section that is absent or not a
// mapping.
TEST(YamlTest, AbsentAndWrongSectionsReadAsEmpty) {
  std::vector<YamlProblem> problems;
  const auto node = ParseYaml("a: 1\nb: [1]\n", "s.yaml", &problems);
  YamlMap map(node.value(), "s.yaml", &problems);
  for (const char* key : {"a", "b", "c"}) {
    YamlMap section = map.Map(key);
    EXPECT_EQ(section.Int("x", 7, 0, 10), 7);
    section.Finish();
  }
  EXPECT_EQ(map.String("a", ""), "1");
  EXPECT_EQ(problems.size(), 2u);
}

TEST(YamlTest, SyntaxErrorIsAProblemWithALine) {
  std::vector<YamlProblem> problems;
  EXPECT_FALSE(ParseYaml("a: [1\nb: }", "s.yaml", &problems));
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(problems[0].code, YamlError::kSyntax);
}

constexpr char kDoor[] =
    "chart: door\ninitial: closed\nfinal: [broken]\nstates:\n"
    "  closed: {open: opened, hit: broken}\n  opened: {close: closed}\n"
    "  broken: {}\n";

TEST(ChartTest, FollowsTransitions) {
  std::vector<YamlProblem> problems;
  const auto chart = ParseChart(kDoor, "door.yaml", &problems);
  ASSERT_TRUE(chart);
  EXPECT_EQ(chart.value().Next("closed", "open").value(), "opened");
  EXPECT_EQ(chart.value().Next("opened", "hit").error(),
            ChartError::kNoTransition);
  EXPECT_EQ(chart.value().Next("ajar", "hit").error(),
            ChartError::kUnknownState);
}

// Guards against a daemon that starts with a chart it can't follow.
TEST(ChartTest, BrokenChartsAreRefused) {
  const std::vector<std::pair<std::string, ChartError>> cases = {
      {"chart: d\ninitial: a\nfinal: [b]\nstates: {a: {x: c}, b: {}}",
       ChartError::kUnknownTarget},
      {"chart: d\ninitial: a\nfinal: [a, b]\nstates: {a: {}, b: {}}",
       ChartError::kUnreachableState},
      {"chart: d\ninitial: a\nstates: {a: {x: b}, b: {}}",
       ChartError::kDeadEnd},
      {"chart: d\ninitial: z\nfinal: [a]\nstates: {a: {}}",
       ChartError::kUnknownState},
  };
  for (const auto& [text, code] : cases) {
    std::vector<YamlProblem> problems;
    EXPECT_FALSE(ParseChart(text, "d.yaml", &problems));
    bool found = false;
    for (const YamlProblem& problem : problems)
      found = found || problem.code == code;
    EXPECT_TRUE(found) << text;
  }
}

}  // namespace
}  // namespace cuminjunction
