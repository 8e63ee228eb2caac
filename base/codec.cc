#include "base/codec.h"

namespace cuminjunction {

std::string_view ErrorTraits<CodecError>::Message(CodecError error) {
  switch (error) {
    case CodecError::kTruncated:
      return "message is truncated or damaged";
    case CodecError::kBadValue:
      return "message holds a value out of range";
    case CodecError::kTrailingBytes:
      return "bytes are left after the message";
  }
  return "unknown codec error";
}

}  // namespace cuminjunction
