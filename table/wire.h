#ifndef TABLE_WIRE_H_
#define TABLE_WIRE_H_

// JSON forms of the platform's HTTP protocol, for its clients and for the
// stand-in that serves it. docs/platform.md describes the protocol.
//
//   std::string body = ToJson(transaction).dump();
//   Result<Transaction> read = TransactionFromJson(ParseJson(body).value());
//
// Row values are bytes, which JSON can't hold, so they travel as base64.

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/http_server.h"
#include "table/object_store.h"
#include "table/runtime.h"
#include "table/table.h"

namespace cuminjunction {

enum class WireError { kMalformed = 1 };

template <>
struct ErrorTraits<WireError> {
  static constexpr const char* kCategory = "wire";
  static std::string_view Message(WireError error);
};

// Parses a JSON text. Fails with kMalformed.
Result<nlohmann::json> ParseJson(const std::string& text);

nlohmann::json ToJson(const Row& row);
nlohmann::json ToJson(const Transaction& transaction);
nlohmann::json ToJson(const TaskStart& start);
nlohmann::json ToJson(const RuntimeState& state);
nlohmann::json ToJson(const Size& size);

// The readers fail with kMalformed when a field is missing or has another type.
Result<Row> RowFromJson(const nlohmann::json& json);
Result<std::vector<Row>> RowsFromJson(const nlohmann::json& json);
Result<Transaction> TransactionFromJson(const nlohmann::json& json);
Result<TaskStart> TaskStartFromJson(const nlohmann::json& json);
Result<RuntimeState> RuntimeStateFromJson(const nlohmann::json& json);
Result<Size> SizeFromJson(const nlohmann::json& json);

// An error of the protocol: its name in a body and its HTTP status.
template <class E>
struct WireErrorName {
  E error;
  std::string_view name;
  int status;
};

template <class E>
struct WireErrors;

template <>
struct WireErrors<TableError> {
  static constexpr std::array<WireErrorName<TableError>, 5> kNames = {
      {{TableError::kConflict, "conflict", 409},
       {TableError::kUnavailable, "unavailable", 503},
       {TableError::kUnknownOutcome, "unknown_outcome", 504},
       {TableError::kNotFound, "not_found", 404},
       {TableError::kMalformed, "malformed", 400}}};
};

template <>
struct WireErrors<ObjectError> {
  static constexpr std::array<WireErrorName<ObjectError>, 3> kNames = {
      {{ObjectError::kUnavailable, "unavailable", 503},
       {ObjectError::kUnknownOutcome, "unknown_outcome", 504},
       {ObjectError::kNotFound, "not_found", 404}}};
};

template <>
struct WireErrors<RuntimeError> {
  static constexpr std::array<WireErrorName<RuntimeError>, 5> kNames = {
      {{RuntimeError::kUnavailable, "unavailable", 503},
       {RuntimeError::kUnknownOutcome, "unknown_outcome", 504},
       {RuntimeError::kNotFound, "not_found", 404},
       {RuntimeError::kAlreadyRunning, "already_running", 409},
       {RuntimeError::kLeaseExpired, "lease_expired", 412}}};
};

// {"error": {"code", "category", "message"}}.
HttpResponse MakeErrorResponse(int status,
                               std::string_view name,
                               std::string_view category,
                               std::string_view message);

// The response that reports an error of a protocol.
template <class E>
HttpResponse ErrorResponse(E error) {
  for (const WireErrorName<E>& known : WireErrors<E>::kNames) {
    if (known.error == error) {
      return MakeErrorResponse(known.status, known.name,
                               ErrorTraits<E>::kCategory,
                               ErrorTraits<E>::Message(error));
    }
  }
  return MakeErrorResponse(500, "internal", ErrorTraits<E>::kCategory, "");
}

// The code of an error body, "" when the body is none.
std::string ErrorCodeOf(const HttpResponse& response);

// The body of a successful answer, or the error that a call ended with. The
// code in the body decides, not the status: a 503 of a load balancer in between
// does not tell whether the platform saw the request.
template <class E>
Result<std::string> ReadAnswer(const Result<HttpResponse>& answer) {
  if (!answer) {
    return answer.error() == HttpError::kNotSent ? E::kUnavailable
                                                 : E::kUnknownOutcome;
  }
  if (answer.value().status == 200)
    return answer.value().body;
  const std::string code = ErrorCodeOf(answer.value());
  for (const WireErrorName<E>& known : WireErrors<E>::kNames) {
    if (known.name == code)
      return known.error;
  }
  return E::kUnknownOutcome;
}

// A read has no effect, so an answer that was lost is as good as a refusal.
template <class E>
Result<std::string> ReadAnswerOfRead(const Result<HttpResponse>& answer) {
  Result<std::string> body = ReadAnswer<E>(answer);
  if (!body && body.error() == E::kUnknownOutcome)
    return E::kUnavailable;
  return body;
}

}  // namespace cuminjunction

#endif  // TABLE_WIRE_H_
