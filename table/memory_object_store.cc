#include "table/object_store.h"

namespace cuminjunction {

std::string_view ErrorTraits<ObjectError>::Message(ObjectError error) {
  switch (error) {
    case ObjectError::kUnavailable:
      return "object store is unavailable";
    case ObjectError::kUnknownOutcome:
      return "outcome of the write is unknown";
    case ObjectError::kNotFound:
      return "object does not exist";
  }
  return "unknown object store error";
}

Status MemoryObjectStore::Put(const std::string& name,
                              const std::string& bytes) {
  absl::MutexLock lock(&this->mutex);
  this->objects[name] = bytes;
  return Ok();
}

Result<std::string> MemoryObjectStore::Get(const std::string& name) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->objects.find(name);
  if (found == this->objects.end())
    return ObjectError::kNotFound;
  return found->second;
}

}  // namespace cuminjunction
