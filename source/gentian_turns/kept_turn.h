#ifndef GENTIAN_TURNS_KEPT_TURN_H_
#define GENTIAN_TURNS_KEPT_TURN_H_

#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Identifies a turn. A team can't name the turns of another one, since the
    team is part of the key. */
struct turn_key {
  std::string team;
  /** The caller's request ID. */
  std::string id;
};

inline bool operator==(const turn_key& a, const turn_key& b) {
  return a.team == b.team && a.id == b.id;
}

/** A turn that has ended. It never changes. */
struct kept_turn {
  turn_key key;
  /** ID of the turn that it continues from; empty at the start of a chain. */
  std::string previous;
  /** Name that all turns of a chain and its branches share. Determines the
      stores that hold them. */
  std::string conversation;
  /** Time for which it has to be kept from now on. */
  milliseconds retention{0};
  /** What the turn adds to the prompt of the next one: its input, then the
      data of each of its events followed by a line feed. */
  std::string history;
};

/** The oldest-first part of a chain that one store holds. */
struct chain_part {
  std::string conversation;
  /** The histories of the turns, oldest first. */
  std::string history;
  /** The turn before the oldest one if the store doesn't hold it; empty if the
      chain is complete. */
  std::string missing;
};

/** Wire formats between daemons (CBOR).

    The decoders return malformed_request for unreadable bytes. */
std::string EncodeTurn(const kept_turn& turn);
result<kept_turn> DecodeTurn(std::string_view bytes);
std::string EncodeTurns(const std::vector<kept_turn>& turns);
result<std::vector<kept_turn>> DecodeTurns(std::string_view bytes);
std::string EncodeKeys(const std::vector<turn_key>& keys);
result<std::vector<turn_key>> DecodeKeys(std::string_view bytes);
std::string EncodePart(const chain_part& part);
result<chain_part> DecodePart(std::string_view bytes);

}  // namespace gentian

#endif  // GENTIAN_TURNS_KEPT_TURN_H_
