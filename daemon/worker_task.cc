#include "daemon/worker_task.h"

#include <chrono>

namespace cuminjunction {

namespace {

WorkerAgentOptions MakeOptions(const Settings& settings,
                               const std::string& process) {
  WorkerAgentOptions options;
  options.declared.id = settings.name;
  options.declared.capacity = settings.worker.size;
  options.declared.failure_domain = settings.failure_domain;
  options.declared.rack = settings.worker.rack;
  options.declared.region = settings.region;
  options.process = process;
  options.lease.length = absl::Seconds(settings.worker.lease_s);
  options.lease.renewal_interval = absl::Seconds(settings.worker.renewal_s);
  return options;
}

}  // namespace

WorkerTask::WorkerTask(const Settings& settings,
                       const std::string& process,
                       const TaskCharts* charts,
                       Log* log,
                       Metrics* metrics)
    : table(settings.platform.table_url, settings.platform.timeout_ms),
      runtime(settings.worker.runtime_url, settings.platform.timeout_ms),
      agent(MakeOptions(settings, process),
            charts,
            &this->table,
            &this->runtime,
            &this->steady,
            &this->wall,
            log),
      registered(metrics->GetGauge("worker_registered")),
      thread("worker"),
      timer(this->thread.Context()) {
  this->thread.Start();
  this->thread.Post([this] { this->Tick(); });
}

WorkerTask::~WorkerTask() {
  this->thread.Call([this] { this->timer.cancel(); });
  this->thread.Stop();
}

void WorkerTask::Nudge() {
  this->thread.Post([this] {
    this->agent.NotifyRowChanged();
    this->Tick();
  });
}

void WorkerTask::Tick() {
  this->agent.Tick();
  this->registered.Set(this->agent.IsRegistered() ? 1 : 0);
  this->ScheduleTick();
}

void WorkerTask::ScheduleTick() {
  this->timer.expires_after(
      absl::ToChronoMilliseconds(WorkerAgentOptions().list_interval));
  this->timer.async_wait([this](std::error_code error) {
    if (!error)
      this->Tick();
  });
}

}  // namespace cuminjunction
