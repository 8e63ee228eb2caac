// The operator's document: a document that is accepted can be written, and is
// read again as the same one.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config/parse.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::vector<cuminjunction::YamlProblem> problems;
  const auto document =
      cuminjunction::ParseDocument(text, "config.yaml", {}, &problems);
  if (!document) {
    if (problems.empty())
      __builtin_trap();
    return 0;
  }
  const auto again = cuminjunction::ParseDocument(
      cuminjunction::ToYaml(document.value()), "again.yaml", {}, &problems);
  if (!again || again.value() != document.value())
    __builtin_trap();
  return 0;
}
