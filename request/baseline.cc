#include "request/baseline.h"

#include <algorithm>
#include <iterator>

#include "absl/random/distributions.h"

namespace cuminjunction {

template <int Lanes>
Refusal LaneQueue<Lanes>::Admit(const RequestClass&,
                                double,
                                absl::Time deadline,
                                absl::Time now) {
  if (now >= deadline)
    return Refusal::kDeadline;
  return this->queued.size() < this->settings.max_items ? Refusal::kNone
                                                        : Refusal::kOverload;
}

template <int Lanes>
void LaneQueue<Lanes>::Push(AttemptId id,
                            const RequestClass& request_class,
                            double,
                            absl::Time deadline,
                            absl::Time) {
  const auto lane =
      std::min<size_t>(static_cast<size_t>(request_class.urgency), Lanes - 1);
  this->lanes[lane].push_back({id, deadline});
  this->queued[id] = {lane, std::prev(this->lanes[lane].end())};
}

template <int Lanes>
std::optional<QueueExit> LaneQueue<Lanes>::Pop(absl::Time now) {
  for (std::list<Item>& lane : this->lanes) {
    if (lane.empty())
      continue;
    const Item item = lane.front();
    const bool expired = item.deadline <= now;
    if (!expired && this->running >= this->settings.slots)
      continue;
    lane.pop_front();
    this->queued.erase(item.id);
    this->running += expired ? 0 : 1;
    return QueueExit{item.id, expired ? Refusal::kDeadline : Refusal::kNone};
  }
  return std::nullopt;
}

template <int Lanes>
bool LaneQueue<Lanes>::Remove(AttemptId id) {
  const auto found = this->queued.find(id);
  if (found == this->queued.end())
    return false;
  const Position position = found->second;
  this->queued.erase(found);
  this->lanes[position.first].erase(position.second);
  return true;
}

template <int Lanes>
void LaneQueue<Lanes>::ReleaseSlot(AttemptId,
                                   absl::Duration service_time,
                                   absl::Time) {
  this->running -= 1;
  const double sample_us = absl::ToDoubleMicroseconds(service_time);
  this->service_us += 0.1 * (sample_us - this->service_us);
}

template <int Lanes>
AgentLoad LaneQueue<Lanes>::Load() const {
  AgentLoad load;
  load.running = this->running;
  load.queued = static_cast<uint32_t>(this->queued.size());
  load.slots = this->settings.slots;
  load.service_us = static_cast<uint64_t>(this->service_us);
  load.wait_us = static_cast<uint64_t>(load.queued * this->service_us /
                                       this->settings.slots);
  return load;
}

template class LaneQueue<1>;
template class LaneQueue<kUrgencyCount>;

void RandomChooser::SetUpstreams(const std::vector<UpstreamInfo>& upstreams,
                                 absl::Time) {
  this->by_service.clear();
  for (const UpstreamInfo& info : upstreams) {
    if (info.state != UpstreamState::kReady)
      continue;
    for (const std::string& service : info.services)
      this->by_service[service].push_back(info);
  }
}

Result<UpstreamChoice> RandomChooser::Choose(
    std::string_view service,
    const RequestClass&,
    absl::Time,
    const std::vector<std::string>& excluded,
    absl::BitGenRef random,
    int64_t) {
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end())
    return ChooseError::kUnknownService;
  std::vector<const UpstreamInfo*> available;
  for (const UpstreamInfo& info : found->second) {
    if (std::find(excluded.begin(), excluded.end(), info.name) ==
        excluded.end())
      available.push_back(&info);
  }
  if (available.empty())
    return ChooseError::kAllExcluded;
  const UpstreamInfo& info =
      *available[absl::Uniform<size_t>(random, 0, available.size())];
  UpstreamChoice choice;
  choice.name = info.name;
  choice.host = info.host;
  choice.port = info.port;
  choice.incarnation = info.incarnation;
  return choice;
}

}  // namespace cuminjunction
