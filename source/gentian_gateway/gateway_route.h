#ifndef GENTIAN_GATEWAY_GATEWAY_ROUTE_H_
#define GENTIAN_GATEWAY_GATEWAY_ROUTE_H_

#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Whether requests on a route may be repeated. */
enum class route_kind {
  /** A request may run more than once. */
  idempotent,
  /** A request runs at most once for each attempt of a caller. */
  at_most_once,
  /** The response is a stream of events; at most once unless resumable. */
  stream,
};

/** One of the services that share the requests of a route. */
struct weighted_service {
  std::string service;
  double weight = 1;
};

/** One route of the operator's configuration. */
struct gateway_route {
  std::string name;
  /** Value of the Host header that selects the route. */
  std::string host;
  /** Beginning of the path; starts and ends with a slash. */
  std::string prefix;
  route_kind kind = route_kind::at_most_once;
  /** A broken stream may be resumed in a new run after its last event. */
  bool resumable = false;
  /** No key is needed. */
  bool open_to_all = false;
  /** A target that has handled the same object or program lately, and has its
      data or its prompt's prefix cached, answers at lower cost. */
  bool has_affinity = false;
  /** Requests carry only the input of a turn; the system keeps the turns and
      puts the history before the input. */
  bool keeps_turns = false;
  /** Time for which a turn and its chain are kept. */
  milliseconds turn_retention{60'000};
  /** Timeout that the operator sets for a caller's request. */
  milliseconds timeout{30'000};
  /** Time within which a request should be answered. */
  milliseconds latency_objective{1'000};
  /** Time without an event after which callers close a stream; 0 if only their
      deadline applies. */
  milliseconds max_event_gap{0};
  /** Most targets that one attempt of a caller may be sent to. */
  int max_targets = 2;
  /** 0 is the most urgent. */
  int priority = 0;
  std::vector<weighted_service> services;
  /** Regions in which requests may be handled; empty for any. */
  std::vector<std::string> allowed_regions;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_ROUTE_H_
