#include "fleet/fleet_message.h"

#include "base/tagged.h"

namespace cuminjunction {

std::string_view ErrorTraits<FleetMessageError>::Message(
    FleetMessageError error) {
  switch (error) {
    case FleetMessageError::kUnknownTag:
      return "message of an unknown kind";
  }
  return "unknown fleet message error";
}

std::string EncodeFleetMessage(const FleetMessage& message) {
  return EncodeTagged(message);
}

Result<FleetMessage> DecodeFleetMessage(std::string_view payload) {
  return DecodeTagged<FleetMessage>(payload, FleetMessageError::kUnknownTag);
}

}  // namespace cuminjunction
