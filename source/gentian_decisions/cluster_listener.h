#ifndef GENTIAN_DECISIONS_CLUSTER_LISTENER_H_
#define GENTIAN_DECISIONS_CLUSTER_LISTENER_H_

#include <string>

#include "gentian_decisions/node_context.h"

namespace gentian {

/** Receives what the cluster part of a node learns, within the step in which
    it takes effect.
*/
class cluster_listener {
 public:
  virtual ~cluster_listener() = default;

  /** A key stopped working: it was withdrawn, or a new configuration does not
      grant it any more. Streams of callers that presented it must end.
  */
  virtual void KeyWithdrawn(const std::string& key_hash,
                            node_context& context) = 0;

  /** A newer configuration is in force; cluster_view::settings returns it. */
  virtual void ConfigurationChanged(node_context& context) = 0;

  /** This daemon has registered as a new incarnation, at its start or because
      its lease had expired; cluster_view::self returns it.
  */
  virtual void IncarnationChanged(node_context& context) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CLUSTER_LISTENER_H_
