#include <criterion/criterion.h>

#include "decisions/node_harness.h"

using namespace gentian;

// Guards against calls of a session that run concurrently or without the
// history of earlier calls.
Test(call_path, calls_run_in_order_with_the_history) {
  node_harness world;
  const session_id id = world.Open();
  const request_id first = world.Ask(Chat(id, "one"));
  world.Ask(Chat(id, "two"));
  cr_assert(world.Dispatches().size() == 1);
  world.Answer(world.Dispatches()[0].id, "first");
  cr_assert(world.Final(first).call == 1);
  cr_assert(world.Dispatches().size() == 2);
  const json messages = world.Dispatches()[1].body.at("messages");
  cr_assert(messages.size() == 3);
  cr_assert(messages[1].at("content") == "first");
  cr_assert(world.Dispatches()[1].body.at("model") == "small");
}

// Guards against streamed events that are lost, duplicated or out of order,
// and against an end that precedes the events.
Test(call_path, streamed_events_arrive_once_and_in_order) {
  node_harness world;
  const session_id id = world.Open();
  const request_id call = world.Ask(Chat(id, "one", true));
  const dispatch_id sent = world.Dispatches()[0].id;
  world.Step(target_accepted{sent, "stream-1"});
  world.Step(target_chunk{sent, 0, json("a")});
  world.Step(target_chunk{sent, 0, json("a")});
  world.Step(target_chunk{sent, 1, json("b")});
  world.Answer(sent);
  const auto parts = world.Parts(call);
  cr_assert(parts.size() == 3);
  cr_assert(std::get<answer_event>(parts[1]).id == 2);
  cr_assert(world.Final(call).event_id == 3);
  const request_id resumed = world.Ask(resume_events{id, 1, 1});
  cr_assert(world.Parts(resumed).size() == 2);
  cr_assert(std::get<answer_event>(world.Parts(resumed)[0]).data == "b");
}

