#include "submission/policy.h"

#include <algorithm>

namespace cuminjunction {

const Queue* FleetPolicy::Find(std::string_view host,
                               std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : this->queues) {
    if (queue.host == host && path.starts_with(queue.prefix) &&
        (best == nullptr || queue.prefix.size() > best->prefix.size()))
      best = &queue;
  }
  return best;
}

const Queue* FleetPolicy::FindByName(std::string_view name) const {
  const auto found =
      std::find_if(this->queues.begin(), this->queues.end(),
                   [&](const Queue& queue) { return queue.name == name; });
  return found == this->queues.end() ? nullptr : &*found;
}

}  // namespace cuminjunction
