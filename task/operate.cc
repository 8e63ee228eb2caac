#include "task/operate.h"

namespace cuminjunction {

std::string_view ErrorTraits<OperateError>::Message(OperateError error) {
  switch (error) {
    case OperateError::kBusy:
      return "rows kept changing; gave up after the maximum number of attempts";
  }
  return "unknown operate error";
}

}  // namespace cuminjunction
