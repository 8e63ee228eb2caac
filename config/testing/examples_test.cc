#include <gtest/gtest.h>

#include "base/file.h"
#include "config/parse.h"
#include "config/sections.h"
#include "testing/support/task_command.h"

namespace cuminjunction {
namespace {

// A deployment of 11 equal workers.
struct Example {
  const char* name;
  Size worker;
  size_t accounts;
};

class ExamplesTest : public testing::TestWithParam<Example> {};

// Guards against an example configuration that is refused, or whose tasks can
// never run in the demo. Operators copy the examples.
TEST_P(ExamplesTest, IsAcceptedForItsFleet) {
  const std::string path = std::string(CUMINJUNCTION_SOURCE_DIR "/examples/") +
                           GetParam().name + "/config.yaml";
  const std::string text = ReadFile(path).value();
  std::vector<YamlProblem> problems;
  const Result<Document> document =
      ParseDocument(text, path, Fleet(11, GetParam().worker), &problems);
  for (const YamlProblem& problem : problems)
    ADD_FAILURE() << ToString(problem);
  ASSERT_TRUE(document);
  EXPECT_EQ(document.value().accounts.size(), GetParam().accounts);
  EXPECT_EQ(FromSections(ToSections(document.value()), &problems).value(),
            document.value());
  Size quotas;
  for (const auto& [name, account] : document.value().accounts)
    quotas = quotas + account.quota;
  Size fleet;
  for (int i = 0; i < 11; ++i)
    fleet = fleet + GetParam().worker;
  EXPECT_TRUE(Fits(quotas, fleet));
  for (const auto& [name, job] : document.value().jobs) {
    EXPECT_NE(ParseTaskCommand(job.command).action, TaskAction::kNeverStart)
        << name;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Deployments,
    ExamplesTest,
    // 60 GB are 55.9 GiB, 250 GB are 232.8 GiB.
    testing::Values(Example{"lakeshore", {16000, 55 * 1024, 0}, 2},
                    Example{"vardnica", {64000, 232 * 1024, 0}, 4}));

}  // namespace
}  // namespace cuminjunction
