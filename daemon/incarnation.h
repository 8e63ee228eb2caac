#ifndef DAEMON_INCARNATION_H_
#define DAEMON_INCARNATION_H_

// Identity of one run of a process.

#include <cstdint>
#include <string>

#include "daemon/settings.h"

namespace cuminjunction {

// Milliseconds since the Unix epoch at the start of the process: grows with
// each start on one VM.
uint64_t MakeIncarnation();

// A name that no other run of any process has.
std::string UniqueProcessName(const Settings& settings, uint64_t incarnation);

// Distance between two places: 0 in the same failure domain, 1 in the same
// region, 2 in different regions.
int DistanceBetween(const Settings& here,
                    const std::string& failure_domain,
                    const std::string& region);

}  // namespace cuminjunction

#endif  // DAEMON_INCARNATION_H_
