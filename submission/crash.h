#ifndef SUBMISSION_CRASH_H_
#define SUBMISSION_CRASH_H_

// Which of the tasks on a runner may have crashed it.
//
//   const std::vector<CrashEvidence> evidence = JudgeCrash(crash.runs);
//   records.push_back({vm, crash.born_ms, run, confirmed, evidence[i]});
//   if (ShouldGiveUp(records)) ...
//
// Load pattern: one task crashes each runner that starts it, and each crash
// takes tens of other runs with it. A crash by itself does not tell which run
// caused it. A run that has just started is more suspicious than one that has
// run for long, so suspects are started again apart from each other and from
// other starts; the next crash then has one suspect.

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/codec.h"
#include "submission/types.h"

namespace cuminjunction {

// A run that ended with its runner.
struct LostRun {
  TaskRef task;
  uint32_t run = 0;
  // The runner had confirmed the start.
  bool confirmed = false;
  // Time from the start to the crash, in milliseconds; negative if the start is
  // not known. For a run that is not confirmed the time from the order, which
  // the runner may have carried out at any time up to the crash.
  int64_t age_ms = -1;

  bool operator==(const LostRun&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->task, this->run, this->confirmed, this->age_ms);
  }
};

// The end of an incarnation of a runner that had not announced it.
struct RunnerCrash {
  // RunnerInfo::born_ms of the incarnation.
  int64_t born_ms = 0;
  std::vector<LostRun> runs;

  bool operator==(const RunnerCrash&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->born_ms, this->runs);
  }
};

enum class CrashEvidence : uint8_t {
  // The run was older than others, or old when nothing had just started.
  kBystander,
  // One of several runs that had, or may have, just started.
  kSuspect,
  // The only run that had just started, or the only one that may have.
  kOnlySuspect,
};

// A crash of a runner, as evidence against a task that it was running.
struct CrashRecord {
  // VM and incarnation of the runner, which identify the crash.
  std::string vm;
  int64_t born_ms = 0;
  uint32_t run = 0;
  bool confirmed = false;
  CrashEvidence evidence = CrashEvidence::kBystander;

  bool operator==(const CrashRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    auto raw = static_cast<uint8_t>(this->evidence);
    archive(this->vm, this->born_ms, this->run, this->confirmed, raw);
    this->evidence = static_cast<CrashEvidence>(raw);
  }
};

// How long no other run is started on a VM before and after the start of a
// suspect.
inline constexpr absl::Duration kSuspectIsolation = absl::Milliseconds(400);

// How long a suspect waits for a VM without recent starts.
inline constexpr absl::Duration kMaxSuspectWait = absl::Milliseconds(1500);

// A long-running suspect that has waited this long starts beside others.
inline constexpr absl::Duration kMaxLongRunningSuspectWait = absl::Seconds(4);

// Returns the evidence against each of the runs, in their order.
std::vector<CrashEvidence> JudgeCrash(const std::vector<LostRun>& runs);

// True if the age of the run rules out that its start crashes runners.
bool OutlivedItsStart(const LostRun& lost);

// How strongly the crash speaks against the task; 0 for a bystander.
int EvidenceWeight(const CrashRecord& record);

// True if a task with these records is started apart from others. One crash
// under one of several unconfirmed starts is too weak for that: there may be
// dozens of them.
bool IsSuspect(const std::vector<CrashRecord>& records);

// True if a task with these records must not be started again. Two crashes with
// a confirmed start are needed at least. They suffice if the task was the only
// suspect of one, or if a third crash speaks against it, confirmed or not.
bool ShouldGiveUp(const std::vector<CrashRecord>& records);

}  // namespace cuminjunction

#endif  // SUBMISSION_CRASH_H_
