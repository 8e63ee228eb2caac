#ifndef CLI_PRINT_H_
#define CLI_PRINT_H_

// Human-readable output of the command-line tool.

#include <nlohmann/json.hpp>
#include <string>

#include "cli/command.h"

namespace cuminjunction {

// The answer of a command as text for a terminal.
std::string ToText(CommandKind kind, const nlohmann::json& answer);

// A failure of the administration API as text, one problem a line.
std::string ErrorToText(const nlohmann::json& error);

// Rows as columns that are aligned; the first row is the heading.
std::string ToColumns(const std::vector<std::vector<std::string>>& rows);

}  // namespace cuminjunction

#endif  // CLI_PRINT_H_
