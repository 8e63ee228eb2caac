#include "membership/entry_choice.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>

#include "base/strings.h"

namespace cuminjunction {

namespace {

// Whether the entry is avoided, of another region, of a failure domain that is
// taken, and the hash. Lower is better.
using Rank = std::tuple<bool, bool, bool, uint64_t>;

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
  const uint64_t hash = Mix(HashName(
      StrCat(self.name, "|", entry.name, "|", entry.host, ":", entry.port)));
  return {avoided.contains({entry.host, entry.port}),
          entry.region != self.region,
          taken_domains.contains(entry.failure_domain), hash};
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
