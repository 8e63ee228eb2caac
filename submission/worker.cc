#include "submission/worker.h"

namespace cuminjunction {

namespace {

void AddLoad(const PlacedTask& placed,
             std::map<std::string, ImageLoad>* loads) {
  ImageLoad& load = (*loads)[placed.image];
  ++load.tasks;
  load.millicores += placed.size.millicores;
}

void RemoveLoad(const PlacedTask& placed,
                std::map<std::string, ImageLoad>* loads) {
  const auto found = loads->find(placed.image);
  found->second.millicores -= placed.size.millicores;
  if (--found->second.tasks == 0)
    loads->erase(found);
}

}  // namespace

void Occupy(Worker* worker, const TaskRef& task, const PlacedTask& placed) {
  Vacate(worker, task);
  worker->placed[task] = placed;
  worker->used = worker->used + CountedSize(placed.size, placed.fills);
  if (placed.long_running)
    worker->long_running_millicores += placed.size.millicores;
  if (placed.fills) {
    worker->filling_millicores += placed.size.millicores;
    AddLoad(placed, &worker->filling);
  }
  if (placed.serves) {
    worker->serving_millicores += placed.size.millicores;
    AddLoad(placed, &worker->serving);
  }
}

void Vacate(Worker* worker, const TaskRef& task) {
  const auto found = worker->placed.find(task);
  if (found == worker->placed.end())
    return;
  const PlacedTask& placed = found->second;
  worker->used = worker->used - CountedSize(placed.size, placed.fills);
  if (placed.long_running)
    worker->long_running_millicores -= placed.size.millicores;
  if (placed.fills) {
    worker->filling_millicores -= placed.size.millicores;
    RemoveLoad(placed, &worker->filling);
  }
  if (placed.serves) {
    worker->serving_millicores -= placed.size.millicores;
    RemoveLoad(placed, &worker->serving);
  }
  worker->placed.erase(found);
}

const std::string& RackOf(const RunnerInfo& info) {
  static const std::string none;
  return info.labels.size() > 1 ? info.labels[1] : none;
}

}  // namespace cuminjunction
