#ifndef TESTS_SUPPORT_DIRECT_SCHEDULING_H_
#define TESTS_SUPPORT_DIRECT_SCHEDULING_H_

#include <deque>
#include <map>

#include "gentian_decisions/call_scheduling.h"
#include "gentian_decisions/cluster_view.h"

namespace gentian {

/** First-come, first-served scheduling without rate limits or fairness.

    Admits every call and selects the least loaded target of the pool. A call
    that did not run or is repeatable is attempted up to three times.
*/
class direct_scheduling : public call_scheduling {
 public:
  /** @param cluster  provides the settings; must outlive this object */
  explicit direct_scheduling(const cluster_view& cluster) : cluster_(cluster) {}

  void SetListener(listener* target) override { listener_ = target; }
  void Admit(const work_item& item, node_context& context) override;
  void Enqueue(ticket_id ticket, node_context& context) override;
  void Withdraw(ticket_id ticket, node_context& context) override;
  void Finish(ticket_id ticket,
              const call_usage& usage,
              node_context& context) override;
  std::optional<milliseconds> Fail(ticket_id ticket,
                                   target_failure failure,
                                   bool repeatable,
                                   node_context& context) override;
  void SessionEnded(const session_id& session, node_context& context) override;

 private:
  struct entry {
    work_item item;
    target_id target;
    int failures = 0;
  };

  const target_settings* LeastLoadedTarget(const pool_id& pool) const;
  void ReleaseSlot(entry& released);
  void AssignWaiting(node_context& context);

  const cluster_view& cluster_;
  listener* listener_ = nullptr;
  std::map<ticket_id, entry> entries_;
  std::map<target_id, std::uint32_t> running_;
  std::deque<ticket_id> waiting_;
};

}  // namespace gentian

#endif  // TESTS_SUPPORT_DIRECT_SCHEDULING_H_
