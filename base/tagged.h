#ifndef BASE_TAGGED_H_
#define BASE_TAGGED_H_

// Payloads that hold one of several messages: a tag byte and the encoded
// message (base/codec.h). The tag is the position in the variant.
//
//   using Message = std::variant<Ping, Pong>;
//   std::string payload = EncodeTagged(Message(Ping{}));
//   Result<Message> message = DecodeTagged<Message>(payload,
//   Error::kUnknownTag);

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/codec.h"
#include "base/error.h"

namespace cuminjunction {

template <class Variant>
std::string EncodeTagged(const Variant& message) {
  std::string payload(1, static_cast<char>(message.index()));
  std::visit([&](const auto& body) { payload += Encode(body); }, message);
  return payload;
}

namespace tagged_internal {

template <class Variant, size_t I = 0>
Result<Variant> DecodeAs(size_t tag,
                         std::string_view bytes,
                         std::error_code unknown) {
  if constexpr (I < std::variant_size_v<Variant>) {
    if (tag != I)
      return DecodeAs<Variant, I + 1>(tag, bytes, unknown);
    using T = std::variant_alternative_t<I, Variant>;
    BOOST_OUTCOME_TRY(message, Decode<T>(bytes));
    return Variant(std::move(message));
  } else {
    return unknown;
  }
}

}  // namespace tagged_internal

// Fails with CodecError, or with `unknown` on a tag that the variant does not
// have.
template <class Variant>
Result<Variant> DecodeTagged(std::string_view payload,
                             std::error_code unknown) {
  if (payload.empty())
    return unknown;
  return tagged_internal::DecodeAs<Variant>(static_cast<uint8_t>(payload[0]),
                                            payload.substr(1), unknown);
}

}  // namespace cuminjunction

#endif  // BASE_TAGGED_H_
