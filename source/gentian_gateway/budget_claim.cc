#include "gentian_gateway/budget_claim.h"

#include "gentian_core/gentian_core.h"

namespace gentian {

std::string EncodeClaim(const budget_claim& claim) {
  return json{{"claimed", claim.claimed}, {"write", claim.write_id}}.dump();
}

std::optional<budget_claim> DecodeClaim(const std::string& text) {
  const json stored = json::parse(text, nullptr, false);
  if (!stored.is_object() || !stored.contains("claimed") ||
      !stored["claimed"].is_number_integer()) {
    return std::nullopt;
  }
  return budget_claim{stored["claimed"].get<std::int64_t>(),
                      stored.value("write", "")};
}

}  // namespace gentian
