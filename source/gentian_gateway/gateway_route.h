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
  /** Requests carry prompts; a target that has cached the prompt's prefix
      answers at lower cost. */
  bool has_prompts = false;
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
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_ROUTE_H_
