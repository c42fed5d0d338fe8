#include "gentian_core/identifiers.h"

namespace gentian {

shard_id ShardOf(const session_id& session) {
  // The shard part itself may contain dots (host names), so the last two
  // components are cut off.
  const std::string& text = session.text();
  const auto random_dot = text.rfind('.');
  if (random_dot == std::string::npos || random_dot == 0) {
    return shard_id();
  }
  const auto counter_dot = text.rfind('.', random_dot - 1);
  if (counter_dot == std::string::npos) {
    return shard_id();
  }
  return shard_id(text.substr(0, counter_dot));
}

}  // namespace gentian
