#include "config/state.h"

#include <algorithm>
#include <boost/crc.hpp>

namespace cuminjunction {

namespace {

// CRC-64 of ECMA-182.
using Crc64 = boost::crc_optimal<64, 0x42F0E1EBA9EA3693ULL, 0, 0, false, false>;

}  // namespace

uint64_t SectionDigest(std::string_view name, const Section& section) {
  const std::string version = Encode(section.version);
  Crc64 crc;
  // The separator distinguishes ("a", "bc") from ("ab", "c").
  crc.process_bytes(name.data(), name.size());
  crc.process_byte(0);
  crc.process_bytes(version.data(), version.size());
  crc.process_bytes(section.text.data(), section.text.size());
  return crc.checksum();
}

uint64_t VersionDigest(uint64_t version) {
  return SectionDigest("", {version, ""});
}

SectionTexts ConfigState::Texts() const {
  SectionTexts out;
  for (const auto& [name, section] : this->sections)
    out.emplace(name, section.text);
  return out;
}

uint64_t ConfigState::SectionsDigestAfter(const Delta& delta) const {
  uint64_t out = delta.whole ? 0 : this->sections_digest;
  const auto subtract = [&](const std::string& name) {
    const auto found = this->sections.find(name);
    if (!delta.whole && found != this->sections.end())
      out -= SectionDigest(name, found->second);
  };
  for (const auto& [name, section] : delta.changed) {
    subtract(name);
    out += SectionDigest(name, section);
  }
  for (const auto& [name, removed_at] : delta.removed) {
    // A name on both lists means a damaged delta; the digest then differs.
    subtract(name);
  }
  return out;
}

Result<bool> ConfigState::Apply(const Delta& delta) {
  if (delta.to <= this->version)
    return false;
  if (!delta.whole && delta.from > this->version)
    return ConfigError::kMissingBase;
  const uint64_t new_digest = this->SectionsDigestAfter(delta);
  if (new_digest + VersionDigest(delta.to) != delta.digest)
    return ConfigError::kDamagedDelta;
  if (delta.whole)
    this->Clear();
  for (const auto& [name, section] : delta.changed)
    this->Put(name, section);
  for (const auto& [name, removed_at] : delta.removed)
    this->Remove(name, removed_at);
  this->version = delta.to;
  this->sections_digest = new_digest;
  this->floor = delta.whole ? delta.floor : this->floor;
  this->Prune();
  return true;
}

Delta ConfigState::Since(uint64_t from) const {
  if (from < this->floor || from == 0)
    return this->Whole();
  Delta delta;
  delta.from = from;
  delta.to = this->version;
  delta.digest = this->Digest();
  for (auto it = this->by_version.upper_bound(from);
       it != this->by_version.end(); ++it) {
    for (const std::string& name : it->second) {
      const auto found = this->sections.find(name);
      if (found != this->sections.end())
        delta.changed.emplace(name, found->second);
      else
        delta.removed.emplace(name, it->first);
    }
  }
  return delta;
}

Delta ConfigState::Whole() const {
  Delta delta;
  delta.to = this->version;
  delta.whole = true;
  delta.floor = this->floor;
  delta.digest = this->Digest();
  delta.changed = this->sections;
  delta.removed = this->tombstones;
  return delta;
}

void ConfigState::Clear() {
  this->sections.clear();
  this->tombstones.clear();
  this->by_version.clear();
}

void ConfigState::Unindex(const std::string& name) {
  uint64_t indexed = 0;
  if (const auto found = this->sections.find(name);
      found != this->sections.end())
    indexed = found->second.version;
  else if (const auto tombstone = this->tombstones.find(name);
           tombstone != this->tombstones.end())
    indexed = tombstone->second;
  const auto names = this->by_version.find(indexed);
  if (names == this->by_version.end())
    return;
  names->second.erase(name);
  if (names->second.empty())
    this->by_version.erase(names);
}

void ConfigState::Put(const std::string& name, const Section& section) {
  this->Unindex(name);
  this->tombstones.erase(name);
  this->sections[name] = section;
  this->by_version[section.version].insert(name);
}

void ConfigState::Remove(const std::string& name, uint64_t version) {
  this->Unindex(name);
  this->sections.erase(name);
  this->tombstones[name] = version;
  this->by_version[version].insert(name);
}

void ConfigState::Prune() {
  if (this->version <= kKeptVersions)
    return;
  this->floor = std::max(this->floor, this->version - kKeptVersions);
  std::vector<std::string> expired;
  for (const auto& [name, removed_at] : this->tombstones) {
    if (removed_at <= this->floor)
      expired.push_back(name);
  }
  for (const std::string& name : expired) {
    this->Unindex(name);
    this->tombstones.erase(name);
  }
}

}  // namespace cuminjunction
