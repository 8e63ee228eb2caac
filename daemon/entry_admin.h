#ifndef DAEMON_ENTRY_ADMIN_H_
#define DAEMON_ENTRY_ADMIN_H_

// What the administration API of an entry operates on.
//
// Requests come on the threads of the HTTP server. Each part of the entry is
// asked by a message to its own thread; calls of the table go through a client
// of the API's own, one at a time.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "admin/api.h"
#include "base/metrics.h"
#include "config/parse.h"
#include "config/store.h"
#include "daemon/config_task.h"
#include "daemon/planner_task.h"
#include "daemon/store_reader.h"
#include "daemon/version_survey.h"
#include "membership/entry_gossip.h"
#include "request/entry_front.h"
#include "settings/settings.h"
#include "table/http_table.h"
#include "task/operate.h"

namespace cuminjunction {

// The parts of an entry that the API shows or drives. All outlive the API.
struct EntryParts {
  const Settings* settings = nullptr;
  const TaskCharts* charts = nullptr;
  EventThread* control = nullptr;
  EntryGossip* gossip = nullptr;
  VersionSurvey* survey = nullptr;
  ConfigTask* config = nullptr;
  PeerNet* net = nullptr;
  StoreReader* store_reader = nullptr;
  PlannerTask* planner = nullptr;
  std::vector<EntryFront*> shards;
  Metrics* metrics = nullptr;
  Log* log = nullptr;
  // True from the start until a shutdown begins.
  const std::atomic<bool>* serving = nullptr;
};

// Satisfies the concept AdminServices.
class EntryAdmin {
 public:
  // `process` is unique among processes and restarts.
  EntryAdmin(EntryParts parts, const std::string& process);

  AdminReply ApplyConfig(const std::string& text,
                         std::optional<uint64_t> base,
                         const std::string& operator_name);
  AdminReply ValidateConfig(const std::string& text);
  AdminReply DiffConfig(const std::string& text);
  AdminReply GetConfig();
  AdminReply ConfigHistory();
  AdminReply GetStatus();
  AdminReply GetJobs();
  AdminReply StopJob(const std::string& name);
  AdminReply ResumeJob(const std::string& name);
  AdminReply CancelTask(const std::string& id);
  AdminReply RetryTask(const std::string& id);
  AdminReply ReadmitWorker(const std::string& name);
  AdminReply Drain(const std::string& kind, const std::string& name);
  AdminReply ExplainTask(const std::string& id);
  AdminReply ExplainRequest(const std::string& id);
  std::string MetricsText();
  bool IsReady();

 private:
  // The document, or the reply that lists its problems.
  Result<Document> Check(const std::string& text, AdminReply* problems);
  Fleet ReadFleet() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  Result<std::vector<TaskRow>> ReadTasks() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  Result<std::vector<TaskRow>> Tasks();
  AdminReply SetStopped(const std::string& name, bool stopped);
  AdminReply DrainUpstream(const std::string& name);
  std::optional<Explanation> ExplainFromRow(const std::string& id);

  EntryParts parts;
  std::string process;
  absl::Mutex mutex;
  HttpTable table ABSL_GUARDED_BY(mutex);
  ConfigStore<HttpTable> store ABSL_GUARDED_BY(mutex);
  Operator<HttpTable> operations ABSL_GUARDED_BY(mutex);
  uint64_t changes ABSL_GUARDED_BY(mutex) = 0;
};

}  // namespace cuminjunction

#endif  // DAEMON_ENTRY_ADMIN_H_
