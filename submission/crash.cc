#include "submission/crash.h"

#include <algorithm>
#include <cstddef>
#include <limits>

namespace cuminjunction {

namespace {

// A run of this age is no suspect.
constexpr int64_t kMaxSuspectAgeMs = 1000;

// Ages are known to about this precision, since an agent notices a crash when a
// call fails.
constexpr int64_t kAgePrecisionMs = 100;

constexpr int64_t kCrashesOfSuspect = 3;
constexpr int64_t kCrashesOfOnlySuspect = 2;
constexpr int64_t kCrashesOfBystander = 4;

}  // namespace

std::vector<CrashEvidence> JudgeCrash(const std::vector<LostRun>& runs) {
  int64_t lowest_ms = std::numeric_limits<int64_t>::max();
  for (const LostRun& lost : runs) {
    if (lost.age_ms >= 0)
      lowest_ms = std::min(lowest_ms, lost.age_ms);
  }
  std::vector<CrashEvidence> evidence(runs.size(), CrashEvidence::kBystander);
  if (lowest_ms > kMaxSuspectAgeMs)
    return evidence;
  const int64_t limit_ms =
      std::min(kMaxSuspectAgeMs, 2 * lowest_ms + kAgePrecisionMs);
  size_t suspects = 0;
  for (size_t i = 0; i < runs.size(); ++i) {
    if (runs[i].age_ms < 0 || runs[i].age_ms > limit_ms)
      continue;
    evidence[i] = CrashEvidence::kSuspect;
    ++suspects;
  }
  if (suspects == 1)
    std::replace(evidence.begin(), evidence.end(), CrashEvidence::kSuspect,
                 CrashEvidence::kOnlySuspect);
  return evidence;
}

bool IsSuspect(const std::vector<CrashRecord>& records) {
  return std::any_of(records.begin(), records.end(),
                     [](const CrashRecord& record) {
                       return record.evidence != CrashEvidence::kBystander;
                     });
}

bool ShouldGiveUp(const std::vector<CrashRecord>& records) {
  int64_t confirmed = 0;
  int64_t suspect = 0;
  int64_t only_suspect = 0;
  for (const CrashRecord& record : records) {
    if (!record.confirmed)
      continue;
    ++confirmed;
    suspect += record.evidence != CrashEvidence::kBystander ? 1 : 0;
    only_suspect += record.evidence == CrashEvidence::kOnlySuspect ? 1 : 0;
  }
  return suspect >= kCrashesOfSuspect ||
         (suspect >= kCrashesOfOnlySuspect && only_suspect > 0) ||
         (static_cast<int64_t>(records.size()) >= kCrashesOfBystander &&
          confirmed >= kCrashesOfOnlySuspect);
}

}  // namespace cuminjunction
