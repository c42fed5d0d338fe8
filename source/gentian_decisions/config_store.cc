#include "gentian_decisions/config_store.h"

#include <algorithm>
#include <utility>

#include "gentian_decisions/config_keys.h"

namespace gentian {

namespace {

using status = kv_answer::status;

constexpr milliseconds kSlotReadEvery{5'000};
// Without most peers an answer of the service has to show within 5 s that the
// configuration is fresh.
constexpr milliseconds kSlotReadAlone{2'000};
constexpr milliseconds kAskEvery{1'000};
constexpr milliseconds kRequestEvery{200};
constexpr auto kPriority = kv_access::priority::configuration;

}  // namespace

config_store::config_store(kv_access& kv, config_log log)
    : kv_(kv),
      log_(std::move(log)),
      watcher_(kv, kChangePrefix, *this),
      pushed_(log_.version()) {}

bool config_store::Tick(const fleet& view, node_context& context) {
  watcher_.Tick(context);
  if (!ready_ && service_failed_) {
    AskPeers(view, context);
  }
  const milliseconds interval =
      view.heard_majority ? kSlotReadEvery : kSlotReadAlone;
  const bool due = context.now >= next_slot_read_ ||
                   next_slot_read_ - context.now > interval;
  if (from_service_ && !slot_read_open_ && due) {
    next_slot_read_ = context.now + interval;
    ReadNextSlot(context);
  }
  const bool changed = ready_ && log_.PutInForce(context);
  UpdateBehind(context.now);
  if (ready_ && log_.version() > pushed_) {
    Push(view, context);
  }
  return changed;
}

void config_store::ReadAll(kv_watcher& /*watcher*/, node_context& context) {
  kv_.Call(
      kv_list{kSnapshotPrefix}, kPriority,
      [this](const kv_answer& answer, node_context& later) {
        UseSnapshots(answer, later);
      },
      context);
}

void config_store::UseSnapshots(const kv_answer& answer,
                                node_context& context) {
  if (answer.outcome != status::ok) {
    ServiceFailed(context);
    return;
  }
  for (const kv_entry& entry : answer.entries) {
    if (const auto snapshot = ParseSnapshot(entry.value)) {
      // Before the first version the operators' tree in the service replaces
      // the daemon's own file.
      log_.Use(*snapshot, !ready_);
    }
  }
  if (answer.entries.empty() && !log_.tree().sections().empty()) {
    WriteFirstSnapshot(answer.revision, context);
  } else {
    ReadBlock(answer.revision, context);
  }
}

// The first daemon of a new fleet publishes its settings file, so that all
// change sets apply to the same tree.
void config_store::WriteFirstSnapshot(std::uint64_t revision,
                                      node_context& context) {
  const config_snapshot snapshot = log_.Snapshot();
  kv_.Call(
      kv_compare_and_swap{SnapshotKey(snapshot.version), 0,
                          json(snapshot).dump(), 0},
      kPriority,
      [this, revision](const kv_answer& answer, node_context& later) {
        if (answer.outcome == status::ok) {
          ReadBlock(revision, later);
        } else {
          ServiceFailed(later);
        }
      },
      context);
}

void config_store::ReadBlock(std::uint64_t revision, node_context& context) {
  const std::uint64_t first = log_.version() + 1;
  kv_.Call(
      kv_list{ChangeBlockPrefix(first)}, kPriority,
      [this, revision, first](const kv_answer& answer, node_context& later) {
        if (answer.outcome != status::ok) {
          ServiceFailed(later);
          return;
        }
        for (const kv_entry& entry : answer.entries) {
          AddEntry(entry);
        }
        const bool more =
            ChangeBlockPrefix(log_.version() + 1) != ChangeBlockPrefix(first);
        if (more) {
          ReadBlock(revision, later);
        } else {
          FinishReading(revision, later);
        }
      },
      context);
}

void config_store::FinishReading(std::uint64_t revision,
                                 node_context& context) {
  ready_ = true;
  from_service_ = true;
  service_failed_ = false;
  next_slot_read_ = context.now + kSlotReadEvery;
  watcher_.Follow(revision, context);
}

void config_store::ServiceFailed(node_context& context) {
  service_failed_ = true;
  watcher_.ReadFailed(context);
}

void config_store::KeysChanged(kv_watcher& /*watcher*/,
                               const kv_answer& changes,
                               node_context& context) {
  for (const kv_entry& entry : changes.entries) {
    AddEntry(entry);
  }
  if (log_.HasGap() && !slot_read_open_) {
    ReadNextSlot(context);
  }
}

void config_store::AddEntry(const kv_entry& entry) {
  const auto record = ParseChange(entry.key, entry.value);
  if (record) {
    highest_seen_ = std::max(highest_seen_, record->version);
    log_.Add(*record);
  }
}

void config_store::ReadNextSlot(node_context& context) {
  slot_read_open_ = true;
  kv_.Call(
      kv_get{ChangeKey(log_.version() + 1)}, kPriority,
      [this](const kv_answer& answer, node_context& later) {
        slot_read_open_ = false;
        const std::uint64_t before = log_.version();
        for (const kv_entry& entry : answer.entries) {
          AddEntry(entry);
        }
        if (log_.version() > before) {
          ReadNextSlot(later);
        }
      },
      context);
}

void config_store::AskPeers(const fleet& view, node_context& context) {
  if (context.now < next_ask_) {
    return;
  }
  next_ask_ = context.now + kAskEvery;
  std::size_t peers = 0;
  for (const auto& [host, daemon] : log_.in_force().daemons) {
    if (host != view.self) {
      ++peers;
      context.Emit(send_to_peer{host, config_request{log_.version(), true}});
    }
  }
  // Without peers there is nobody who could know a newer version.
  if (peers == 0) {
    ready_ = true;
  }
}

void config_store::Handle(const host_id& from,
                          const config_update& input,
                          node_context& context) {
  if (input.snapshot) {
    log_.Use(*input.snapshot, !ready_);
  }
  const std::uint64_t before = log_.version();
  for (const config_record& record : input.records) {
    highest_seen_ = std::max(highest_seen_, record.version);
    log_.Add(record);
  }
  if (log_.version() > before) {
    learned_from_ = from;
  }
  if (!ready_ && input.ready) {
    CountAnswer(from, input);
  }
  VersionSeen(from, input.version, context);
}

void config_store::CountAnswer(const host_id& from,
                               const config_update& input) {
  const auto& daemons = log_.in_force().daemons;
  if (daemons.count(from) == 0) {
    return;
  }
  ready_peers_[from] = input.version;
  std::uint64_t highest = 0;
  for (const auto& [host, version] : ready_peers_) {
    highest = std::max(highest, version);
  }
  const std::size_t peers = daemons.size() - 1;
  if (ready_peers_.size() * 2 > peers && log_.version() >= highest) {
    ready_ = true;
  }
}

void config_store::Handle(const host_id& from,
                          const config_request& input,
                          node_context& context) {
  if (!ready_) {
    return;
  }
  config_update answer;
  answer.version = log_.version();
  answer.ready = true;
  const auto records = log_.After(input.after_version);
  if (input.whole || !records) {
    answer.snapshot = log_.Snapshot();
  } else {
    answer.records = *records;
  }
  context.Emit(send_to_peer{from, std::move(answer)});
}

void config_store::VersionSeen(const host_id& from,
                               std::uint64_t version,
                               node_context& context) {
  highest_seen_ = std::max(highest_seen_, version);
  if (version <= log_.version() || !ready_ || context.now < next_request_) {
    return;
  }
  next_request_ = context.now + kRequestEvery;
  context.Emit(send_to_peer{from, config_request{log_.version(), false}});
}

void config_store::UpdateBehind(steady_time now) {
  if (highest_seen_ <= log_.in_force().version) {
    behind_since_.reset();
  } else if (!behind_since_) {
    behind_since_ = now;
  }
}

bool config_store::IsBehind(duration tolerated, steady_time now) const {
  return behind_since_ && now - *behind_since_ >= tolerated;
}

void config_store::Push(const fleet& view, node_context& context) {
  config_update update;
  update.version = log_.version();
  update.ready = true;
  const auto records = log_.After(pushed_);
  if (records) {
    update.records = *records;
  }
  // Without records the version alone tells the others to ask.
  for (const host_id& host : view.neighbours) {
    if (host != learned_from_) {
      context.Emit(send_to_peer{host, update});
    }
  }
  pushed_ = log_.version();
  learned_from_ = host_id();
}

}  // namespace gentian
