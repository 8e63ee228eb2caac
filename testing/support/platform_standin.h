#ifndef TESTING_SUPPORT_PLATFORM_STANDIN_H_
#define TESTING_SUPPORT_PLATFORM_STANDIN_H_

// The platform over HTTP, for tests: table, object store and worker runtimes.
//
//   PlatformStandinOptions options;
//   options.workers = {{.name = "w1", .capacity = {16000, 60 << 10, 0}}};
//   auto standin = PlatformStandin::Start(options).value();
//   HttpTable table(standin->Url());
//   HttpRuntime runtime(standin->Url() + "/worker/w1");
//
// docs/platform.md describes the protocol, the faults and the records.

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/http_server.h"
#include "table/memory_table.h"
#include "table/object_store.h"
#include "testing/support/emulated_worker.h"
#include "testing/support/faulty_store.h"

namespace cuminjunction {

struct PlatformStandinOptions {
  std::string host = "127.0.0.1";
  // 0 lets the system choose.
  uint16_t port = 0;
  uint64_t seed = 1;
  std::vector<EmulatedWorkerOptions> workers;
};

class PlatformStandin {
 public:
  // Starts to serve. Fails with HttpError.
  static Result<std::unique_ptr<PlatformStandin>> Start(
      const PlatformStandinOptions& options);

  uint16_t Port() const { return this->server->Port(); }
  std::string Url() const;

  // Answers one request. Callable from any thread; waits for the delays that
  // are switched on. A status of 0 stands for a lost reply.
  HttpResponse Handle(const HttpRequest& request);

 private:
  struct Worker {
    Worker(const EmulatedWorkerOptions& options, MemoryObjectStore* objects)
        : runtime(options, objects) {}

    EmulatedWorker runtime;
    // Requests get no answer and have no effect; tasks go on.
    bool unreachable = false;
    // Share of commands whose reply is lost after they took effect.
    double lost_reply_share = 0;
  };

  explicit PlatformStandin(const PlatformStandinOptions& options);

  HttpResponse HandleTable(const HttpRequest& request);
  HttpResponse ReadRow(const HttpRequest& request);
  HttpResponse ScanRows(const HttpRequest& request);
  HttpResponse Commit(const HttpRequest& request);
  HttpResponse HandleObject(const HttpRequest& request);
  HttpResponse PutObject(const HttpRequest& request);
  HttpResponse HandleWorker(const HttpRequest& request);
  HttpResponse AddWorker(const HttpRequest& request);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse ShowFaults();
  HttpResponse ShowAttempts();
  HttpResponse ShowViolations();

  // Decides the fate of a call and waits until it is due.
  CallFate WaitForRead(int64_t rows);
  CallFate WaitForWrite(int64_t rows);

  absl::Time Now() const;
  void ApplyLateWrites() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  Status ApplyStoreFaults(const nlohmann::json& json)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  Status ApplyWorkerFaults(const nlohmann::json& json)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  HttpResponse RunCommand(Worker* worker,
                          const std::string& command,
                          const std::string& body)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  std::vector<AttemptRecord> AllRecords() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  absl::Mutex mutex;
  StoreFaultPlan plan ABSL_GUARDED_BY(mutex);
  std::mt19937_64 random ABSL_GUARDED_BY(mutex);
  MemoryTable table;
  MemoryObjectStore objects;
  std::multimap<absl::Time, Transaction> late ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::unique_ptr<Worker>> workers ABSL_GUARDED_BY(mutex);
  // Last, so that it stops before the state it serves goes.
  std::unique_ptr<HttpServer> server;
};

// Reads `name=w1,cores=16,memory_gib=60,accelerators=0,rack=r1,domain=erie-a,
// region=erie`. Fails with WireError.
Result<EmulatedWorkerOptions> ParseWorkerOption(const std::string& text);

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_PLATFORM_STANDIN_H_
