#ifndef REQUEST_ATTEMPTS_H_
#define REQUEST_ATTEMPTS_H_

// What an entry knows about one request: its attempts and what is certain
// about them. No sockets and no clocks.
//
//   RequestAttempts attempts(&chart, /*idempotent=*/false);
//   Result<uint32_t> attempt = attempts.Send();
//   if (attempts.Refuse(attempt.value())) ...   // may send another one
//   ...
//   Outcome outcome = attempts.GiveUp();
//
// A non-idempotent request has one outstanding attempt at most, and gets
// another one only while it is certain that no earlier one has run. Reports
// about an attempt that is not outstanding (late, crossed, duplicated) return
// false and change nothing.

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/chart.h"
#include "base/error.h"
#include "request/types.h"

namespace cuminjunction {

enum class AttemptError {
  // The request has its outcome.
  kEnded = 1,
  // A non-idempotent request has an attempt that runs or may have run.
  kMayRunTwice,
  // The chart file does not define the states and events of a request.
  kBadChart,
};

template <>
struct ErrorTraits<AttemptError> {
  static constexpr const char* kCategory = "attempt";
  static std::string_view Message(AttemptError error);
};

enum class RequestState : uint8_t {
  kReady,
  kCertain,
  kUncertain,
  kOpen,
  kAnswered,
  kNotRun,
  kUnknown,
};
inline constexpr int kRequestStateCount = 7;

enum class RequestEvent : uint8_t {
  kSend,
  kRefuse,
  kBreak,
  kSpoil,
  kAnswer,
  kGiveUp,
};
inline constexpr int kRequestEventCount = 6;

// The chart of charts/request.yaml as a table, so that a step on the request
// path costs no search by name.
class RequestChart {
 public:
  // Fails with kBadChart when the chart lacks a state or an event of the enums
  // above, has another one, or starts elsewhere than in kReady.
  static Result<RequestChart> Compile(const Chart& chart);

  std::optional<RequestState> Next(RequestState state,
                                   RequestEvent event) const {
    return this->next[static_cast<size_t>(state)][static_cast<size_t>(event)];
  }

 private:
  std::array<std::array<std::optional<RequestState>, kRequestEventCount>,
             kRequestStateCount>
      next;
};

class RequestAttempts {
 public:
  // `chart` must outlive this object.
  RequestAttempts(const RequestChart* chart, bool idempotent)
      : chart(chart), idempotent(idempotent) {}

  // Starts the next attempt and returns its number, which counts from 1. Fails
  // with kEnded or kMayRunTwice.
  Result<uint32_t> Send();

  // True when Send() would succeed.
  bool MaySend() const;

  // The attempt certainly has not run and will not: it was refused before its
  // start or was never written to a socket.
  bool Refuse(uint32_t attempt);

  // The attempt was written, may have run and will not answer.
  bool Break(uint32_t attempt);

  // The whole answer of the attempt arrived.
  bool Answer(uint32_t attempt);

  // Ends the request without an answer. Returns kNotRun only when no attempt
  // may have run; returns the earlier outcome when there is one.
  Outcome GiveUp();

  // The outcome, once there is one.
  std::optional<Outcome> Ended() const;

  bool IsOutstanding(uint32_t attempt) const;
  size_t OutstandingCount() const { return this->outstanding.size(); }
  uint32_t Count() const { return this->count; }
  RequestState State() const { return this->state; }

 private:
  bool Step(RequestEvent event);
  bool Remove(uint32_t attempt);

  const RequestChart* chart;
  bool idempotent;
  RequestState state = RequestState::kReady;
  uint32_t count = 0;
  std::vector<uint32_t> outstanding;
};

}  // namespace cuminjunction

#endif  // REQUEST_ATTEMPTS_H_
