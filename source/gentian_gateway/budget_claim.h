#ifndef GENTIAN_GATEWAY_BUDGET_CLAIM_H_
#define GENTIAN_GATEWAY_BUDGET_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>

namespace gentian {

/** The claim on a program's budget that the key-value service stores. */
struct budget_claim {
  /** Tokens that daemons have claimed and may have spent. */
  std::int64_t claimed = 0;
  /** Identifies the write that stored this claim. If the answer to a write was
      lost, its daemon learns from this whether the write took effect. */
  std::string write_id;
};

/** Key prefix of all claims. */
constexpr const char* kClaimPrefix = "gentianrun/budget/";

/** The key of a program's claim. */
std::string ClaimKey(const std::string& program);

/** The stored form of a claim. */
std::string EncodeClaim(const budget_claim& claim);

/** Parses the stored form; nothing if the text is malformed. */
std::optional<budget_claim> DecodeClaim(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_BUDGET_CLAIM_H_
