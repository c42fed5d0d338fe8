#ifndef GENTIAN_GATEWAY_DAEMON_HISTORY_PATHS_H_
#define GENTIAN_GATEWAY_DAEMON_HISTORY_PATHS_H_

namespace gentian {

// Interface of a turn store for gateways and other stores. Bodies are CBOR.

/** Stores a kept_turn. 200: durable; 409: another turn has the key; 503: this
    store doesn't take it. */
constexpr const char* kStoreTurnPath = "/history/store";
/** Reads the chain of one turn_key. 200 with a chain_part; 404: the turn is not
    stored here; 503: it may be, or may have been. */
constexpr const char* kReadChainPath = "/history/chain";
/** Answers a journal_request with a journal_page. */
constexpr const char* kReadJournalPath = "/history/journal";
/** Answers a list of keys with the turns that are stored here. */
constexpr const char* kReadTurnsPath = "/history/turns";
/** Stores a stored_origin. 200: durable; 503: this store doesn't take it; any
    other status: it may be stored. */
constexpr const char* kStoreOriginPath = "/streams/store";
/** Reads the stream_origin of one turn_key. 200: found; 404: not stored here;
    503: it may be. */
constexpr const char* kReadOriginPath = "/streams/origin";

/** Stores a spending_record. 200: durable; 409: it is sealed, of a later
    sequence or missing; 503: this store doesn't take it; any other status: it
    may be stored. */
constexpr const char* kStoreSpendingPath = "/budget/record";
/** Seals the spending record of the claim that the body names, as text, and
    answers with it. 404: not stored here; 503: it may be. */
constexpr const char* kSealSpendingPath = "/budget/seal";

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_HISTORY_PATHS_H_
