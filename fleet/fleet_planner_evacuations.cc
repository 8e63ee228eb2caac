// A planner's handling of evacuated failure domains.

#include <string>

#include "base/time.h"
#include "fleet/evacuation_guard.h"
#include "fleet/fleet_planner.h"

namespace cuminjunction {

void FleetPlanner::SetEvacuations(const EvacuatedDomains& domains) {
  this->evacuations = domains;
  // While this process does not plan, there are no nodes.
  this->nodes.SetEvacuations(domains);
  if (!this->scheduler)
    return;
  const absl::Time now = BootClock().Now();
  this->scheduler->SetEvacuations(domains, now);
  this->evacuated_domains.Set(static_cast<double>(domains.names.size()));
  this->LogEvacuations(now);
  this->SchedulePlan();
}

void FleetPlanner::UpdateStartsHeld(absl::Time now) {
  const bool held = !MayOrderStarts(this->evacuations_as_of, now,
                                    this->nodes.NoEntryReachesStore(now),
                                    this->evacuation_bound);
  this->scheduler->HoldStarts(held);
  if (held == this->starts_held)
    return;
  this->starts_held = held;
  this->log->Write(
      LogLine(held ? "starts_held" : "starts_resumed",
              held ? LogLevel::kWarning : LogLevel::kInfo)
          .Add("epoch", this->lease.Epoch())
          .Add("knowledge_age_ms",
               absl::ToInt64Milliseconds(now - this->evacuations_as_of)));
}

void FleetPlanner::LogEvacuations(absl::Time now) {
  if (now < this->evacuation_lines_from ||
      this->logged_evacuations == this->evacuations)
    return;
  for (const std::string& domain : this->evacuations.names) {
    if (!this->logged_evacuations.Contains(domain))
      this->LogEvacuation("evacuation_begun", domain);
  }
  for (const std::string& domain : this->logged_evacuations.names) {
    if (!this->evacuations.Contains(domain))
      this->LogEvacuation("evacuation_ended", domain);
  }
  this->logged_evacuations = this->evacuations;
}

void FleetPlanner::LogEvacuation(const char* event, const std::string& domain) {
  uint64_t vms = 0;
  uint64_t long_running = 0;
  for (const std::string& agent : this->nodes.Agents()) {
    const Worker* worker = this->scheduler->FindWorker(agent);
    if (worker == nullptr || worker->info.failure_domain != domain)
      continue;
    ++vms;
    for (const auto& [task, placed] : worker->placed)
      long_running += placed.long_running ? 1 : 0;
  }
  // The operator may have misspelt the name of a domain without VMs.
  this->log->Write(
      LogLine(event, vms == 0 ? LogLevel::kWarning : LogLevel::kInfo)
          .Add("domain", domain)
          .Add("epoch", this->lease.Epoch())
          .Add("vms", vms)
          .Add("long_running_tasks", long_running));
}

}  // namespace cuminjunction
