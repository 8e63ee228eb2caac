#ifndef DAEMON_STORE_READER_H_
#define DAEMON_STORE_READER_H_

// Follows the configuration in the table once a second, on a thread of its own.

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
  // `listener` is called on the reader's thread after each successful read,
  // with nullopt when nothing has changed. `log` must outlive this object.
  using Listener = std::function<void(std::optional<Delta> delta)>;

  StoreReader(const std::string& table_url,
              int64_t timeout_ms,
              Listener listener,
              Log* log);
  ~StoreReader();
  StoreReader(const StoreReader&) = delete;
  StoreReader& operator=(const StoreReader&) = delete;

  // Reads now, for instance after a change was accepted here.
  void ReadNow();

  // Reads everything anew, after a delta that did not fit.
  void StartOver();

  // Whether the last read succeeded.
  bool IsReachable() const { return this->reachable.load(); }

 private:
  void Read();
  void ScheduleRead();
  void NoteReachable(bool is_reachable);

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
