#include "membership/entry_choice.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>

#include "base/strings.h"

namespace cuminjunction {

namespace {

// Lower is better.
struct Rank {
  bool is_avoided = false;
  bool is_other_region = false;
  bool is_same_domain = false;
  uint64_t hash = 0;

  auto operator<=>(const Rank&) const = default;
};

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
               const std::set<UdpAddress>& avoided,
               const std::set<std::string>& taken_domains) {
  Rank rank;
  rank.is_avoided = avoided.contains({entry.host, entry.port});
  rank.is_other_region = entry.region != self.region;
  rank.is_same_domain = taken_domains.contains(entry.failure_domain);
  rank.hash = Mix(HashName(
      StrCat(self.name, "|", entry.name, "|", entry.host, ":", entry.port)));
  return rank;
}

}  // namespace

std::vector<EntryContact> ChooseEntries(
    const Member& self,
    const std::vector<EntryContact>& entries,
    const std::set<UdpAddress>& avoided,
    size_t count) {
  std::vector<EntryContact> left = entries;
  std::vector<EntryContact> out;
  std::set<std::string> taken_domains;
  while (out.size() < count && !left.empty()) {
    const auto best =
        std::min_element(left.begin(), left.end(),
                         [&](const EntryContact& a, const EntryContact& b) {
                           return RankEntry(self, a, avoided, taken_domains) <
                                  RankEntry(self, b, avoided, taken_domains);
                         });
    if (!best->failure_domain.empty())
      taken_domains.insert(best->failure_domain);
    out.push_back(*best);
    left.erase(best);
  }
  return out;
}

}  // namespace cuminjunction
