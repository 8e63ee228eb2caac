#ifndef TESTING_SUPPORT_STORE_STANDIN_H_
#define TESTING_SUPPORT_STORE_STANDIN_H_

// The users' platform store of rows over HTTP, for tests.
//
//   auto store = StoreStandin::Start().value();
//   store->Put("op", "", "config", text);
//   store->SetRefusing(true);        // 503 to every call
//   store->LoseReplies(2);           // carried out, but not answered
//
// It serves the calls that platform/store.h makes: transactions with
// expectations, reads of a range, and the feed of a table.

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/endpoint.h"
#include "base/http_server.h"

namespace cuminjunction {

class StoreStandin {
 public:
  // Starts to serve on loopback. Fails with HttpError.
  static Result<std::unique_ptr<StoreStandin>> Start();
  StoreStandin() = default;
  // Answers the feeds that wait.
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  Endpoint Address() const { return {"127.0.0.1", this->server->Port()}; }

  // Writes a row as another writer would.
  void Put(const std::string& table,
           const std::string& part,
           const std::string& key,
           const std::string& value);

  // Removes a row as another writer would: feeds list it as deleted, until
  // Compact().
  void Remove(const std::string& table,
              const std::string& part,
              const std::string& key);

  // Number of rows in a table.
  size_t CountRows(const std::string& table) const;

  // Version of a row of the system's part; 0 if there is none.
  int64_t RowVersion(const std::string& table, const std::string& key) const;

  // Bytes of the values of a table.
  size_t CountBytes(const std::string& table) const;

  // Answers 503 to every call while set; nothing is done then.
  void SetRefusing(bool refusing);

  // Drops the history: feeds from an earlier version get 410, and removed rows
  // are no longer listed.
  void Compact();

  // The most rows in an answer to a read.
  void SetPageSize(size_t rows);

  // The most rows in an answer of the feed, which does not say that there are
  // more.
  static constexpr size_t kMaxFeedRows = 500;

  // Answers transactions from now on only after this time.
  void SetWriteDelay(absl::Duration delay);

  // Sends each answer to a transaction from now on only this long after it was
  // carried out.
  void SetReplyDelay(absl::Duration delay);

  // Sends each answer of the feed from now on only this long after its rows
  // were read.
  void SetFeedDelay(absl::Duration delay);

  // Number of calls of the feed whose rows were read.
  int FeedReads(const std::string& table) const;

  // Carries out the next transactions without an answer.
  void LoseReplies(int count);

  // Answers 503 to the next transactions, and does nothing, once no reply is to
  // be lost any more.
  void RefuseNextWrites(int count);

  // Leaves the next transactions that write to this table without an answer,
  // and keeps them until CarryOutKept().
  void KeepNextWrites(const std::string& table, int count) {
    this->KeepNextWrites(std::set<std::string>{table}, count);
  }
  // The same for transactions that write to one of these tables.
  void KeepNextWrites(std::set<std::string> tables, int count);

  // Carries out the transactions that were kept, each if its condition holds.
  void CarryOutKept();

  // Drops the transactions that were kept, and keeps no further ones.
  void DropKept();

  // Number of transactions that are kept.
  size_t KeptWrites() const;

  // Number of transactions that wrote to this table.
  int CountWrites(const std::string& table) const;

 private:
  // Table, part and key.
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    int64_t version = 0;
  };

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Transact(const HttpRequest& request);
  // True if the transaction is to be carried out later; takes note of it then.
  bool KeepWrite(const HttpRequest& request);
  HttpResponse Read(const HttpRequest& request);
  HttpResponse Feed(const HttpRequest& request);
  // Waits for a change and reads the rows of the answer.
  HttpResponse ReadFeed(const HttpRequest& request);
  // Called with the mutex held.
  void PutLocked(const Name& name, const std::string& value);
  nlohmann::json RowJson(const Name& name, const Row& row) const;
  bool HasNewer(const std::string& table, int64_t version) const;

  mutable absl::Mutex mutex;
  std::map<Name, Row> rows;
  // Versions at which rows were removed by Remove().
  std::map<Name, int64_t> removed;
  int64_t version = 0;
  int64_t oldest = 0;
  size_t page_size = 500;
  bool refusing = false;
  int lose = 0;
  int refuse_writes = 0;
  std::set<std::string> kept_tables;
  int keep = 0;
  std::vector<HttpRequest> kept;
  std::map<std::string, int> writes;
  absl::Duration write_delay;
  absl::Duration reply_delay;
  absl::Duration feed_delay;
  std::map<std::string, int> feed_reads;
  // Last, so that it stops first.
  std::unique_ptr<HttpServer> server;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_STORE_STANDIN_H_
