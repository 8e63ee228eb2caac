#include "fleet/store_gate.h"

#include <algorithm>

namespace cuminjunction {

bool StoreGate::Add(uint64_t submission,
                    absl::Time deadline,
                    size_t bytes,
                    bool unresolved) {
  if (this->pending.size() >= this->options.max_pending ||
      this->pending_bytes + bytes > this->options.max_pending_bytes)
    return false;
  deadline = std::min(deadline, this->latest_deadline);
  this->deadlines[submission] = deadline;
  this->pending_bytes += bytes;
  Pending& entry = this->pending[{deadline, submission}];
  entry.bytes = bytes;
  entry.unresolved = unresolved;
  entry.direct_unknown = unresolved;
  return true;
}

void StoreGate::Remove(uint64_t submission) {
  const auto found = this->deadlines.find(submission);
  if (found == this->deadlines.end())
    return;
  const auto entry = this->pending.find({found->second, submission});
  this->pending_bytes -= entry->second.bytes;
  this->pending.erase(entry);
  this->deadlines.erase(found);
}

void StoreGate::LimitDeadlines(absl::Time latest) {
  this->latest_deadline = latest;
  std::map<Key, Pending> limited;
  for (auto& [key, entry] : this->pending) {
    const absl::Time deadline = std::min(key.first, latest);
    this->deadlines[key.second] = deadline;
    limited.emplace(Key{deadline, key.second}, entry);
  }
  this->pending.swap(limited);
}

StoreGate::Pending* StoreGate::Find(uint64_t submission) {
  const auto found = this->deadlines.find(submission);
  return found == this->deadlines.end()
             ? nullptr
             : &this->pending.at({found->second, submission});
}

bool StoreGate::IsUncertain(uint64_t submission) const {
  const auto found = this->deadlines.find(submission);
  if (found == this->deadlines.end())
    return false;
  const Pending& entry = this->pending.at({found->second, submission});
  return entry.unresolved || entry.outstanding > 0;
}

bool StoreGate::IsLate(const Attempt& attempt, absl::Time now) const {
  return attempt.in_flight && now - attempt.sent > this->options.late_after;
}

void StoreGate::CountUnsettled(absl::Time now) {
  for (size_t i = 0; i < kRoutes; ++i) {
    Route& route = this->routes[i];
    route.unsettled = 0;
    route.stalled = false;
    for (const auto& [key, entry] : this->pending) {
      const Attempt& attempt = entry.attempts[i];
      route.unsettled += attempt.lost || this->IsLate(attempt, now) ? 1 : 0;
      route.stalled =
          route.stalled ||
          (attempt.in_flight && now - attempt.sent > this->options.relay_after);
    }
  }
}

void StoreGate::WatchPlanner(absl::Time now) {
  const auto index = static_cast<size_t>(StoreRoute::kPlanner);
  Route& route = this->routes[index];
  const bool silent = std::any_of(
      this->pending.begin(), this->pending.end(), [&](const auto& each) {
        const Attempt& attempt = each.second.attempts[index];
        return attempt.in_flight &&
               now - std::max(attempt.sent, route.last_answer) >
                   this->options.planner_silent_after;
      });
  if (silent)
    route.avoided_until = now + this->options.planner_lost_delay;
}

bool StoreGate::IsOpen(const Route& route, absl::Time now) const {
  return !route.silent && now >= route.next_first &&
         route.unsettled < this->options.max_unsettled;
}

bool StoreGate::MaySend(const Key& key,
                        const Pending& entry,
                        StoreRoute route_name,
                        StoreStep step,
                        absl::Time now) const {
  const Route& route = this->routes[static_cast<size_t>(route_name)];
  const Attempt& attempt = entry.attempts[static_cast<size_t>(route_name)];
  if (now < attempt.next_send || now >= key.first)
    return false;
  if (attempt.in_flight) {
    // The store has answered a call that was sent later.
    const bool answer_lost =
        this->IsLate(attempt, now) && route.proof > attempt.sent;
    const bool fence_due =
        step == StoreStep::kFence && attempt.step == StoreStep::kWrite;
    if (!answer_lost && !fence_due)
      return false;
  }
  if (entry.unresolved || entry.outstanding > 0)
    return now >= route.next_repeat &&
           route.outstanding < this->options.max_in_flight_repeats;
  return this->IsOpen(route, now) &&
         route.outstanding < this->options.max_in_flight;
}

StoreSend StoreGate::Send(const Key& key,
                          Pending* entry,
                          StoreRoute route_name,
                          StoreStep step,
                          absl::Time now) {
  Route& route = this->routes[static_cast<size_t>(route_name)];
  Attempt& attempt = entry->attempts[static_cast<size_t>(route_name)];
  // The reply to the earlier send may never come.
  if (attempt.in_flight) {
    entry->unresolved = true;
    if (route_name == StoreRoute::kDirect)
      entry->direct_unknown = true;
  }
  ++route.outstanding;
  if (entry->unresolved || entry->outstanding > 0)
    route.next_repeat = now + this->options.repeat_interval;
  attempt = {.number = this->next_attempt++,
             .sent = now,
             .step = step,
             .in_flight = true};
  ++entry->outstanding;
  return {key.second, attempt.number, route_name, step, key.first};
}

bool StoreGate::TrySend(const Key& key,
                        Pending* entry,
                        const GateConditions& conditions,
                        absl::Time now,
                        std::vector<StoreSend>* sends) {
  const Route& direct = this->routes[static_cast<size_t>(StoreRoute::kDirect)];
  const Route& planner =
      this->routes[static_cast<size_t>(StoreRoute::kPlanner)];
  const Attempt& attempt =
      entry->attempts[static_cast<size_t>(StoreRoute::kDirect)];
  const bool sent_before = entry->unresolved || entry->outstanding > 0;
  const bool late =
      std::any_of(entry->attempts.begin(), entry->attempts.end(),
                  [&](const Attempt& each) { return this->IsLate(each, now); });
  const StoreStep step =
      (entry->unresolved || late) && key.first - now <= this->options.fence_time
          ? StoreStep::kFence
          : StoreStep::kWrite;
  const bool planner_first =
      conditions.store_is_slow && conditions.planner_available &&
      !conditions.planner_is_own && now >= planner.avoided_until;
  if (planner_first &&
      this->MaySend(key, *entry, StoreRoute::kPlanner, step, now)) {
    sends->push_back(this->Send(key, entry, StoreRoute::kPlanner, step, now));
    return true;
  }
  if (planner_first)
    return false;
  if (this->MaySend(key, *entry, StoreRoute::kDirect, step, now)) {
    sends->push_back(this->Send(key, entry, StoreRoute::kDirect, step, now));
    return true;
  }
  const bool relay =
      sent_before
          ? !attempt.in_flight || direct.silent ||
                now - attempt.sent > this->options.relay_after
          : (direct.silent || direct.stalled || now < direct.next_first) &&
                !conditions.planner_is_own;
  if (!conditions.planner_available || !relay ||
      !this->MaySend(key, *entry, StoreRoute::kPlanner, step, now))
    return false;
  sends->push_back(this->Send(key, entry, StoreRoute::kPlanner, step, now));
  return true;
}

GateDecisions StoreGate::Decide(const GateConditions& conditions,
                                absl::Time now) {
  GateDecisions decisions;
  Route& direct = this->routes[static_cast<size_t>(StoreRoute::kDirect)];
  if (conditions.reads_fail != this->reads_failed)
    direct.silent = conditions.reads_fail;
  this->reads_failed = conditions.reads_fail;
  this->CountUnsettled(now);
  this->WatchPlanner(now);
  this->holding = false;
  std::vector<uint64_t> removed;
  for (auto& [key, entry] : this->pending) {
    const bool uncertain = entry.unresolved || entry.outstanding > 0;
    const absl::Time end =
        key.first + (entry.outstanding > 0 ? this->options.reply_slack
                                           : absl::ZeroDuration());
    if (now >= end && uncertain) {
      decisions.unknown.push_back({key.second, !entry.direct_unknown});
      removed.push_back(key.second);
      continue;
    }
    if (this->TrySend(key, &entry, conditions, now, &decisions.sends) ||
        uncertain)
      continue;
    if (key.first - now < this->options.min_store_time) {
      decisions.refused.push_back(key.second);
      removed.push_back(key.second);
    } else {
      this->holding = true;
    }
  }
  for (const uint64_t submission : removed)
    this->Remove(submission);
  decisions.probe =
      !this->pending.empty() && !this->probing && now >= this->next_probe &&
      (direct.silent || direct.unsettled > 0 || conditions.store_is_slow);
  if (decisions.probe) {
    this->probing = true;
    this->next_probe = now + this->options.probe_interval;
  }
  return decisions;
}

void StoreGate::OnReply(const StoreSend& send,
                        absl::Time sent,
                        SendResult result,
                        absl::Time now) {
  Route& route = this->routes[static_cast<size_t>(send.route)];
  --route.outstanding;
  if (result != SendResult::kUnknown) {
    route.last_answer = now;
    route.avoided_until = absl::InfinitePast();
  }
  switch (result) {
    case SendResult::kAnswered:
      // Submissions that wait for their repeat follow at the pace of answers.
      route.next_repeat = absl::InfinitePast();
      route.silent = false;
      route.next_first = absl::InfinitePast();
      route.proof = std::max(route.proof, sent);
      break;
    case SendResult::kNotDone:
      route.next_first = now + this->options.refused_delay;
      break;
    case SendResult::kUnknown:
      if (send.route == StoreRoute::kDirect) {
        if (sent > route.proof)
          route.silent = true;
      } else if (sent > route.last_answer) {
        route.next_first = now + this->options.planner_lost_delay;
        route.avoided_until = route.next_first;
      }
      break;
  }
  Pending* entry = this->Find(send.submission);
  if (entry == nullptr)
    return;
  --entry->outstanding;
  if (result == SendResult::kUnknown) {
    entry->unresolved = true;
    if (send.route == StoreRoute::kDirect)
      entry->direct_unknown = true;
  }
  Attempt& attempt = entry->attempts[static_cast<size_t>(send.route)];
  if (attempt.number != send.attempt)
    return;
  attempt.in_flight = false;
  attempt.lost = result == SendResult::kUnknown;
  if (result == SendResult::kUnknown)
    attempt.next_send = now + this->options.retry_delay;
  else if (result == SendResult::kNotDone)
    attempt.next_send = now + this->options.refused_delay;
}

void StoreGate::OnProbe(bool answered, absl::Time sent, absl::Time /*now*/) {
  this->probing = false;
  if (!answered)
    return;
  Route& direct = this->routes[static_cast<size_t>(StoreRoute::kDirect)];
  direct.silent = false;
  direct.proof = std::max(direct.proof, sent);
}

}  // namespace cuminjunction
