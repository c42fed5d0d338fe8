#include "gentian_turns/kept_turn.h"

#include <cstdint>
#include <utility>

#include "gentian_core/cbor_message.h"

namespace gentian {

using detail::BytesOf;
using detail::Decode;
using detail::Encode;
using detail::ToBytes;

namespace {

// Identifiers are byte strings: callers choose them, and CBOR text has to be
// UTF-8.
json KeyToCbor(const turn_key& key) {
  return json::array({ToBytes(key.team), ToBytes(key.id)});
}

turn_key KeyFromCbor(const json& in) {
  return turn_key{BytesOf(in.at(0)), BytesOf(in.at(1))};
}

json TurnToCbor(const kept_turn& turn) {
  return {{"key", KeyToCbor(turn.key)},
          {"previous", ToBytes(turn.previous)},
          {"conversation", ToBytes(turn.conversation)},
          {"retention_ms", turn.retention.count()},
          {"history", ToBytes(turn.history)}};
}

kept_turn TurnFromCbor(const json& in) {
  kept_turn turn;
  turn.key = KeyFromCbor(in.at("key"));
  turn.previous = BytesOf(in.at("previous"));
  turn.conversation = BytesOf(in.at("conversation"));
  turn.retention = milliseconds(in.at("retention_ms").get<milliseconds::rep>());
  turn.history = BytesOf(in.at("history"));
  if (turn.key.id.empty() || turn.conversation.empty() ||
      turn.retention.count() < 0) {
    throw detail::invalid_message("a turn without ID, conversation or time");
  }
  return turn;
}

template <typename Item, typename Convert>
std::string EncodeList(const std::vector<Item>& items, Convert convert) {
  json list = json::array();
  for (const Item& item : items) {
    list.push_back(convert(item));
  }
  return Encode(list);
}

template <typename Item, typename Convert>
result<std::vector<Item>> DecodeList(std::string_view bytes, Convert convert) {
  return Decode<std::vector<Item>>(bytes, [&](const json& in) {
    std::vector<Item> items;
    for (const json& item : in) {
      items.push_back(convert(item));
    }
    return items;
  });
}

}  // namespace

std::string EncodeTurn(const kept_turn& turn) {
  return Encode(TurnToCbor(turn));
}

result<kept_turn> DecodeTurn(std::string_view bytes) {
  return Decode<kept_turn>(bytes, TurnFromCbor);
}

std::string EncodeTurns(const std::vector<kept_turn>& turns) {
  return EncodeList(turns, TurnToCbor);
}

result<std::vector<kept_turn>> DecodeTurns(std::string_view bytes) {
  return DecodeList<kept_turn>(bytes, TurnFromCbor);
}

std::string EncodeKeys(const std::vector<turn_key>& keys) {
  return EncodeList(keys, KeyToCbor);
}

result<std::vector<turn_key>> DecodeKeys(std::string_view bytes) {
  return DecodeList<turn_key>(bytes, KeyFromCbor);
}

std::string EncodePart(const chain_part& part) {
  return Encode({{"conversation", ToBytes(part.conversation)},
                 {"history", ToBytes(part.history)},
                 {"missing", ToBytes(part.missing)}});
}

result<chain_part> DecodePart(std::string_view bytes) {
  return Decode<chain_part>(bytes, [](const json& in) {
    return chain_part{BytesOf(in.at("conversation")), BytesOf(in.at("history")),
                      BytesOf(in.at("missing"))};
  });
}

}  // namespace gentian
