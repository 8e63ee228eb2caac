#include "cli/command.h"

#include <gtest/gtest.h>

#include "cli/print.h"

namespace cuminjunction {
namespace {

Result<CommandLine> Parse(const std::vector<std::string>& arguments) {
  UsageProblem problem;
  return ParseCommandLine(arguments, &problem);
}

TEST(CommandTest, ReadsCommandsOfOneAndTwoWords) {
  const auto drain = Parse({"drain", "rack", "r1", "--output", "json"});
  ASSERT_TRUE(drain);
  EXPECT_EQ(drain.value().kind, CommandKind::kDrain);
  EXPECT_EQ(drain.value().arguments, (std::vector<std::string>{"rack", "r1"}));
  EXPECT_TRUE(drain.value().json);
  EXPECT_EQ(Parse({"config", "history"}).value().kind,
            CommandKind::kConfigHistory);
  EXPECT_EQ(Parse({"apply", "f", "--base", "12"}).value().base, 12u);
}

// Guards against a mistyped command line being carried out in part.
TEST(CommandTest, BadCommandLinesAreTypedErrors) {
  EXPECT_EQ(Parse({}).error(), CommandError::kUnknownCommand);
  EXPECT_EQ(Parse({"drian", "rack", "r1"}).error(),
            CommandError::kUnknownCommand);
  EXPECT_EQ(Parse({"drain", "rack"}).error(), CommandError::kMissingArgument);
  EXPECT_EQ(Parse({"jobs", "x"}).error(), CommandError::kTooManyArguments);
  EXPECT_EQ(Parse({"jobs", "--frob"}).error(), CommandError::kUnknownOption);
  EXPECT_EQ(Parse({"apply", "f", "--base", "x"}).error(),
            CommandError::kBadArgument);
  UsageProblem problem;
  EXPECT_FALSE(ParseCommandLine({"statsu"}, &problem));
  EXPECT_EQ(problem.hint, "did you mean status?");
}

TEST(CommandTest, EveryCommandHasHelp) {
  const auto help = Parse({"drain", "--help"});
  ASSERT_TRUE(help);
  EXPECT_NE(help.value().help.find("Usage: cuminjunction drain"),
            std::string::npos);
  EXPECT_NE(Parse({"--help"}).value().help.find("Exit codes"),
            std::string::npos);
}

// Guards against an edit of an old text overwriting a newer one unnoticed.
TEST(CommandTest, DocumentNamesTheVersionItIsBasedOn) {
  EXPECT_EQ(VersionLine("# version: 41\naccounts: []\n"), 41u);
  EXPECT_EQ(VersionLine("accounts: []\n"), std::nullopt);
  EXPECT_EQ(VersionLine("# version: x\n"), std::nullopt);
}

TEST(PrintTest, ColumnsAreAligned) {
  EXPECT_EQ(ToColumns({{"name", "state"}, {"a-long-name", "ready"}}),
            "name         state\na-long-name  ready\n");
}

TEST(PrintTest, ErrorsListEachProblem) {
  const auto error = nlohmann::json::parse(
      R"({"code":"rejected","message":"bad","details":[
          {"file":"f","line":3,"key":"quota","problem":"too big","hint":"x"},
          {"file":"f","line":4,"key":"k","problem":"unknown","hint":""}]})");
  EXPECT_EQ(ErrorToText(error),
            "cuminjunction: bad (rejected)\n  f:3: quota: too big (x)\n"
            "  f:4: k: unknown\n");
}

}  // namespace
}  // namespace cuminjunction
