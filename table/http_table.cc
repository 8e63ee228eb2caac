#include "table/http_table.h"

#include <utility>

#include "absl/time/clock.h"
#include "table/wire.h"

namespace cuminjunction {

HttpTable::HttpTable(std::string url, int64_t timeout_ms)
    : url(std::move(url)), timeout_ms(timeout_ms) {}

Result<HttpResponse> HttpTable::Send(const HttpRequest& request) {
  return this->client.Send(this->url, request,
                           absl::Now() + absl::Milliseconds(this->timeout_ms));
}

Result<Row> HttpTable::Read(const std::string& key) {
  BOOST_OUTCOME_TRY(body, ReadAnswerOfRead<TableError>(this->Send(
                              {"GET", "/table/row", {{"key", key}}, {}, ""})));
  const Result<nlohmann::json> json = ParseJson(body);
  if (!json)
    return TableError::kMalformed;
  Result<Row> row = RowFromJson(json.value());
  if (!row)
    return TableError::kMalformed;
  return row;
}

Result<std::vector<Row>> HttpTable::ScanSince(const std::string& prefix,
                                              uint64_t version,
                                              int limit) {
  BOOST_OUTCOME_TRY(body, ReadAnswerOfRead<TableError>(
                              this->Send({"GET",
                                          "/table/rows",
                                          {{"prefix", prefix},
                                           {"since", std::to_string(version)},
                                           {"limit", std::to_string(limit)}},
                                          {},
                                          ""})));
  const Result<nlohmann::json> json = ParseJson(body);
  if (!json)
    return TableError::kMalformed;
  Result<std::vector<Row>> rows = RowsFromJson(json.value());
  if (!rows)
    return TableError::kMalformed;
  return rows;
}

Result<uint64_t> HttpTable::Commit(const Transaction& transaction) {
  BOOST_OUTCOME_TRY(
      body,
      ReadAnswer<TableError>(this->Send(
          {"POST", "/table/commit", {}, {}, ToJson(transaction).dump()})));
  // An answer that can't be read does not tell whether the commit happened.
  const Result<nlohmann::json> json = ParseJson(body);
  if (!json || !json.value().is_object() || !json.value().contains("version") ||
      !json.value()["version"].is_number_unsigned())
    return TableError::kUnknownOutcome;
  return json.value()["version"].get<uint64_t>();
}

}  // namespace cuminjunction
