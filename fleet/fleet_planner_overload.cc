// FleetPlanner: what entries are told about capacity and queued work.

#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/strings.h"
#include "fleet/fleet_planner.h"

namespace cuminjunction {

void FleetPlanner::SendServiceLoads(absl::Time now) {
  CapacityNotice notice{this->lease.Epoch(),
                        this->scheduler->ServiceLoads(now)};
  this->SetLoadGauges(notice.services);
  this->nodes.SendToEntries(notice);
}

void FleetPlanner::SetLoadGauges(const std::vector<ServiceLoad>& loads) {
  constexpr char capacity_name[] = "planner_capacity_millicores";
  constexpr char backlog_name[] = "planner_backlog_seconds";
  std::map<std::string, std::map<std::string, double>> values;
  for (const ServiceLoad& load : loads) {
    const auto capacity = static_cast<double>(load.capacity_millicores);
    values[capacity_name][StrCat("service=\"", load.service, "\"")] = capacity;
    for (const QueuedWork& queued : load.queued) {
      if (capacity > 0)
        values[backlog_name][StrCat("service=\"", load.service,
                                    "\",priority=\"", queued.priority, "\"")] +=
            static_cast<double>(queued.work) / capacity / 1000;
    }
  }
  for (const auto& [name, labels] : std::exchange(this->load_labels, {})) {
    for (const std::string& label : labels)
      values[name].emplace(label, 0);
  }
  for (const auto& [name, by_label] : values) {
    for (const auto& [label, value] : by_label) {
      this->metrics->GetGauge(name, label).Set(value);
      this->load_labels[name].insert(label);
    }
  }
}

}  // namespace cuminjunction
