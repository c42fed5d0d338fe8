#ifndef GENTIAN_DECISIONS_CLUSTER_VIEW_H_
#define GENTIAN_DECISIONS_CLUSTER_VIEW_H_

#include <optional>
#include <vector>

#include "gentian_decisions/member.h"
#include "gentian_settings/gentian_settings.h"

namespace gentian {

/** What the other parts of a node may know about the fleet. Views of two
    daemons can differ; nothing that must always hold may depend on one.
*/
class cluster_view {
 public:
  virtual ~cluster_view() = default;

  /** This daemon's current incarnation; epoch 0 until it has registered. */
  virtual const incarnation& self() const = 0;

  /** The configuration in force. */
  virtual const configuration& settings() const = 0;

  /** Members that are alive and this daemon itself, in order of host. */
  virtual std::vector<member> LiveMembers() const = 0;

  /** The newest known incarnation on a host, whatever its state. */
  virtual std::optional<member> FindMember(const host_id& host) const = 0;

  /** True unless the incarnation is suspected, dead or replaced. */
  virtual bool IsAlive(const incarnation& id) const = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CLUSTER_VIEW_H_
