#ifndef GENTIAN_CORE_HASH_H_
#define GENTIAN_CORE_HASH_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentian {

/** A fast hash that is the same on every host. Not for secrets. */
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/** SHA-256 as lower-case hexadecimal text, for keys. */
std::string Sha256Hex(std::string_view text);

/** Orders candidates by rendezvous hash: every host computes the same order
    from the same set, and losing one candidate moves only its own keys.

    @param key         what is being placed
    @param candidates  identifiers with a text() accessor
    @returns           all candidates, best first
*/
template <typename Id>
std::vector<Id> RendezvousOrder(std::string_view key,
                                std::vector<Id> candidates) {
  const std::uint64_t seed = StableHash(key);
  std::vector<std::pair<std::uint64_t, Id>> scored;
  scored.reserve(candidates.size());
  for (Id& candidate : candidates) {
    const std::uint64_t score = StableHash(candidate.text(), seed);
    scored.emplace_back(score, std::move(candidate));
  }
  std::sort(scored.begin(), scored.end(),
            [](const auto& a, const auto& b) { return b < a; });
  std::vector<Id> ordered;
  ordered.reserve(scored.size());
  for (auto& entry : scored) {
    ordered.push_back(std::move(entry.second));
  }
  return ordered;
}

}  // namespace gentian

#endif  // GENTIAN_CORE_HASH_H_
