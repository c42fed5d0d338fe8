#ifndef GENTIAN_GATEWAY_RECENT_ANSWERS_H_
#define GENTIAN_GATEWAY_RECENT_ANSWERS_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Remembers when requests, by fingerprint, were last answered. Bounded: the
    ones that were first added go first. */
class recent_answers {
 public:
  void Add(const std::string& fingerprint, steady_time answered_at);

  std::optional<steady_time> Find(const std::string& fingerprint) const;

 private:
  std::map<std::string, steady_time> answered_;
  std::deque<std::string> order_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_RECENT_ANSWERS_H_
