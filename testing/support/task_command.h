#ifndef TESTING_SUPPORT_TASK_COMMAND_H_
#define TESTING_SUPPORT_TASK_COMMAND_H_

// Commands of emulated tasks; emulated_worker.h describes them.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace cuminjunction {

enum class TaskAction : uint8_t { kSucceed, kFail, kNeverStart, kRunForever };

struct TaskCommand {
  TaskAction action = TaskAction::kRunForever;
  // Milliseconds of progress until the end.
  int64_t length_ms = 0;
  std::optional<int64_t> millicores;
  std::optional<int64_t> memory_mib;

  auto operator<=>(const TaskCommand&) const = default;
};

// Reads a command. One that can't be read never starts, as a program that does
// not exist.
TaskCommand ParseTaskCommand(const std::string& text);

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_TASK_COMMAND_H_
