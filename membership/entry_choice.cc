#include "membership/entry_choice.h"

#include <cstdint>
#include <map>
#include <tuple>

#include "base/strings.h"

namespace cuminjunction {

namespace {

// Whether the entry is avoided, whether it is of another region, and the hash.
// Lower is better.
using Rank = std::tuple<bool, bool, uint64_t>;

// FNV-1a barely spreads its last bytes over the high bits, by which ranks are
// compared; the finalizer of MurmurHash3 does.
uint64_t Mix(uint64_t hash) {
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccd;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53;
  return hash ^ (hash >> 33);
}

Rank RankEntry(const Member& self,
               const EntryContact& entry,
               const std::set<UdpAddress>& avoided) {
  const uint64_t hash = Mix(HashName(
      StrCat(self.name, "|", entry.name, "|", entry.host, ":", entry.port)));
  return {avoided.contains({entry.host, entry.port}),
          entry.region != self.region, hash};
}

}  // namespace

std::vector<EntryContact> ChooseEntries(
    const Member& self,
    const std::vector<EntryContact>& entries,
    const std::set<UdpAddress>& avoided,
    size_t count) {
  std::map<Rank, EntryContact> ranked;
  for (const EntryContact& entry : entries)
    ranked.emplace(RankEntry(self, entry, avoided), entry);
  std::vector<EntryContact> out;
  for (const auto& [rank, entry] : ranked) {
    if (out.size() < count)
      out.push_back(entry);
  }
  return out;
}

}  // namespace cuminjunction
