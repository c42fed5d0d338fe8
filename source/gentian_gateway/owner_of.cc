#include "gentian_gateway/owner_of.h"

#include "gentian_core/gentian_core.h"

namespace gentian {

const member_record* OwnerOf(
    const std::string& key,
    const std::map<std::string, member_record>& members,
    const std::function<bool(const member_record&)>& usable) {
  const std::uint64_t seed = StableHash(key);
  const member_record* owner = nullptr;
  std::uint64_t best = 0;
  for (const auto& [name, member] : members) {
    const std::uint64_t score = StableHash(member.host, seed);
    if (!member.stopping && (owner == nullptr || score > best) &&
        usable(member)) {
      owner = &member;
      best = score;
    }
  }
  return owner;
}

}  // namespace gentian
