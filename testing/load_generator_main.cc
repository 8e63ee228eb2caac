// Open-loop callers over HTTP; see testing/support/load_generator.h. Prints one
// JSON line for each flow.

#include <boost/program_options.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "testing/support/load_generator.h"

namespace cuminjunction {
namespace {

namespace options = boost::program_options;

struct Arguments {
  std::vector<std::string> targets;
  std::vector<std::string> flows;
  LoadSettings settings;
};

options::options_description Describe(Arguments* arguments) {
  LoadSettings& settings = arguments->settings;
  options::options_description description("Options of load_generator");
  description.add_options()("help", "show this text")(
      "target", options::value(&arguments->targets)->required(),
      "HOST:PORT of an entry or upstream; repeatable")(
      "flow", options::value(&arguments->flows)->required(),
      "service=S,account=A,urgency=U,rate=PER_SECOND,timeout_ms=T,method=M,"
      "send_key=0,resends=0; repeatable")(
      "threads", options::value(&settings.threads)->default_value(2), "")(
      "connections", options::value(&settings.connections)->default_value(128),
      "connections of each thread")(
      "duration-ms", options::value(&settings.duration_ms)->default_value(1000),
      "")("warm-up-ms", options::value(&settings.warm_up_ms)->default_value(0),
          "first part of the duration, which is not measured")(
      "most-requests",
      options::value(&settings.most_requests)->default_value(10000000), "")(
      "key-prefix", options::value(&settings.key_prefix)->default_value("k"),
      "")("seed", options::value(&settings.seed)->default_value(1), "");
  return description;
}

bool Fill(Arguments* arguments) {
  for (const std::string& text : arguments->targets) {
    const Result<LoadTarget> target = ParseLoadTarget(text);
    if (!target)
      return false;
    arguments->settings.targets.push_back(target.value());
  }
  for (const std::string& text : arguments->flows) {
    const Result<LoadFlow> flow = ParseLoadFlow(text);
    if (!flow)
      return false;
    arguments->settings.flows.push_back(flow.value());
  }
  return arguments->settings.threads > 0 && arguments->settings.connections > 0;
}

void Print(const LoadFlow& flow, const LoadFlowResult& result) {
  nlohmann::ordered_json line;
  line["service"] = flow.service;
  line["account"] = flow.account;
  line["urgency"] = flow.urgency;
  line["sent"] = result.sent;
  for (size_t i = 0; i < kCallEndCount; ++i)
    line[std::string(ToString(static_cast<CallEnd>(i)))] = result.ends[i];
  line["in_time"] = result.InTime();
  line["p50_us"] = result.Quantile(0.5);
  line["p99_us"] = result.Quantile(0.99);
  std::printf("%s\n", line.dump().c_str());
}

int Run(const LoadSettings& settings) {
  const LoadResult result = RunLoad(settings);
  for (size_t i = 0; i < settings.flows.size(); ++i)
    Print(settings.flows[i], result.flows[i]);
  return 0;
}

int Main(int argc, char** argv) {
  Arguments arguments;
  const options::options_description description = Describe(&arguments);
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") > 0) {
      std::printf("%s", (std::stringstream() << description).str().c_str());
      return 0;
    }
    options::notify(values);
  } catch (const options::error& error) {
    std::fprintf(stderr, "load_generator: %s\n", error.what());
    return 2;
  }
  if (!Fill(&arguments)) {
    std::fprintf(stderr, "load_generator: bad --target or --flow\n");
    return 2;
  }
  return Run(arguments.settings);
}

}  // namespace
}  // namespace cuminjunction

int main(int argc, char** argv) {
  return cuminjunction::Main(argc, argv);
}
