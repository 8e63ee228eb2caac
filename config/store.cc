#include "config/store.h"

#include "base/codec.h"

namespace cuminjunction {
namespace config_internal {

Status UpdateBuilder::Add(const Row& row) {
  this->table_version = row.version;
  if (row.key == kHeadKey) {
    const Result<ConfigHead> read = Decode<ConfigHead>(row.value);
    if (!read || row.deleted)
      return ConfigError::kDamagedRow;
    this->head = read.value();
    return Ok();
  }
  if (!row.key.starts_with(kSectionPrefix))
    return Ok();
  const std::string name = row.key.substr(std::string(kSectionPrefix).size());
  if (row.deleted) {
    this->changed.erase(name);
    this->removed.insert(name);
    return Ok();
  }
  Result<Section> section = Decode<Section>(row.value);
  if (!section)
    return ConfigError::kDamagedRow;
  this->removed.erase(name);
  this->changed[name] = std::move(section).value();
  return Ok();
}

Result<Delta> UpdateBuilder::Build(const StoreCursor& cursor) const {
  if (!this->head)
    return ConfigError::kDamagedRow;
  Delta delta;
  delta.from = cursor.config_version;
  delta.to = this->head->version;
  delta.whole = cursor.table_version == 0;
  // Tombstones in the table do not contain the configuration version.
  delta.floor = delta.to;
  delta.digest = this->head->digest;
  delta.changed = this->changed;
  if (!delta.whole) {
    for (const std::string& name : this->removed)
      delta.removed.emplace(name, delta.to);
  }
  return delta;
}

namespace {

Change MakeChange(uint64_t version,
                  const SectionDiff& diff,
                  const DocumentChange& submission,
                  absl::Time now) {
  Change change;
  change.version = version;
  change.operator_name = submission.operator_name;
  change.time_us = ToMicros(now);
  change.change_id = submission.change_id;
  change.section_count = diff.changed.size() + diff.removed.size();
  for (const auto& [name, text] : diff.changed) {
    if (change.sections.size() < kMaxNamesInHistory)
      change.sections.push_back(name);
  }
  for (const std::string& name : diff.removed) {
    if (change.sections.size() < kMaxNamesInHistory)
      change.sections.push_back(name);
  }
  return change;
}

}  // namespace

Transaction MakeTransaction(const ConfigState& state,
                            uint64_t head_table_version,
                            const SectionDiff& diff,
                            const DocumentChange& submission,
                            absl::Time now) {
  const uint64_t version = state.Version() + 1;
  const Change change = MakeChange(version, diff, submission, now);
  ConfigHead head = {version, change.operator_name, change.time_us,
                     change.change_id, state.Digest()};
  head.digest += VersionDigest(version) - VersionDigest(state.Version());
  Transaction transaction;
  transaction.id = change.change_id;
  transaction.expects = {{kHeadKey, head_table_version}};
  const auto subtract = [&](const std::string& name) {
    const auto found = state.Sections().find(name);
    if (found != state.Sections().end())
      head.digest -= SectionDigest(name, found->second);
  };
  for (const auto& [name, text] : diff.changed) {
    const Section section = {version, text};
    subtract(name);
    head.digest += SectionDigest(name, section);
    transaction.writes.push_back({kSectionPrefix + name, Encode(section)});
  }
  for (const std::string& name : diff.removed) {
    subtract(name);
    transaction.writes.push_back({kSectionPrefix + name, std::nullopt});
  }
  transaction.writes.push_back({HistoryKey(version), Encode(change)});
  if (version > kKeptHistory) {
    transaction.writes.push_back(
        {HistoryKey(version - kKeptHistory), std::nullopt});
  }
  transaction.writes.push_back({kHeadKey, Encode(head)});
  return transaction;
}

}  // namespace config_internal
}  // namespace cuminjunction
