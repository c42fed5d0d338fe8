#ifndef GENTIAN_BENCH_ROUTER_H_
#define GENTIAN_BENCH_ROUTER_H_

#include <cstdint>

#include "gentian_decisions/gentian_decisions.h"

namespace gentian::bench {

/** Number of a call within a run. */
using call_number = std::uint64_t;

/** A call as a caller sends it to a daemon. */
struct call_request {
  call_number number = 0;
  std::size_t daemon = 0;
  work_item item;
};

/** What a routing policy tells the simulation. */
class router_host {
 public:
  virtual ~router_host() = default;

  /** The call has a rate token. */
  virtual void NoteAdmitted(call_number call) = 0;
  /** The call goes to a target now. */
  virtual void StartAt(call_number call, const target_id& target) = 0;
  /** The call is refused. */
  virtual void Refuse(call_number call, double retry_after_ms) = 0;
  /** The call failed and is not tried again. */
  virtual void GiveUp(call_number call) = 0;
  /** Carries out an order and answers it. */
  virtual void Order(std::size_t daemon, const order_target& order) = 0;
};

/** A routing policy: all daemons of a fleet. */
class router {
 public:
  virtual ~router() = default;

  /** A call arrives at its daemon. */
  virtual void Begin(const call_request& request) = 0;
  /** A call ended at its target with success. */
  virtual void Finished(call_number call, const call_usage& usage) = 0;
  /** A call failed at its target. */
  virtual void Failed(call_number call, target_failure failure) = 0;
  virtual void SessionEnded(std::size_t daemon, const session_id& session) = 0;
  virtual void Receive(std::size_t daemon, const target_load& load) = 0;
  virtual void Receive(std::size_t daemon, const target_cache_event& event) = 0;
  virtual void Receive(std::size_t daemon,
                       const target_order_answered& answer) = 0;
};

}  // namespace gentian::bench

#endif  // GENTIAN_BENCH_ROUTER_H_
