#include "gentian_turn_storage/turn_storage.h"

#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <new>
#include <thread>
#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

// Histories that wait for the disk. Hosts with disks have little memory.
constexpr std::size_t kMaxQueuedBytes = 16 * 1024 * 1024;
constexpr milliseconds kReopenInterval{500};

error QueueFull() {
  return error{error_kind::overloaded, "too many turns wait for the disk",
               "store the turn at another host"};
}

// Runs an action of the thread. What it throws has no caller to be passed to.
template <typename Action>
void GoOnAfterExceptions(Action action) {
  try {
    action();
  } catch (const std::exception& failure) {
    try {
      Log(log_level::error, "unexpected exception in the turn storage",
          {{"reason", failure.what()}});
    } catch (const std::bad_alloc&) {
      // No memory for the line either.
    }
  }
}

}  // namespace

struct turn_storage::state {
  struct queued_turn {
    kept_turn turn;
    store_handler on_stored;
  };

  struct queued_origin {
    stored_origin origin;
    origin_handler on_stored;
  };

  struct queued_spending {
    spending_record record;
    store_handler on_stored;
  };

  std::unique_ptr<turn_database> database;
  std::string directory;
  /** The start of the running time that the database has not counted. */
  steady_time counted_until = BootTimeNow();

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<queued_turn> turns;
  std::vector<queued_origin> origins;
  std::vector<queued_spending> spending;
  std::deque<job> jobs;
  std::size_t queued_bytes = 0;
  bool stopping = false;
  std::thread thread;
};

turn_storage::turn_storage(std::unique_ptr<turn_database> database,
                           std::string directory,
                           executor run_handlers)
    : run_handlers_(std::move(run_handlers)),
      state_(std::make_unique<state>()) {
  state_->database = std::move(database);
  state_->directory = std::move(directory);
  state_->thread = std::thread([this] { Work(); });
}

turn_storage::~turn_storage() {
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    state_->stopping = true;
  }
  state_->changed.notify_all();
  state_->thread.join();
}

template <typename Entry>
bool turn_storage::Queue(std::vector<Entry>& queue,
                         Entry& entry,
                         std::size_t size) {
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    if (state_->queued_bytes >= kMaxQueuedBytes) {
      return false;
    }
    state_->queued_bytes += size;
    queue.push_back(std::move(entry));
  }
  state_->changed.notify_all();
  return true;
}

void turn_storage::Store(kept_turn turn, store_handler on_stored) {
  const std::size_t size = turn.history.size();
  state::queued_turn entry{std::move(turn), std::move(on_stored)};
  if (!Queue(state_->turns, entry, size)) {
    entry.on_stored(QueueFull());
  }
}

void turn_storage::StoreOrigin(stored_origin origin, origin_handler on_stored) {
  state::queued_origin entry{std::move(origin), std::move(on_stored)};
  if (!Queue(state_->origins, entry, sizeof(stored_origin))) {
    entry.on_stored(QueueFull());
  }
}

void turn_storage::StoreSpending(spending_record record,
                                 store_handler on_stored) {
  state::queued_spending entry{std::move(record), std::move(on_stored)};
  if (!Queue(state_->spending, entry, sizeof(spending_record))) {
    entry.on_stored(QueueFull());
  }
}

void turn_storage::Enqueue(job next) {
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    state_->jobs.push_back(std::move(next));
  }
  state_->changed.notify_all();
}

void turn_storage::RemoveExpired(
    std::function<void(const result<int>&)> on_done) {
  Run<int>(
      [this](turn_database& database) {
        return database.RemoveExpired(TakeRunningTime());
      },
      std::move(on_done));
}

duration turn_storage::TakeRunningTime() {
  const steady_time now = BootTimeNow();
  return now - std::exchange(state_->counted_until, now);
}

