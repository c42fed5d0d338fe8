#include "gentian_decisions/session_record.h"

namespace gentian {

namespace {

template <typename... Alternatives>
void Decode(const json& in, std::variant<Alternatives...>& out) {
  auto decoded = DecodeVariant<Alternatives...>(in);
  if (Failed(decoded)) {
    // The decoder of the enclosing message converts the exception to an error.
    throw json::other_error::create(501, ErrorOf(decoded).message, nullptr);
  }
  out = std::move(ValueOf(decoded));
}

}  // namespace

void to_json(json& out, const session_record& value) {
  out = json{{"number", value.number},
             {"elapsed", value.elapsed},
             {"body", EncodeVariant(value.body)}};
}

void from_json(const json& in, session_record& value) {
  in.at("number").get_to(value.number);
  in.at("elapsed").get_to(value.elapsed);
  Decode(in.at("body"), value.body);
}

}  // namespace gentian
