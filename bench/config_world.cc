#include "bench/config_world.h"

#include <algorithm>
#include <utility>

#include "base/codec.h"
#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

constexpr int kRegions = 3;
constexpr int kHomes = 3;
// Delays and the capacity of the link between regions, from the design page.
constexpr int64_t kLocalDelayUs = 500;
constexpr int64_t kRegionDelayUs = 12000;
constexpr double kLinkBytesPerUs = 30.0 / 8;
// Headers of a frame, TCP and IP.
constexpr size_t kHeaderBytes = 8 + 20 + 20;
constexpr int64_t kPollMs = 1000;
constexpr int64_t kHeartbeatMs = 1000;
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
  started.announced = 0;
  started.cursor = {};
  started.known_agents.clear();
  if (is_entry) {
    started.store = std::make_unique<ConfigStore<FaultyTable>>(&this->table);
    this->GreetEntries(place);
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

void ConfigWorld::Announce(int entry) {
  Place& place = this->places[entry];
  const uint64_t version = place.node->State().Version();
  if (place.announced >= version)
    return;
  place.announced = version;
  const size_t bytes = Encode(ConfigNotice{version}).size() + kHeaderBytes;
  for (const int agent : place.known_agents)
    this->Tell(entry, agent, bytes);
  for (int other = 0; other < this->options.entries; ++other) {
    if (other != entry)
      this->Tell(entry, other, bytes);
  }
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
  if (this->IsEntry(place))
    this->Announce(place);
  this->Pump(place);
}

Document ConfigWorld::MakeDocument() const {
  Document document;
  document.accounts["growers"] = {"growers", 1, {64000, 245760, 0}};
  for (int i = 0; i < this->options.jobs; ++i) {
    Job job;
    job.name = StrCat("packing-plan-of-the-night-", i);
    job.account = "growers";
    job.size = {1000, 1024, 0};
    job.command = "sleep 2s";
    document.jobs[job.name] = job;
  }
  return document;
}

Document ConfigWorld::Edit(const Document& document) {
  Document next = document;
  auto chosen = std::next(next.jobs.begin(),
                          this->Pick(static_cast<int>(next.jobs.size())));
  const double kind = this->Draw();
  if (kind < 0.1 && next.jobs.size() > 10) {
    next.jobs.erase(chosen);
    return next;
  }
  Job job = chosen->second;
  job.command = StrCat("sleep ", ++this->submitted, "ms");
  if (kind < 0.2)
    job.name = StrCat("another-plan-of-the-night-", this->submitted);
  next.jobs[job.name] = job;
  return next;
}

void ConfigWorld::MakeChange() {
  if (static_cast<int>(this->accepted_at.size()) > this->options.changes) {
    this->is_running = false;
    return;
  }
  const int entry = this->Pick(this->options.entries);
  if (!this->places[entry].is_up || !this->places[entry].is_ready)
    return;
  const uint64_t base = this->places[entry].node->State().Version();
  const auto document = this->documents.find(base);
  if (document == this->documents.end())
    return;
  const int operators = this->Draw() < this->options.race_share ? 2 : 1;
  for (int i = 0; i < operators; ++i) {
    Submission submission = {this->Edit(document->second), base,
                             StrCat("operator-", i), ""};
    submission.change_id = StrCat("change-", ++this->submitted);
    this->SubmitChange(std::move(submission),
                       (entry + i) % this->options.entries);
  }
}

void ConfigWorld::SubmitChange(Submission submission, int entry) {
  if (!this->places[entry].is_up)
    return;
  this->documents_by_id[submission.change_id] = submission.document;
  this->table.SetNow(this->now);
  Change other;
  const Result<uint64_t> version =
      this->places[entry].store->Accept(submission, this->now, &other);
  this->NoteHead();
  if (version) {
    if (this->ids[version.value()] != submission.change_id)
      ++this->results.divergences;
    this->PollStore(entry);
  } else if (version.error() == ConfigError::kConflict) {
    ++this->results.conflicts;
  } else if (version.error() == ConfigError::kUnknownOutcome) {
    this->open.push_back(std::move(submission));
  } else {
    ++this->results.unavailable;
  }
}

// Asks again about changes whose outcome was open.
void ConfigWorld::SettleOpen() {
  std::vector<Submission> open = std::move(this->open);
  this->open.clear();
  for (Submission& submission : open) {
    this->table.SetNow(this->now);
    ConfigStore<FaultyTable> store(&this->table);
    Change other;
    const Result<uint64_t> version = store.Settle(submission, &other);
    this->NoteHead();
    if (!version && version.error() != ConfigError::kConflict) {
      this->open.push_back(std::move(submission));
      continue;
    }
    ++this->results.settled_later;
    const bool was_accepted =
        version && this->ids[version.value()] == submission.change_id;
    if (version && !was_accepted)
      ++this->results.divergences;
  }
}

// Records changes that took effect in the table, late ones too.
void ConfigWorld::NoteHead() {
  const Result<Row> row = this->table.Truth().Read(kHeadKey);
  if (!row)
    return;
  const ConfigHead head = Decode<ConfigHead>(row.value().value).value();
  if (this->accepted_at.contains(head.version))
    return;
  this->accepted_at[head.version] = this->now;
  this->documents[head.version] = this->documents_by_id.at(head.change_id);
  this->ids[head.version] = head.change_id;
  this->digests[head.version] = head.digest;
}

void ConfigWorld::NoteJoin(const Place& place) {
  // The places that start together with the world wait for its first version.
  if (place.incarnation == 0)
    return;
  this->results.join_max_s =
      std::max(this->results.join_max_s,
               absl::ToDoubleSeconds(this->now - place.started_at));
}

void ConfigWorld::NoteReady(int place) {
  Place& noted = this->places[place];
  const ConfigState& state = noted.node->State();
  const uint64_t before = noted.in_force;
  const bool was_ready = noted.is_ready;
  noted.is_ready = noted.node->IsReady(this->now);
  if (!noted.is_ready || (was_ready && state.Version() == before))
    return;
  if (state.Version() > 0 && state.Digest() != this->digests[state.Version()])
    ++this->results.divergences;
  if (was_ready)
    this->ready_versions.erase(this->ready_versions.find(before));
  else
    this->NoteJoin(noted);
  this->ready_versions.insert(state.Version());
  if (state.Version() < before || state.Version() < this->in_force)
    ++this->results.reverts;
  noted.in_force = state.Version();
  this->NoteInForce();
}

void ConfigWorld::NoteInForce() {
  if (this->ready_versions.empty())
    return;
  const uint64_t least = *this->ready_versions.begin();
  for (; this->in_force < least; ++this->in_force)
    this->in_force_at[this->in_force + 1] = this->now;
}

void ConfigWorld::Run() {
  this->table.SetFaults(this->options.faults);
  const int count = static_cast<int>(this->places.size());
  for (int i = 0; i < count; ++i)
    this->StartPlace(i);
  for (int i = 0; i < this->options.entries; ++i) {
    this->After(this->Pick(kPollMs), [this, i] {
      this->Repeat(kPollMs, [this, i] { this->PollStore(i); });
      this->Repeat(kHeartbeatMs, [this, i] {
        if (this->places[i].is_up)
          this->GreetEntries(i);
      });
    });
  }
  for (int i = this->options.entries; i < count; ++i) {
    this->After(this->Pick(kHeartbeatMs), [this, i] {
      auto turn = std::make_shared<int>(0);
      this->Repeat(kHeartbeatMs, [this, i, turn] {
        this->Heartbeat(i, this->HomeOf(i, ++*turn % kHomes));
      });
    });
  }
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

ConfigWorldResults ConfigWorld::Results() const {
  ConfigWorldResults out = this->results;
  for (const auto& [version, accepted] : this->accepted_at) {
    // The first version starts the world and is no change.
    if (version == 1)
      continue;
    const auto found = this->in_force_at.find(version);
    if (found == this->in_force_at.end()) {
      ++out.never_in_force;
      continue;
    }
    absl::Time from = accepted;
    for (const auto& [begin, end] : this->outage_spans) {
      if (begin <= found->second && end >= accepted)
        from = std::min(std::max(from, end), found->second);
    }
    auto* list =
        from == accepted ? &out.in_force_s : &out.in_force_after_outage_s;
    list->push_back(absl::ToDoubleSeconds(found->second - from));
  }
  std::sort(out.in_force_s.begin(), out.in_force_s.end());
  std::sort(out.in_force_after_outage_s.begin(),
            out.in_force_after_outage_s.end());
  for (const Place& place : this->places)
    out.not_ready += place.is_up && !place.is_ready ? 1 : 0;
  int64_t bytes = 0;
  for (size_t i = this->options.entries; i < this->places.size(); ++i)
    bytes += this->places[i].bytes;
  out.bytes_per_node_s = static_cast<double>(bytes) / this->options.agents /
                         absl::ToDoubleSeconds(this->now - this->measured_from);
  for (const auto& [name, section] : this->places[0].node->State().Sections())
    out.document_bytes += name.size() + section.text.size();
  return out;
}

}  // namespace cuminjunction
