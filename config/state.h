#ifndef CONFIG_STATE_H_
#define CONFIG_STATE_H_

// A versioned set of sections that only moves to higher versions.
//
//   ConfigState state;
//   Result<bool> applied = state.Apply(delta);   // true: a higher version
//   Delta for_peer = state.Since(peer_version);
//
// Each section knows the version that changed it last, so a delta from any
// kept version is found without keeping deltas themselves. A digest over all
// sections, carried by each delta, shows damage and divergence before anything
// is taken over.

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/codec.h"
#include "config/error.h"
#include "config/sections.h"

namespace cuminjunction {

// Versions for which removals are kept. At 1,700 changes a day a node that was
// away for 14 hours still gets a delta.
inline constexpr uint64_t kKeptVersions = 1000;

// A section's text and the configuration version that changed it last.
struct Section {
  uint64_t version = 0;
  std::string text;

  auto operator<=>(const Section&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->text);
  }
};

// The sections that changed after version `from`, up to `to`.
struct Delta {
  uint64_t from = 0;
  uint64_t to = 0;
  // The delta holds all sections, and those that it does not name are gone.
  bool whole = false;
  // Removals at or below this version are not known to the sender.
  uint64_t floor = 0;
  // Digest of the version `to` and of all sections at it.
  uint64_t digest = 0;
  std::map<std::string, Section> changed;
  // Removed sections and the version that removed them.
  std::map<std::string, uint64_t> removed;

  bool operator==(const Delta&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->to, this->whole, this->floor, this->digest,
            this->changed, this->removed);
  }
};

// The part of a section in the digest. Digests are sums of these and of the
// version's part modulo 2^64, so a delta changes a digest by the sections it
// touches only.
uint64_t SectionDigest(std::string_view name, const Section& section);

// The part of the version. Without it damage to a delta's version would make a
// node refuse what follows.
uint64_t VersionDigest(uint64_t version);

// Not thread-safe.
class ConfigState {
 public:
  uint64_t Version() const { return this->version; }
  uint64_t Digest() const {
    return this->sections_digest + VersionDigest(this->version);
  }
  const std::map<std::string, Section>& Sections() const {
    return this->sections;
  }
  SectionTexts Texts() const;

  // Takes a delta over. Returns false when it leads to no higher version. Fails
  // with kMissingBase when it starts above the version held and with
  // kDamagedDelta when its result does not have its digest; nothing changes
  // then.
  Result<bool> Apply(const Delta& delta);

  // The delta from version `from` to the one held; a whole one when removals
  // since `from` are not known, and for from = 0.
  Delta Since(uint64_t from) const;

  // A delta with all sections.
  Delta Whole() const;

 private:
  uint64_t SectionsDigestAfter(const Delta& delta) const;
  void Clear();
  void Put(const std::string& name, const Section& section);
  void Remove(const std::string& name, uint64_t version);
  void Unindex(const std::string& name);
  void Prune();

  uint64_t version = 0;
  uint64_t sections_digest = 0;
  std::map<std::string, Section> sections;
  std::map<std::string, uint64_t> tombstones;
  // Names of sections and tombstones by version.
  std::map<uint64_t, std::set<std::string>> by_version;
  // Tombstones above this version are complete.
  uint64_t floor = 0;
};

}  // namespace cuminjunction

#endif  // CONFIG_STATE_H_
