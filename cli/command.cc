#include "cli/command.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <charconv>
#include <cstdlib>
#include <set>

#include "base/strings.h"
#include "base/yaml.h"

namespace cuminjunction {

namespace {

namespace po = boost::program_options;

constexpr std::string_view kDefaultEntry = "http://127.0.0.1:7000";

struct CommandInfo {
  std::string_view name;
  CommandKind kind;
  size_t arguments;
  std::string_view synopsis;
  std::string_view help;
};

constexpr std::array<CommandInfo, 14> kCommands = {{
    {"apply", CommandKind::kApply, 1, "apply FILE [--base VERSION]",
     "Checks a configuration document and puts it in force. The document must "
     "be based on\nthe present version: the one given with --base, else the "
     "one in the file's first line\n\"# version: N\" (as `config show` writes "
     "it), else the present one. If another operator\nwas first, the exit "
     "code is 4 and the other change is named."},
    {"validate", CommandKind::kValidate, 1, "validate FILE",
     "Checks a configuration document and lists every problem with its line. "
     "Changes nothing."},
    {"diff", CommandKind::kDiff, 1, "diff FILE",
     "Lists the sections that applying the document would add, change or "
     "remove."},
    {"status", CommandKind::kStatus, 0, "status",
     "Shows the store, the configuration version in force, the members with "
     "the version each\nruns, and task counts."},
    {"jobs", CommandKind::kJobs, 0, "jobs",
     "Lists jobs and services with their tasks by state."},
    {"stop", CommandKind::kStop, 1, "stop JOB",
     "Stops a job: its tasks are checkpointed and parked. Its section in the "
     "document stays."},
    {"resume", CommandKind::kResume, 1, "resume JOB",
     "Takes the stop of a job back."},
    {"cancel", CommandKind::kCancel, 1, "cancel TASK",
     "Cancels one task for good."},
    {"retry", CommandKind::kRetry, 1, "retry TASK",
     "Tries a parked task again."},
    {"readmit", CommandKind::kReadmit, 1, "readmit WORKER",
     "Gives work to a drained or suspect worker again."},
    {"drain", CommandKind::kDrain, 2, "drain upstream|worker|rack NAME",
     "Lets work in flight end and gives no new work. Tasks of a worker are "
     "checkpointed and\nresume elsewhere."},
    {"explain", CommandKind::kExplain, 1, "explain TASK|REQUEST",
     "Says why a task is where it is, or why it waits; or how a recent "
     "request was routed.\nA request is named by the id in the header "
     "Cuminjunction-Request of its answer."},
    {"config history", CommandKind::kConfigHistory, 0, "config history",
     "Lists accepted changes: version, time, operator, sections."},
    {"config show", CommandKind::kConfigShow, 0, "config show",
     "Prints the document in force, with its version in the first line."},
}};

std::string FirstSentence(std::string_view help) {
  std::string sentence(help.substr(0, help.find_first_of(".:;")));
  std::replace(sentence.begin(), sentence.end(), '\n', ' ');
  return sentence;
}

po::options_description Options() {
  po::options_description options("Options");
  options.add_options()("help,h", "show help")(
      "entry",
      po::value<std::string>()->default_value(std::string(kDefaultEntry)),
      "administration address of an entry (or CUMINJUNCTION_ENTRY)")(
      "output", po::value<std::string>()->default_value("text"),
      "text or json")("base", po::value<std::string>(),
                      "version that the document is based on (apply)")(
      "operator", po::value<std::string>(),
      "your name in the history (default: USER)");
  return options;
}

const CommandInfo* FindCommand(std::string_view name) {
  const auto* found =
      std::find_if(kCommands.begin(), kCommands.end(),
                   [&](const CommandInfo& info) { return info.name == name; });
  return found == kCommands.end() ? nullptr : found;
}

// Takes the one or two words of the command's name off the front.
const CommandInfo* TakeCommand(std::vector<std::string>* words) {
  for (const size_t count : {size_t{2}, size_t{1}}) {
    if (words->size() < count)
      continue;
    const std::vector<std::string> head(words->begin(), words->begin() + count);
    const CommandInfo* info = FindCommand(StrJoin(head, " "));
    if (info != nullptr) {
      words->erase(words->begin(), words->begin() + count);
      return info;
    }
  }
  return nullptr;
}

std::optional<uint64_t> ParseVersion(std::string_view text) {
  uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

std::string NearestCommand(const std::string& word) {
  std::set<std::string> names;
  for (const CommandInfo& info : kCommands)
    names.emplace(info.name);
  const std::string nearest = NearestWord(word, names);
  return nearest.empty() ? "see cuminjunction --help"
                         : StrCat("did you mean ", nearest, "?");
}

struct ParsedOptions {
  po::variables_map values;
  std::vector<std::string> words;
};

Result<ParsedOptions> ParseOptions(const std::vector<std::string>& arguments,
                                   UsageProblem* problem) {
  po::options_description options = Options();
  options.add_options()("word", po::value<std::vector<std::string>>(), "");
  po::positional_options_description positional;
  positional.add("word", -1);
  ParsedOptions parsed;
  try {
    po::store(po::command_line_parser(arguments)
                  .options(options)
                  .positional(positional)
                  .run(),
              parsed.values);
    po::notify(parsed.values);
  } catch (const po::error& error) {
    *problem = {CommandError::kUnknownOption, error.what(),
                "see cuminjunction --help"};
    return CommandError::kUnknownOption;
  }
  if (parsed.values.count("word") > 0)
    parsed.words = parsed.values["word"].as<std::vector<std::string>>();
  return parsed;
}

Status FillOptions(const po::variables_map& values,
                   CommandLine* command,
                   UsageProblem* problem) {
  command->entry = values["entry"].as<std::string>();
  const std::string from_environment = Environment("CUMINJUNCTION_ENTRY");
  if (values["entry"].defaulted() && !from_environment.empty())
    command->entry = from_environment;
  const std::string output = values["output"].as<std::string>();
  if (output != "text" && output != "json") {
    *problem = {CommandError::kBadArgument, output, "--output text or json"};
    return CommandError::kBadArgument;
  }
  command->json = output == "json";
  command->operator_name = values.count("operator") > 0
                               ? values["operator"].as<std::string>()
                               : Environment("USER");
  if (values.count("base") == 0)
    return Ok();
  command->base = ParseVersion(values["base"].as<std::string>());
  if (!command->base) {
    *problem = {CommandError::kBadArgument, values["base"].as<std::string>(),
                "--base takes a version number"};
    return CommandError::kBadArgument;
  }
  return Ok();
}

}  // namespace

std::string_view ErrorTraits<CommandError>::Message(CommandError error) {
  switch (error) {
    case CommandError::kUnknownCommand:
      return "unknown command";
    case CommandError::kUnknownOption:
      return "bad option";
    case CommandError::kMissingArgument:
      return "an argument is missing";
    case CommandError::kTooManyArguments:
      return "too many arguments";
    case CommandError::kBadArgument:
      return "bad argument";
  }
  return "unknown command-line error";
}

Result<CommandLine> ParseCommandLine(const std::vector<std::string>& arguments,
                                     UsageProblem* problem) {
  BOOST_OUTCOME_TRY(parsed, ParseOptions(arguments, problem));
  CommandLine command;
  const bool wants_help = parsed.values.count("help") > 0;
  if (parsed.words.empty() && wants_help) {
    command.help = HelpText();
    return command;
  }
  if (parsed.words.empty()) {
    *problem = {CommandError::kUnknownCommand, "", "see cuminjunction --help"};
    return CommandError::kUnknownCommand;
  }
  const std::string first = parsed.words.front();
  const CommandInfo* info = TakeCommand(&parsed.words);
  if (info == nullptr) {
    *problem = {CommandError::kUnknownCommand, first, NearestCommand(first)};
    return CommandError::kUnknownCommand;
  }
  if (wants_help) {
    command.help = HelpText(info->name);
    return command;
  }
  if (parsed.words.size() != info->arguments) {
    const CommandError error = parsed.words.size() < info->arguments
                                   ? CommandError::kMissingArgument
                                   : CommandError::kTooManyArguments;
    *problem = {error, std::string(info->name), std::string(info->synopsis)};
    return error;
  }
  command.kind = info->kind;
  command.arguments = parsed.words;
  BOOST_OUTCOME_TRY(FillOptions(parsed.values, &command, problem));
  return command;
}

std::string HelpText() {
  std::string text =
      "Usage: cuminjunction [OPTIONS] COMMAND ...\n\n"
      "Drives a cuminjunction system through the administration API of an "
      "entry.\n\nCommands:\n";
  for (const CommandInfo& info : kCommands) {
    std::string synopsis(info.synopsis);
    synopsis.resize(std::max<size_t>(synopsis.size() + 2, 36), ' ');
    StrAppend(&text, "  ", synopsis, FirstSentence(info.help), "\n");
  }
  std::ostringstream options;
  options << Options();
  StrAppend(&text, "\n", options.str(),
            "\nExit codes: 0 ok, 1 failed, 2 usage, 3 document rejected, 4 "
            "conflict with\nanother change, 5 entry or store unavailable, 6 "
            "not found.\n`cuminjunction COMMAND --help` explains a command.\n");
  return text;
}

std::string HelpText(std::string_view command) {
  const CommandInfo* info = FindCommand(command);
  if (info == nullptr)
    return HelpText();
  return StrCat("Usage: cuminjunction ", info->synopsis, "\n\n", info->help,
                "\n");
}

std::optional<uint64_t> VersionLine(std::string_view document) {
  constexpr std::string_view prefix = "# version: ";
  if (!document.starts_with(prefix))
    return std::nullopt;
  document.remove_prefix(prefix.size());
  return ParseVersion(document.substr(0, document.find('\n')));
}

}  // namespace cuminjunction
