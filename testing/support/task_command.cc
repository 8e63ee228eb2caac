#include "testing/support/task_command.h"

#include <sstream>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/time/time.h"

namespace cuminjunction {

namespace {

constexpr TaskCommand kNever = {TaskAction::kNeverStart, 0, {}, {}};

std::vector<std::string> Words(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;)
    words.push_back(word);
  return words;
}

bool ReadLength(const std::string& word, int64_t* length_ms) {
  absl::Duration length;
  if (!absl::ParseDuration(word, &length) || length < absl::ZeroDuration())
    return false;
  *length_ms = absl::ToInt64Milliseconds(length);
  return true;
}

// Reads the action and returns the number of words it takes, 0 when it is none.
size_t ReadAction(const std::vector<std::string>& words, TaskCommand* command) {
  if (words.size() >= 2 && words[0] == "sleep") {
    command->action = TaskAction::kSucceed;
    return ReadLength(words[1], &command->length_ms) ? 2 : 0;
  }
  if (words.size() >= 3 && words[0] == "fail" && words[1] == "after") {
    command->action = TaskAction::kFail;
    return ReadLength(words[2], &command->length_ms) ? 3 : 0;
  }
  if (words[0] == "forever") {
    command->action = TaskAction::kRunForever;
    return 1;
  }
  return 0;
}

bool ReadUsage(const std::string& name,
               const std::string& value,
               TaskCommand* command) {
  double number = 0;
  if (!absl::SimpleAtod(value, &number) || number < 0)
    return false;
  if (name == "cores")
    command->millicores = static_cast<int64_t>(number * 1000);
  else if (name == "memory_mib")
    command->memory_mib = static_cast<int64_t>(number);
  else
    return false;
  return true;
}

}  // namespace

TaskCommand ParseTaskCommand(const std::string& text) {
  const std::vector<std::string> words = Words(text);
  TaskCommand command;
  if (words.empty())
    return command;
  const size_t used = ReadAction(words, &command);
  if (used == 0 || (words.size() - used) % 2 != 0)
    return kNever;
  for (size_t i = used; i < words.size(); i += 2) {
    if (!ReadUsage(words[i], words[i + 1], &command))
      return kNever;
  }
  return command;
}

}  // namespace cuminjunction
