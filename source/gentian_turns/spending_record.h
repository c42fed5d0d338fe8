#ifndef GENTIAN_TURNS_SPENDING_RECORD_H_
#define GENTIAN_TURNS_SPENDING_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What a daemon has in use of the tokens that one write has claimed. Turn
    stores keep it, so that the daemon's successor can release the others. */
struct spending_record {
  /** The write of the claim. */
  std::string claim;
  /** From 1. A later record replaces an earlier one; one that isn't the first
      is refused if there is no earlier one. */
  std::int64_t sequence = 0;
  /** Tokens in use, or used by turns that have ended. */
  std::int64_t in_use = 0;
  /** Of these, the tokens of turns that have ended. */
  std::int64_t used = 0;
};

/** Wire formats between daemons (CBOR).

    The decoders return malformed_request for unreadable bytes. */
std::string EncodeSpending(const spending_record& record);
result<spending_record> DecodeSpending(std::string_view bytes);

}  // namespace gentian

#endif  // GENTIAN_TURNS_SPENDING_RECORD_H_
