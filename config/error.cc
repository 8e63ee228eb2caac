#include "config/error.h"

namespace cuminjunction {

std::string_view ErrorTraits<ConfigError>::Message(ConfigError error) {
  switch (error) {
    case ConfigError::kTextTooLarge:
      return "text is too large";
    case ConfigError::kTooDeep:
      return "text is nested too deeply";
    case ConfigError::kTooManyValues:
      return "text has too many values";
    case ConfigError::kTooManySections:
      return "too many accounts, services and jobs";
    case ConfigError::kAlias:
      return "YAML aliases are not allowed";
    case ConfigError::kSeveralDocuments:
      return "text holds more than one YAML document";
    case ConfigError::kBadName:
      return "name is not valid";
    case ConfigError::kDuplicateName:
      return "name is used twice";
    case ConfigError::kUnknownAccount:
      return "account does not exist";
    case ConfigError::kUnknownDependency:
      return "dependency does not exist";
    case ConfigError::kDependencyCycle:
      return "dependencies form a cycle";
    case ConfigError::kQuotaAboveFleet:
      return "quota is above the capacity of the fleet";
    case ConfigError::kSizeAboveWorkers:
      return "no worker can hold this size";
    case ConfigError::kSizeAboveQuota:
      return "size is above the account's quota";
    case ConfigError::kMissingSize:
      return "a size with more than 0 cores and memory is needed";
    case ConfigError::kConflict:
      return "another change was accepted on the same base version";
    case ConfigError::kUnavailable:
      return "store is unavailable; the change has no effect";
    case ConfigError::kUnknownOutcome:
      return "store did not tell whether the change was accepted";
    case ConfigError::kDamagedRow:
      return "row of the configuration can't be read";
    case ConfigError::kDamagedDelta:
      return "delta does not lead to the state it names";
    case ConfigError::kMissingBase:
      return "delta starts above the version held";
  }
  return "unknown configuration error";
}

}  // namespace cuminjunction
