#include "testing/soak/faults.h"

#include <algorithm>
#include <csignal>
#include <iterator>
#include <utility>

#include "absl/time/clock.h"
#include "base/strings.h"
#include "fleet/node_row.h"

namespace cuminjunction {
namespace {

// How long the platform waits before it starts a process again.
constexpr absl::Duration kRestartPause = absl::Milliseconds(500);

// A planned stop ends by itself; an entry takes some seconds for it.
constexpr absl::Duration kStopTime = absl::Seconds(7);

// The pauses between faults are those of a fleet of this size or less.
constexpr size_t kSmallFleet = 9;

}  // namespace

void Faults::Step() {
  this->RunDue();
  this->RestartEnded();
  if (absl::Now() >= this->next) {
    this->Inject();
    this->next = absl::Now() + this->Scaled(this->Between(0.1, 1.2));
  }
  if (absl::Now() >= this->next_crash)
    this->next_crash = absl::Now() + this->Scaled(this->CrashRunner());
  if (absl::Now() >= this->next_late)
    this->next_late = absl::Now() + this->Scaled(this->DelayOrders());
  if (absl::Now() >= this->next_late_write)
    this->next_late_write = absl::Now() + this->DelayWrites();
  if (absl::Now() >= this->next_takeover)
    this->next_takeover = absl::Now() + this->DisturbTakeover();
}

absl::Duration Faults::Scaled(absl::Duration pause) const {
  const size_t size = std::max(this->fleet->Nodes().size(), kSmallFleet);
  return pause * (static_cast<double>(kSmallFleet) / static_cast<double>(size));
}

void Faults::HealAll() {
  while (!this->due.empty()) {
    this->RunDue();
    this->RestartEnded();
    absl::SleepFor(absl::Milliseconds(20));
  }
}

void Faults::After(absl::Duration pause, std::function<void()> action) {
  this->due.emplace(absl::Now() + pause, std::move(action));
}

void Faults::RunDue() {
  while (!this->due.empty() && this->due.begin()->first <= absl::Now()) {
    const auto action = std::move(this->due.begin()->second);
    this->due.erase(this->due.begin());
    action();
  }
}

// The platform starts a process again that ends by itself. A process may fail
// to listen when a connection of another one has taken its port meanwhile; any
// other end is a fault.
void Faults::RestartEnded() {
  for (Node* node : this->fleet->StartedNodes()) {
    if (node->busy_until > absl::Now() || !node->process.HasEnded())
      continue;
    this->record->Break(StrCat(node->name, " ended by itself with code ",
                               node->process.ExitCode()));
    node->busy_until = absl::Now() + kRestartPause;
    node->disturbances.Add(absl::Now(), node->busy_until);
    this->After(kRestartPause, [this, node] { this->fleet->StartNode(node); });
  }
}

void Faults::Inject() {
  ++this->count;
  Node* node =
      this->fleet->Nodes()[this->Pick(this->fleet->Nodes().size())].get();
  switch (this->Pick(6)) {
    case 0:
    case 1:
    case 2:
      this->DisturbProcess(node);
      break;
    case 3:
      this->DisturbLink(node, node->store_link.get());
      break;
    case 4:
      if (node->agent)
        this->DisturbLink(node, node->runner_link.get());
      break;
    default:
      if (this->fleet->Nodes().size() <= kSmallFleet ||
          this->Pick(this->fleet->Nodes().size()) < kSmallFleet)
        this->DisturbStore();
      break;
  }
}

void Faults::DisturbProcess(Node* node) {
  if (node->busy_until > absl::Now())
    return;
  absl::Duration length = this->Between(0.2, 2);
  switch (this->Pick(3)) {
    case 0:
      this->Kill(node, length);
      break;
    case 1:
      length = this->Terminate(node);
      break;
    default:
      node->process.Signal(SIGSTOP);
      length = this->Between(0.3, 9);
      this->After(length, [node] { node->process.Signal(SIGCONT); });
      break;
  }
  this->SetBusy(node, length);
}

void Faults::Kill(Node* node, absl::Duration pause) {
  node->process.Signal(SIGKILL);
  node->process.Wait();
  this->After(pause, [this, node] { this->fleet->StartNode(node); });
}

absl::Duration Faults::Terminate(Node* node) {
  node->process.Signal(SIGTERM);
  this->After(kStopTime, [this, node] {
    if (!node->process.Wait())
      this->record->Break(StrCat(node->name, " does not stop"));
    this->fleet->StartNode(node);
  });
  return kStopTime;
}

void Faults::SetBusy(Node* node, absl::Duration length) {
  node->busy_until = absl::Now() + length + absl::Milliseconds(200);
  node->disturbances.Add(absl::Now(), node->busy_until);
}

absl::Duration Faults::DisturbTakeover() {
  const auto between = [this](double least, double most) {
    return absl::Seconds(std::uniform_real_distribution<double>(
        least, most)(this->takeover_random));
  };
  const auto pick = [this](size_t size) {
    return std::uniform_int_distribution<size_t>(
        0, size - 1)(this->takeover_random);
  };
  Node* entry = this->fleet->Entries()[pick(this->fleet->Entries().size())];
  const bool planned = pick(2) == 0;
  const absl::Duration away = between(0.2, 3);
  if (entry->busy_until <= absl::Now()) {
    if (!planned)
      this->Kill(entry, away);
    this->SetBusy(entry, planned ? this->Terminate(entry) : away);
  }
  Node* other = this->fleet->Nodes()[pick(this->fleet->Nodes().size())].get();
  static constexpr LinkFault link_faults[] = {
      LinkFault::kDelayed, LinkFault::kCutToServer, LinkFault::kCutToClient,
      LinkFault::kSilent, LinkFault::kReset};
  const LinkFault fault = link_faults[pick(std::size(link_faults))];
  const absl::Duration begin = between(0, 3);
  const absl::Duration length = between(0.2, 3);
  FaultProxy* link = other->store_link.get();
  this->After(begin, [link, fault] { link->SetFault(fault); });
  this->After(begin + length, [link] { link->SetFault(LinkFault::kNone); });
  other->disturbances.Add(absl::Now() + begin, absl::Now() + begin + length);
  const absl::Duration add_after = between(0, 3);
  if (this->added < this->fleet->LaterAgents().size()) {
    Node* agent = this->fleet->LaterAgents()[this->added++].get();
    this->After(add_after, [this, agent] { this->fleet->StartNode(agent); });
  }
  return between(1, 6);
}

void Faults::DisturbLink(Node* node, FaultProxy* link) {
  static constexpr LinkFault link_faults[] = {
      LinkFault::kDelayed, LinkFault::kCutToServer, LinkFault::kCutToClient,
      LinkFault::kSilent, LinkFault::kReset};
  link->SetFault(link_faults[this->Pick(std::size(link_faults))]);
  const absl::Duration length = this->Between(0.2, 6);
  node->disturbances.Add(absl::Now(), absl::Now() + length);
  this->After(length, [link] { link->SetFault(LinkFault::kNone); });
}

void Faults::DisturbStore() {
  absl::Duration length;
  switch (this->Pick(3)) {
    case 0:
      this->fleet->Store()->SetRefusing(true);
      length = this->Between(0.3, 6);
      this->After(length, [this] { this->fleet->Store()->SetRefusing(false); });
      break;
    case 1:
      this->fleet->Store()->LoseReplies(static_cast<int>(1 + this->Pick(10)));
      break;
    default:
      // A sound store may drop its history at any time.
      this->fleet->Store()->Compact();
      return;
  }
  this->fleet->StoreDisturbances()->Add(absl::Now(), absl::Now() + length);
}

absl::Duration Faults::DelayOrders() {
  const auto between = [this](double least, double most) {
    return std::uniform_real_distribution<double>(least,
                                                  most)(this->late_random);
  };
  const std::vector<Node*>& agents = this->fleet->Agents();
  std::uniform_int_distribution<size_t> number(0, agents.size() - 1);
  const Node* node = agents[number(this->late_random)];
  const double share = between(0.3, 0.6);
  const absl::Duration delay = absl::Seconds(between(0.5, 4));
  const absl::Duration length = absl::Seconds(between(1, 6));
  node->runner->DelayCalls(share, delay,
                           static_cast<uint32_t>(this->late_random()));
  this->After(length,
              [node] { node->runner->DelayCalls(0, absl::ZeroDuration(), 0); });
  return absl::Seconds(between(0.3, 2));
}

absl::Duration Faults::DelayWrites() {
  const auto between = [this](double least, double most) {
    return absl::Seconds(std::uniform_real_distribution<double>(
        least, most)(this->write_random));
  };
  StoreStandin* store = this->fleet->Store();
  // Enough for all attempts of some callers, who then give up.
  store->KeepNextWrites(kSubmissionTable, 1000);
  const absl::Duration length = between(0.5, 4);
  const absl::Duration delay = between(0.1, 6);
  this->After(length, [store] { store->KeepNextWrites(kSubmissionTable, 0); });
  this->After(length + delay, [store] { store->CarryOutKept(); });
  // Cancellations must hold meanwhile, so this is no excuse for a start.
  return length + delay + between(1, 6);
}

absl::Duration Faults::CrashRunner() {
  const std::vector<Node*>& agents = this->fleet->Agents();
  std::uniform_int_distribution<size_t> number(0, agents.size() - 1);
  Node* node = agents[number(this->crash_random)];
  node->runner->Crash();
  // Its connections break, and it refuses others until it is back.
  FaultProxy* link = node->runner_link.get();
  link->SetFault(LinkFault::kReset);
  node->disturbances.Add(absl::Now(), absl::Now() + RunnerStandin::kTimeDown);
  this->After(RunnerStandin::kTimeDown,
              [link] { link->SetFault(LinkFault::kNone); });
  return absl::Seconds(
      std::uniform_real_distribution<double>(0.5, 4)(this->crash_random));
}

}  // namespace cuminjunction
