#include "daemon/store_reader.h"

#include <chrono>
#include <utility>

namespace cuminjunction {

namespace {

// A change must be in force within 4 s. Reading once a second leaves time to
// distribute it to the agents.
constexpr std::chrono::milliseconds kReadInterval(1000);

}  // namespace

StoreReader::StoreReader(const std::string& table_url,
                         int64_t timeout_ms,
                         Listener listener,
                         Log* log)
    : table(table_url, timeout_ms),
      listener(std::move(listener)),
      log(log),
      thread("store-reader"),
      timer(this->thread.Context()) {
  this->thread.Start();
  this->thread.Post([this] { this->Read(); });
}

StoreReader::~StoreReader() {
  this->thread.Call([this] { this->timer.cancel(); });
  this->thread.Stop();
}

void StoreReader::ReadNow() {
  this->thread.Post([this] { this->Read(); });
}

void StoreReader::Resync() {
  this->thread.Post([this] {
    this->cursor = {};
    this->Read();
  });
}

void StoreReader::Read() {
  auto delta = ReadStore(&this->table, &this->cursor);
  this->SetReachable(delta.has_value());
  if (delta)
    this->listener(std::move(delta.value()));
  this->ScheduleRead();
}

void StoreReader::ScheduleRead() {
  this->timer.expires_after(kReadInterval);
  this->timer.async_wait([this](std::error_code error) {
    if (!error)
      this->Read();
  });
}

void StoreReader::SetReachable(bool is_reachable) {
  if (this->reachable.exchange(is_reachable) == is_reachable)
    return;
  this->log->Write(
      LogLine(is_reachable ? "store_reachable" : "store_lost",
              is_reachable ? LogLevel::kInfo : LogLevel::kWarning));
}

}  // namespace cuminjunction
