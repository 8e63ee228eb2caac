#include "bench/config_world.h"

#include <algorithm>
#include <utility>

#include "base/codec.h"
#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

constexpr int kRegions = 3;
// Contacts and interval of the agents' heartbeats, as in membership/options.h.
constexpr int kHomes = 2;
// Delays and the capacity of the link between regions, from the design page.
constexpr int64_t kLocalDelayUs = 500;
constexpr int64_t kRegionDelayUs = 12000;
constexpr double kLinkBytesPerUs = 30.0 / 8;
// Headers of a frame, TCP and IP.
constexpr size_t kHeaderBytes = 8 + 20 + 20;
constexpr int64_t kPollMs = 1000;
constexpr int64_t kHeartbeatMs = 2500;
constexpr int64_t kDigestMs = 2500;
constexpr int64_t kTickMs = 250;
constexpr int64_t kJoinMs = 2000;
constexpr int64_t kRestartMs = 3000;
// The first document is accepted and distributed before changes begin.
constexpr int64_t kWarmUpMs = 60000;
constexpr int64_t kCoolDownMs = 30000;
constexpr int64_t kSettleMs = 1000;

}  // namespace

ConfigWorld::ConfigWorld(const ConfigWorldOptions& options)
    : options(options), random(options.seed), table(options.seed + 1) {
  const int count = options.entries + options.agents;
  this->places.resize(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i)
    this->places[i].region = i % kRegions;
}

void ConfigWorld::AfterMicros(int64_t us, std::function<void()> run) {
  this->events.push(
      {this->now + absl::Microseconds(us), this->sequence++, std::move(run)});
}

void ConfigWorld::After(int64_t ms, std::function<void()> run) {
  this->AfterMicros(ms * 1000, std::move(run));
}

void ConfigWorld::Repeat(int64_t ms, const std::function<void()>& run) {
  this->After(ms, [this, ms, run] {
    run();
    this->Repeat(ms, run);
  });
}

double ConfigWorld::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

int ConfigWorld::Pick(int count) {
  return std::uniform_int_distribution<int>(0, count - 1)(this->random);
}

int ConfigWorld::HomeOf(int agent, int index) const {
  return (agent * 7 + index * 5) % this->options.entries;
}

int ConfigWorld::Distance(int a, int b) const {
  return this->places[a].region == this->places[b].region ? 1 : 2;
}

void ConfigWorld::Send(int from,
                       int to,
                       size_t bytes,
                       std::function<void()> deliver) {
  this->places[from].bytes += static_cast<int64_t>(bytes);
  this->places[to].bytes += static_cast<int64_t>(bytes);
  if (this->Draw() < this->options.loss)
    return;
  int64_t delay_us = kLocalDelayUs;
  if (this->Distance(from, to) > 1) {
    const int64_t now_us = ToMicros(this->now);
    const auto sending_us =
        static_cast<int64_t>(static_cast<double>(bytes) / kLinkBytesPerUs);
    this->link_busy_until_us =
        std::max(this->link_busy_until_us, now_us) + sending_us;
    delay_us = kRegionDelayUs + this->link_busy_until_us - now_us;
  }
  this->AfterMicros(delay_us, [this, to, deliver = std::move(deliver)] {
    if (this->places[to].is_up)
      deliver();
  });
}

void ConfigWorld::StartPlace(int place) {
  Place& started = this->places[place];
  const bool is_entry = this->IsEntry(place);
  ConfigNodeOptions node;
  node.name = StrCat(place);
  node.expected_peers = is_entry ? this->options.entries - 1
                                 : std::min(kHomes, this->options.entries);
  node.join_deadline = this->now + absl::Milliseconds(kJoinMs);
  node.always_whole = this->options.always_whole && !is_entry;
  started.node = std::make_unique<ConfigNode>(node);
  started.is_up = true;
  started.started_at = this->now;
  started.cursor = {};
  started.known_agents.clear();
  if (is_entry) {
    started.store = std::make_unique<ConfigStore<FaultyTable>>(&this->table);
    this->GreetEntries(place);
    for (int other = 0; other < this->options.entries; ++other) {
      if (other != place && this->places[other].is_up)
        this->LearnAgents(place, other);
    }
  } else {
    for (int i = 0; i < kHomes; ++i)
      this->Heartbeat(place, this->HomeOf(place, i));
  }
  // A node whose peers have nothing new becomes ready without a message.
  this->After(kJoinMs, [this, place] { this->AfterChange(place); });
}

