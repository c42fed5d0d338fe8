#include "gentian_gateway_daemon/relay_messages.h"

#include <utility>

#include "gentian_core/cbor_message.h"

namespace gentian {

using detail::BytesOf;
using detail::Decode;
using detail::Encode;
using detail::ToBytes;

namespace {

// Stands for a listing that has not been read.
constexpr milliseconds kNoAge{-1};

// Keys and values are byte strings: other writers may store any bytes.
json ListingToCbor(const relayed_listing& listing) {
  json entries = json::array();
  for (const kv_entry& entry : listing.changes.entries) {
    entries.push_back(
        {ToBytes(entry.key), ToBytes(entry.value), entry.version});
  }
  json removed = json::array();
  for (const std::string& key : listing.changes.removed) {
    removed.push_back(ToBytes(key));
  }
  return {{"cursor", listing.changes.cursor},
          {"complete", listing.changes.complete},
          {"entries", std::move(entries)},
          {"removed", std::move(removed)},
          {"age_ms", listing.age.value_or(kNoAge).count()}};
}

relayed_listing ListingFromCbor(const json& in) {
  relayed_listing listing;
  listing.changes.cursor = in.at("cursor").get<std::uint64_t>();
  listing.changes.complete = in.at("complete").get<bool>();
  for (const json& entry : in.at("entries")) {
    listing.changes.entries.push_back({BytesOf(entry.at(0)),
                                       BytesOf(entry.at(1)),
                                       entry.at(2).get<std::uint64_t>()});
  }
  for (const json& key : in.at("removed")) {
    listing.changes.removed.push_back(BytesOf(key));
  }
  const milliseconds age(in.at("age_ms").get<milliseconds::rep>());
  if (age >= milliseconds(0)) {
    listing.age = age;
  }
  return listing;
}

}  // namespace

std::string EncodeRelayRequest(const relay_request& request) {
  return Encode(
      {{"source", ToBytes(request.source)}, {"cursors", request.cursors}});
}

result<relay_request> DecodeRelayRequest(std::string_view bytes) {
  return Decode<relay_request>(bytes, [](const json& in) {
    return relay_request{BytesOf(in.at("source")),
                         in.at("cursors").get<std::vector<std::uint64_t>>()};
  });
}

std::string EncodeRelayAnswer(const relay_answer& answer) {
  json listings = json::array();
  for (const relayed_listing& listing : answer.listings) {
    listings.push_back(ListingToCbor(listing));
  }
  return Encode({{"source", ToBytes(answer.source)},
                 {"held_ms", answer.held.count()},
                 {"listings", std::move(listings)}});
}

result<relay_answer> DecodeRelayAnswer(std::string_view bytes) {
  return Decode<relay_answer>(bytes, [](const json& in) {
    relay_answer answer;
    answer.source = BytesOf(in.at("source"));
    answer.held = milliseconds(in.at("held_ms").get<milliseconds::rep>());
    for (const json& listing : in.at("listings")) {
      answer.listings.push_back(ListingFromCbor(listing));
    }
    return answer;
  });
}

}  // namespace gentian
