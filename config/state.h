#ifndef CONFIG_STATE_H_
#define CONFIG_STATE_H_

// A set of sections with a version that only increases.
//
//   ConfigState state;
//   Result<bool> applied = state.Apply(delta);   // true: a higher version
//   Delta for_peer = state.Since(peer_version);
//
// Each section stores the version that changed it last, so a delta from any
// retained version can be computed without storing deltas. Each delta carries a
// digest over all sections, which detects damage and divergence before the
// delta is applied.

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

// Number of versions for which removals are retained. At 1,700 changes a day a
// node that was unreachable for 14 hours still gets a delta.
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
  // The delta contains all sections; sections that it does not name are
  // removed.
  bool whole = false;
  // The sender has no record of removals at or below this version.
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

// The digest of one section. The digest of a state is the sum of its section
// digests and its version digest modulo 2^64, so applying a delta only needs
// the digests of the sections it modifies.
uint64_t SectionDigest(std::string_view name, const Section& section);

// The digest of a version. Without it a delta with a damaged, too high version
// would be applied, and the node would ignore the versions that follow.
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

  // Applies a delta. Returns false when its version is not higher. Fails with
  // kMissingBase when it starts above the local version and with kDamagedDelta
  // when the result does not match its digest; the state is then unchanged.
  Result<bool> Apply(const Delta& delta);

  // Returns the delta from version `from` to the local version. It contains all
  // sections when removals since `from` are not retained, and for from = 0.
  Delta Since(uint64_t from) const;

  // Returns a delta with all sections.
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
  // All removals above this version have a tombstone.
  uint64_t floor = 0;
};

}  // namespace cuminjunction

#endif  // CONFIG_STATE_H_
