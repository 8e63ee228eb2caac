#ifndef CONFIG_CHECK_H_
#define CONFIG_CHECK_H_

// Checks of a document as a whole, after each section was read by itself.

#include <string>
#include <vector>

#include "config/document.h"
#include "config/parse.h"

namespace cuminjunction {

// Records every inconsistency: missing accounts and dependencies, cycles,
// quotas above the fleet, sizes that no worker or no quota can hold. `lines`
// tells where a section is; without an entry the line is 0. The checks against
// the fleet are left out when it is empty.
void CheckDocument(const Document& document,
                   const Fleet& fleet,
                   const SectionLines& lines,
                   const std::string& file,
                   std::vector<YamlProblem>* problems);

}  // namespace cuminjunction

#endif  // CONFIG_CHECK_H_
