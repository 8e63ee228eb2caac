#ifndef MEMBERSHIP_ENTRY_CHOICE_H_
#define MEMBERSHIP_ENTRY_CHOICE_H_

// Which entries an agent heartbeats to.
//
// Each agent ranks the entries by a hash of both names, so that agents spread
// evenly and the loss of an entry moves only its own agents. Entries of the
// agent's region come first. Failure domains are not told apart: an agent that
// loses both entries at once finds others before anybody suspects it, and a
// rule that separates them loads the entry of a small domain more.

#include <cstddef>
#include <set>
#include <vector>

#include "membership/member.h"
#include "membership/options.h"

namespace cuminjunction {

// The `count` best entries, or fewer if there are not as many. Entries whose
// address is in `avoided` are taken only when there are no others.
std::vector<EntryContact> ChooseEntries(
    const Member& self,
    const std::vector<EntryContact>& entries,
    const std::set<UdpAddress>& avoided,
    size_t count);

}  // namespace cuminjunction

#endif  // MEMBERSHIP_ENTRY_CHOICE_H_
