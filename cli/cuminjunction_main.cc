#include <cstdio>
#include <string>
#include <vector>

#include "cli/command.h"

int main(int argc, char** argv) {
  using cuminjunction::ExitCode;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  cuminjunction::UsageProblem problem;
  const auto command = cuminjunction::ParseCommandLine(arguments, &problem);
  if (!command) {
    std::fprintf(stderr, "cuminjunction: %s: %s (%s)\n",
                 problem.code.message().c_str(), problem.argument.c_str(),
                 problem.hint.c_str());
    return static_cast<int>(ExitCode::kUsage);
  }
  if (!command.value().help.empty()) {
    std::fputs(command.value().help.c_str(), stdout);
    return static_cast<int>(ExitCode::kOk);
  }
  return static_cast<int>(cuminjunction::RunCommand(command.value()));
}
