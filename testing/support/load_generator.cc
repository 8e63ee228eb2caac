#include "testing/support/load_generator.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <memory>
#include <thread>

#include "base/strings.h"
#include "testing/support/load_thread.h"

namespace cuminjunction {

namespace {

constexpr std::string_view kEndNames[kCallEndCount] = {
    "answered",     "not-run",  "unknown",      "broken",
    "wrong-answer", "not-sent", "not-connected"};

template <class T>
void AppendAll(const std::vector<T>& from, std::vector<T>* to) {
  to->insert(to->end(), from.begin(), from.end());
}

void AddTo(const LoadFlowResult& part, LoadFlowResult* whole) {
  whole->sent += part.sent;
  whole->answered_in_time += part.answered_in_time;
  AppendAll(part.latencies_us, &whole->latencies_us);
  for (size_t i = 0; i < kCallEndCount; ++i) {
    whole->ends[i] += part.ends[i];
    AppendAll(part.keys[i], &whole->keys[i]);
  }
}

template <class T>
bool ReadNumber(std::string_view text, T* number) {
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), *number);
  return read.ec == std::errc() && read.ptr == text.data() + text.size();
}

bool SetField(std::string_view key, std::string_view value, LoadFlow* flow) {
  if (key == "service")
    flow->service = value;
  else if (key == "account")
    flow->account = value;
  else if (key == "urgency")
    flow->urgency = value;
  else if (key == "method")
    flow->method = value;
  else if (key == "send_key")
    flow->send_key = value == "1";
  else if (key == "resends")
    return ReadNumber(value, &flow->resends);
  else if (key == "rate")
    return ReadNumber(value, &flow->per_second) && flow->per_second > 0;
  else if (key == "timeout_ms")
    return ReadNumber(value, &flow->timeout_ms) && flow->timeout_ms > 0;
  else
    return false;
  return true;
}

}  // namespace

std::string_view ToString(CallEnd end) {
  return kEndNames[static_cast<size_t>(end)];
}

double LoadFlowResult::InTime() const {
  return this->sent == 0 ? 0
                         : static_cast<double>(this->answered_in_time) /
                               static_cast<double>(this->sent);
}

double LoadFlowResult::Quantile(double probability) const {
  if (this->latencies_us.empty())
    return 0;
  std::vector<uint32_t> sorted = this->latencies_us;
  const auto place =
      static_cast<std::ptrdiff_t>(probability * (sorted.size() - 1.0));
  std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
  return sorted[static_cast<size_t>(place)];
}

LoadResult RunLoad(const LoadSettings& settings) {
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::unique_ptr<LoadThread>> parts;
  std::vector<std::thread> threads;
  parts.reserve(static_cast<size_t>(settings.threads));
  threads.reserve(static_cast<size_t>(settings.threads));
  for (int i = 0; i < settings.threads; ++i)
    parts.push_back(std::make_unique<LoadThread>(settings, i, start));
  for (const auto& part : parts)
    threads.emplace_back([&part] { part->Run(); });
  LoadResult result;
  result.flows.resize(settings.flows.size());
  for (size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    for (size_t flow = 0; flow < result.flows.size(); ++flow)
      AddTo(parts[i]->Result().flows[flow], &result.flows[flow]);
  }
  return result;
}

Result<LoadFlow> ParseLoadFlow(std::string_view text) {
  LoadFlow flow;
  for (const std::string& part : StrSplit(text, ',')) {
    const size_t equals = part.find('=');
    if (equals == std::string::npos ||
        !SetField(std::string_view(part).substr(0, equals),
                  std::string_view(part).substr(equals + 1), &flow))
      return std::make_error_code(std::errc::invalid_argument);
  }
  return flow;
}

Result<LoadTarget> ParseLoadTarget(std::string_view text) {
  LoadTarget target;
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos ||
      !ReadNumber(text.substr(colon + 1), &target.port))
    return std::make_error_code(std::errc::invalid_argument);
  target.host = text.substr(0, colon);
  return target;
}

}  // namespace cuminjunction
