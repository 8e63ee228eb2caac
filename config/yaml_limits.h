#ifndef CONFIG_YAML_LIMITS_H_
#define CONFIG_YAML_LIMITS_H_

// Limits on a YAML text, checked before it is parsed into a tree of nodes.

#include <string>
#include <vector>

#include "base/yaml.h"

namespace cuminjunction {

// Checks the limits of config/parse.h. Appends the first limit that the text
// exceeds, or its syntax error, to `problems`; returns true when there is none.
bool CheckYamlLimits(const std::string& text,
                     const std::string& file,
                     std::vector<YamlProblem>* problems);

}  // namespace cuminjunction

#endif  // CONFIG_YAML_LIMITS_H_
