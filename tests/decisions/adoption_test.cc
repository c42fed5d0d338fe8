#include <criterion/criterion.h>

#include "decisions/session_fleet.h"

using namespace gentian;

namespace {

constexpr milliseconds kAdoption{10'000};

}  // namespace

// Guards against the loss of finished calls when the owner of a session dies.
Test(adoption, finished_calls_survive_their_owner) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  fleet.Ask("a", Tool(id, "refund", "k"));
  fleet.Target("a", target_finished{fleet["a"].dispatches[0].id, json("ok")});
  fleet.Kill("a");
  fleet.Pass(kAdoption);
  const std::string owner = fleet.OwnerOf(id);
  cr_assert(!owner.empty());
  const request_id repeat = fleet.Ask(owner, Tool(id, "refund", "k"));
  cr_assert(fleet.Final(owner, repeat).body == "ok");
  cr_assert(fleet.Dispatched() == 1);
}

// Guards against a second dispatch of a call that the dead owner may have
// dispatched.
Test(adoption, interrupted_call_is_unknown_and_not_repeated) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  fleet.Ask("a", Tool(id, "refund", "k"));
  fleet.Kill("a");
  fleet.Pass(kAdoption);
  const std::string owner = fleet.OwnerOf(id);
  const request_id repeat = fleet.Ask(owner, Tool(id, "refund", "k"));
  cr_assert(fleet.Error(owner, repeat).outcome == call_outcome::unknown);
  cr_assert(fleet.Dispatched() == 1);
}

// Guards against an interrupted model call that blocks its sequence number, and
// against the return of its budget reservation.
Test(adoption, interrupted_model_call_can_be_made_again) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  fleet.Ask("a", Chat(id, "one"));
  fleet.Kill("a");
  fleet.Pass(kAdoption);
  const std::string owner = fleet.OwnerOf(id);
  model_call again = Chat(id, "one");
  again.sequence = 1;
  fleet.Ask(owner, again);
  cr_assert(fleet[owner].dispatches.size() == 1);
}

// Guards against a paused owner that releases an answer, or starts a call,
// after a successor has taken its shard.
Test(adoption, paused_owner_is_fenced_when_it_resumes) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  const request_id call = fleet.Ask("a", Tool(id, "refund", "k"));
  fleet["a"].paused = true;
  fleet.store.entries.erase("/daemon/a");
  fleet.Pass(kAdoption);
  const std::string owner = fleet.OwnerOf(id);
  cr_assert(!owner.empty());
  fleet["a"].paused = false;
  fleet.Target("a", target_finished{fleet["a"].dispatches[0].id, json("ok")});
  fleet.Pass(milliseconds(500));
  cr_assert(fleet.Error("a", call).outcome == call_outcome::unknown);
  cr_assert(fleet.Error("a", call).kind == error_kind::moved);
  const request_id late = fleet.Ask("a", Tool(id, "refund", "k2"));
  fleet.Pass(milliseconds(2'000));
  cr_assert(fleet["a"].dispatches.size() == 1);
  static_cast<void>(late);
}

// Guards against two owners, or none, when the answer to a write of the shard
// record is lost.
Test(adoption, lost_answers_of_ownership_writes_leave_one_owner) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  fleet.Kill("a");
  fleet.store.lose_answers = 2;
  fleet.Pass(milliseconds(20'000));
  cr_assert(fleet.store.lose_answers == 0);
  int owners = 0;
  for (const auto& [host, daemon] : fleet.daemons()) {
    const json status = daemon->service.Status();
    for (const json& row : status.at("shards")) {
      owners += !daemon->dead && row.at("shard") == ShardOf(id).text() ? 1 : 0;
    }
  }
  cr_assert(owners == 1);
}

// Guards against the loss of sessions when a successor dies while adopting.
Test(adoption, next_candidate_starts_over_when_a_successor_dies) {
  session_fleet fleet(5);
  const session_id id = fleet.Open("a");
  fleet.Ask("a", Tool(id, "refund", "k"));
  fleet.Target("a", target_finished{fleet["a"].dispatches[0].id, json("ok")});
  fleet.Kill("a");
  std::string claimer;
  for (int i = 0; i < 200 && claimer.empty(); ++i) {
    fleet.Pass(kTickInterval);
    const auto entry = fleet.store.entries[ShardKey(ShardOf(id))];
    const auto record = ParseShardRecord(entry.value);
    if (ValueOf(record).phase == shard_record::state::adopting) {
      claimer = ValueOf(record).owner.host.text();
    }
    if (claimer.empty() && !fleet.OwnerOf(id).empty()) {
      claimer = fleet.OwnerOf(id);
    }
  }
  cr_assert(!claimer.empty());
  fleet.Kill(claimer);
  fleet.Pass(milliseconds(20'000));
  const std::string owner = fleet.OwnerOf(id);
  cr_assert(!owner.empty() && owner != claimer);
  const request_id repeat = fleet.Ask(owner, Tool(id, "refund", "k"));
  cr_assert(fleet.Final(owner, repeat).body == "ok");
}

// Guards against a daemon that loses its sessions when its lease expires while
// the key-value service cannot be reached.
Test(adoption, owner_with_a_new_incarnation_keeps_its_shards) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  const request_id call = fleet.Ask("a", Tool(id, "refund", "k"));
  fleet["a"].id.epoch = 2;
  fleet.store.entries["/daemon/a"].value = R"({"epoch":2})";
  fleet.Pass(milliseconds(1'000));
  cr_assert(fleet.OwnerOf(id) == "a");
  fleet.Target("a", target_finished{fleet["a"].dispatches[0].id, json("ok")});
  fleet.Pass(milliseconds(500));
  cr_assert(fleet.Final("a", call).body == "ok");
}

// Guards against the dispatch of a queued call of a lost shard when the loss
// frees the slot of another call.
Test(adoption, queued_call_of_a_lost_shard_is_not_dispatched) {
  session_fleet fleet;
  fleet.settings.targets.at(target_id("service-1")).slots = 1;
  const session_id first = fleet.Open("a");
  const auto open_beside = [&] {
    session_id opened = fleet.Open("a");
    while (ShardOf(opened) != ShardOf(first)) {
      opened = fleet.Open("a");
    }
    return opened;
  };
  const session_id second = open_beside();
  const session_id third = open_beside();
  fleet.Ask("a", Tool(first, "refund", "k1"));
  const request_id queued = fleet.Ask("a", Tool(second, "refund", "k2"));
  cr_assert(fleet.Dispatched() == 1);
  fleet["a"].paused = true;
  fleet.store.entries.erase("/daemon/a");
  fleet.Pass(kAdoption);
  fleet["a"].paused = false;
  fleet.Ask("a", Chat(third, "late"));
  fleet.Pass(milliseconds(1'000));
  cr_assert(fleet.Answered("a", queued));
  cr_assert(fleet["a"].dispatches.size() == 1);
}
