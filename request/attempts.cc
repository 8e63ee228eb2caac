#include "request/attempts.h"

#include <algorithm>

namespace cuminjunction {

namespace {

constexpr std::array<const char*, kRequestStateCount> kStateNames = {
    "ready", "certain", "uncertain", "open", "answered", "not_run", "unknown"};

constexpr std::array<const char*, kRequestEventCount> kEventNames = {
    "send", "refuse", "break", "spoil", "answer", "give_up"};

template <size_t kSize>
std::optional<size_t> IndexOf(const std::array<const char*, kSize>& names,
                              const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end())
    return std::nullopt;
  return static_cast<size_t>(found - names.begin());
}

}  // namespace

std::string_view ErrorTraits<AttemptError>::Message(AttemptError error) {
  switch (error) {
    case AttemptError::kEnded:
      return "request has its outcome";
    case AttemptError::kMayRunTwice:
      return "non-idempotent request might run twice";
    case AttemptError::kBadChart:
      return "chart does not define the states and events of a request";
  }
  return "unknown attempt error";
}

Result<RequestChart> RequestChart::Compile(const Chart& chart) {
  if (chart.initial != kStateNames[0] ||
      chart.transitions.size() != kStateNames.size() ||
      chart.Events().size() != kEventNames.size())
    return AttemptError::kBadChart;
  RequestChart out;
  for (const auto& [state, events] : chart.transitions) {
    const std::optional<size_t> from = IndexOf(kStateNames, state);
    if (!from)
      return AttemptError::kBadChart;
    for (const auto& [event, target] : events) {
      const std::optional<size_t> by = IndexOf(kEventNames, event);
      const std::optional<size_t> to = IndexOf(kStateNames, target);
      if (!by || !to)
        return AttemptError::kBadChart;
      out.next[*from][*by] = static_cast<RequestState>(*to);
    }
  }
  return out;
}

Result<uint32_t> RequestAttempts::Send() {
  if (this->Ended())
    return AttemptError::kEnded;
  if (!this->MaySend())
    return AttemptError::kMayRunTwice;
  this->Step(RequestEvent::kSend);
  ++this->count;
  this->outstanding.push_back(this->count);
  return this->count;
}

bool RequestAttempts::MaySend() const {
  if (!this->chart->Next(this->state, RequestEvent::kSend))
    return false;
  return this->idempotent || this->state == RequestState::kReady;
}

bool RequestAttempts::Refuse(uint32_t attempt) {
  if (this->Ended() || !this->Remove(attempt))
    return false;
  // With others outstanding the state stays: a refusal adds no uncertainty.
  return !this->outstanding.empty() || this->Step(RequestEvent::kRefuse);
}

bool RequestAttempts::Break(uint32_t attempt) {
  if (this->Ended() || !this->Remove(attempt))
    return false;
  return this->Step(this->outstanding.empty() ? RequestEvent::kBreak
                                              : RequestEvent::kSpoil);
}

bool RequestAttempts::Answer(uint32_t attempt) {
  if (this->Ended() || !this->Remove(attempt))
    return false;
  return this->Step(RequestEvent::kAnswer);
}

Outcome RequestAttempts::GiveUp() {
  if (!this->Ended())
    this->Step(RequestEvent::kGiveUp);
  // A state without the event would be a fault of the chart; kUnknown is the
  // outcome that claims nothing.
  return this->Ended().value_or(Outcome::kUnknown);
}

std::optional<Outcome> RequestAttempts::Ended() const {
  switch (this->state) {
    case RequestState::kAnswered:
      return Outcome::kAnswered;
    case RequestState::kNotRun:
      return Outcome::kNotRun;
    case RequestState::kUnknown:
      return Outcome::kUnknown;
    default:
      return std::nullopt;
  }
}

bool RequestAttempts::IsOutstanding(uint32_t attempt) const {
  return std::find(this->outstanding.begin(), this->outstanding.end(),
                   attempt) != this->outstanding.end();
}

bool RequestAttempts::Step(RequestEvent event) {
  const std::optional<RequestState> next =
      this->chart->Next(this->state, event);
  if (!next)
    return false;
  this->state = *next;
  return true;
}

bool RequestAttempts::Remove(uint32_t attempt) {
  return std::erase(this->outstanding, attempt) > 0;
}

}  // namespace cuminjunction
