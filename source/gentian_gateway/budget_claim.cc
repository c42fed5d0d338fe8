#include "gentian_gateway/budget_claim.h"

#include <limits>

#include "gentian_core/gentian_core.h"

namespace gentian {

std::string ClaimKey(const std::string& program) {
  return kClaimPrefix + program;
}

std::string EncodeClaim(const budget_claim& claim) {
  return json{{"claimed", claim.claimed}, {"write", claim.write_id}}.dump();
}

std::optional<budget_claim> DecodeClaim(const std::string& text) {
  const result<json> parsed = ParseBoundedJson(text);
  if (Failed(parsed) || !ValueOf(parsed).is_object()) {
    return std::nullopt;
  }
  const json& stored = ValueOf(parsed);
  constexpr std::int64_t kMaxClaim = std::numeric_limits<std::int64_t>::max();
  const auto claimed = FindInteger(stored, "claimed", 0, kMaxClaim);
  const auto write = stored.find("write");
  if (!claimed || (write != stored.end() && !write->is_string())) {
    return std::nullopt;
  }
  return budget_claim{*claimed, stored.value("write", "")};
}

}  // namespace gentian
