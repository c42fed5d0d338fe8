#include "gentian_decisions/peer_message.h"

namespace gentian {

namespace {

// Deduces the alternatives from the message type, so that a new message is
// added in one place only.
template <typename... Alternatives>
result<peer_message> Decode(const json& encoded,
                            const std::variant<Alternatives...>* /*type*/) {
  return DecodeVariant<Alternatives...>(encoded);
}

}  // namespace

json EncodePeerMessage(const peer_message& message) {
  return EncodeVariant(message);
}

result<peer_message> DecodePeerMessage(const json& encoded) {
  return Decode(encoded, static_cast<const peer_message*>(nullptr));
}

}  // namespace gentian
