#include <criterion/criterion.h>

#include "gentian_decisions/kv_client.h"
#include "support/fake_kv_service.h"

using namespace gentian;

namespace {

using status = kv_answer::status;

// One client, its commands and a service to answer them from.
struct bench_client {
  seeded_random random{1};
  counter_set counters;
  kv_client client;
  fake_kv_service service;
  steady_time now{std::chrono::hours(1)};
  std::vector<call_kv> sent;

  template <typename Action>
  void Step(Action action) {
    std::vector<command> commands;
    node_context context{now, commands, counters, random};
    action(context);
    for (command& next : commands) {
      sent.push_back(std::get<call_kv>(next));
    }
  }
  void Call(kv_operation operation,
            kv_access::priority order,
            std::vector<status>* outcomes) {
    Step([&](node_context& c) {
      client.Call(
          std::move(operation), order,
          [outcomes](const kv_answer& answer, node_context&) {
            outcomes->push_back(answer.outcome);
          },
          c);
    });
  }
  void Answer(const call_kv& call, kv_answer answer) {
    Step([&](node_context& c) {
      client.Handle(kv_answered{call.id, std::move(answer)}, c);
    });
  }
  void Tick(milliseconds step) {
    now += step;
    Step([&](node_context& c) { client.Handle(tick{}, c); });
  }
  call_kv Next() {
    for (int i = 0; i < 200 && sent.empty(); ++i) {
      Tick(kTickInterval);
    }
    call_kv call = sent.at(0);
    sent.erase(sent.begin());
    return call;
  }
  void Serve(const call_kv& call) {
    Answer(call, *service.Run(call.operation, now));
  }
};

const kv_compare_and_swap kWrite{"/shard/a", 0, "value", 0};

}  // namespace

// Guards against a write that is repeated although it had taken effect, or is
// reported as lost to the competitor that was itself.
Test(kv_client, a_lost_answer_is_read_back_as_success) {
  bench_client subject;
  std::vector<status> outcomes;
  subject.Call(kWrite, kv_access::priority::ownership, &outcomes);
  const call_kv write = subject.Next();
  subject.service.Run(write.operation, subject.now);
  subject.Answer(write, {});
  const call_kv read = subject.Next();
  cr_assert(std::holds_alternative<kv_get>(read.operation));
  subject.Serve(read);
  cr_assert(outcomes == std::vector<status>{status::ok});
}

// Guards against success reported for a write that another daemon won.
Test(kv_client, a_lost_answer_is_read_back_as_conflict) {
  bench_client subject;
  std::vector<status> outcomes;
  subject.Call(kWrite, kv_access::priority::ownership, &outcomes);
  subject.Answer(subject.Next(), {});
  subject.service.Put("/shard/a", "of another daemon");
  subject.Serve(subject.Next());
  cr_assert(outcomes == std::vector<status>{status::conflict});
}

// Guards against two effects when the first attempt arrives late, after the
// read has shown the old version.
Test(kv_client, a_late_first_attempt_and_the_repeat_take_effect_once) {
  bench_client subject;
  std::vector<status> outcomes;
  subject.Call(kWrite, kv_access::priority::ownership, &outcomes);
  const call_kv first = subject.Next();
  subject.Answer(first, {});
  subject.Serve(subject.Next());
  const call_kv repeat = subject.Next();
  subject.service.Run(first.operation, subject.now);
  subject.Serve(repeat);
  cr_assert(outcomes == std::vector<status>{status::ok});
  cr_assert(subject.service.List("/").revision == 1);
}

// Guards against "not sent" for a write that may still take effect.
Test(kv_client, a_write_that_may_have_run_ends_as_no_answer) {
  bench_client subject;
  std::vector<status> outcomes;
  subject.Call(kWrite, kv_access::priority::ownership, &outcomes);
  subject.Answer(subject.Next(), {});
  for (int i = 0; i < 400 && outcomes.empty(); ++i) {
    subject.Tick(kTickInterval);
    while (!subject.sent.empty()) {
      const call_kv call = subject.Next();
      kv_answer refused;
      refused.outcome = status::not_sent;
      subject.Answer(call, refused);
    }
  }
  cr_assert(outcomes == std::vector<status>{status::no_answer});
}

// Guards against a lease that expires behind a queue of checkpoints.
Test(kv_client, leases_overtake_a_full_queue) {
  bench_client subject;
  std::vector<status> others;
  std::vector<status> lease;
  for (int i = 0; i < 300; ++i) {
    subject.Call(kWrite, kv_access::priority::checkpoint, &others);
  }
  cr_assert(subject.sent.size() == 8);
  subject.Call(kv_renew_lease{1}, kv_access::priority::lease, &lease);
  subject.Answer(subject.Next(), {});
  cr_assert(
      std::holds_alternative<kv_renew_lease>(subject.sent.back().operation));
  subject.Tick(kTickInterval);
  // 300 calls and the lease compete for 256 places.
  cr_assert(others.size() == 45);
  cr_assert(others[0] == status::not_sent);
}

// Guards against a fleet that together exceeds the rate of the service.
Test(kv_client, writes_stay_within_the_daemons_part_of_the_rate) {
  bench_client subject;
  subject.client.SetDaemonCount(620);
  std::vector<status> outcomes;
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    subject.Call(kWrite, kv_access::priority::checkpoint, &outcomes);
  }
  for (int i = 0; i < 20 * 20; ++i) {
    subject.Tick(kTickInterval);
    while (!subject.sent.empty()) {
      const call_kv call = subject.Next();
      kv_answer ok;
      ok.outcome = status::ok;
      ++sent;
      subject.Answer(call, ok);
    }
  }
  // Burst 13 and 0.5 a second; what waits longer than its deadline is dropped.
  cr_assert(sent >= 13 && sent <= 13 + 10, "%d", sent);
}
