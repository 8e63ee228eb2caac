// Replays traces against the decision code: replay FILE...
//
// Prints a line for each trace and exits with 1 when one has another outcome
// than it states or can't be read, and with 2 when no file is named.

#include <cstdio>
#include <fstream>
#include <sstream>

#include "testing/support/replay.h"

namespace {

bool ReplayFile(const char* path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::printf("%s: cannot be read\n", path);
    return false;
  }
  int line = 0;
  const auto report = cuminjunction::ReplayTrace(text.str(), &line);
  if (!report) {
    std::printf("%s:%d: %s\n", path, line, report.error().message().c_str());
    return false;
  }
  const auto& difference = report.value().difference;
  if (difference) {
    std::printf("%s:%d: expected %s, got %s\n", path, difference->line,
                difference->expected.c_str(), difference->actual.c_str());
    return false;
  }
  std::printf("%s: %d outcomes as stated\n", path, report.value().checked);
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: replay FILE...\n");
    return 2;
  }
  bool good = true;
  for (int i = 1; i < argc; ++i)
    good = ReplayFile(argv[i]) && good;
  return good ? 0 : 1;
}
