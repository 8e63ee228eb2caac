#ifndef CLI_COMMAND_H_
#define CLI_COMMAND_H_

// The commands of the tool `cuminjunction`.
//
// ParseCommandLine() turns the arguments into a CommandLine; RunCommand()
// carries it out against the administration API of an entry. Adding a command
// means adding a row to the table in command.cc and, if its output is not a
// plain listing, a printer in print.cc.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace cuminjunction {

// Exit codes, documented in `cuminjunction --help`.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kRejected = 3,
  kConflict = 4,
  kUnavailable = 5,
  kNotFound = 6,
};

enum class CommandError {
  kUnknownCommand = 1,
  kUnknownOption,
  kMissingArgument,
  kTooManyArguments,
  kBadArgument,
};

template <>
struct ErrorTraits<CommandError> {
  static constexpr const char* kCategory = "command";
  static std::string_view Message(CommandError error);
};

enum class CommandKind {
  kApply,
  kValidate,
  kDiff,
  kStatus,
  kJobs,
  kStop,
  kResume,
  kCancel,
  kRetry,
  kReadmit,
  kDrain,
  kExplain,
  kConfigHistory,
  kConfigShow,
};

// A command with its arguments, as entered.
struct CommandLine {
  CommandKind kind = CommandKind::kStatus;
  std::vector<std::string> arguments;
  // Administration address of an entry, such as "http://127.0.0.1:7000".
  std::string entry;
  bool json = false;
  // Version that an applied document is based on.
  std::optional<uint64_t> base;
  std::string operator_name;
  // Set when help was asked for; nothing else counts then.
  std::string help;

  bool operator==(const CommandLine&) const = default;
};

// What is wrong with a command line.
struct UsageProblem {
  std::error_code code;
  std::string argument;
  std::string hint;

  bool operator==(const UsageProblem&) const = default;
};

// Reads the arguments after the program's name. On failure the problem is
// described in `problem`.
Result<CommandLine> ParseCommandLine(const std::vector<std::string>& arguments,
                                     UsageProblem* problem);

// The help of the whole tool, or of one command by name.
std::string HelpText();
std::string HelpText(std::string_view command);

// Carries out a command and prints to standard output; failures go to standard
// error.
ExitCode RunCommand(const CommandLine& command);

// The version in a first line "# version: N" of a document, as `config show`
// writes it.
std::optional<uint64_t> VersionLine(std::string_view document);

}  // namespace cuminjunction

#endif  // CLI_COMMAND_H_
