#ifndef GENTIAN_DECISIONS_CALL_SCHEDULING_H_
#define GENTIAN_DECISIONS_CALL_SCHEDULING_H_

#include <optional>

#include "gentian_decisions/call_usage.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/work_item.h"

namespace gentian {

/** Admission, queueing, target choice and retries, as the session part of a
    node uses them.

    Life of a ticket: Admit → listener::CallAdmitted → Enqueue →
    listener::CallAssigned → (dispatch) → Finish, or Fail, which may lead to
    Enqueue again. At any point listener::CallRefused or Withdraw ends it.
*/
class call_scheduling {
 public:
  /** Receives decisions on tickets, also within the call that asks. */
  class listener {
   public:
    virtual ~listener() = default;

    /** The team's rate allows the call. */
    virtual void CallAdmitted(ticket_id ticket, node_context& context) = 0;

    /** The call has a slot at a target; dispatch it now. */
    virtual void CallAssigned(ticket_id ticket,
                              const target_settings& target,
                              node_context& context) = 0;

    /** The call will not get a slot. It has not run since its last Enqueue. */
    virtual void CallRefused(ticket_id ticket,
                             const error& reason,
                             node_context& context) = 0;
  };

  virtual ~call_scheduling() = default;

  /** Sets who is told of decisions. Must be called before Admit. */
  virtual void SetListener(listener* target) = 0;

  /** Asks for a rate token of the item's team. */
  virtual void Admit(const work_item& item, node_context& context) = 0;

  /** Asks for a slot at a target. Precondition: the ticket is admitted. */
  virtual void Enqueue(ticket_id ticket, node_context& context) = 0;

  /** Gives up a ticket that is waiting or running. A rate token that was not
      used is returned.
  */
  virtual void Withdraw(ticket_id ticket, node_context& context) = 0;

  /** The dispatched call ended with an answer. */
  virtual void Finish(ticket_id ticket,
                      const call_usage& usage,
                      node_context& context) = 0;

  /** The dispatched call failed. Frees the slot and decides on a retry.

      @param failure     how it failed
      @param repeatable  false if running twice is not allowed
      @returns           the delay after which to call Enqueue again, or
                         nothing if the call must not be tried again
  */
  virtual std::optional<milliseconds> Fail(ticket_id ticket,
                                           target_failure failure,
                                           bool repeatable,
                                           node_context& context) = 0;

  /** The session has ended: release what engines hold for it. */
  virtual void SessionEnded(const session_id& session,
                            node_context& context) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CALL_SCHEDULING_H_
