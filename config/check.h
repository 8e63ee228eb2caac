#ifndef CONFIG_CHECK_H_
#define CONFIG_CHECK_H_

// Checks that span the sections of a document. They run after each section was
// parsed and checked by itself.

#include <string>
#include <vector>

#include "config/document.h"
#include "config/parse.h"

namespace cuminjunction {

// Records every inconsistency: missing accounts and dependencies, cycles,
// quotas above the fleet, sizes that exceed every worker or the account's
// quota. `lines` maps sections to their lines; a problem in a section without
// an entry has line 0. An empty `fleet` skips the checks against it.
void CheckDocument(const Document& document,
                   const Fleet& fleet,
                   const SectionLines& lines,
                   const std::string& file,
                   std::vector<YamlProblem>* problems);

}  // namespace cuminjunction

#endif  // CONFIG_CHECK_H_
