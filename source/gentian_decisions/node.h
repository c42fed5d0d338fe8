#ifndef GENTIAN_DECISIONS_NODE_H_
#define GENTIAN_DECISIONS_NODE_H_

#include <array>
#include <variant>
#include <vector>

#include "gentian_decisions/direct_scheduling.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/node_identity.h"
#include "gentian_decisions/session_service.h"
#include "gentian_decisions/standalone_cluster.h"

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
  node(const node_identity& identity,
       configuration initial,
       random_source& random);

  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /** Handles one event.

      @param input  what happened
      @param now    the current monotonic time; not earlier than in the
                    previous call
      @returns      what the daemon has to do, in order
  */
  std::vector<command> Step(const event& input, steady_time now);

  /** Counters of refusals, retries and other decisions. */
  const counter_set& counters() const { return counters_; }

  /** Members and configuration, for the I/O side of the daemon. */
  const cluster_view& cluster() const { return cluster_; }

 private:
  using handler = void (node::*)(const event&, node_context&);
  using handler_table = std::array<handler, std::variant_size_v<event>>;

  static handler_table MakeHandlers();

  // Passes an event to the session part.
  template <typename Event>
  void ToSessions(const event& input, node_context& context) {
    sessions_.Handle(std::get<Event>(input), context);
  }

  // For events that no part needs yet.
  void Ignore(const event& /*input*/, node_context& /*context*/) {}

  void OnCallerRequest(const event& input, node_context& context);
  void OnAdminRequest(const event& input, node_context& context);
  void OnTick(const event& input, node_context& context);
  void OnStopRequested(const event& input, node_context& context);

  random_source& random_;
  counter_set counters_;
  standalone_cluster cluster_;
  direct_scheduling scheduling_;
  session_service sessions_;
  bool stop_completed_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_NODE_H_
