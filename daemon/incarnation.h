#ifndef DAEMON_INCARNATION_H_
#define DAEMON_INCARNATION_H_

// Identity and site of one incarnation of a process.

#include <cstdint>
#include <string>

#include "settings/settings.h"

namespace cuminjunction {

// Returns the incarnation of a process that is starting: the time in
// milliseconds since the Unix epoch, which grows with each start on one VM.
uint64_t MakeIncarnation();

// Returns the process's name from `settings` with its incarnation, which is
// unique among all incarnations of all processes.
std::string UniqueProcessName(const Settings& settings, uint64_t incarnation);

// Returns the network distance from this process (`here`) to a location: 0 in
// the same failure domain, 1 in the same region, 2 in another region.
int DistanceBetween(const Settings& here,
                    const std::string& failure_domain,
                    const std::string& region);

}  // namespace cuminjunction

#endif  // DAEMON_INCARNATION_H_
