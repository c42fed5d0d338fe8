#ifndef GENTIAN_DECISIONS_MEMBER_H_
#define GENTIAN_DECISIONS_MEMBER_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** A daemon as the membership shows it. */
struct member {
  enum class state { alive, suspect, dead };

  incarnation id;
  failure_domain_id failure_domain;
  std::string peer_address;
  std::string caller_address;
  bool has_data_folder = false;
  /** True if it takes no new sessions because it is about to stop. */
  bool draining = false;
  state liveness = state::alive;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_MEMBER_H_
