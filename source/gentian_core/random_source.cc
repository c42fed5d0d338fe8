#include "gentian_core/random_source.h"

#include <openssl/rand.h>

#include <cassert>
#include <stdexcept>

namespace gentian {

double random_source::Uniform() {
  constexpr int kDiscardedBits = 11;  // 53 bits fill a double's mantissa.
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> kDiscardedBits) * kScale;
}

std::uint64_t random_source::Below(std::uint64_t bound) {
  assert(bound > 0);
  return Next() % bound;
}

std::uint64_t system_random::Next() {
  std::uint64_t value = 0;
  // Session ids must not be guessable, so there is no fallback to a weaker
  // generator. The generator fails if it can't allocate memory.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof(value)) !=
      1) {
    throw std::runtime_error("no random numbers, probably for want of memory");
  }
  return value;
}

}  // namespace gentian
