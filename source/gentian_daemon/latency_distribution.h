#ifndef GENTIAN_DAEMON_LATENCY_DISTRIBUTION_H_
#define GENTIAN_DAEMON_LATENCY_DISTRIBUTION_H_

#include <cstdint>
#include <memory>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Percentiles of a latency since the start, in constant memory.

    The values are estimates; they are exact for up to nine samples.
*/
class latency_distribution {
 public:
  latency_distribution();
  ~latency_distribution();
  latency_distribution(latency_distribution&&) noexcept;
  latency_distribution& operator=(latency_distribution&&) noexcept;

  /** Adds one measured latency. */
  void Add(duration value);

  /** Number of samples. */
  std::uint64_t count() const;

  /** Sum of all samples in seconds. */
  double SumSeconds() const;

  /** An estimate in seconds; 0 without samples.

      @param probability  0.5, 0.95 or 0.99
  */
  double QuantileSeconds(double probability) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_LATENCY_DISTRIBUTION_H_
