#include "submission/crash.h"

#include <algorithm>
#include <cstddef>

namespace cuminjunction {

namespace {

// A run of this age is no suspect.
constexpr int64_t kMaxSuspectAgeMs = 1000;

// The start of a run of this age did not crash the runner. An agent may notice
// a crash up to 1.7 s late, when the connection stays silent.
constexpr int64_t kMinProvenAgeMs = 3000;

// Ages are known to about this precision, since an agent notices a crash when a
// call fails.
constexpr int64_t kAgePrecisionMs = 100;

// Weights of the evidence of one crash.
constexpr int kOnlySuspectWeight = 3;
constexpr int kSuspectWeight = 2;

// By how much a crash weighs less if the start was pending: that is common for
// sound tasks while replies are lost.
constexpr int kUnconfirmedDiscount = 1;

constexpr int kWeightToIsolate = kSuspectWeight;
constexpr int kWeightToGiveUp = 5;

constexpr size_t kCrashesOfBystander = 4;

// An unconfirmed start may not have happened at all.
constexpr int64_t kMinConfirmedCrashes = 2;

int TotalWeight(const std::vector<CrashRecord>& records) {
  int weight = 0;
  for (const CrashRecord& record : records)
    weight += EvidenceWeight(record);
  return weight;
}

bool HasJustStarted(const LostRun& lost, int64_t limit_ms) {
  return lost.age_ms >= 0 && lost.age_ms <= limit_ms;
}

}  // namespace

std::vector<CrashEvidence> JudgeCrash(const std::vector<LostRun>& runs) {
  int64_t lowest_ms = kMaxSuspectAgeMs;
  for (const LostRun& lost : runs) {
    if (lost.age_ms >= 0)
      lowest_ms = std::min(lowest_ms, lost.age_ms);
  }
  const int64_t limit_ms =
      std::min(kMaxSuspectAgeMs, 2 * lowest_ms + kAgePrecisionMs);
  std::vector<CrashEvidence> evidence(runs.size(), CrashEvidence::kBystander);
  size_t suspects = 0;
  size_t just_started = 0;
  for (size_t i = 0; i < runs.size(); ++i) {
    const bool young = HasJustStarted(runs[i], limit_ms);
    just_started += young ? 1 : 0;
    // A pending start may have been carried out just before the crash.
    if (!young && runs[i].confirmed)
      continue;
    evidence[i] = CrashEvidence::kSuspect;
    ++suspects;
  }
  for (size_t i = 0; i < runs.size(); ++i) {
    if (evidence[i] != CrashEvidence::kSuspect)
      continue;
    const bool only_confirmed = just_started == 1 && runs[i].confirmed;
    if (suspects == 1 || only_confirmed)
      evidence[i] = CrashEvidence::kOnlySuspect;
  }
  return evidence;
}

bool OutlivedItsStart(const LostRun& lost) {
  return lost.confirmed && lost.age_ms > kMinProvenAgeMs;
}

int EvidenceWeight(const CrashRecord& record) {
  const int discount = record.confirmed ? 0 : kUnconfirmedDiscount;
  switch (record.evidence) {
    case CrashEvidence::kBystander:
      return 0;
    case CrashEvidence::kSuspect:
      return kSuspectWeight - discount;
    case CrashEvidence::kOnlySuspect:
      return kOnlySuspectWeight - discount;
  }
  return 0;
}

bool IsSuspect(const std::vector<CrashRecord>& records) {
  return TotalWeight(records) >= kWeightToIsolate;
}

bool ShouldGiveUp(const std::vector<CrashRecord>& records) {
  const auto confirmed =
      std::count_if(records.begin(), records.end(),
                    [](const CrashRecord& record) { return record.confirmed; });
  return confirmed >= kMinConfirmedCrashes &&
         (TotalWeight(records) >= kWeightToGiveUp ||
          records.size() >= kCrashesOfBystander);
}

}  // namespace cuminjunction
