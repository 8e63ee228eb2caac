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
  // The change may have been accepted or may still be. ResolveOutcome()
  // determines this later by the change id.
  kUnknownOutcome,
  // The store's rows can't be read.
  kDamagedRow,
  // A message is malformed, or applying a delta does not yield its digest.
  kDamagedDelta,
  // A delta starts above the local version.
  kMissingBase,
};

template <>
struct ErrorTraits<ConfigError> {
  static constexpr const char* kCategory = "config";
  static std::string_view Message(ConfigError error);
};

}  // namespace cuminjunction

#endif  // CONFIG_ERROR_H_
