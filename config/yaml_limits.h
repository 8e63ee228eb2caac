#ifndef CONFIG_YAML_LIMITS_H_
#define CONFIG_YAML_LIMITS_H_

// Limits on a YAML text, checked before it becomes a tree of nodes.

#include <string>
#include <vector>

#include "base/yaml.h"

namespace cuminjunction {

// Records the first limit that the text exceeds, or its syntax error. Returns
// true when the text may be read.
bool CheckYamlLimits(const std::string& text,
                     const std::string& file,
                     std::vector<YamlProblem>* problems);

}  // namespace cuminjunction

#endif  // CONFIG_YAML_LIMITS_H_
