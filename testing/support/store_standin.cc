#include "testing/support/store_standin.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace cuminjunction {

namespace {

using nlohmann::json;

std::string Query(const HttpRequest& request, const char* key) {
  const auto found = request.query.find(key);
  return found == request.query.end() ? "" : found->second;
}

HttpResponse Answer(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

}  // namespace

Result<std::unique_ptr<StoreStandin>> StoreStandin::Start() {
  auto store = std::make_unique<StoreStandin>();
  HttpServerOptions options;
  // Feeds wait, so each connection has a thread.
  options.threads = 0;
  StoreStandin* self = store.get();
  BOOST_OUTCOME_TRY(
      server, HttpServer::Start(options, [self](const HttpRequest& request) {
        return self->Handle(request);
      }));
  store->server = std::move(server);
  return store;
}

StoreStandin::~StoreStandin() {
  this->SetRefusing(true);
}

void StoreStandin::Put(const std::string& table,
                       const std::string& part,
                       const std::string& key,
                       const std::string& value) {
  absl::MutexLock lock(&this->mutex);
  ++this->version;
  this->PutLocked({table, part, key}, value);
}

void StoreStandin::PutLocked(const Name& name, const std::string& value) {
  this->rows[name] = {value, this->version};
  this->removed.erase(name);
}

void StoreStandin::Remove(const std::string& table,
                          const std::string& part,
                          const std::string& key) {
  absl::MutexLock lock(&this->mutex);
  if (this->rows.erase({table, part, key}) > 0)
    this->removed[{table, part, key}] = ++this->version;
}

size_t StoreStandin::CountRows(const std::string& table) const {
  absl::MutexLock lock(&this->mutex);
  size_t count = 0;
  for (const auto& [name, row] : this->rows)
    count += std::get<0>(name) == table ? 1 : 0;
  return count;
}

int64_t StoreStandin::RowVersion(const std::string& table,
                                 const std::string& key) const {
  const absl::MutexLock lock(&this->mutex);
  const auto found = this->rows.find({table, "fleet", key});
  return found == this->rows.end() ? 0 : found->second.version;
}

size_t StoreStandin::CountBytes(const std::string& table) const {
  absl::MutexLock lock(&this->mutex);
  size_t bytes = 0;
  for (const auto& [name, row] : this->rows) {
    if (std::get<0>(name) == table)
      bytes += row.value.size();
  }
  return bytes;
}

void StoreStandin::SetRefusing(bool value) {
  absl::MutexLock lock(&this->mutex);
  this->refusing = value;
}

void StoreStandin::Compact() {
  absl::MutexLock lock(&this->mutex);
  this->oldest = ++this->version;
  this->removed.clear();
}

void StoreStandin::SetPageSize(size_t value) {
  absl::MutexLock lock(&this->mutex);
  this->page_size = value;
}

void StoreStandin::SetWriteDelay(absl::Duration delay) {
  absl::MutexLock lock(&this->mutex);
  this->write_delay = delay;
}

void StoreStandin::SetReplyDelay(absl::Duration delay) {
  absl::MutexLock lock(&this->mutex);
  this->reply_delay = delay;
}

void StoreStandin::SetFeedDelay(absl::Duration delay) {
  absl::MutexLock lock(&this->mutex);
  this->feed_delay = delay;
}

int StoreStandin::FeedReads(const std::string& table) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->feed_reads.find(table);
  return found == this->feed_reads.end() ? 0 : found->second;
}

void StoreStandin::LoseReplies(int count) {
  absl::MutexLock lock(&this->mutex);
  this->lose = count;
}

void StoreStandin::RefuseNextWrites(int count) {
  absl::MutexLock lock(&this->mutex);
  this->refuse_writes = count;
}

void StoreStandin::KeepNextWrites(std::set<std::string> tables, int count) {
  absl::MutexLock lock(&this->mutex);
  this->kept_tables = std::move(tables);
  this->keep = count;
}

void StoreStandin::CarryOutKept() {
  std::vector<HttpRequest> due;
  {
    absl::MutexLock lock(&this->mutex);
    due.swap(this->kept);
  }
  for (const HttpRequest& request : due)
    this->Transact(request);
}

void StoreStandin::DropKept() {
  absl::MutexLock lock(&this->mutex);
  this->keep = 0;
  this->kept.clear();
}

size_t StoreStandin::KeptWrites() const {
  absl::MutexLock lock(&this->mutex);
  return this->kept.size();
}

int StoreStandin::CountWrites(const std::string& table) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->writes.find(table);
  return found == this->writes.end() ? 0 : found->second;
}

bool StoreStandin::KeepWrite(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  absl::MutexLock lock(&this->mutex);
  if (this->keep == 0 || !body.is_object())
    return false;
  const json& puts = body["setKeys"];
  if (std::none_of(puts.begin(), puts.end(), [this](const json& put) {
        return this->kept_tables.contains(put["table"].get<std::string>());
      }))
    return false;
  --this->keep;
  this->kept.push_back(request);
  return true;
}

