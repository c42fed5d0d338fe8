#include "gentian_gateway/budget_claim.h"

#include <limits>

#include "gentian_core/gentian_core.h"

namespace gentian {

namespace {

constexpr std::int64_t kMaxClaim = std::numeric_limits<std::int64_t>::max();

// Nothing if the claim has no sound holder, so that all tokens count as in use.
std::optional<claim_holder> DecodeHolder(const json& stored) {
  const auto found = stored.find("holder");
  if (found == stored.end() || !found->is_object()) {
    return std::nullopt;
  }
  const auto tokens = FindInteger(*found, "tokens", 0, kMaxClaim);
  const auto write = found->find("write");
  const auto recorder = found->find("recorder");
  if (!tokens || write == found->end() || !write->is_string() ||
      recorder == found->end() || !recorder->is_string()) {
    return std::nullopt;
  }
  return claim_holder{write->get<std::string>(), *tokens,
                      recorder->get<std::string>()};
}

}  // namespace

std::string ClaimKey(const std::string& program) {
  return kClaimPrefix + program;
}

std::string WriterOf(const std::string& write_id) {
  return write_id.substr(0, write_id.rfind('-'));
}

std::string EncodeClaim(const budget_claim& claim) {
  json stored{{"claimed", claim.claimed}, {"write", claim.write_id}};
  if (claim.spent) {
    stored["spent"] = *claim.spent;
  }
  if (claim.holder) {
    stored["holder"] = {{"write", claim.holder->write_id},
                        {"tokens", claim.holder->tokens},
                        {"recorder", claim.holder->recorder}};
  }
  return stored.dump();
}

std::optional<budget_claim> DecodeClaim(const std::string& text) {
  const result<json> parsed = ParseBoundedJson(text);
  if (Failed(parsed) || !ValueOf(parsed).is_object()) {
    return std::nullopt;
  }
  const json& stored = ValueOf(parsed);
  const auto claimed = FindInteger(stored, "claimed", 0, kMaxClaim);
  const auto write = stored.find("write");
  if (!claimed || (write != stored.end() && !write->is_string())) {
    return std::nullopt;
  }
  return budget_claim{*claimed, stored.value("write", ""),
                      FindInteger(stored, "spent", 0, kMaxClaim),
                      DecodeHolder(stored)};
}

}  // namespace gentian
