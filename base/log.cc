#include "base/log.h"

#include <climits>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <atomic>
#include <cmath>
#include <cstdio>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/log_limit.h"
#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

// Lines queued beyond this many bytes are dropped.
constexpr size_t kMaxQueuedBytes = 8 * 1024 * 1024;

// How long the writer gathers lines before it passes them on.
constexpr absl::Duration kBatchInterval = absl::Milliseconds(10);

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

// How often the number of lines left out is logged.
constexpr absl::Duration kLeftOutInterval = absl::Seconds(1);

// log4cplus is initialized once in a process and shut down at its end.
void InitializeLog4cplus() {
  static log4cplus::Initializer initializer;
}

log4cplus::SharedAppenderPtr MakeAppender(const std::string& path) {
  log4cplus::SharedAppenderPtr appender;
  if (path == "-") {
    appender = new log4cplus::ConsoleAppender(/*logToStdErr=*/false,
                                              /*immediateFlush=*/true);
  } else {
    appender = new log4cplus::FileAppender(path, std::ios_base::app,
                                           /*immediateFlush=*/true);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m"));
  return appender;
}

}  // namespace

void AppendJsonString(std::string_view text, std::string* out) {
  out->push_back('"');
  for (const char c : text) {
    switch (c) {
      case '"':
        out->append("\\\"");
        break;
      case '\\':
        out->append("\\\\");
        break;
      case '\n':
        out->append("\\n");
        break;
      case '\r':
        out->append("\\r");
        break;
      case '\t':
        out->append("\\t");
        break;
      default:
        // Control characters and bytes above ASCII are escaped one by one, so
        // that bytes of a caller that are not UTF-8 can't break the line.
        if (static_cast<unsigned char>(c) < 0x20 ||
            static_cast<unsigned char>(c) >= 0x7f) {
          StrAppend(out, "\\u00",
                    absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
        } else {
          out->push_back(c);
        }
    }
  }
  out->push_back('"');
}

LogLine::LogLine(std::string_view event, LogLevel level) : event(event) {
  this->text.reserve(256);
  StrAppend(&this->text,
            "{\"time_us\":", absl::ToUnixMicros(SystemClock().Now()),
            ",\"level\":\"", LevelName(level), "\",\"event\":");
  AppendJsonString(event, &this->text);
}

void LogLine::Key(std::string_view key) {
  this->text.push_back(',');
  AppendJsonString(key, &this->text);
  this->text.push_back(':');
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  this->Key(key);
  AppendJsonString(value, &this->text);
  return *this;
}

LogLine& LogLine::Add(std::string_view key, const char* value) {
  return this->Add(key, std::string_view(value));
}

LogLine& LogLine::Add(std::string_view key, int64_t value) {
  this->Key(key);
  StrAppend(&this->text, value);
  return *this;
}

LogLine& LogLine::Add(std::string_view key, uint64_t value) {
  this->Key(key);
  StrAppend(&this->text, value);
  return *this;
}

LogLine& LogLine::Add(std::string_view key, int value) {
  return this->Add(key, static_cast<int64_t>(value));
}

LogLine& LogLine::Add(std::string_view key, double value) {
  this->Key(key);
  // JSON has no infinity and no NaN.
  if (std::isfinite(value))
    StrAppend(&this->text, value);
  else
    this->text.append("null");
  return *this;
}

LogLine& LogLine::Add(std::string_view key, bool value) {
  this->Key(key);
  this->text.append(value ? "true" : "false");
  return *this;
}

LogLine& LogLine::Add(std::string_view key, std::error_code error) {
  return this->Add(key, std::string_view(StrCat(error.category().name(), ": ",
                                                error.message())));
}

LogLine& LogLine::AddJson(std::string_view key, std::string_view json) {
  this->Key(key);
  this->text.append(json);
  return *this;
}

std::string LogLine::Finish() const {
  return StrCat(this->text, "}\n");
}

struct Log::Writer {
  explicit Writer(const std::string& path);
  ~Writer();

  void Run();
  void WriteBatch();
  bool HasWork() const { return this->stopping || !this->queued.empty(); }
  // Appends the numbers of lines left out, when they are due.
  void AppendLeftOut(std::string* batch);

  log4cplus::Logger logger;
  absl::Mutex mutex;
  absl::Mutex output_mutex;
  std::string queued;
  uint64_t dropped = 0;
  LogLimit limit;
  absl::Time next_left_out = absl::InfinitePast();
  bool stopping = false;
  std::thread thread;
};

Log::Writer::Writer(const std::string& path) {
  InitializeLog4cplus();
  // Each Log has a logger of its own, so that two logs of one process (as in
  // tests) don't write into one another's files.
  static std::atomic<int> next_id = 0;
  this->logger = log4cplus::Logger::getInstance(
      StrCat("cuminjunction", next_id.fetch_add(1)));
  this->logger.setAdditivity(false);
  this->logger.addAppender(MakeAppender(path));
  this->thread = std::thread([this] { this->Run(); });
}

Log::Writer::~Writer() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
  }
  this->thread.join();
  this->WriteBatch();
  this->logger.removeAllAppenders();
}

