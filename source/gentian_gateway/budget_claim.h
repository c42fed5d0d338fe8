#ifndef GENTIAN_GATEWAY_BUDGET_CLAIM_H_
#define GENTIAN_GATEWAY_BUDGET_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>

namespace gentian {

/** What the key-value service holds of one program's budget. */
struct budget_claim {
  /** Tokens that daemons have claimed and may have spent. */
  std::int64_t claimed = 0;
  /** The write that stored this; tells a daemon whether a write of its own
      took effect whose answer was lost. */
  std::string write_id;
};

/** The stored form of a claim. */
std::string EncodeClaim(const budget_claim& claim);

/** Reads the stored form; nothing if it is not one. */
std::optional<budget_claim> DecodeClaim(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_BUDGET_CLAIM_H_
