#include <criterion/criterion.h>

#include "decisions/scheduling_fakes.h"

using namespace gentian;

namespace {

struct single_daemon {
  configuration settings = MakeSettings(1, 2, 1);
  step_fixture step;
  fake_view view{"d0", 1, &settings};
  call_scheduler subject{view};
  fake_listener listener{subject};

  single_daemon() {
    AddTeam(settings, "t", 10, 3);
    member self;
    self.id = view.self();
    view.members.push_back(self);
    subject.SetListener(&listener);
  }
  void Admit(const work_item& item) {
    node_context context = step.Context();
    subject.Admit(item, context);
  }
  void Tick(milliseconds later) {
    step.now += later;
    node_context context = step.Context();
    subject.Tick(context);
  }
};

}  // namespace

// Guards against a single daemon that waits for peers, and against more running
// calls than the targets have slots.
Test(scheduler_single, assigns_up_to_the_slots_and_the_rest_after_a_finish) {
  single_daemon daemon;
  for (ticket_id ticket = 1; ticket <= 3; ++ticket) {
    daemon.Admit(MakeItem(ticket, "t"));
  }
  cr_assert(daemon.listener.admitted.size() == 3);
  cr_assert(daemon.listener.assigned.size() == 2);
  const ticket_id first = daemon.listener.assigned.begin()->first;
  node_context context = daemon.step.Context();
  daemon.subject.Finish(first, {1'000, 0, 10}, context);
  daemon.Tick(kTickInterval);
  cr_assert(daemon.listener.assigned.size() == 3);
}

// Guards against calls beyond rate and burst that are admitted or wait forever.
Test(scheduler_single, refuses_beyond_the_burst_after_the_wait) {
  single_daemon daemon;
  for (ticket_id ticket = 1; ticket <= 20; ++ticket) {
    daemon.Admit(MakeItem(ticket, "t"));
  }
  cr_assert(daemon.listener.admitted.size() == 3);
  for (int i = 0; i < 10; ++i) {
    daemon.Tick(kTickInterval);
  }
  cr_assert(daemon.listener.admitted.size() <= 8);
  cr_assert(daemon.listener.admitted.size() + daemon.listener.refused.size() ==
            20);
  const error& reason = daemon.listener.refused.begin()->second;
  cr_assert(reason.kind == error_kind::rate_limited);
  cr_assert(reason.outcome == call_outcome::not_run);
  cr_assert(reason.retry_after.has_value());
}
