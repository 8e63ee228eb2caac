// An application in place of an upstream; see
// testing/support/upstream_standin.h for its HTTP interface. Prints its port
// and serves until SIGTERM or SIGINT.

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <sstream>

#include "testing/support/upstream_standin.h"

namespace {

namespace options = boost::program_options;

options::options_description Describe(
    cuminjunction::UpstreamStandinSettings* settings) {
  options::options_description description("Options of upstream_standin");
  auto add = description.add_options();
  add("help", "show this text");
  add("port", options::value(&settings->port),
      "port on 127.0.0.1; 0 lets the kernel choose");
  add("slots", options::value(&settings->slots), "requests served at a time");
  add("service-us", options::value(&settings->service_us),
      "mean service time in microseconds; 0 answers at once");
  add("exponential-share", options::value(&settings->exponential_share),
      "part of the service time that is exponential");
  add("answer-bytes", options::value(&settings->answer_bytes),
      "padding of an answer");
  add("executions-file", options::value(&settings->executions_file),
      "file that each execution is appended to");
  add("seed", options::value(&settings->seed), "seed of the service times");
  return description;
}

int Run(const cuminjunction::UpstreamStandinSettings& settings) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  cuminjunction::UpstreamStandin standin(settings);
  const auto port = standin.Start();
  if (!port) {
    std::fprintf(stderr, "upstream_standin: %s\n",
                 port.error().message().c_str());
    return 1;
  }
  std::printf("{\"port\":%d}\n", port.value());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cuminjunction::UpstreamStandinSettings settings;
  const options::options_description description = Describe(&settings);
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
    if (values.count("help") > 0) {
      std::printf("%s", (std::stringstream() << description).str().c_str());
      return 0;
    }
  } catch (const options::error& error) {
    std::fprintf(stderr, "upstream_standin: %s\n", error.what());
    return 2;
  }
  return Run(settings);
}
