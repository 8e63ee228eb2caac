#include "task/operate.h"

namespace cuminjunction {

std::string_view ErrorTraits<OperateError>::Message(OperateError error) {
  switch (error) {
    case OperateError::kBusy:
      return "rows changed too often while the step was decided";
  }
  return "unknown operate error";
}

}  // namespace cuminjunction
