// The platform stand-in as a process. It prints {"port": N} once it serves and
// runs until SIGTERM or SIGINT.

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>

#include "testing/support/platform_standin.h"

namespace cuminjunction {
namespace {

namespace po = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

Result<PlatformStandinOptions> MakeOptions(const po::variables_map& values) {
  PlatformStandinOptions options;
  options.host = values["host"].as<std::string>();
  options.port = values["port"].as<uint16_t>();
  options.seed = values["seed"].as<uint64_t>();
  if (!values.contains("worker"))
    return options;
  for (const auto& text : values["worker"].as<std::vector<std::string>>()) {
    BOOST_OUTCOME_TRY(worker, ParseWorkerOption(text));
    options.workers.push_back(worker);
  }
  return options;
}

po::options_description Describe() {
  po::options_description description("platform_standin");
  auto add = description.add_options();
  add("help", "show this text");
  add("host", po::value<std::string>()->default_value("127.0.0.1"), "address");
  add("port", po::value<uint16_t>()->default_value(0), "0: any free port");
  add("seed", po::value<uint64_t>()->default_value(1), "seed of the faults");
  add("worker", po::value<std::vector<std::string>>(),
      "name=w1,cores=16,memory_gib=60,accelerators=0,rack=r1,domain=erie-a,"
      "region=erie; may be repeated");
  return description;
}

int Serve(const PlatformStandinOptions& options) {
  // Blocked before the server's threads start, so that sigwait gets it.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto standin = PlatformStandin::Start(options);
  if (!standin) {
    std::cerr << standin.error().message() << "\n";
    return kExitFailed;
  }
  std::printf("{\"port\": %d}\n", static_cast<int>(standin.value()->Port()));
  std::fflush(stdout);
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}

int Main(int argc, char** argv) {
  const po::options_description description = Describe();
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    return kExitUsage;
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  const Result<PlatformStandinOptions> options = MakeOptions(values);
  if (!options) {
    std::cerr << "malformed --worker\n" << description;
    return kExitUsage;
  }
  return Serve(options.value());
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::Main(argc, argv);
}