HttpResponse StoreStandin::Handle(const HttpRequest& request) {
  absl::Duration delay;
  absl::Duration delay_of_reply;
  {
    absl::MutexLock lock(&this->mutex);
    if (this->refusing)
      return Answer(503, json::object());
    delay = this->write_delay;
    delay_of_reply = this->reply_delay;
  }
  if (request.path == "/v1/rows-tx") {
    absl::SleepFor(delay);
    if (this->KeepWrite(request))
      return Answer(0, json::object());
    HttpResponse response = this->Transact(request);
    absl::SleepFor(delay_of_reply);
    return response;
  }
  if (request.path == "/v1/rows-get")
    return this->Read(request);
  if (request.path == "/v1/rows-feed")
    return this->Feed(request);
  return Answer(404, json::object());
}

json StoreStandin::RowJson(const Name& name, const Row& row) const {
  return {{"table", std::get<0>(name)},
          {"part", std::get<1>(name)},
          {"key", std::get<2>(name)},
          {"value", absl::Base64Escape(row.value)},
          {"schemaVersion", row.version}};
}

HttpResponse StoreStandin::Transact(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object())
    return Answer(400, json::object());
  absl::MutexLock lock(&this->mutex);
  if (this->refuse_writes > 0 && this->lose == 0) {
    --this->refuse_writes;
    return Answer(503, json::object());
  }
  json current = json::array();
  bool conflict = false;
  for (const json& expect : body["expect"]) {
    const Name name = {expect["table"], expect["part"], expect["key"]};
    const auto found = this->rows.find(name);
    const int64_t held = found == this->rows.end() ? 0 : found->second.version;
    conflict = conflict || held != expect["schemaVersion"].get<int64_t>();
    if (found != this->rows.end())
      current.push_back(this->RowJson(name, found->second));
  }
  if (conflict)
    return Answer(412, {{"rows", current}, {"schemaVersion", this->version}});
  ++this->version;
  std::set<std::string> written;
  for (const json& put : body["setKeys"])
    written.insert(put["table"]);
  for (const std::string& table : written)
    ++this->writes[table];
  for (const json& put : body["setKeys"]) {
    std::string value;
    absl::Base64Unescape(put["value"].get<std::string>(), &value);
    this->PutLocked({put["table"], put["part"], put["key"]}, value);
  }
  for (const json& remove : body["remove"])
    this->rows.erase({remove["table"], remove["part"], remove["key"]});
  HttpResponse response = Answer(200, {{"schemaVersion", this->version}});
  if (this->lose > 0) {
    --this->lose;
    response.status = 0;
  }
  return response;
}

HttpResponse StoreStandin::Read(const HttpRequest& request) {
  const std::string limit = Query(request, "limit");
  absl::MutexLock lock(&this->mutex);
  const size_t most = limit.empty() ? this->page_size
                                    : std::strtoul(limit.c_str(), nullptr, 10);
  json list = json::array();
  bool more = false;
  for (const auto& [name, row] : this->rows) {
    if (std::get<0>(name) != Query(request, "table") ||
        std::get<1>(name) != Query(request, "part") ||
        std::get<2>(name) < Query(request, "from"))
      continue;
    if (list.size() == most) {
      more = true;
      break;
    }
    list.push_back(this->RowJson(name, row));
  }
  return Answer(
      200,
      {{"rows", list}, {"hasMore", more}, {"schemaVersion", this->version}});
}

bool StoreStandin::HasNewer(const std::string& table, int64_t after) const {
  for (const auto& [name, row] : this->rows) {
    if (std::get<0>(name) == table && row.version > after)
      return true;
  }
  return std::any_of(
      this->removed.begin(), this->removed.end(), [&](const auto& removal) {
        return std::get<0>(removal.first) == table && removal.second > after;
      });
}

HttpResponse StoreStandin::Feed(const HttpRequest& request) {
  HttpResponse response = this->ReadFeed(request);
  absl::Duration delay;
  {
    absl::MutexLock lock(&this->mutex);
    ++this->feed_reads[Query(request, "table")];
    delay = this->feed_delay;
  }
  absl::SleepFor(delay);
  return response;
}

HttpResponse StoreStandin::ReadFeed(const HttpRequest& request) {
  const std::string table = Query(request, "table");
  const int64_t after =
      std::strtoll(Query(request, "after").c_str(), nullptr, 10);
  const int64_t wait_ms =
      std::strtoll(Query(request, "waitMs").c_str(), nullptr, 10);
  absl::MutexLock lock(&this->mutex);
  const auto ready = [&] {
    return this->refusing || after < this->oldest ||
           this->HasNewer(table, after);
  };
  this->mutex.AwaitWithTimeout(absl::Condition(&ready),
                               absl::Milliseconds(wait_ms));
  if (after < this->oldest)
    return Answer(410, json::object());
  std::multimap<int64_t, json> changes;
  for (const auto& [name, row] : this->rows) {
    if (std::get<0>(name) == table && row.version > after)
      changes.emplace(row.version, this->RowJson(name, row));
  }
  for (const auto& [name, removed_at] : this->removed) {
    if (std::get<0>(name) != table || removed_at <= after)
      continue;
    json row = this->RowJson(name, {"", removed_at});
    row["deleted"] = true;
    changes.emplace(removed_at, std::move(row));
  }
  json list = json::array();
  for (auto& [row_version, row] : changes) {
    if (list.size() < kMaxFeedRows)
      list.push_back(std::move(row));
  }
  return Answer(200, {{"rows", list}, {"schemaVersion", this->version}});
}

}  // namespace cuminjunction
