#ifndef BASE_FILE_H_
#define BASE_FILE_H_

// Whole files as strings.

#include <string>

#include "base/error.h"

namespace cuminjunction {

// The content of a file. Fails with the error of the system.
Result<std::string> ReadFile(const std::string& path);

}  // namespace cuminjunction

#endif  // BASE_FILE_H_
