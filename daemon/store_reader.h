#ifndef DAEMON_STORE_READER_H_
#define DAEMON_STORE_READER_H_

// Reads the changes of the configuration from the table once a second, on its
// own thread.

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/event_thread.h"
#include "base/log.h"
#include "config/store.h"
#include "table/http_table.h"

namespace cuminjunction {

class StoreReader {
 public:
  // Called on the reader's thread after each successful read; `delta` is
  // nullopt if nothing has changed.
  using Listener = std::function<void(std::optional<Delta> delta)>;

  // `log` must outlive this object.
  StoreReader(const std::string& table_url,
              int64_t timeout_ms,
              Listener listener,
              Log* log);
  ~StoreReader();
  StoreReader(const StoreReader&) = delete;
  StoreReader& operator=(const StoreReader&) = delete;

  // Reads at once, for instance after this process accepted a change.
  void ReadNow();

  // Reads the whole configuration again, after a delta that could not be
  // applied.
  void Resync();

  // True if the last read succeeded.
  bool IsReachable() const { return this->reachable.load(); }

 private:
  void Read();
  void ScheduleRead();
  void SetReachable(bool is_reachable);

  HttpTable table;
  Listener listener;
  Log* log;
  StoreCursor cursor;
  std::atomic<bool> reachable = false;
  EventThread thread;
  boost::asio::steady_timer timer;
};

}  // namespace cuminjunction

#endif  // DAEMON_STORE_READER_H_
