#include "submission/worker.h"

namespace cuminjunction {

void Occupy(Worker* worker, const TaskRef& task, const Placed& placed) {
  Vacate(worker, task);
  worker->placed[task] = placed;
  worker->used = worker->used + CountedSize(placed.size, placed.fills);
  if (placed.fills) {
    worker->fill_millicores += placed.size.millicores;
    ++worker->filling;
  }
  if (placed.serves)
    ++worker->serving;
}

void Vacate(Worker* worker, const TaskRef& task) {
  const auto found = worker->placed.find(task);
  if (found == worker->placed.end())
    return;
  const Placed& placed = found->second;
  worker->used = worker->used - CountedSize(placed.size, placed.fills);
  if (placed.fills) {
    worker->fill_millicores -= placed.size.millicores;
    --worker->filling;
  }
  if (placed.serves)
    --worker->serving;
  worker->placed.erase(found);
}

std::string RackOf(const RunnerInfo& info) {
  return info.labels.size() > 1 ? info.labels[1] : "";
}

}  // namespace cuminjunction
