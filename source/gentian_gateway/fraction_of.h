#ifndef GENTIAN_GATEWAY_FRACTION_OF_H_
#define GENTIAN_GATEWAY_FRACTION_OF_H_

#include "gentian_core/gentian_core.h"

namespace gentian {

/** A fraction of a bound. */
inline duration FractionOf(double fraction, duration bound) {
  return std::chrono::duration_cast<duration>(fraction * bound);
}

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_FRACTION_OF_H_
