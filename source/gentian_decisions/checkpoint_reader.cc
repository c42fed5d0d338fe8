#include "gentian_decisions/checkpoint_reader.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace gentian {

namespace {

void AddPiece(session_copy piece, session_copy& whole) {
  auto& records = whole.records;
  for (session_record& record : piece.records) {
    if (record.number == 0 || record.number > records.size() + 1) {
      // The batch before was deleted because a later one holds the session.
      return;
    }
    const std::size_t index = record.number - 1;
    if (index < records.size() && json(records[index]) == json(record)) {
      continue;
    }
    records.resize(index);
    records.push_back(std::move(record));
  }
  whole.session = piece.session;
  whole.generation = std::max(whole.generation, piece.generation);
  whole.elapsed = std::max(whole.elapsed, piece.elapsed);
}

}  // namespace

void checkpoint_reader::Read(const shard_id& shard,
                             handler then,
                             node_context& context) {
  store_.Call(
      kv_list{CheckpointPrefix(shard)}, kv_access::priority::ownership,
      [then = std::move(then)](const kv_answer& answer, node_context& later) {
        if (answer.outcome != kv_answer::status::ok) {
          then(std::nullopt, later);
          return;
        }
        then(Join(answer.entries), later);
      },
      context);
}

checkpoint_contents checkpoint_reader::Join(std::vector<kv_entry> batches) {
  // The keys are in order of generation and batch.
  std::sort(batches.begin(), batches.end(),
            [](const kv_entry& a, const kv_entry& b) { return a.key < b.key; });
  checkpoint_contents contents;
  std::map<session_id, session_copy> sessions;
  std::set<session_id> ended;
  for (const kv_entry& entry : batches) {
    auto decoded = DecodeCheckpoint(entry.value);
    if (Failed(decoded)) {
      ++contents.damaged;
      continue;
    }
    checkpoint_batch& batch = ValueOf(decoded);
    ++contents.batches;
    contents.oldest = std::max(contents.oldest, batch.age);
    ended.insert(batch.ended.begin(), batch.ended.end());
    for (session_copy& piece : batch.sessions) {
      const session_id id = piece.session;
      AddPiece(std::move(piece), sessions[id]);
    }
  }
  for (auto& [id, whole] : sessions) {
    if (!whole.records.empty() && ended.count(id) == 0) {
      contents.sessions.push_back(std::move(whole));
    }
  }
  return contents;
}

}  // namespace gentian
