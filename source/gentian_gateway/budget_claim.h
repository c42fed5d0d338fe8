#ifndef GENTIAN_GATEWAY_BUDGET_CLAIM_H_
#define GENTIAN_GATEWAY_BUDGET_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>

namespace gentian {

/** The daemon that has claimed tokens of a program ahead. What it has in use of
    them is recorded at a turn store; see spending_record. */
struct claim_holder {
  /** The write of this daemon that stored the claim last. */
  std::string write_id;
  /** Tokens that it has claimed and that are not counted as spent. */
  std::int64_t tokens = 0;
  /** Host of the turn store. */
  std::string recorder;
};

/** The claim on a program's budget that the key-value service stores. */
struct budget_claim {
  /** Tokens that daemons have claimed and may have spent. */
  std::int64_t claimed = 0;
  /** Identifies the write that stored this claim. If the answer to a write was
      lost, its daemon learns from this whether the write took effect. */
  std::string write_id;
  /** Of the claimed tokens, those that turns have used which are known to have
      ended. Earlier builds don't store it. */
  std::optional<std::int64_t> spent{};
  std::optional<claim_holder> holder{};
};

/** Key prefix of all claims. */
constexpr const char* kClaimPrefix = "gentianrun/budget/";

/** The key of a program's claim. */
std::string ClaimKey(const std::string& program);

/** The start of a daemon that made a write. */
std::string WriterOf(const std::string& write_id);

/** The stored form of a claim. */
std::string EncodeClaim(const budget_claim& claim);

/** Parses the stored form; nothing if the text is malformed. */
std::optional<budget_claim> DecodeClaim(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_BUDGET_CLAIM_H_
