#ifndef REQUEST_ATTEMPTS_H_
#define REQUEST_ATTEMPTS_H_

// State of one request at the entry: its outstanding attempts, and whether an
// earlier one may have run. Uses no sockets and no clocks.
//
//   RequestAttempts attempts(&chart, /*idempotent=*/false);
//   Result<uint32_t> attempt = attempts.StartAttempt();
//   if (attempts.RecordRefused(attempt.value())) ...   // may start another one
//   ...
//   Outcome outcome = attempts.GiveUp();
//
// A non-idempotent request has at most one outstanding attempt, and may start
// another one only while it is certain that no earlier attempt has run. The
// Record...() functions return false and change nothing for an attempt that is
// not outstanding, as after a late, reordered or duplicated message.

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
  // The request already has its final outcome.
  kEnded = 1,
  // A non-idempotent request has an attempt that is running or may have run.
  kMayRunTwice,
  // The chart file does not define the states and events of a request.
  kBadChart,
};

template <>
struct ErrorTraits<AttemptError> {
  static constexpr const char* kCategory = "attempt";
  static std::string_view Message(AttemptError error);
};

// The states of charts/request.yaml, which has the names in quotation marks.
// "Unresolved" means that an attempt that is no longer outstanding may have
// run.
enum class RequestState : uint8_t {
  // "ready": no attempt is outstanding, and none may have run.
  kReady,
  // "certain": attempts are outstanding, and no earlier one may have run.
  kInFlight,
  // "uncertain": attempts are outstanding, and an earlier one may have run.
  kInFlightUnresolved,
  // "open": no attempt is outstanding, and one may have run.
  kUnresolved,
  kAnswered,
  kNotRun,
  kUnknown,
};
inline constexpr int kRequestStateCount = 7;

// The events of charts/request.yaml.
enum class RequestEvent : uint8_t {
  kSend,
  // The last outstanding attempt has not run and will not run.
  kRefuse,
  // The last outstanding attempt may have run and will not be answered.
  kBreak,
  // "spoil": the same for one of several outstanding attempts.
  kBreakOneOfSeveral,
  kAnswer,
  kGiveUp,
};
inline constexpr int kRequestEventCount = 6;

// The state chart of charts/request.yaml as a table, so that a transition on
// the request path needs no look-up by name.
class RequestChart {
 public:
  // Fails with kBadChart when the states and events of the chart differ from
  // the enums above, or its initial state is not kReady.
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

  // Starts the next attempt and returns its number; the first one is 1. Fails
  // with kEnded or kMayRunTwice.
  Result<uint32_t> StartAttempt();

  // True when StartAttempt() would succeed.
  bool CanStartAttempt() const;

  // The attempt certainly has not run and will not run: it was refused before
  // its start, or was never written to a socket.
  bool RecordRefused(uint32_t attempt);

  // The attempt was written to a socket, may have run and will not be answered.
  bool RecordBroken(uint32_t attempt);

  // The whole answer of the attempt arrived.
  bool RecordAnswered(uint32_t attempt);

  // Ends the request without an answer. Returns kNotRun only when no attempt
  // may have run. A request that has ended keeps its outcome, which is
  // returned.
  Outcome GiveUp();

  // The outcome of the request, or nullopt before its end.
  std::optional<Outcome> FinalOutcome() const;

  bool IsOutstanding(uint32_t attempt) const;
  size_t OutstandingCount() const { return this->outstanding.size(); }
  uint32_t Count() const { return this->count; }
  RequestState State() const { return this->state; }

 private:
  bool ApplyEvent(RequestEvent event);
  bool RemoveOutstanding(uint32_t attempt);

  const RequestChart* chart;
  bool idempotent;
  RequestState state = RequestState::kReady;
  uint32_t count = 0;
  std::vector<uint32_t> outstanding;
};

}  // namespace cuminjunction

#endif  // REQUEST_ATTEMPTS_H_
