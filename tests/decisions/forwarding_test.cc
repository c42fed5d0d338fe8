#include <criterion/criterion.h>

#include "decisions/session_fleet.h"

using namespace gentian;

// Guards against events that are lost or duplicated between the owner and the
// entry daemon when messages are lost, duplicated or reordered.
Test(forwarding, streamed_answer_is_whole_after_duplicates_and_losses) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  const request_id call = fleet.Ask("b", Chat(id, "one", true));
  const dispatch_id sent = fleet["a"].dispatches.at(0).id;
  fleet.Target("a", target_accepted{sent, "s"});
  fleet.cut.insert({"a", "b"});
  fleet.Target("a", target_chunk{sent, 0, json("x")});
  fleet.cut.clear();
  fleet.Target("a", target_chunk{sent, 1, json("y")});
  cr_assert(!fleet.Answered("b", call));
  fleet.Pass(milliseconds(1'200));
  fleet.Target("a", target_finished{sent, json::object(), 10, 0, 5});
  fleet.Pass(milliseconds(1'200));
  const auto& parts = fleet["b"].answers[call];
  cr_assert(parts.size() == 3);
  cr_assert(std::get<answer_event>(parts[0]).data == "x");
  cr_assert(std::get<answer_event>(parts[1]).data == "y");
  cr_assert(fleet["a"].dispatches.size() == 1);
}

// Guards against a forwarded call that runs twice because its message was
// delivered again, before or after the answer.
Test(forwarding, repeated_message_does_not_repeat_the_call) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  fleet["b"].Step([&](node_context& context) {
    tool_call call = Tool(id, "refund", "");
    fleet["b"].service.Handle(caller_request{77, "secret", call}, context);
  });
  cr_assert(fleet.network.size() == 1);
  const auto copy = fleet.network.front();
  fleet.Deliver();
  fleet.network.push_back(copy);
  fleet.Deliver();
  fleet.Target("a", target_finished{fleet["a"].dispatches[0].id, json("ok")});
  cr_assert(fleet.Final("b", 77).body == "ok");
  fleet.network.push_back(copy);
  fleet.Deliver();
  fleet.Pass(milliseconds(1'000));
  cr_assert(fleet.Dispatched() == 1);
}

// Guards against running a call again at the new owner after the owner that
// dispatched it died, and against a caller that waits forever.
Test(forwarding, call_in_flight_becomes_unknown_when_its_owner_dies) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  const request_id call = fleet.Ask("b", Tool(id, "refund", ""));
  fleet.Kill("a");
  fleet.Pass(milliseconds(12'000));
  cr_assert(fleet.Error("b", call).outcome == call_outcome::unknown);
  cr_assert(fleet.Dispatched() == 1);
}

// Guards against reporting "not run" for a request that an owner received.
Test(forwarding, unreachable_owner_gives_unknown_only_for_sent_requests) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  const request_id sent = fleet.Ask("b", Tool(id, "refund", ""));
  fleet.Kill("a");
  fleet.store.down = true;
  const request_id unsent = fleet.Ask("b", Tool(id, "refund", ""));
  // Only the owner knows whether the caller used this key before.
  const request_id named = fleet.Ask("b", Tool(id, "refund", "other"));
  fleet.Pass(milliseconds(31'000));
  cr_assert(fleet.Error("b", sent).outcome == call_outcome::unknown);
  cr_assert(fleet.Error("b", unsent).outcome == call_outcome::not_run);
  cr_assert(fleet.Error("b", named).outcome == call_outcome::unknown);
}

// Guards against lookups or waits caused by an invented session id.
Test(forwarding, session_of_no_member_is_unknown_at_once) {
  session_fleet fleet;
  const request_id asked =
      fleet.Ask("b", read_history{session_id("z-9-0.1.x")});
  cr_assert(fleet.Error("b", asked).kind == error_kind::unknown_session);
}
