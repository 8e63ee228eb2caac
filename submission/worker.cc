#include "submission/worker.h"

namespace cuminjunction {

namespace {

void CountDown(const std::string& image, std::map<std::string, int>* counts) {
  const auto found = counts->find(image);
  if (--found->second == 0)
    counts->erase(found);
}

}  // namespace

void Occupy(Worker* worker, const TaskRef& task, const Placed& placed) {
  Vacate(worker, task);
  worker->placed[task] = placed;
  worker->used = worker->used + CountedSize(placed.size, placed.fills);
  if (placed.fills) {
    worker->fill_millicores += placed.size.millicores;
    ++worker->filling[placed.image];
  }
  if (placed.serves) {
    worker->serving_millicores += placed.size.millicores;
    ++worker->serving[placed.image];
  }
}

void Vacate(Worker* worker, const TaskRef& task) {
  const auto found = worker->placed.find(task);
  if (found == worker->placed.end())
    return;
  const Placed& placed = found->second;
  worker->used = worker->used - CountedSize(placed.size, placed.fills);
  if (placed.fills) {
    worker->fill_millicores -= placed.size.millicores;
    CountDown(placed.image, &worker->filling);
  }
  if (placed.serves) {
    worker->serving_millicores -= placed.size.millicores;
    CountDown(placed.image, &worker->serving);
  }
  worker->placed.erase(found);
}

std::string RackOf(const RunnerInfo& info) {
  return info.labels.size() > 1 ? info.labels[1] : "";
}

}  // namespace cuminjunction