// Guards against a stream that hangs when the target stops sending.
Test(call_path, silent_stream_is_resumed_where_it_stopped) {
  node_harness world;
  world.Ask(Chat(world.Open(), "one", true));
  const dispatch_id sent = world.Dispatches()[0].id;
  world.Step(target_accepted{sent, "stream-1"});
  world.Step(target_chunk{sent, 0, json("a")});
  world.Pass(milliseconds(2'100));
  const dispatch_call again = world.Dispatches().back();
  cr_assert(again.id != sent);
  cr_assert(again.resume_stream == "stream-1");
  cr_assert(again.resume_offset == 1);
}

// Guards against a non-repeatable call that is sent twice, and against a
// caller who is told that it has not run.
Test(call_path, broken_tool_call_is_unknown_and_never_repeated) {
  node_harness world;
  const session_id id = world.Open();
  const request_id call = world.Ask(Tool(id, "refund", "k1"));
  world.Step(target_failed{world.Dispatches()[0].id, target_failure::broken,
                           "connection reset"});
  world.Pass(milliseconds(5'000));
  cr_assert(world.Dispatches().size() == 1);
  cr_assert(world.Error(call).outcome == call_outcome::unknown);
  const request_id repeat = world.Ask(Tool(id, "refund", "k1"));
  cr_assert(world.Error(repeat).outcome == call_outcome::unknown);
  cr_assert(world.Dispatches().size() == 1);
}

// Guards against reporting "not run" because the last attempt could not be
// sent, although an earlier attempt may have run.
Test(call_path, not_sent_after_a_broken_attempt_is_not_reported_as_not_run) {
  node_harness world;
  const request_id call = world.Ask(Tool(world.Open(), "lookup", "k1"));
  world.Step(target_failed{world.Dispatches()[0].id, target_failure::broken,
                           "connection reset"});
  std::size_t answered = 1;
  for (int i = 0; i < 20 && world.Parts(call).empty(); ++i) {
    world.Pass(milliseconds(1'000));
    if (world.Dispatches().size() > answered) {
      ++answered;
      world.Step(target_failed{world.Dispatches().back().id,
                               target_failure::not_sent, "refused"});
    }
  }
  cr_assert(world.Dispatches().size() > 1);
  cr_assert(world.Error(call).outcome == call_outcome::unknown);
}

// Guards against a call that is reported as not run but whose idempotency key
// is then rejected.
Test(call_path, call_that_was_never_sent_is_not_run_and_its_key_is_free) {
  node_harness world;
  const session_id id = world.Open();
  const request_id call = world.Ask(Tool(id, "refund", "k1"));
  std::size_t answered = 0;
  for (int i = 0; i < 20 && world.Parts(call).empty(); ++i) {
    if (world.Dispatches().size() > answered) {
      ++answered;
      world.Step(target_failed{world.Dispatches().back().id,
                               target_failure::not_sent, "refused"});
    }
    world.Pass(milliseconds(1'000));
  }
  cr_assert(answered > 1);
  cr_assert(world.Error(call).outcome == call_outcome::not_run);
  const request_id repeat = world.Ask(Tool(id, "refund", "k1"));
  world.Pass(milliseconds(5'000));
  cr_assert(world.Dispatches().size() == answered + 1);
  world.Step(target_finished{world.Dispatches().back().id, json("ok")});
  cr_assert(world.Final(repeat).call == 1);
}

// Guards against losing the answer of a non-repeatable call that arrives after
// the deadline.
Test(call_path, late_answer_of_a_tool_is_recorded) {
  node_harness world;
  const session_id id = world.Open();
  const request_id call = world.Ask(Tool(id, "refund", "k1"));
  world.Pass(milliseconds(30'100));
  cr_assert(world.Error(call).outcome == call_outcome::unknown);
  world.Step(target_finished{world.Dispatches()[0].id, json("done")});
  const request_id repeat = world.Ask(Tool(id, "refund", "k1"));
  cr_assert(world.Final(repeat).body == "done");
}

// Guards against accepting one idempotency key for two different requests.
Test(call_path, key_with_another_body_is_refused) {
  node_harness world;
  const session_id id = world.Open();
  world.Ask(Tool(id, "refund", "k1"));
  tool_call other = Tool(id, "refund", "k1");
  other.body = {{"amount", 6}};
  cr_assert(world.Error(world.Ask(other)).kind ==
            error_kind::idempotency_mismatch);
}

// Guards against a session that spends more than its budget.
Test(call_path, call_that_does_not_fit_the_budget_is_refused) {
  node_harness world;
  budget_request limits;
  limits.calls = 1;
  const session_id id = world.Open(limits);
  world.Ask(Chat(id, "one"));
  world.Answer(world.Dispatches()[0].id);
  const error reason = world.Error(world.Ask(Chat(id, "two")));
  cr_assert(reason.kind == error_kind::budget_spent);
  cr_assert(reason.message.find("calls") != std::string::npos);
}

// Guards against child sessions that exceed the budget of their parent, and
// against an unused remainder that is not returned to the parent.
Test(call_path, children_draw_on_the_budget_of_their_parent) {
  node_harness world;
  budget_request limits;
  limits.calls = 4;
  const session_id parent = world.Open(limits);
  budget_request part;
  part.calls = 3;
  part.tokens = 1'000;
  part.cost_micros = 1'000;
  const request_id opened =
      world.Ask(open_session{program_id("agent"), part, parent});
  const session_id child(world.Final(opened).body.at("id").get<std::string>());
  cr_assert(
      world.Error(world.Ask(open_session{program_id("agent"), part, parent}))
          .kind == error_kind::budget_spent);
  world.Ask(Chat(child, "one"));
  world.Answer(world.Dispatches()[0].id);
  world.Ask(end_session{child});
  world.Final(world.Ask(open_session{program_id("agent"), part, parent}));
}

// Guards against rejecting a child session that leaves limits unset after its
// parent has spent part of its budget: unset limits must default to what the
// parent has left.
Test(call_path, limits_that_a_child_does_not_state_are_the_parents_rest) {
  node_harness world;
  const session_id parent = world.Open();
  world.Ask(Chat(parent, "one"));
  world.Answer(world.Dispatches()[0].id);
  budget_request part;
  part.calls = 1;
  const auto opened =
      world.Final(world.Ask(open_session{program_id("agent"), part, parent}));
  const auto limits = opened.body.at("budget").get<budget_limits>();
  cr_assert(limits.calls == 1);
  cr_assert(limits.tokens < budget_limits().tokens);
}

// Guards against callers that detect or use sessions of another team.
Test(call_path, session_of_another_team_looks_unknown) {
  node_harness world;
  const session_id id = world.Open();
  const error foreign =
      world.Error(world.Ask(read_history{id}, "other-secret"));
  const error unknown =
      world.Error(world.Ask(read_history{session_id("x-1-0.1.f")}));
  cr_assert(json(foreign) == json(unknown));
}

// Guards against a withdrawn key that still receives events or starts calls.
Test(call_path, withdrawn_key_ends_streams_and_new_requests) {
  node_harness world;
  const session_id id = world.Open();
  const request_id running = world.Ask(Chat(id, "one", true));
  const request_id waiting = world.Ask(Chat(id, "two", true));
  world.Step(admin_request{99, withdraw_key{Sha256Hex("secret"), "op"}});
  cr_assert(world.Error(running).kind == error_kind::key_withdrawn);
  cr_assert(world.Error(running).outcome == call_outcome::unknown);
  cr_assert(world.Error(waiting).outcome == call_outcome::not_run);
  world.Answer(world.Dispatches()[0].id);
  cr_assert(world.Dispatches().size() == 1);
  cr_assert(world.Error(world.Ask(Chat(id, "three"))).kind ==
            error_kind::key_withdrawn);
}
