#include "submission/placement_search.h"

namespace cuminjunction {

namespace {

bool IsLighter(const WorkerOrder::Entry& a, const WorkerOrder::Entry& b) {
  return a.load < b.load;
}

}  // namespace

void WorkerOrder::Reset(const std::vector<Worker*>& workers) {
  this->entries.clear();
  this->entries.reserve(workers.size());
  for (Worker* worker : workers)
    this->entries.push_back({UsedShare(*worker), worker});
  std::stable_sort(this->entries.begin(), this->entries.end(), IsLighter);
}

void WorkerOrder::Reposition(const std::vector<Worker*>& changed) {
  for (Worker* worker : changed) {
    const auto current = std::find_if(
        this->entries.begin(), this->entries.end(),
        [worker](const Entry& entry) { return entry.worker == worker; });
    if (current == this->entries.end())
      continue;
    current->load = UsedShare(*worker);
    const auto target =
        std::upper_bound(current + 1, this->entries.end(), *current, IsLighter);
    std::rotate(current, current + 1, target);
  }
}

bool UnplaceableShapes::Covers(const Shape& shape) const {
  return std::any_of(
      this->shapes.begin(), this->shapes.end(), [&](const Shape& known) {
        return known.service == shape.service && known.fills == shape.fills &&
               (known.waiting_image.empty() ||
                known.waiting_image == shape.waiting_image) &&
               Fits(known.size, shape.size);
      });
}

}  // namespace cuminjunction
