#include "config/parse.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminjunction {
namespace {

// The example of the design page.
constexpr char kExample[] = R"(accounts:
  - name: growers
    weight: 2
    quota: {cores: 64, memory_gib: 240, accelerators: 0}
services:
  - name: slot-check
    account: growers
    upstream: hamper-line-control      # name announced by agents
    replicas: 0
    timeout_ms: 250
    urgency: urgent
    tail_target_ms: 40
    idempotent_methods: [GET]
jobs:
  - name: stock-count
    account: growers
    size: {cores: 0.5, memory_gib: 0.25}
  - name: packing-plan
    account: growers
    kind: batch
    size: {cores: 4, memory_gib: 8, accelerators: 0}
    urgency: normal
    depends_on: [stock-count]
    count: 1
)";

Result<Document> Parse(const std::string& text,
                       std::vector<YamlProblem>* problems,
                       const Fleet& fleet = {}) {
  return ParseDocument(text, "c.yaml", fleet, problems);
}

// Returns the problems of the example after replacing `from` by `to`.
std::vector<std::string> ProblemsWith(const std::string& from,
                                      const std::string& to,
                                      const Fleet& fleet = {}) {
  std::string text = kExample;
  text.replace(text.find(from), from.size(), to);
  std::vector<YamlProblem> problems;
  EXPECT_FALSE(Parse(text, &problems, fleet));
  std::vector<std::string> out;
  out.reserve(problems.size());
  for (const YamlProblem& problem : problems)
    out.push_back(ToString(problem));
  return out;
}

std::string OnlyProblemWith(const std::string& from,
                            const std::string& to,
                            const Fleet& fleet = {}) {
  const std::vector<std::string> problems = ProblemsWith(from, to, fleet);
  return problems.size() == 1 ? problems[0]
                              : std::to_string(problems.size()) + " problems";
}

TEST(ParseTest, ReadsTheExample) {
  std::vector<YamlProblem> problems;
  const Document document = Parse(kExample, &problems).value();
  EXPECT_EQ(document.accounts.at("growers").quota, (Size{64000, 245760, 0}));
  const Service& service = document.services.at("slot-check");
  EXPECT_EQ(service.urgency, Urgency::kUrgent);
  EXPECT_EQ(service.idempotent_methods, std::vector<std::string>{"GET"});
  EXPECT_EQ(document.jobs.at("stock-count").size, (Size{500, 256, 0}));
  EXPECT_EQ(document.jobs.at("packing-plan").depends_on,
            std::vector<std::string>{"stock-count"});
}

TEST(ParseTest, EachMistakeHasItsLineAndAHint) {
  EXPECT_EQ(OnlyProblemWith("weight: 2", "wieght: 2"),
            "c.yaml:3: wieght: unknown key (did you mean weight?)");
  EXPECT_EQ(OnlyProblemWith("account: growers\n    upstream",
                            "account: grovers\n    upstream"),
            "c.yaml:7: account: account does not exist (there is no grovers; "
            "did you mean growers?)");
  EXPECT_EQ(OnlyProblemWith("[stock-count]", "[stok-count]"),
            "c.yaml:23: depends_on: dependency does not exist (there is no "
            "stok-count; did you mean stock-count?)");
  EXPECT_EQ(OnlyProblemWith("name: packing-plan", "name: stock-count"),
            "c.yaml:18: name: name is used twice (stock-count is also in line "
            "15)");
  EXPECT_EQ(OnlyProblemWith("name: slot-check", "name: packing-plan"),
            "c.yaml:18: name: name is used twice (a service has this name; "
            "dependencies could mean either)");
  EXPECT_EQ(OnlyProblemWith("size: {cores: 0.5", "size: {cores: 0"),
            "c.yaml:17: size: a size with more than 0 cores and memory is "
            "needed (size: {cores, memory_gib, accelerators})");
  EXPECT_EQ(OnlyProblemWith("size: {cores: 4,", "size: {cores: 65,"),
            "c.yaml:21: size: size is above the account's quota (the quota of "
            "growers is 64000 millicores, 245760 MiB, 0 accelerators)");
  EXPECT_EQ(OnlyProblemWith("[GET]", "[get]"),
            "c.yaml:13: idempotent_methods: value has the wrong type (get is "
            "not one of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT, TRACE)");
  EXPECT_EQ(OnlyProblemWith("slot-check", "slot/check"),
            "c.yaml:6: name: name is not valid (a to z, 0 to 9, '-', '_' and "
            "'.', at most 63 characters)");
  EXPECT_EQ(ProblemsWith("weight: 2", "weight: x\n    unknown: 1").size(), 2u);
}

TEST(ParseTest, FleetBoundsQuotasAndSizes) {
  const Fleet fleet = {{16000, 61440, 0}, {48000, 184320, 0}};
  std::vector<YamlProblem> problems;
  EXPECT_TRUE(Parse(kExample, &problems, fleet));
  EXPECT_EQ(OnlyProblemWith("cores: 64,", "cores: 64.5,", fleet),
            "c.yaml:4: quota: quota is above the capacity of the fleet (the "
            "fleet has 64000 millicores, 245760 MiB, 0 accelerators)");
  EXPECT_EQ(OnlyProblemWith("cores: 4,", "cores: 50,", fleet),
            "c.yaml:21: size: no worker can hold this size (it needs 50000 "
            "millicores, 8192 MiB, 0 accelerators)");
}

