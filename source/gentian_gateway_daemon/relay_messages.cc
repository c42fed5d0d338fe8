#include "gentian_gateway_daemon/relay_messages.h"

#include <utility>

#include "gentian_core/cbor_message.h"
#include "gentian_core/deflate.h"
#include "gentian_gateway_daemon/message_time.h"

namespace gentian {

using detail::BytesOf;
using detail::Decode;
using detail::Encode;
using detail::invalid_message;
using detail::ToBytes;

namespace {

// Stands for a listing that has not been read.
constexpr milliseconds kNoAge{-1};

// Listings that are older are as stale as this.
constexpr milliseconds kMaxTime{3'600'000};
// Bounds unpacked changes. A value of the key-value service has at most a
// megabyte, and most listings are far smaller.
constexpr std::size_t kMaxUnpackedBytes = 16 * 1024 * 1024;

// Keys and values are byte strings: other writers may store any bytes.
json ChangesToCbor(const listing_changes& changes) {
  json entries = json::array();
  for (const kv_entry& entry : changes.entries) {
    entries.push_back(
        {ToBytes(entry.key), ToBytes(entry.value), entry.version});
  }
  json removed = json::array();
  for (const std::string& key : changes.removed) {
    removed.push_back(ToBytes(key));
  }
  return {{"entries", std::move(entries)}, {"removed", std::move(removed)}};
}

void ChangesFromCbor(const json& in, listing_changes& changes) {
  for (const json& entry : in.at("entries")) {
    changes.entries.push_back({BytesOf(entry.at(0)), BytesOf(entry.at(1)),
                               entry.at(2).get<std::uint64_t>()});
  }
  for (const json& key : in.at("removed")) {
    changes.removed.push_back(BytesOf(key));
  }
}

json ListingToCbor(const relayed_listing& listing) {
  json out =
      ChangesToCbor(listing.packed ? listing_changes() : listing.changes);
  out["cursor"] = listing.changes.cursor;
  out["complete"] = listing.changes.complete;
  out["age_ms"] = listing.age.value_or(kNoAge).count();
  out["revision"] = listing.revision;
  out["digest"] = listing.digest;
  if (listing.is_deferred) {
    out["deferred"] = true;
  }
  if (listing.packed) {
    out["packed"] = ToBytes(*listing.packed);
  }
  return out;
}

listing_changes Unpack(const std::string& packed) {
  const result<std::string> bytes = Inflate(packed, kMaxUnpackedBytes);
  if (Failed(bytes)) {
    throw invalid_message(ErrorOf(bytes).message);
  }
  const result<listing_changes> changes =
      Decode<listing_changes>(ValueOf(bytes), [](const json& in) {
        listing_changes unpacked;
        ChangesFromCbor(in, unpacked);
        return unpacked;
      });
  if (Failed(changes)) {
    throw invalid_message(ErrorOf(changes).message);
  }
  return ValueOf(changes);
}

// The fields that have come since 0100c6b are absent in messages of that build.
relayed_listing ListingFromCbor(const json& in) {
  relayed_listing listing;
  if (in.contains("packed")) {
    listing.changes = Unpack(BytesOf(in.at("packed")));
  } else {
    ChangesFromCbor(in, listing.changes);
  }
  listing.changes.cursor = in.at("cursor").get<std::uint64_t>();
  listing.changes.complete = in.at("complete").get<bool>();
  if (in.at("age_ms").get<double>() >= 0) {
    listing.age = ReadMilliseconds(in, "age_ms", kMaxTime);
  }
  listing.revision = in.value("revision", std::uint64_t{0});
  listing.digest = in.value("digest", std::uint64_t{0});
  listing.is_deferred = in.value("deferred", false);
  return listing;
}

}  // namespace

std::string PackChanges(const listing_changes& changes) {
  return Deflate(Encode(ChangesToCbor(changes)));
}

std::string EncodeRelayRequest(const relay_request& request) {
  json out = {{"source", ToBytes(request.source)},
              {"cursors", request.cursors},
              {"digests", request.digests},
              {"takes_packed", request.takes_packed}};
  if (request.only) {
    out["only"] = *request.only;
  }
  return Encode(out);
}

result<relay_request> DecodeRelayRequest(std::string_view bytes) {
  return Decode<relay_request>(bytes, [](const json& in) {
    relay_request request;
    request.source = BytesOf(in.at("source"));
    request.cursors = in.at("cursors").get<std::vector<std::uint64_t>>();
    request.digests = in.value("digests", std::vector<std::uint64_t>());
    request.takes_packed = in.value("takes_packed", false);
    if (in.contains("only")) {
      request.only = in.at("only").get<std::size_t>();
    }
    return request;
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
    answer.held = ReadMilliseconds(in, "held_ms", kMaxTime);
    for (const json& listing : in.at("listings")) {
      answer.listings.push_back(ListingFromCbor(listing));
    }
    return answer;
  });
}

}  // namespace gentian