void turn_storage::Work() {
  std::unique_lock<std::mutex> lock(state_->mutex);
  while (true) {
    state_->changed.wait(lock, [this] {
      return state_->stopping || !state_->turns.empty() ||
             !state_->origins.empty() || !state_->spending.empty() ||
             !state_->jobs.empty();
    });
    if (state_->stopping) {
      return;
    }
    std::deque<job> jobs = std::move(state_->jobs);
    state_->jobs.clear();
    lock.unlock();
    GoOnAfterExceptions([this] { Commit(); });
    for (const job& next : jobs) {
      if (!state_->database) {
        return;
      }
      GoOnAfterExceptions([&] {
        if (const std::optional<error> failure = next(*state_->database)) {
          Recover(*failure);
        }
      });
    }
    lock.lock();
  }
}

void turn_storage::Commit() {
  std::vector<state::queued_turn> turns;
  std::vector<state::queued_origin> origins;
  std::vector<state::queued_spending> spending;
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    turns.swap(state_->turns);
    origins.swap(state_->origins);
    spending.swap(state_->spending);
    state_->queued_bytes = 0;
  }
  if (turns.empty() && origins.empty() && spending.empty()) {
    return;
  }
  store_batch batch;
  batch.turns.reserve(turns.size());
  for (const state::queued_turn& next : turns) {
    batch.turns.push_back(&next.turn);
  }
  batch.origins.reserve(origins.size());
  for (const state::queued_origin& next : origins) {
    batch.origins.push_back(&next.origin);
  }
  batch.spending.reserve(spending.size());
  for (const state::queued_spending& next : spending) {
    batch.spending.push_back(&next.record);
  }
  const result<std::vector<store_outcome>> outcomes =
      state_->database->Store(batch, TakeRunningTime());
  std::size_t position = 0;
  const auto report = [&](store_handler& handler) {
    const result<store_outcome> outcome =
        Failed(outcomes) ? result<store_outcome>(ErrorOf(outcomes))
                         : result<store_outcome>(ValueOf(outcomes)[position]);
    ++position;
    run_handlers_(
        [outcome, on_stored = std::move(handler)] { on_stored(outcome); });
  };
  for (state::queued_turn& next : turns) {
    report(next.on_stored);
  }
  for (state::queued_spending& next : spending) {
    report(next.on_stored);
  }
  const result<success> stored = Failed(outcomes)
                                     ? result<success>(ErrorOf(outcomes))
                                     : result<success>(success{});
  for (state::queued_origin& next : origins) {
    run_handlers_(
        [stored, on_stored = std::move(next.on_stored)] { on_stored(stored); });
  }
  if (Failed(outcomes)) {
    Recover(ErrorOf(outcomes));
  }
}

// Replaces a damaged database by an empty one. Other hosts hold copies of what
// it held.
void turn_storage::Recover(const error& reason) {
  Log(log_level::error, "turn database failed",
      {{"reason", reason.message}, {"remedy", reason.remedy}});
  if (reason.kind != error_kind::internal) {
    return;
  }
  ReplaceDatabase();
}

// Tries again until there is a database to go on with, or the process stops.
void turn_storage::ReplaceDatabase() {
  state_->database.reset();
  turn_database::Discard(state_->directory);
  while (true) {
    result<std::unique_ptr<turn_database>> opened = error{};
    GoOnAfterExceptions(
        [&] { opened = turn_database::Open(state_->directory, false); });
    if (!Failed(opened)) {
      state_->database = std::move(ValueOf(opened));
      break;
    }
    Log(log_level::error, "turn database cannot be replaced",
        {{"reason", ErrorOf(opened).message},
         {"remedy", ErrorOf(opened).remedy}});
    std::unique_lock<std::mutex> lock(state_->mutex);
    if (state_->changed.wait_for(lock, kReopenInterval,
                                 [this] { return state_->stopping; })) {
      return;
    }
  }
  Log(log_level::warning, "turn database replaced by an empty one");
}

}  // namespace gentian