void ConfigWorld::StopPlace(int place) {
  Place& stopped = this->places[place];
  if (stopped.is_ready) {
    this->ready_versions.erase(
        this->ready_versions.find(stopped.node->State().Version()));
  }
  stopped.is_ready = false;
  stopped.is_up = false;
  stopped.store.reset();
  stopped.node.reset();
  ++stopped.incarnation;
  this->NoteInForce();
}

void ConfigWorld::ReplaceSomeone() {
  if (!this->is_running)
    return;
  // Entries are replaced as often as agents in all, so that each kind is met.
  const bool entry = this->Draw() < 0.3;
  const int place =
      entry ? this->Pick(this->options.entries)
            : this->options.entries + this->Pick(this->options.agents);
  if (!this->places[place].is_up)
    return;
  ++this->results.replacements;
  this->StopPlace(place);
  this->After(kRestartMs, [this, place] { this->StartPlace(place); });
}

void ConfigWorld::SetOutage(bool down) {
  StoreFaults faults = this->options.faults;
  faults.down = down;
  this->table.SetFaults(faults);
  if (down) {
    ++this->results.outages;
    this->outage_spans.emplace_back(this->now, absl::InfiniteFuture());
  } else {
    this->outage_spans.back().second = this->now;
  }
}

void ConfigWorld::Tell(int from, int to, size_t bytes) {
  const uint64_t version = this->places[from].node->State().Version();
  this->Send(from, to, bytes, [this, from, to, version] {
    this->places[to].node->OnPeerVersion(StrCat(from), version,
                                         this->Distance(from, to), this->now);
    if (this->IsEntry(to) && !this->IsEntry(from))
      this->places[to].known_agents.insert(from);
    this->AfterChange(to);
  });
}

// The version in a heartbeat and in its acknowledgement adds its own bytes
// only; the rest belongs to the membership.
void ConfigWorld::Heartbeat(int agent, int home) {
  if (!this->places[agent].is_up)
    return;
  const ConfigNotice notice = {this->places[agent].node->State().Version()};
  const size_t bytes = Encode(notice).size();
  this->Tell(agent, home, bytes);
  this->After(2, [this, agent, home, bytes] {
    if (this->places[home].is_up && this->places[agent].is_up)
      this->Tell(home, agent, bytes);
  });
}

void ConfigWorld::GreetEntries(int entry) {
  for (int other = 0; other < this->options.entries; ++other) {
    if (other == entry || !this->places[other].is_up)
      continue;
    this->Tell(entry, other, kHeaderBytes);
    this->Tell(other, entry, kHeaderBytes);
  }
}

// The digests of another entry name its agents.
void ConfigWorld::LearnAgents(int entry, int other) {
  this->Send(other, entry, 0, [this, entry, other] {
    for (const int agent : this->places[other].known_agents) {
      if (this->Distance(agent, entry) == 1 && this->places[agent].is_up) {
        this->places[entry].node->OnPeerVersion(
            StrCat(agent), this->places[agent].node->State().Version(), 1,
            this->now);
      }
    }
    this->AfterChange(entry);
  });
}

void ConfigWorld::Announce(int place) {
  ConfigNode& node = *this->places[place].node;
  const ConfigNotice notice = {node.State().Version()};
  const size_t bytes = Encode(notice).size() + kHeaderBytes;
  for (const std::string& peer : node.DueNotices(this->now))
    this->Tell(place, std::stoi(peer), bytes);
}

void ConfigWorld::Pump(int place) {
  if (!this->places[place].is_up)
    return;
  const auto out = this->places[place].node->Poll(this->now);
  if (out)
    this->Ask(place, *out);
}

