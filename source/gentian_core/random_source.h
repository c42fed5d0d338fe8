#ifndef GENTIAN_CORE_RANDOM_SOURCE_H_
#define GENTIAN_CORE_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace gentian {

/** Source of random numbers that is passed into state machines. */
class random_source {
 public:
  virtual ~random_source() = default;

  /** Returns 64 random bits. */
  virtual std::uint64_t Next() = 0;

  /** Returns a number in [0, 1). */
  double Uniform();

  /** Returns a whole number in [0, bound). Precondition: bound > 0. */
  std::uint64_t Below(std::uint64_t bound);
};

/** Deterministic random numbers for tests and benchmarks. */
class seeded_random : public random_source {
 public:
  /** Starts the sequence that belongs to a seed. */
  explicit seeded_random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/** Unpredictable random numbers from the operating system, for daemons. */
class system_random : public random_source {
 public:
  std::uint64_t Next() override;
};

}  // namespace gentian

#endif  // GENTIAN_CORE_RANDOM_SOURCE_H_
