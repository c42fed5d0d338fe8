#ifndef GENTIAN_DECISIONS_CALL_SCHEDULING_H_
#define GENTIAN_DECISIONS_CALL_SCHEDULING_H_

#include <optional>

#include "gentian_decisions/call_usage.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/work_item.h"

namespace gentian {

/** Interface for admission, queueing, target selection and retries of calls.

    Lifecycle of a ticket: Admit → listener::CallAdmitted → Enqueue →
    listener::CallAssigned → (dispatch) → Finish or Fail. If Fail returns a
    delay, the call is enqueued again after it. listener::CallRefused or
    Withdraw can end the ticket at any point.
*/
class call_scheduling {
 public:
  /** Receives decisions on tickets; may be called before the function that
      requested the decision returns. */
  class listener {
   public:
    virtual ~listener() = default;

    /** The call is within its team's rate limit. */
    virtual void CallAdmitted(ticket_id ticket, node_context& context) = 0;

    /** The call has a slot at a target and must be dispatched now. */
    virtual void CallAssigned(ticket_id ticket,
                              const target_settings& target,
                              node_context& context) = 0;

    /** The call is rejected. It has not run since its last Enqueue. */
    virtual void CallRefused(ticket_id ticket,
                             const error& reason,
                             node_context& context) = 0;
  };

  virtual ~call_scheduling() = default;

  /** Sets the receiver of decisions. Must be called before Admit. */
  virtual void SetListener(listener* target) = 0;

  /** Requests a rate token of the item's team. */
  virtual void Admit(const work_item& item, node_context& context) = 0;

  /** Requests a slot at a target. Precondition: the ticket is admitted. */
  virtual void Enqueue(ticket_id ticket, node_context& context) = 0;

  /** Cancels a ticket that is waiting or running. An unused rate token is
      returned. */
  virtual void Withdraw(ticket_id ticket, node_context& context) = 0;

  /** Records that the dispatched call completed, and frees its slot. */
  virtual void Finish(ticket_id ticket,
                      const call_usage& usage,
                      node_context& context) = 0;

  /** Records that the dispatched call failed, frees its slot and decides
      whether to retry.

      @param repeatable  false if the call must not run twice
      @returns           the delay after which to call Enqueue again, or
                         nothing if the call must not be retried
  */
  virtual std::optional<milliseconds> Fail(ticket_id ticket,
                                           target_failure failure,
                                           bool repeatable,
                                           node_context& context) = 0;

  /** Releases the cache that engines hold for an ended session. */
  virtual void SessionEnded(const session_id& session,
                            node_context& context) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALL_SCHEDULING_H_
