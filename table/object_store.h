#ifndef TABLE_OBJECT_STORE_H_
#define TABLE_OBJECT_STORE_H_

// The platform's object store: named byte strings, written whole.

#include <concepts>
#include <map>
#include <string>

#include "absl/synchronization/mutex.h"
#include "base/error.h"

namespace cuminjunction {

enum class ObjectError {
  // The store refused or could not be reached. No effect.
  kUnavailable = 1,
  // The reply was lost or timed out. A write may have taken effect.
  kUnknownOutcome,
  kNotFound,
};

template <>
struct ErrorTraits<ObjectError> {
  static constexpr const char* kCategory = "object";
  static std::string_view Message(ObjectError error);
};

// An object store. Calls block. Errors are ObjectError.
template <class S>
concept ObjectStore = requires(S& store,
                               const std::string& name,
                               const std::string& bytes) {
  { store.Put(name, bytes) } -> std::same_as<Status>;
  { store.Get(name) } -> std::same_as<Result<std::string>>;
};

// An object store in memory, for tests and the platform stand-in. Callable
// from any thread.
class MemoryObjectStore {
 public:
  Status Put(const std::string& name, const std::string& bytes);
  Result<std::string> Get(const std::string& name);

 private:
  absl::Mutex mutex;
  std::map<std::string, std::string> objects;
};

}  // namespace cuminjunction

#endif  // TABLE_OBJECT_STORE_H_
