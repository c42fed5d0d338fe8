#include <criterion/criterion.h>

#include "decisions/session_fleet.h"

using namespace gentian;

// Guards against a dispatch before enough replicas know of the call.
Test(replication, call_is_dispatched_only_after_two_acknowledgements) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  for (const char* other : {"b", "c", "d"}) {
    fleet[other].paused = true;
  }
  const request_id call = fleet.Ask("a", Tool(id, "refund", "k"));
  fleet[std::string("b")].paused = false;
  fleet.Pass(milliseconds(500));
  cr_assert(fleet.Dispatched() == 0);
  fleet["c"].paused = false;
  fleet.Pass(milliseconds(500));
  cr_assert(fleet.Dispatched() == 1);
  cr_assert(!fleet.Answered("a", call));
}

// Guards against a result that is released and then lost with its owner.
Test(replication, answer_is_released_only_after_two_acknowledgements) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  const request_id call = fleet.Ask("a", Tool(id, "refund", "k"));
  for (const char* other : {"b", "c", "d"}) {
    fleet.cut.insert({"a", other});
  }
  fleet.Target("a", target_finished{fleet["a"].dispatches[0].id, json("ok")});
  fleet.Pass(milliseconds(500));
  cr_assert(!fleet.Answered("a", call));
  fleet.cut.clear();
  fleet.Pass(milliseconds(500));
  cr_assert(fleet.Final("a", call).body == "ok");
}

// Guards against a silent replica that is never replaced, so that the next
// failure stops all commits.
Test(replication, silent_replica_is_replaced) {
  session_fleet fleet(5);
  const session_id id = fleet.Open("a");
  const auto replicas = [&] {
    const auto entry = fleet.store.entries[ShardKey(ShardOf(id))];
    return ValueOf(ParseShardRecord(entry.value)).replicas;
  };
  const auto before = replicas();
  cr_assert(before.size() == 3);
  const std::string lost = before[0].host.text();
  fleet[lost].paused = true;
  fleet.Ask("a", Tool(id, "refund", "k"));
  fleet.Pass(milliseconds(4'000));
  const auto after = replicas();
  cr_assert(after.size() == 3);
  cr_assert(std::find(after.begin(), after.end(), before[0]) == after.end());
  cr_assert(fleet.OwnerOf(id) == "a");
}

// Guards against two replicas in one failure domain while others are free.
Test(replication, replicas_are_in_three_failure_domains) {
  session_fleet fleet(6);
  const session_id id = fleet.Open("a");
  const auto entry = fleet.store.entries[ShardKey(ShardOf(id))];
  const auto record = ParseShardRecord(entry.value);
  std::set<std::string> domains;
  for (const auto& replica : ValueOf(record).replicas) {
    cr_assert(replica.host.text() != "a");
    domains.insert(
        fleet.settings.daemons.at(replica.host).failure_domain.text());
  }
  cr_assert(domains.size() == 3);
}

// Guards against a replica that takes records of a fenced owner, or keeps a
// longer tail that was never acknowledged over the records of a new owner.
Test(replication, fenced_replica_refuses_and_new_generation_replaces_tails) {
  const incarnation self{host_id("r"), 1};
  const incarnation old_owner{host_id("o"), 1};
  const incarnation successor{host_id("s"), 1};
  const shard_id shard("o-1-0");
  const session_id id("o-1-0.1.x");
  replica_store subject;
  subject.SetSelf(self);
  counter_set counters;
  seeded_random random(1);
  std::vector<command> commands;
  node_context context{steady_time(), commands, counters, random};
  const auto store = [&](const incarnation& from, std::uint64_t generation,
                         std::uint64_t count) {
    store_records message{self, shard, generation, id, milliseconds(0), {}};
    for (std::uint64_t i = 1; i <= count; ++i) {
      message.records.push_back({i, milliseconds(0), session_ended{}});
    }
    commands.clear();
    subject.Handle(from, message, context);
    return std::get<send_to_peer>(commands.back()).message;
  };
  cr_assert(std::get<records_stored>(store(old_owner, 1, 3)).number == 3);
  subject.Fence(successor, fence_request{self, shard, 2, session_id()},
                steady_time());
  cr_assert(std::get<store_refused>(store(old_owner, 1, 4)).promised == 2);
  cr_assert(std::get<records_stored>(store(successor, 2, 2)).number == 2);
  const auto page = std::get<fence_promise>(subject.Fence(
      successor, fence_request{self, shard, 2, session_id()}, steady_time()));
  cr_assert(page.copies.size() == 1);
  cr_assert(page.copies[0].records.size() == 2);
}
