#ifndef GENTIAN_TURNS_TURN_SUMMARY_H_
#define GENTIAN_TURNS_TURN_SUMMARY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gentian_turns/kept_turn.h"

namespace gentian {

/** One entry of a store's journal, without the turn's history. */
struct turn_summary {
  /** Position in the journal of its store. */
  std::int64_t position = 0;
  turn_key key;
  std::string conversation;
  std::size_t size = 0;
};

/** A request for the entries of a store's journal. */
struct journal_request {
  /** Host of the store that asks. */
  std::string reader;
  /** The journal that `after` refers to; entries from the beginning are
      returned if it is not this one. */
  std::int64_t journal = 0;
  /** Position up to which the reader durably holds every turn of this store
      that it should hold. */
  std::int64_t after = 0;
  /** The reader places turns as if the asked store held none. */
  bool excludes_store = false;
};

/** The answer: the next entries in the order of their positions. */
struct journal_page {
  /** Identifies the journal; a store whose disk was replaced has another. */
  std::int64_t journal = 0;
  std::vector<turn_summary> entries;
  /** Position of the latest entry of the journal. */
  std::int64_t last = 0;
};

/** Wire formats between turn stores (CBOR). */
std::string EncodeJournalRequest(const journal_request& request);
result<journal_request> DecodeJournalRequest(std::string_view bytes);
std::string EncodeJournalPage(const journal_page& page);
result<journal_page> DecodeJournalPage(std::string_view bytes);

}  // namespace gentian

#endif  // GENTIAN_TURNS_TURN_SUMMARY_H_
