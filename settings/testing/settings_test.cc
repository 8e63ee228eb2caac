#include "settings/settings.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/file.h"
#include "base/strings.h"

namespace cuminjunction {
namespace {

constexpr char kAgent[] = R"(
name: agent-1
role: agent
region: erie
failure_domain: erie-a
seeds: ["127.0.0.1:7100"]
platform: {table_url: "http://127.0.0.1:7900"}
upstream: {announces: [hamper-line-control], url: "http://127.0.0.1:9000"}
worker:
  runtime_url: "http://127.0.0.1:7900/workers/w1"
  rack: r1
  size: {cores: 15.5, memory_gib: 60}
)";

std::vector<YamlProblem> ProblemsOf(const std::string& text) {
  std::vector<YamlProblem> problems;
  EXPECT_FALSE(ParseSettings(text, "s.yaml", &problems));
  return problems;
}

TEST(SettingsTest, ReadsAnAgent) {
  std::vector<YamlProblem> problems;
  const auto settings = ParseSettings(kAgent, "s.yaml", &problems);
  ASSERT_TRUE(settings) << ToString(problems[0]);
  EXPECT_EQ(settings.value().role, Role::kAgent);
  EXPECT_EQ(settings.value().seeds[0], (Endpoint{"127.0.0.1", 7100}));
  EXPECT_EQ(settings.value().worker.size, (Size{15500, 60 * 1024, 0}));
  EXPECT_EQ(settings.value().upstream.slots, 8);
}

TEST(SettingsTest, UnknownKeyNamesTheNearestOne) {
  const auto problems = ProblemsOf(std::string(kAgent) + "shads: 3\n");
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(ToString(problems[0]),
            "s.yaml:13: shads: unknown key (did you mean shards?)");
}

// Guards against a daemon that starts but can't do what its role needs.
TEST(SettingsTest, RolesNeedTheirSections) {
  const std::string head = "name: x\nregion: r\nfailure_domain: d\n";
  EXPECT_EQ(ProblemsOf(head)[0].key, "platform");
  EXPECT_EQ(ProblemsOf(head + "role: agent\nseeds: ['a:1']\n")[0].key,
            "upstream");
  EXPECT_EQ(ProblemsOf("role: entry\nplatform: {table_url: u}\n").size(), 3u);
}

// Guards against a renewal interval at which one lost renewal costs the lease.
TEST(SettingsTest, LeaseLastsSeveralRenewals) {
  const auto problems =
      ProblemsOf(std::string(kAgent) + "  lease_s: 30\n  renewal_s: 20\n");
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(problems[0].key, "renewal_s");
}

// Guards against templates that the platform can't fill in: the bound on
// evacuations is missing on most deployments, and the other lines stay as they
// are then.
TEST(SettingsTest, TemplatesHaveABoundOnEvacuationsOrNone) {
  const std::string open = "{{#bounds.evacuateMs}}";
  const std::string close = "{{/bounds.evacuateMs}}";
  for (const char* name : {"entry", "agent"}) {
    const std::string text =
        ReadFile(StrCat(CUMINJUNCTION_SOURCE_DIR, "/deploy/", name, ".yaml"))
            .value();
    const size_t begin = text.find(open);
    const size_t end = text.find(close);
    ASSERT_NE(begin, std::string::npos);
    ASSERT_NE(end, std::string::npos);
    const std::string inner =
        text.substr(begin + open.size(), end - begin - open.size());
    EXPECT_EQ(inner, "evacuate_ms: {{.}}");
    for (const bool bounded : {true, false}) {
      std::string filled = text;
      filled.replace(begin, end + close.size() - begin,
                     bounded ? "evacuate_ms: 5000" : "");
      for (size_t tag = filled.find("{{"); tag != std::string::npos;
           tag = filled.find("{{"))
        filled.replace(tag, filled.find("}}") + 2 - tag,
                       filled[tag - 1] == '"' ? "127.0.0.1:70" : "600");
      std::vector<YamlProblem> problems;
      const auto settings = ParseSettings(filled, "s.yaml", &problems);
      ASSERT_TRUE(settings) << ToString(problems[0]) << "\n" << filled;
      EXPECT_EQ(settings.value().fleet.evacuate_ms, bounded ? 5000 : 0);
    }
  }
}

TEST(SettingsTest, BadEndpointsAreRefused) {
  for (const char* text : {"", ":1", "a", "a:", "a:0", "a:65536", "a:x"})
    EXPECT_FALSE(ParseEndpoint(text)) << text;
}

}  // namespace
}  // namespace cuminjunction