TEST(ParseTest, CyclesAreNamed) {
  EXPECT_EQ(
      OnlyProblemWith("memory_gib: 0.25}",
                      "memory_gib: 0.25}\n    depends_on: [packing-plan]"),
      "c.yaml:24: depends_on: dependencies form a cycle (packing-plan -> "
      "stock-count -> packing-plan)");
  EXPECT_EQ(OnlyProblemWith("[stock-count]", "[stock-count, packing-plan]"),
            "c.yaml:23: depends_on: dependencies form a cycle (packing-plan -> "
            "packing-plan)");
}

// Guards against a small text that exhausts the memory or the stack.
TEST(ParseTest, HostileTextsAreRefused) {
  const auto first = [](const std::string& text) {
    std::vector<YamlProblem> problems;
    EXPECT_FALSE(Parse(text, &problems));
    return problems.at(0).code;
  };
  EXPECT_EQ(first("a: &a [x, x]\nb: &b [*a, *a]\naccounts: [*b, *b]\n"),
            ConfigError::kAlias);
  EXPECT_EQ(first("accounts: " + std::string(20, '[') + std::string(20, ']')),
            ConfigError::kTooDeep);
  EXPECT_EQ(first(std::string(1000000, '[')), ConfigError::kTooDeep);
  EXPECT_EQ(first(std::string(kMaxDocumentBytes + 1, ' ')),
            ConfigError::kTextTooLarge);
  std::string many = "accounts: [";
  for (int i = 0; i < kMaxDocumentValues; ++i)
    many += "1,";
  EXPECT_EQ(first(many + "]"), ConfigError::kTooManyValues);
}

// Guards against removing all sections because a text arrived empty or only its
// first document was read.
TEST(ParseTest, EmptyOrPartlyReadTextIsRefused) {
  std::vector<YamlProblem> problems;
  EXPECT_FALSE(Parse("", &problems));
  EXPECT_FALSE(Parse("jobs: []\n", &problems));
  EXPECT_TRUE(Parse("accounts: []\n", &problems));
  EXPECT_EQ(Parse("accounts: []\n---\njobs: []\n", &problems).error(),
            ConfigError::kSeveralDocuments);
}

std::string Name() {
  return *rc::gen::nonEmpty(rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("abcxyz0189_"))));
}

Size AnySize() {
  return {*rc::gen::inRange<int64_t>(1, 1000000),
          *rc::gen::inRange<int64_t>(1, 100000000),
          *rc::gen::inRange<int64_t>(0, 9)};
}

// Guards against sections that change when they are written and parsed again,
// such as a command that looks like null or a number that loses a digit.
RC_GTEST_PROP(ParseTest, SectionsReadBackAsTheyWere, ()) {
  const std::string text = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("ab 01~#:'\"{}[],&*!|>%@`\n\t\\-?")));
  Job job = {Name().substr(0, 60),
             Name(),
             *rc::gen::element(JobKind::kBatch, JobKind::kWatcher),
             AnySize(),
             *rc::gen::element(Urgency::kUrgent, Urgency::kBatch),
             {Name(), Name()},
             *rc::gen::inRange<int64_t>(0, 9),
             text};
  std::vector<YamlProblem> problems;
  const Result<Job> read = ParseJob(ToYaml(job), "job", &problems);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read.value() == job);
  const Account account = {job.name, 3, AnySize()};
  RC_ASSERT(ParseAccount(ToYaml(account), "a", &problems).value() == account);
}

TEST(ParseTest, DocumentReadsBackAsItWas) {
  std::vector<YamlProblem> problems;
  const Document document = Parse(kExample, &problems).value();
  EXPECT_EQ(Parse(ToYaml(document), &problems).value(), document);
  for (const char* command : {"~", "null", "", " x ", "0x1f", "yes"}) {
    Job job = document.jobs.at("packing-plan");
    job.command = command;
    EXPECT_EQ(ParseJob(ToYaml(job), "job", &problems).value(), job) << command;
  }
}

// Guards against a command that changes when it is stored: yaml-cpp replaces
// invalid UTF-8 and noncharacter code points in double-quoted strings.
TEST(ParseTest, TextThatCannotBeWrittenIsRefused) {
  const std::string head =
      "accounts:\n  - name: a\n    quota: {cores: 1, memory_gib: 1}\n"
      "jobs:\n  - name: j\n    account: a\n"
      "    size: {cores: 1, memory_gib: 1}\n    command: ";
  for (const char* command :
       {"s\t\xc0", "\"\\uFFFE\\n\"", "\"\\uFDD0\"", "\xe2\x82"}) {
    std::vector<YamlProblem> problems;
    const Result<Document> read = Parse(head + command + "\n", &problems);
    ASSERT_FALSE(read) << command;
    EXPECT_EQ(read.error(), YamlError::kNotText) << command;
    EXPECT_EQ(problems[0].line, 8);
    EXPECT_EQ(problems[0].key, "command");
  }
  std::vector<YamlProblem> problems;
  const Result<Document> read =
      Parse(head + "\"K\xc4\x81rlis\\t\xf0\x9f\x8c\xb1\"\n", &problems);
  ASSERT_TRUE(read);
  EXPECT_EQ(Parse(ToYaml(read.value()), &problems).value(), read.value());
}

}  // namespace
}  // namespace cuminjunction
