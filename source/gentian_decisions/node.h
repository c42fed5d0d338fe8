#ifndef GENTIAN_DECISIONS_NODE_H_
#define GENTIAN_DECISIONS_NODE_H_

#include <vector>

#include "gentian_decisions/event.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/node_identity.h"

namespace gentian {

/** The decisions of one daemon: one event in, commands out.

    The owner calls Step for each event, with a time that never goes back, and
    carries out the returned commands in order.

    @see event, command
*/
class node {
 public:
  /** Creates the node of a daemon that is starting.

      @param identity  addresses and failure domain from the daemon's settings
      @param initial   configuration to start with; version 0 if none is known
      @param random    source of random numbers; must outlive the node
  */
  node(node_identity identity, configuration initial, random_source& random);

  /** Handles one event.

      @param input  what happened
      @param now    the current monotonic time; not earlier than in the
                    previous call
      @returns      what the daemon has to do, in order
  */
  std::vector<command> Step(const event& input, steady_time now);

  /** Counters of refusals, retries and other decisions. */
  const counter_set& counters() const { return counters_; }

 private:
  void Handle(const caller_request& request, node_context& context);

  // Events that no part handles yet.
  template <typename Event>
  void Handle(const Event& /*input*/, node_context& /*context*/) {}

  node_identity identity_;
  configuration configuration_;
  random_source& random_;
  counter_set counters_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_NODE_H_
