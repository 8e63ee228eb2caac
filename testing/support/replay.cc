#include "testing/support/replay.h"

#include <sstream>

namespace cuminjunction {

namespace {

using nlohmann::json;

Result<std::unique_ptr<TraceTarget>> MakeTarget(const json& header) {
  const std::string kind = header.at("trace").get<std::string>();
  if (kind == "request")
    return MakeRequestTarget();
  if (kind == "task")
    return MakeTaskTarget();
  if (kind == "config")
    return MakeConfigTarget();
  return ReplayError::kBadKind;
}

// Whether the outcome has every stated member, also of objects within it.
bool Has(const json& actual, const json& expected) {
  if (!expected.is_object())
    return actual == expected;
  for (const auto& [name, value] : expected.items()) {
    if (!actual.is_object() || !actual.contains(name) ||
        !Has(actual.at(name), value))
      return false;
  }
  return true;
}

class Replay {
 public:
  Result<ReplayReport> Run(const std::string& text, int* line) {
    std::istringstream lines(text);
    std::string current;
    *line = 0;
    while (std::getline(lines, current)) {
      *line = ++this->report.lines;
      BOOST_OUTCOME_TRYV(this->Line(json::parse(current)));
      if (this->report.difference)
        return this->report;
    }
    if (this->report.checked == 0)
      return ReplayError::kNothingStated;
    return this->report;
  }

 private:
  Status Line(const json& input) {
    if (!this->target) {
      BOOST_OUTCOME_TRY(made, MakeTarget(input));
      this->target = std::move(made);
      return Ok();
    }
    const int64_t time_ms = input.at("t").get<int64_t>();
    if (time_ms < this->last_ms)
      return ReplayError::kBadTime;
    this->last_ms = time_ms;
    const absl::Time now = absl::UnixEpoch() + absl::Milliseconds(time_ms);
    BOOST_OUTCOME_TRY(outcome, this->target->Step(input, now));
    if (!input.contains("expect"))
      return Ok();
    ++this->report.checked;
    const json& expected = input.at("expect");
    if (!Has(outcome.members, expected)) {
      this->report.difference = ReplayDifference{
          this->report.lines, expected.dump(), outcome.members.dump()};
    }
    return Ok();
  }

  std::unique_ptr<TraceTarget> target;
  ReplayReport report;
  int64_t last_ms = 0;
};

}  // namespace

std::string_view ErrorTraits<ReplayError>::Message(ReplayError error) {
  switch (error) {
    case ReplayError::kBadLine:
      return "line is malformed";
    case ReplayError::kBadKind:
      return "unknown kind of trace";
    case ReplayError::kBadInput:
      return "unknown input";
    case ReplayError::kBadTime:
      return "time goes back";
    case ReplayError::kNothingStated:
      return "trace states no outcome";
  }
  return "unknown replay error";
}

Result<ReplayReport> ReplayTrace(const std::string& text, int* line) {
  try {
    return Replay().Run(text, line);
  } catch (const json::exception&) {
    return ReplayError::kBadLine;
  }
}

}  // namespace cuminjunction
