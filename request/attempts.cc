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
      return "request already has an outcome";
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
      const std::optional<size_t> trigger = IndexOf(kEventNames, event);
      const std::optional<size_t> to = IndexOf(kStateNames, target);
      if (!trigger || !to)
        return AttemptError::kBadChart;
      out.next[*from][*trigger] = static_cast<RequestState>(*to);
    }
  }
  return out;
}

Result<uint32_t> RequestAttempts::StartAttempt() {
  if (this->FinalOutcome())
    return AttemptError::kEnded;
  if (!this->CanStartAttempt())
    return AttemptError::kMayRunTwice;
  this->ApplyEvent(RequestEvent::kSend);
  ++this->count;
  this->outstanding.push_back(this->count);
  return this->count;
}

bool RequestAttempts::CanStartAttempt() const {
  if (!this->chart->Next(this->state, RequestEvent::kSend))
    return false;
  return this->idempotent || this->state == RequestState::kReady;
}

bool RequestAttempts::RecordRefused(uint32_t attempt) {
  if (this->FinalOutcome() || !this->RemoveOutstanding(attempt))
    return false;
  // With other attempts outstanding the state stays the same: a refused attempt
  // has not run.
  return !this->outstanding.empty() || this->ApplyEvent(RequestEvent::kRefuse);
}

bool RequestAttempts::RecordBroken(uint32_t attempt) {
  if (this->FinalOutcome() || !this->RemoveOutstanding(attempt))
    return false;
  return this->ApplyEvent(this->outstanding.empty()
                              ? RequestEvent::kBreak
                              : RequestEvent::kBreakOneOfSeveral);
}

bool RequestAttempts::RecordAnswered(uint32_t attempt) {
  if (this->FinalOutcome() || !this->RemoveOutstanding(attempt))
    return false;
  return this->ApplyEvent(RequestEvent::kAnswer);
}

Outcome RequestAttempts::GiveUp() {
  if (!this->FinalOutcome())
    this->ApplyEvent(RequestEvent::kGiveUp);
  // Without a final outcome the chart lacks a transition for the event;
  // kUnknown is the outcome that is true in any case.
  return this->FinalOutcome().value_or(Outcome::kUnknown);
}

std::optional<Outcome> RequestAttempts::FinalOutcome() const {
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

bool RequestAttempts::ApplyEvent(RequestEvent event) {
  const std::optional<RequestState> next =
      this->chart->Next(this->state, event);
  if (!next)
    return false;
  this->state = *next;
  return true;
}

bool RequestAttempts::RemoveOutstanding(uint32_t attempt) {
  return std::erase(this->outstanding, attempt) > 0;
}

}  // namespace cuminjunction
