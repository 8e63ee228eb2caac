// The daemon. It runs until SIGTERM or SIGINT and then stops gracefully.

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "base/file.h"
#include "daemon/agent_process.h"
#include "daemon/entry_process.h"
#include "fleet/fleet_agent.h"
#include "fleet/fleet_entry.h"
#include "settings/settings.h"

namespace cuminjunction {
namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

constexpr char kHelp[] =
    "Usage: cuminjunctiond --settings FILE [--check]\n\n"
    "Runs an entry or an agent, as the settings say. SIGTERM and SIGINT stop "
    "it\ngracefully: no request in flight is cut off. SIGHUP checks the "
    "settings file\nagain and logs whether it is valid; changed settings take "
    "effect at the next\nstart.\n\n"
    "Exit codes: 0 ok, 1 failed to start, 2 usage, 3 bad settings.\n\n";

// Blocks the signals that Main() waits for, in all threads. SIGPIPE would end
// the process when a peer closes its connection.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

Result<Settings> ReadSettings(const std::string& path,
                              std::vector<YamlProblem>* problems) {
  BOOST_OUTCOME_TRY(text, ReadFile(path));
  return ParseSettings(text, path, problems);
}

void WaitForStop(const sigset_t& signals, const std::string& path, Log* log) {
  for (;;) {
    int received = 0;
    sigwait(&signals, &received);
    if (received != SIGHUP)
      return;
    std::vector<YamlProblem> problems;
    const bool valid = ReadSettings(path, &problems).has_value();
    LogLine line("settings_checked",
                 valid ? LogLevel::kInfo : LogLevel::kWarning);
    line.Add("valid", valid);
    if (!problems.empty())
      line.Add("problem", ToString(problems.front()));
    log->Write(line);
  }
}

template <class Process>
int Run(const Settings& settings,
        const sigset_t& signals,
        const std::string& path) {
  Log log(settings.log);
  auto process = Process::Start(settings, &log);
  if (!process) {
    log.Write(LogLine("start_failed", LogLevel::kError)
                  .Add("error", process.error()));
    std::cerr << "cuminjunctiond: " << process.error().message() << "\n";
    return kExitFailed;
  }
  WaitForStop(signals, path, &log);
  process.value()->Shutdown();
  process.value().reset();
  return kExitOk;
}

int Main(int argc, char** argv) {
  po::options_description options("Options");
  options.add_options()("help,h", "show help")(
      "settings", po::value<std::string>(), "settings file")(
      "check", "check the settings and exit");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
  } catch (const po::error& error) {
    std::cerr << "cuminjunctiond: " << error.what() << "\n";
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << kHelp << options;
    return kExitOk;
  }
  if (values.count("settings") == 0) {
    std::cerr << "cuminjunctiond: --settings is missing; see --help\n";
    return kExitUsage;
  }
  const std::string path = values["settings"].as<std::string>();
  std::vector<YamlProblem> problems;
  const auto settings = ReadSettings(path, &problems);
  if (!settings) {
    if (problems.empty())
      std::cerr << path << ": " << settings.error().message() << "\n";
    for (const YamlProblem& problem : problems)
      std::cerr << ToString(problem) << "\n";
    return kExitSettings;
  }
  if (values.count("check") > 0)
    return kExitOk;
  const sigset_t signals = BlockSignals();
  const bool entry = settings.value().role == Role::kEntry;
  if (settings.value().fleet.IsSet() && entry)
    return Run<FleetEntry>(settings.value(), signals, path);
  if (settings.value().fleet.IsSet())
    return Run<FleetAgent>(settings.value(), signals, path);
  if (entry)
    return Run<EntryProcess>(settings.value(), signals, path);
  return Run<AgentProcess>(settings.value(), signals, path);
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  const int code = cuminjunction::Main(argc, argv);
  // Everything that must end in order has ended and the log is written. The
  // destructors of library statics are skipped: they join worker threads, which
  // kept processes of the users' platform alive until they were killed.
  std::cout.flush();
  std::cerr.flush();
  std::quick_exit(code);
}
