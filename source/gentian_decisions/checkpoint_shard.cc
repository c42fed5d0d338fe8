#include "gentian_decisions/checkpoint_shard.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

/** Batches that hold little are written anew above this number. */
constexpr std::size_t kMaxSmallBatches = 32;
/** Names and numbers of a session beside its records. */
constexpr std::size_t kSessionBytes = 256;
constexpr std::size_t kEndedBytes = 128;

}  // namespace

void checkpoint_shard::FindEnded(const std::vector<source>& sessions) {
  std::set<session_id> live;
  for (const source& from : sessions) {
    live.insert(from.state->id());
  }
  for (auto at = sessions_.begin(); at != sessions_.end();) {
    if (live.count(at->first) > 0) {
      ++at;
      continue;
    }
    ended_.insert(at->first);
    at = sessions_.erase(at);
  }
  for (auto at = ended_.begin(); at != ended_.end();) {
    at = IsHeld(*at) ? std::next(at) : ended_.erase(at);
  }
}

bool checkpoint_shard::IsHeld(const session_id& session) const {
  return std::any_of(batches_.begin(), batches_.end(), [&](const auto& entry) {
    return entry.second.sessions.count(session) > 0;
  });
}

bool checkpoint_shard::HoldsLive(std::uint64_t number,
                                 const batch_state& batch) const {
  return std::any_of(batch.sessions.begin(), batch.sessions.end(),
                     [&](const session_id& session) {
                       const auto found = sessions_.find(session);
                       return found != sessions_.end() &&
                              found->second.first_batch <= number;
                     });
}

bool checkpoint_shard::IsHeldBesideLive(const session_id& session) const {
  return std::any_of(batches_.begin(), batches_.end(), [&](const auto& entry) {
    return entry.second.sessions.count(session) > 0 &&
           HoldsLive(entry.first, entry.second);
  });
}

bool checkpoint_shard::IsNeeded(std::uint64_t number,
                                const batch_state& batch) const {
  if (HoldsLive(number, batch)) {
    return true;
  }
  // The note that a session has ended is needed as long as its records exist.
  return std::any_of(
      batch.ended.begin(), batch.ended.end(), [&](const session_id& session) {
        return std::any_of(batches_.begin(), batches_.end(),
                           [&](const auto& entry) {
                             return entry.first != number &&
                                    entry.second.sessions.count(session) > 0;
                           });
      });
}

void checkpoint_shard::Compact() {
  std::size_t bytes = 0;
  std::vector<std::uint64_t> needed;
  for (const auto& [number, batch] : batches_) {
    if (IsNeeded(number, batch)) {
      needed.push_back(number);
      bytes += batch.bytes;
    }
  }
  // Twice the number of full batches, so that a shard with much history is not
  // written anew all the time.
  constexpr std::size_t kFullBatch = 1'000'000;
  const std::size_t allowed = kMaxSmallBatches + 2 * (bytes / kFullBatch);
  if (needed.size() <= allowed) {
    return;
  }
  for (std::size_t i = 0; i < needed.size() / 2; ++i) {
    for (const session_id& session : batches_[needed[i]].sessions) {
      const auto found = sessions_.find(session);
      if (found != sessions_.end() && found->second.known == 0) {
        found->second.known = found->second.saved;
        found->second.saved = 0;
      }
    }
  }
}

std::size_t checkpoint_shard::Append(const source& from,
                                     std::size_t room,
                                     steady_time now,
                                     checkpoint_batch& batch,
                                     counter_set& counters) {
  const session_state& state = sessions_[from.state->id()];
  session_copy piece;
  piece.session = from.state->id();
  piece.generation = batch.generation;
  piece.elapsed = from.state->Elapsed(now);
  std::size_t used = kSessionBytes;
  for (std::uint64_t i = state.saved; i < from.committed; ++i) {
    const session_record& record = from.state->records()[i];
    const std::size_t size = json::to_cbor(json(record)).size();
    if (used + size > room) {
      if (batch.sessions.empty() && piece.records.empty()) {
        counters.Add("checkpoints.record_too_large");
        sessions_[piece.session].stuck = true;
      }
      break;
    }
    used += size;
    batch.age = std::max(batch.age, piece.elapsed - record.elapsed);
    piece.records.push_back(record);
  }
  if (piece.records.empty()) {
    return 0;
  }
  batch.sessions.push_back(std::move(piece));
  return used;
}

std::optional<checkpoint_batch> checkpoint_shard::Pack(
    const std::vector<source>& sessions,
    std::size_t bytes,
    steady_time now,
    counter_set& counters) {
  FindEnded(sessions);
  Compact();
  checkpoint_batch batch;
  batch.owner = owner_;
  batch.generation = generation_;
  std::size_t room = bytes;
  for (const session_id& session : ended_) {
    if (room > kEndedBytes && IsHeldBesideLive(session)) {
      batch.ended.push_back(session);
      room -= kEndedBytes;
    }
  }
  packed_all_ = true;
  for (const source& from : sessions) {
    const session_state& state = sessions_[from.state->id()];
    if (state.stuck || state.saved >= from.committed) {
      continue;
    }
    if (room > kSessionBytes) {
      room -= Append(from, room, now, batch, counters);
    }
    const bool whole =
        !batch.sessions.empty() &&
        batch.sessions.back().session == from.state->id() &&
        batch.sessions.back().records.back().number == from.committed;
    packed_all_ = packed_all_ && whole;
  }
  if (batch.sessions.empty() && batch.ended.empty()) {
    complete_ = complete_ || packed_all_;
    return std::nullopt;
  }
  return batch;
}

void checkpoint_shard::Saved(const checkpoint_batch& batch,
                             std::uint64_t version) {
  batch_state& added = batches_[next_];
  added.version = version;
  added.ended = batch.ended;
  added.bytes = EncodeCheckpoint(batch).size();
  for (const session_copy& piece : batch.sessions) {
    added.sessions.insert(piece.session);
    const auto found = sessions_.find(piece.session);
    if (found == sessions_.end()) {
      // It has ended meanwhile.
      ended_.insert(piece.session);
      continue;
    }
    session_state& state = found->second;
    if (piece.records.front().number == 1) {
      state.new_first_batch = next_;
    }
    state.saved = piece.records.back().number;
    if (state.new_first_batch > 0 && state.saved >= state.known) {
      state.first_batch = state.new_first_batch;
      state.new_first_batch = 0;
      state.known = 0;
    }
  }
  for (const session_id& session : batch.ended) {
    ended_.erase(session);
  }
  complete_ = complete_ || packed_all_;
  ++next_;
}

std::optional<checkpoint_shard::stored> checkpoint_shard::Obsolete() const {
  for (const auto& [number, batch] : batches_) {
    if (!IsNeeded(number, batch)) {
      return stored{number, batch.version};
    }
  }
  return std::nullopt;
}

}  // namespace gentian