void Log::Writer::Run() {
  for (;;) {
    {
      absl::MutexLock lock(&this->mutex);
      // Without lines the thread sleeps, since each wake-up costs processor
      // time.
      const absl::Duration wait = this->limit.HasLeftOut()
                                      ? kLeftOutInterval
                                      : absl::InfiniteDuration();
      this->mutex.AwaitWithTimeout(absl::Condition(this, &Writer::HasWork),
                                   wait);
      this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                   kBatchInterval);
      if (this->stopping)
        return;
    }
    this->WriteBatch();
  }
}

void Log::Writer::WriteBatch() {
  absl::MutexLock output_lock(&this->output_mutex);
  std::string batch;
  uint64_t batch_dropped = 0;
  {
    absl::MutexLock lock(&this->mutex);
    batch.swap(this->queued);
    std::swap(batch_dropped, this->dropped);
    this->AppendLeftOut(&batch);
  }
  if (batch_dropped > 0) {
    batch.append(LogLine("log_lines_dropped", LogLevel::kWarning)
                     .Add("count", batch_dropped)
                     .Finish());
  }
  // In pieces of whole lines: a pipe takes a write of up to PIPE_BUF bytes in
  // whole, and a longer one may be cut off by a reader that is behind.
  size_t begin = 0;
  while (begin < batch.size()) {
    size_t end = batch.size();
    if (end - begin > PIPE_BUF) {
      end = batch.rfind('\n', begin + PIPE_BUF - 1) + 1;
      // A line that is longer than a piece goes out by itself.
      if (end <= begin)
        end = batch.find('\n', begin) + 1;
    }
    this->logger.log(log4cplus::INFO_LOG_LEVEL,
                     batch.substr(begin, end - begin));
    begin = end;
  }
}

void Log::Writer::AppendLeftOut(std::string* batch) {
  const absl::Time now = BootClock().Now();
  if (!this->limit.HasLeftOut() ||
      (now < this->next_left_out && !this->stopping))
    return;
  this->next_left_out = now + kLeftOutInterval;
  for (const auto& [event, count] : this->limit.TakeLeftOut()) {
    batch->append(LogLine("log_lines_left_out", LogLevel::kWarning)
                      .Add("of", event)
                      .Add("count", count)
                      .Finish());
  }
}

Log::Log(const std::string& path) {
  if (!path.empty())
    this->writer = std::make_unique<Writer>(path);
}

Log::~Log() = default;

void Log::Write(const LogLine& line) {
  if (!this->writer)
    return;
  const std::string text = line.Finish();
  const absl::Time now = BootClock().Now();
  absl::MutexLock lock(&this->writer->mutex);
  if (!this->writer->limit.Allow(line.Event(), now))
    return;
  if (this->writer->queued.size() + text.size() > kMaxQueuedBytes)
    ++this->writer->dropped;
  else
    this->writer->queued.append(text);
}

void Log::Flush() {
  if (this->writer)
    this->writer->WriteBatch();
}

}  // namespace cuminjunction
