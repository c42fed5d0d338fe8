#include <criterion/criterion.h>

#include "decisions/session_fleet.h"

using namespace gentian;

namespace {

void Drain(session_fleet& fleet, const std::string& host) {
  fleet[host].Step([&](node_context& context) {
    fleet[host].service.StartDraining(context);
  });
}

}  // namespace

// Guards against a planned stop that interrupts a running call, drops a late
// request, or loses the result of a finished call.
Test(drain, running_call_ends_and_late_callers_reach_the_successor) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  const request_id running = fleet.Ask("a", Tool(id, "refund", "k1"));
  Drain(fleet, "a");
  fleet.Pass(milliseconds(6'000));
  const request_id waiting = fleet.Ask("a", Tool(id, "lookup", "k2"));
  cr_assert(!fleet.Answered("a", waiting));
  cr_assert(!fleet["a"].service.IsDrained(fleet.now));
  fleet.Target("a", target_finished{fleet["a"].dispatches[0].id, json("ok")});
  cr_assert(fleet.Final("a", running).body == "ok");
  fleet.Pass(milliseconds(3'000));
  const std::string owner = fleet.OwnerOf(id);
  cr_assert(!owner.empty() && owner != "a");
  cr_assert(fleet[owner].dispatches.size() == 1);
  fleet.Target(owner,
               target_finished{fleet[owner].dispatches[0].id, json("two")});
  fleet.Pass(milliseconds(500));
  cr_assert(fleet.Final("a", waiting).body == "two");
  const request_id repeat = fleet.Ask("b", Tool(id, "refund", "k1"));
  fleet.Pass(milliseconds(500));
  cr_assert(fleet.Final("b", repeat).body == "ok");
  fleet.Pass(milliseconds(2'000));
  cr_assert(fleet["a"].service.IsDrained(fleet.now));
}

// Guards against new sessions on a daemon that is about to stop.
Test(drain, new_sessions_are_refused_as_not_run) {
  session_fleet fleet;
  Drain(fleet, "a");
  const request_id opened =
      fleet.Ask("a", open_session{program_id("agent"), {}, std::nullopt});
  cr_assert(fleet.Error("a", opened).kind == error_kind::draining);
  cr_assert(fleet.Error("a", opened).outcome == call_outcome::not_run);
}

// Guards against sessions that stay frozen when no successor can take the shard
// because the key-value service is down.
Test(drain, shard_is_served_again_when_no_successor_can_take_it) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  fleet.store.down = true;
  Drain(fleet, "a");
  const request_id call = fleet.Ask("a", Tool(id, "refund", "k1"));
  fleet.Pass(milliseconds(11'000));
  cr_assert(fleet["a"].dispatches.size() == 1);
  fleet.Target("a", target_finished{fleet["a"].dispatches[0].id, json("ok")});
  cr_assert(fleet.Final("a", call).body == "ok");
}

// Guards against a planned stop that never completes because the message that
// announces the new owner was lost.
Test(drain, stop_completes_after_a_lost_announcement) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  Drain(fleet, "a");
  for (const char* other : {"b", "c", "d"}) {
    fleet.cut.insert({other, "a"});
  }
  fleet.Pass(milliseconds(4'000));
  const auto record = ParseShardRecord(
      fleet.store.entries["/shard/" + ShardOf(id).text()].value);
  cr_assert(ValueOf(record).owner.host != host_id("a"));
  cr_assert(!fleet["a"].service.IsDrained(fleet.now));
  fleet.cut.clear();
  fleet.Pass(milliseconds(15'000));
  cr_assert(fleet["a"].service.IsDrained(fleet.now));
}
