#include "base/file.h"

#include <cerrno>
#include <fstream>
#include <sstream>

namespace cuminjunction {

Result<std::string> ReadFile(const std::string& path) {
  errno = 0;
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf()))
    return std::error_code(errno != 0 ? errno : EIO, std::generic_category());
  return content.str();
}

}  // namespace cuminjunction
