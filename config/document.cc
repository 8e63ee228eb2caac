#include "config/document.h"

#include <array>

namespace cuminjunction {

const std::string& ToString(Urgency urgency) {
  static const std::array<std::string, kUrgencyCount> names = {
      "urgent", "normal", "batch"};
  return names[static_cast<size_t>(urgency)];
}

}  // namespace cuminjunction
