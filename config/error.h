#ifndef CONFIG_ERROR_H_
#define CONFIG_ERROR_H_

// Errors of the configuration: of a document's text, of its content, and of
// accepting and distributing it.

#include <string_view>

#include "base/error.h"

namespace cuminjunction {

enum class ConfigError {
  // The text is above a limit, or uses YAML that could grow without bound.
  kTextTooLarge = 1,
  kTooDeep,
  kTooManyValues,
  kTooManySections,
  kAlias,
  kSeveralDocuments,
  // The content is not consistent.
  kBadName,
  kDuplicateName,
  kUnknownAccount,
  kUnknownDependency,
  kDependencyCycle,
  kQuotaAboveFleet,
  kSizeAboveWorkers,
  kSizeAboveQuota,
  kMissingSize,
  // Another change was accepted on the same base version.
  kConflict,
  // The store could not be reached; the change has no effect.
  kUnavailable,
  // The change may be accepted or may still be; its change id tells later.
  kUnknownOutcome,
  // The store's rows can't be read.
  kDamagedRow,
  // A message or a delta does not lead to the state it names.
  kDamagedDelta,
  // A delta starts above the version held here.
  kMissingBase,
};

template <>
struct ErrorTraits<ConfigError> {
  static constexpr const char* kCategory = "config";
  static std::string_view Message(ConfigError error);
};

}  // namespace cuminjunction

#endif  // CONFIG_ERROR_H_
