// The daemon's settings file: errors are reported as problems with lines.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "settings/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::vector<cuminjunction::YamlProblem> problems;
  const auto settings =
      cuminjunction::ParseSettings(text, "settings.yaml", &problems);
  // A refusal without a problem would leave the operator without a hint.
  if (!settings && problems.empty())
    __builtin_trap();
  return 0;
}