void ConfigWorld::Ask(int place, const OutgoingConfigRequest& out) {
  const int peer = std::stoi(out.peer);
  const ConfigRequest request = out.request;
  const size_t bytes = Encode(request).size() + kHeaderBytes;
  this->Send(place, peer, bytes, [this, place, peer, request] {
    for (ConfigPart& part : this->places[peer].node->Answer(request)) {
      const size_t part_bytes = Encode(part).size() + kHeaderBytes;
      this->Send(peer, place, part_bytes,
                 [this, place, peer, part = std::move(part)] {
                   (void)this->places[place].node->OnPart(StrCat(peer), part,
                                                          this->now);
                   this->AfterChange(place);
                 });
    }
  });
  this->After(kConfigRequestTimeoutMs + 1,
              [this, place] { this->Pump(place); });
}

void ConfigWorld::PollStore(int entry) {
  Place& place = this->places[entry];
  if (!place.is_up)
    return;
  this->table.SetNow(this->now);
  auto delta = ReadStore(&this->table, &place.cursor);
  this->NoteHead();
  if (!delta)
    return;
  const int64_t reply_us =
      absl::ToInt64Microseconds(this->table.ReplyAt() - this->now) +
      2 * kRegionDelayUs;
  const int incarnation = place.incarnation;
  this->AfterMicros(
      reply_us, [this, entry, incarnation, delta = std::move(delta).value()] {
        Place& reader = this->places[entry];
        if (!reader.is_up || reader.incarnation != incarnation)
          return;
        if (!delta)
          reader.node->OnStoreUnchanged();
        else if (!reader.node->OnStoreDelta(*delta))
          reader.cursor = {};
        this->AfterChange(entry);
      });
}

void ConfigWorld::AfterChange(int place) {
  if (!this->places[place].is_up)
    return;
  this->NoteReady(place);
  this->Announce(place);
  this->Pump(place);
}

void ConfigWorld::Run() {
  this->table.SetFaults(this->options.faults);
  const int count = static_cast<int>(this->places.size());
  for (int i = 0; i < count; ++i)
    this->StartPlace(i);
  for (int i = 0; i < this->options.entries; ++i) {
    this->After(this->Pick(kPollMs), [this, i] {
      this->Repeat(kPollMs, [this, i] { this->PollStore(i); });
      this->Repeat(kDigestMs, [this, i] {
        if (this->places[i].is_up)
          this->GreetEntries(i);
      });
    });
  }
  for (int i = this->options.entries; i < count; ++i) {
    this->After(this->Pick(kHeartbeatMs), [this, i] {
      this->Repeat(kHeartbeatMs, [this, i] {
        for (int home = 0; home < kHomes; ++home)
          this->Heartbeat(i, this->HomeOf(i, home));
      });
    });
  }
  this->Repeat(kTickMs, [this, count] {
    for (int i = 0; i < count; ++i)
      this->AfterChange(i);
  });
  this->SubmitChange({this->MakeDocument(), 0, "operator-0", "first"}, 0);
  this->After(kWarmUpMs, [this] {
    for (Place& place : this->places)
      place.bytes = 0;
    this->measured_from = this->now;
    this->Repeat(this->options.change_interval_ms,
                 [this] { this->MakeChange(); });
    if (this->options.replacement_interval_ms > 0) {
      this->Repeat(this->options.replacement_interval_ms,
                   [this] { this->ReplaceSomeone(); });
    }
    if (this->options.outage_interval_ms > 0) {
      this->Repeat(this->options.outage_interval_ms, [this] {
        if (!this->is_running)
          return;
        this->SetOutage(true);
        this->After(this->options.outage_ms,
                    [this] { this->SetOutage(false); });
      });
    }
  });
  this->Repeat(kSettleMs, [this] { this->SettleOpen(); });
  absl::Time stop_at = absl::InfiniteFuture();
  while (this->now < stop_at) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
    if (!this->is_running && stop_at == absl::InfiniteFuture()) {
      stop_at =
          this->now + absl::Milliseconds(kCoolDownMs + this->options.outage_ms);
    }
  }
}

}  // namespace cuminjunction
