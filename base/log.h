#ifndef BASE_LOG_H_
#define BASE_LOG_H_

// Structured logs: one JSON object a line.
//
//   log->Write(LogLine("route")
//                  .Add("request", id)
//                  .Add("upstream", name)
//                  .Add("estimate_ms", 3.2));
//
// A line is built on the thread that decides and handed over as a string; a
// writer thread passes whole batches to log4cplus, so that a decision is not
// delayed by the output. When the output is slower than the lines for long,
// lines are dropped and counted; the count is logged. Lines of one event beyond
// the rate of log_limit.h are left out and counted as well.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"

namespace cuminjunction {

// Appends `text` to `out` as a JSON string with quotes.
void AppendJsonString(std::string_view text, std::string* out);

enum class LogLevel { kInfo, kWarning, kError };

// One JSON object under construction.
class LogLine {
 public:
  explicit LogLine(std::string_view event, LogLevel level = LogLevel::kInfo);

  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, const char* value);
  LogLine& Add(std::string_view key, int64_t value);
  LogLine& Add(std::string_view key, uint64_t value);
  LogLine& Add(std::string_view key, int value);
  LogLine& Add(std::string_view key, double value);
  LogLine& Add(std::string_view key, bool value);
  LogLine& Add(std::string_view key, std::error_code error);
  // Adds a value that is JSON already.
  LogLine& AddJson(std::string_view key, std::string_view json);

  const std::string& Event() const { return this->event; }

  // The finished object with a line feed.
  std::string Finish() const;

 private:
  void Key(std::string_view key);

  std::string event;
  std::string text;
};

// Where log lines go: "-" for standard output, "" for nowhere, else a file
// that is appended to.
class Log {
 public:
  explicit Log(const std::string& path);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // Queues a line. Callable from any thread.
  void Write(const LogLine& line);

  // Waits until all lines queued before are with log4cplus.
  void Flush();

 private:
  struct Writer;
  std::unique_ptr<Writer> writer;
};

}  // namespace cuminjunction

#endif  // BASE_LOG_H_
