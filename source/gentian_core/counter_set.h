#ifndef GENTIAN_CORE_COUNTER_SET_H_
#define GENTIAN_CORE_COUNTER_SET_H_

#include <cstdint>
#include <map>
#include <string>

namespace gentian {

/** Named counters. Each refusal reason and each retry reason has its own,
    for example `refused.rate_limited` or `retried.not_sent`.
*/
class counter_set {
 public:
  /** Adds to a counter, creating it at zero first. */
  void Add(const std::string& name, std::uint64_t amount = 1) {
    values_[name] += amount;
  }

  /** The value of a counter; zero if it was never added to. */
  std::uint64_t Value(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? 0 : found->second;
  }

  /** All counters in the order of their names. */
  const std::map<std::string, std::uint64_t>& values() const { return values_; }

 private:
  std::map<std::string, std::uint64_t> values_;
};

}  // namespace gentian

#endif  // GENTIAN_CORE_COUNTER_SET_H_
