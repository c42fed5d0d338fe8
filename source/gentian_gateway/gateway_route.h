#ifndef GENTIAN_GATEWAY_GATEWAY_ROUTE_H_
#define GENTIAN_GATEWAY_GATEWAY_ROUTE_H_

#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What may be repeated on a route. */
enum class route_kind {
  /** A request may run more than once. */
  idempotent,
  /** A request runs at most once for each attempt of a caller. */
  at_most_once,
  /** The answer is a series of events; at most once unless resumable. */
  stream,
};

/** One of the services that a route divides its requests among. */
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
  /** A broken stream may go on in a new run after its last event. */
  bool resumable = false;
  /** No key is needed. */
  bool open_to_all = false;
  /** Requests carry prompts whose cached parts make a target cheaper. */
  bool has_prompts = false;
  /** Longest time that the operator lets a caller wait. */
  milliseconds timeout{30'000};
  /** Time within which an answer has its full value. */
  milliseconds latency_objective{1'000};
  /** Time without an event after which callers give up a stream; 0 if they only
      keep to their deadline. */
  milliseconds max_event_gap{0};
  /** Targets that one attempt of a caller may run on. */
  int max_targets = 2;
  /** Rank; 0 is the most urgent. */
  int priority = 0;
  std::vector<weighted_service> services;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_ROUTE_H_
