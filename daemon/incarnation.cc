#include "daemon/incarnation.h"

#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

uint64_t MakeIncarnation() {
  return static_cast<uint64_t>(absl::ToUnixMillis(SystemClock().Now()));
}

std::string UniqueProcessName(const Settings& settings, uint64_t incarnation) {
  return StrCat(settings.name, "-", absl::Hex(incarnation));
}

int DistanceBetween(const Settings& here,
                    const std::string& failure_domain,
                    const std::string& region) {
  if (here.region != region)
    return 2;
  return here.failure_domain == failure_domain ? 0 : 1;
}

}  // namespace cuminjunction
