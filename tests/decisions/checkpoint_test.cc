#include <criterion/criterion.h>

#include "decisions/session_fleet.h"

using namespace gentian;

namespace {

constexpr milliseconds kSaved{6'000};
constexpr milliseconds kRestored{30'000};

void RestartAll(session_fleet& fleet) {
  for (const char* host : {"a", "b", "c"}) {
    fleet.Restart(host);
  }
}

/** A tool call that may be repeated, with its answer. */
void Lookup(session_fleet& fleet, const session_id& id, const char* key) {
  const std::string owner = fleet.OwnerOf(id);
  fleet.Ask(owner, Tool(id, "lookup", key));
  const auto sent = fleet[owner].dispatches.back().id;
  fleet.Target(owner, target_finished{sent, json("found")});
}

json HistoryOf(session_fleet& fleet, const session_id& id) {
  const std::string owner = fleet.OwnerOf(id);
  const request_id read = fleet.Ask(owner, read_history{id});
  return fleet.Final(owner, read).body.at("calls");
}

std::vector<checkpoint_batch> Batches(session_fleet& fleet) {
  std::vector<checkpoint_batch> batches;
  for (const std::string& key : fleet.store.Keys("/checkpoint/")) {
    batches.push_back(
        ValueOf(DecodeCheckpoint(fleet.store.entries[key].value)));
  }
  return batches;
}

kv_entry Entry(std::uint64_t generation,
               std::uint64_t number,
               const checkpoint_batch& batch) {
  return {CheckpointKey(shard_id("a-1-0"), generation, number),
          EncodeCheckpoint(batch), 1};
}

session_record Record(std::uint64_t number, session_record_body body) {
  session_record record;
  record.number = number;
  record.body = std::move(body);
  return record;
}

checkpoint_batch Batch(std::uint64_t generation,
                       std::vector<session_record> records) {
  session_copy piece;
  piece.session = session_id("a-1-0.1.0");
  piece.generation = generation;
  piece.records = std::move(records);
  checkpoint_batch batch;
  batch.generation = generation;
  batch.sessions = {piece};
  return batch;
}

}  // namespace

// Guards against a history that is lost, or a session that can not go on, when
// all daemons restart at once.
Test(checkpoint, session_goes_on_after_a_restart_of_the_fleet) {
  session_fleet fleet(3);
  const session_id id = fleet.Open("a");
  Lookup(fleet, id, "k");
  fleet.Pass(kSaved);
  RestartAll(fleet);
  fleet.Pass(kRestored);
  const std::string owner = fleet.OwnerOf(id);
  cr_assert(!owner.empty());
  const json calls = HistoryOf(fleet, id);
  cr_assert(calls.size() == 1);
  cr_assert(calls.at(0).at("result") == "found");
  const request_id repeat = fleet.Ask(owner, Tool(id, "lookup", "k"));
  cr_assert(fleet.Final(owner, repeat).body == "found");
  cr_assert(fleet.Dispatched() == 0);
  Lookup(fleet, id, "k2");
  cr_assert(HistoryOf(fleet, id).size() == 2);
  fleet.Ask(owner, Chat(id, "next"));
  cr_assert(fleet.Dispatched() == 2);
  cr_assert(fleet.Counter("sessions.restored") == 1);
}

// Guards against a loss that operators are not told about.
Test(checkpoint, restoring_reports_the_loss_window) {
  session_fleet fleet(3);
  const session_id id = fleet.Open("a");
  fleet.Pass(kSaved);
  RestartAll(fleet);
  fleet.Pass(kRestored);
  std::size_t lines = 0;
  for (const write_log& line : fleet[fleet.OwnerOf(id)].logs) {
    if (line.fields.value("shard", "") == ShardOf(id).text()) {
      ++lines;
      cr_assert(line.fields.at("sessions") == 1);
      cr_assert(line.fields.at("loss_window_ms") >= 1'000);
    }
  }
  cr_assert(lines == 1);
}

// Guards against a second run of a call that the checkpoint does not hold.
Test(checkpoint, non_repeatable_call_is_not_dispatched_after_a_restore) {
  session_fleet fleet(3);
  const session_id id = fleet.Open("a");
  fleet.Pass(kSaved);
  fleet.Ask("a", Tool(id, "refund", "lost"));
  cr_assert(fleet["a"].dispatches.size() == 1);
  RestartAll(fleet);
  fleet.Pass(kRestored);
  const std::string owner = fleet.OwnerOf(id);
  for (const char* key : {"lost", "new"}) {
    const request_id call = fleet.Ask(owner, Tool(id, "refund", key));
    const error reason = fleet.Error(owner, call);
    cr_assert(reason.kind == error_kind::session_restored);
    cr_assert(reason.outcome == call_outcome::unknown);
    cr_assert(reason.remedy.find("new session") != std::string::npos);
  }
  cr_assert(fleet.Dispatched() == 0);
  // The mark must outlive the daemon that restored the session.
  fleet.Pass(kSaved);
  fleet.Kill(owner);
  fleet.Pass(milliseconds(20'000));
  const std::string next = fleet.OwnerOf(id);
  cr_assert(!next.empty() && next != owner);
  const request_id again = fleet.Ask(next, Tool(id, "refund", "lost"));
  cr_assert(fleet.Error(next, again).kind == error_kind::session_restored);
  cr_assert(fleet.Dispatched() == 0);
}

// Guards against a second run of a call whose start the checkpoint holds, and
// against a session that is missing from it being called "not run".
Test(checkpoint, started_calls_and_lost_sessions_are_unknown) {
  session_fleet fleet(3);
  const session_id id = fleet.Open("a");
  fleet.Ask("a", Tool(id, "refund", "k"));
  fleet.Pass(kSaved);
  session_id lost = fleet.Open("a");
  while (ShardOf(lost) != ShardOf(id)) {
    lost = fleet.Open("a");
  }
  RestartAll(fleet);
  fleet.Pass(kRestored);
  const std::string owner = fleet.OwnerOf(id);
  const request_id repeat = fleet.Ask(owner, Tool(id, "refund", "k"));
  cr_assert(fleet.Error(owner, repeat).outcome == call_outcome::unknown);
  cr_assert(HistoryOf(fleet, id).at(0).at("outcome") == "unknown");
  const request_id missing = fleet.Ask(owner, Tool(lost, "refund", "k"));
  cr_assert(fleet.Error(owner, missing).kind == error_kind::unknown_session);
  cr_assert(fleet.Error(owner, missing).outcome == call_outcome::unknown);
  cr_assert(fleet.Dispatched() == 0);
}

// Guards against an outage of the service that stops calls or loses what
// changed meanwhile.
Test(checkpoint, outage_only_delays_batches) {
  session_fleet fleet(3);
  const session_id id = fleet.Open("a");
  Lookup(fleet, id, "k1");
  fleet.store.down = true;
  fleet.Pass(kSaved);
  Lookup(fleet, id, "k2");
  cr_assert(HistoryOf(fleet, id).size() == 2);
  cr_assert(fleet.store.Keys("/checkpoint/").empty());
  cr_assert(fleet.Counter("checkpoints.delayed") > 0);
  fleet.store.down = false;
  fleet.Pass(kSaved);
  RestartAll(fleet);
  fleet.Pass(kRestored);
  cr_assert(HistoryOf(fleet, id).size() == 2);
}

// Guards against a batch that is written again with other content, or under
// another key, because its answer was lost.
Test(checkpoint, batch_with_a_lost_answer_is_written_once) {
  session_fleet fleet(3);
  fleet.store.lose_under = "/checkpoint/";
  fleet.store.lose_answers = 1;
  const session_id id = fleet.Open("a");
  while (fleet.store.lose_answers > 0) {
    fleet.Pass(kTickInterval);
  }
  const auto keys = fleet.store.Keys("/checkpoint/");
  cr_assert(keys.size() == 1);
  const std::string first = fleet.store.entries[keys[0]].value;
  Lookup(fleet, id, "k");
  fleet.Pass(kSaved);
  cr_assert(fleet.store.entries[keys[0]].value == first);
  cr_assert(fleet.store.entries[keys[0]].version == 1);
  std::uint64_t last = 0;
  for (const checkpoint_batch& batch : Batches(fleet)) {
    for (const session_record& record : batch.sessions.at(0).records) {
      cr_assert(record.number == last + 1);
      last = record.number;
    }
  }
  cr_assert(last == 3);
}

// Guards against an old owner that changes what its successor has saved, or
// runs a call, after it resumes.
Test(checkpoint, resumed_owner_can_not_overwrite_or_commit) {
  session_fleet fleet(4);
  const session_id id = fleet.Open("a");
  fleet.Pass(kSaved);
  Lookup(fleet, id, "unsaved");
  fleet["a"].paused = true;
  fleet.store.entries.erase("/daemon/a");
  for (const char* host : {"b", "c", "d"}) {
    fleet.Restart(host);
  }
  fleet.Pass(kRestored);
  const std::string owner = fleet.OwnerOf(id);
  cr_assert(!owner.empty() && owner != "a");
  Lookup(fleet, id, "successor");
  fleet.Pass(kSaved);
  const shard_id shard = ShardOf(id);
  const auto record =
      ValueOf(ParseShardRecord(fleet.store.entries[ShardKey(shard)].value));
  const std::string first = CheckpointKey(shard, record.generation, 0);
  const auto before = fleet.store.entries;
  fleet["a"].paused = false;
  const std::size_t dispatched = fleet["a"].dispatches.size();
  fleet.Ask("a", Tool(id, "refund", "late"));
  fleet.Pass(kSaved);
  cr_assert(fleet["a"].dispatches.size() == dispatched);
  cr_assert(fleet["a"].counters.Value("shards.lost") > 0);
  std::size_t unchanged = 0;
  for (const auto& [key, entry] : before) {
    if (key.find(CheckpointPrefix(shard)) == 0 && key >= first) {
      cr_assert(fleet.store.entries.count(key) == 1);
      cr_assert(fleet.store.entries[key].value == entry.value);
      ++unchanged;
    }
  }
  cr_assert(unchanged > 0);
  cr_assert(HistoryOf(fleet, id).at(0).at("result") == "found");
  cr_assert(HistoryOf(fleet, id).size() == 1);
}

// Guards against batches that pile up while sessions run, or stay when they
// have ended.
Test(checkpoint, batches_are_compacted_and_deleted) {
  constexpr std::size_t kBound = 40;
  session_fleet fleet(3);
  const session_id id = fleet.Open("a");
  std::size_t most = 0;
  for (int i = 0; i < 80; ++i) {
    Lookup(fleet, id, std::to_string(i).c_str());
    fleet.Pass(milliseconds(1'000));
    most = std::max(most, fleet.store.Keys("/checkpoint/").size());
  }
  cr_assert(fleet.Counter("checkpoints.written") >= 75);
  cr_assert(most > 10 && most <= kBound);
  const auto joined = [&] {
    std::vector<kv_entry> entries;
    for (const std::string& key : fleet.store.Keys("/checkpoint/")) {
      entries.push_back(fleet.store.entries[key]);
    }
    return checkpoint_reader::Join(entries);
  };
  fleet.Pass(kSaved);
  cr_assert(joined().sessions.at(0).records.size() == 161);
  fleet.Ask("a", end_session{id});
  fleet.Pass(milliseconds(60'000));
  cr_assert(fleet.store.Keys("/checkpoint/").empty());
}

// Guards against a session that comes back because its batch is kept for
// another session.
Test(checkpoint, ended_session_is_not_restored) {
  session_fleet fleet(3);
  const session_id kept = fleet.Open("a");
  session_id ended = fleet.Open("a");
  while (ShardOf(ended) != ShardOf(kept)) {
    ended = fleet.Open("a");
  }
  fleet.Pass(kSaved);
  fleet.Ask("a", end_session{ended});
  fleet.Pass(kSaved);
  RestartAll(fleet);
  fleet.Pass(kRestored);
  const std::string owner = fleet.OwnerOf(kept);
  cr_assert(HistoryOf(fleet, kept).empty());
  const request_id read = fleet.Ask(owner, read_history{ended});
  cr_assert(fleet.Error(owner, read).kind == error_kind::unknown_session);
}

// Guards against records of two owners that are mixed, and against a batch
// without its predecessors that is taken for a whole session.
Test(checkpoint, later_owner_counts_where_records_differ) {
  const auto joined = checkpoint_reader::Join(
      {Entry(1, 1, Batch(1, {Record(1, session_opened{})})),
       Entry(1, 2, Batch(1, {Record(2, session_ended{})})),
       Entry(2, 1,
             Batch(2, {Record(1, session_opened{}),
                       Record(2, session_restored{})}))});
  const auto& records = joined.sessions.at(0).records;
  cr_assert(records.size() == 2);
  cr_assert(std::holds_alternative<session_restored>(records[1].body));
  const auto gap = checkpoint_reader::Join(
      {Entry(1, 2, Batch(1, {Record(2, session_ended{})}))});
  cr_assert(gap.sessions.empty());
}

// Guards against a damaged batch that keeps a shard from being restored.
Test(checkpoint, damaged_batch_is_counted) {
  const auto joined = checkpoint_reader::Join(
      {Entry(1, 1, Batch(1, {Record(1, session_opened{})})),
       kv_entry{CheckpointKey(shard_id("a-1-0"), 1, 2), "damaged", 1}});
  cr_assert(joined.sessions.size() == 1);
  cr_assert(joined.damaged == 1);
}

// Guards against records, checkpoints and new sessions of an adopted shard that
// stay for ever.
Test(checkpoint, adopted_shard_without_sessions_is_removed) {
  session_fleet fleet;
  const session_id id = fleet.Open("a");
  fleet.Pass(kSaved);
  fleet.Kill("a");
  fleet.Pass(milliseconds(20'000));
  const std::string owner = fleet.OwnerOf(id);
  cr_assert(!owner.empty());
  cr_assert(ShardOf(fleet.Open(owner)) != ShardOf(id));
  fleet.Pass(kSaved);
  cr_assert(fleet.store.Keys(ShardKey(ShardOf(id))).size() == 1);
  fleet.Ask(owner, end_session{id});
  fleet.Pass(milliseconds(40'000));
  cr_assert(fleet.store.Keys(ShardKey(ShardOf(id))).empty());
  cr_assert(fleet.store.Keys(CheckpointPrefix(ShardOf(id))).empty());
  cr_assert(fleet.OwnerOf(id).empty());
  // Shards that their first owner keeps stay, with or without sessions.
  cr_assert(fleet.store.Keys("/shard/b-1-").size() == 4);
  const request_id read = fleet.Ask("b", read_history{id});
  fleet.Pass(milliseconds(10'000));
  cr_assert(fleet.Answered("b", read));
}

// Guards against copies that a replica keeps, and returns later, although it
// was replaced.
Test(checkpoint, replaced_replica_forgets_its_copies) {
  std::vector<command> commands;
  counter_set counters;
  seeded_random random(1);
  node_context context{steady_time(), commands, counters, random};
  const incarnation owner{host_id("a"), 1};
  const incarnation self{host_id("b"), 1};
  replica_store held;
  held.SetSelf(self);
  store_records records;
  records.to = self;
  records.shard = shard_id("a-1-0");
  records.generation = 1;
  records.session = session_id("a-1-0.1.0");
  records.records = {Record(1, session_opened{})};
  held.Handle(owner, records, context);
  shard_record before;
  before.owner = owner;
  before.generation = 1;
  before.replicas = {self};
  commands.clear();
  NotifyReplaced(records.shard, before, shard_record{}, context);
  cr_assert(commands.size() == 1);
  const auto sent = std::get<send_to_peer>(commands[0]);
  cr_assert(sent.to == self.host);
  held.Handle(owner, std::get<forget_shard>(sent.message), context);
  fence_request fence;
  fence.to = self;
  fence.shard = records.shard;
  fence.generation = 2;
  const auto answer = held.Fence(owner, fence, steady_time());
  cr_assert(std::get<fence_promise>(answer).copies.empty());
}
