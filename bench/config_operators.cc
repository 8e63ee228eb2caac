// The operators of ConfigWorld, and what it records about their changes.

#include <algorithm>
#include <utility>

#include "base/codec.h"
#include "base/strings.h"
#include "bench/config_world.h"

namespace cuminjunction {

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
    DocumentChange submission = {this->Edit(document->second), base,
                                 StrCat("operator-", i), ""};
    submission.change_id = StrCat("change-", ++this->submitted);
    this->SubmitChange(std::move(submission),
                       (entry + i) % this->options.entries);
  }
}

void ConfigWorld::SubmitChange(DocumentChange submission, int entry) {
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
  std::vector<DocumentChange> open = std::move(this->open);
  this->open.clear();
  for (DocumentChange& submission : open) {
    this->table.SetNow(this->now);
    ConfigStore<FaultyTable> store(&this->table);
    Change other;
    const Result<uint64_t> version = store.ResolveOutcome(submission, &other);
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

ConfigWorldResults ConfigWorld::Results() const {
  ConfigWorldResults out = this->results;
  for (const auto& [version, accepted] : this->accepted_at) {
    // The first version is the initial configuration, not a change.
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
