#include "gentian_turns/stream_origin.h"

#include "gentian_core/cbor_message.h"

namespace gentian {

using detail::BytesOf;
using detail::Decode;
using detail::Encode;
using detail::ToBytes;

namespace {

json ToCbor(const stream_origin& origin) {
  return {{"service", ToBytes(origin.service)},
          {"version", ToBytes(origin.version)},
          {"target", ToBytes(origin.target)},
          {"target_start", origin.target_start},
          {"sent_at_ms", origin.sent_at_ms}};
}

stream_origin FromCbor(const json& in) {
  stream_origin origin;
  origin.service = BytesOf(in.at("service"));
  origin.version = BytesOf(in.at("version"));
  origin.target = BytesOf(in.at("target"));
  origin.target_start = in.at("target_start").get<std::uint64_t>();
  origin.sent_at_ms = in.at("sent_at_ms").get<std::int64_t>();
  if (origin.service.empty() || origin.version.empty()) {
    throw detail::invalid_message("a stream origin without service or version");
  }
  return origin;
}

}  // namespace

std::string EncodeOrigin(const stream_origin& origin) {
  return Encode(ToCbor(origin));
}

result<stream_origin> DecodeOrigin(std::string_view bytes) {
  return Decode<stream_origin>(bytes, FromCbor);
}

std::string EncodeStoredOrigin(const stored_origin& stored) {
  return Encode(
      {{"key", json::array({ToBytes(stored.key.team), ToBytes(stored.key.id)})},
       {"send", stored.send},
       {"origin", ToCbor(stored.origin)}});
}

result<stored_origin> DecodeStoredOrigin(std::string_view bytes) {
  return Decode<stored_origin>(bytes, [](const json& in) {
    stored_origin stored;
    stored.key = {BytesOf(in.at("key").at(0)), BytesOf(in.at("key").at(1))};
    stored.send = in.at("send").get<int>();
    stored.origin = FromCbor(in.at("origin"));
    if (stored.key.id.empty()) {
      throw detail::invalid_message("a stream origin without a request ID");
    }
    return stored;
  });
}

}  // namespace gentian
