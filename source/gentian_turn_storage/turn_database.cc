#include "gentian_turn_storage/turn_database.h"

#include <algorithm>
#include <cstdio>
#include <new>
#include <utility>

#include "gentian_turn_storage/sqlite_database.h"

namespace gentian {

using detail::sqlite_database;
using detail::sqlite_failure;
using detail::sqlite_statement;
using detail::statement_use;

namespace {

constexpr const char* kFileName = "/turns.db";

// The blob is the last column, so that the others are read without it. Row
// numbers are never used again: other hosts remember how far they have read.
constexpr const char* kSchema =
    "CREATE TABLE IF NOT EXISTS turns("
    "  position INTEGER PRIMARY KEY AUTOINCREMENT,"
    "  team BLOB NOT NULL, id BLOB NOT NULL, previous BLOB NOT NULL,"
    "  conversation BLOB NOT NULL, expires_at INTEGER NOT NULL,"
    "  checksum INTEGER NOT NULL, history BLOB NOT NULL);"
    "CREATE UNIQUE INDEX IF NOT EXISTS turns_by_key ON turns(team, id);"
    "CREATE INDEX IF NOT EXISTS turns_by_conversation"
    "  ON turns(team, conversation, expires_at);"
    "CREATE TABLE IF NOT EXISTS origins("
    "  team BLOB NOT NULL, id BLOB NOT NULL, send INTEGER NOT NULL,"
    "  expires_at INTEGER NOT NULL, checksum INTEGER NOT NULL,"
    "  origin BLOB NOT NULL);"
    "CREATE UNIQUE INDEX IF NOT EXISTS origins_by_key ON origins(team, id);"
    "CREATE TABLE IF NOT EXISTS spending("
    "  claim BLOB PRIMARY KEY, sequence INTEGER NOT NULL,"
    "  in_use INTEGER NOT NULL, used INTEGER NOT NULL,"
    "  is_sealed INTEGER NOT NULL, expires_at INTEGER NOT NULL,"
    "  checksum INTEGER NOT NULL) WITHOUT ROWID;"
    "CREATE TABLE IF NOT EXISTS properties("
    "  name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;";

// Callers resume a stream within the deadline of their request, which is
// shorter.
constexpr milliseconds kOriginRetention{120'000};
// A daemon writes a claim again that it has not used for this long, so that its
// record is no longer needed.
constexpr milliseconds kSpendingRetention{600'000};
// Bounds a chain, in case that damaged records form a cycle.
constexpr int kMaxChainLength = 100'000;

std::int64_t ChecksumOf(const kept_turn& turn) {
  std::uint64_t checksum = StableHash(turn.key.team);
  for (const std::string* part :
       {&turn.key.id, &turn.previous, &turn.conversation, &turn.history}) {
    checksum = StableHash(*part, checksum);
  }
  return static_cast<std::int64_t>(checksum);
}

std::int64_t ChecksumOf(const turn_key& key, std::string_view origin) {
  return static_cast<std::int64_t>(
      StableHash(origin, StableHash(key.id, StableHash(key.team))));
}

std::int64_t ChecksumOf(const spending_record& record) {
  std::uint64_t checksum = StableHash(record.claim);
  for (const std::int64_t value :
       {record.sequence, record.in_use, record.used}) {
    checksum = StableHash(std::to_string(value), checksum);
  }
  return static_cast<std::int64_t>(checksum);
}

error ErrorFrom(const sqlite_failure& failure) {
  if (failure.is_damage()) {
    return error{
        error_kind::internal,
        std::string("the turn database is damaged: ") + failure.what(),
        "restart the turn store; it reads the turns from the other hosts"};
  }
  const char* remedy = "check the disk of the host";
  if (failure.is_full()) {
    remedy = "give the host a larger disk";
  } else if (failure.is_busy()) {
    remedy = "wait for the end of the other process that has it open";
  }
  return error{error_kind::unavailable,
               std::string("the turn database failed: ") + failure.what(),
               remedy};
}

// Thrown for a record that does not match its checksum.
struct damaged_record {
  turn_key key;
};

template <typename Action>
auto Guard(Action action) -> result<decltype(action())> {
  try {
    return action();
  } catch (const sqlite_failure& failure) {
    return ErrorFrom(failure);
  } catch (const std::bad_alloc&) {
    return error{error_kind::unavailable,
                 "no memory is left for the turn database",
                 "give the turn store more memory"};
  }
}

}  // namespace

struct turn_database::state {
  explicit state(const std::string& path) : database(path) {
    database.Execute(kSchema);
    insert.emplace(database.Prepare(
        "INSERT OR IGNORE INTO turns(team, id, previous, conversation,"
        " expires_at, checksum, history) VALUES(?,?,?,?,?,?,?)"));
    find.emplace(database.Prepare(
        "SELECT position, checksum FROM turns WHERE team=? AND id=?"));
    read.emplace(database.Prepare(
        "SELECT previous, conversation, expires_at, checksum, history"
        " FROM turns WHERE team=? AND id=?"));
    journal_after.emplace(database.Prepare(
        "SELECT position, team, id, conversation, length(history) FROM turns"
        " WHERE position > ? ORDER BY position LIMIT ?"));
    expire.emplace(database.Prepare(
        "DELETE FROM turns WHERE (team, conversation) IN"
        " (SELECT team, conversation FROM turns GROUP BY team, conversation"
        " HAVING MAX(expires_at) < ?)"));
    remove.emplace(database.Prepare("DELETE FROM turns WHERE team=? AND id=?"));
    last_position.emplace(
        database.Prepare("SELECT seq FROM sqlite_sequence WHERE name='turns'"));
    count.emplace(database.Prepare("SELECT COUNT(*) FROM turns"));
    insert_origin.emplace(database.Prepare(
        "INSERT INTO origins(team, id, send, expires_at, checksum, origin)"
        " VALUES(?,?,?,?,?,?) ON CONFLICT(team, id) DO UPDATE SET"
        " send=excluded.send, expires_at=excluded.expires_at,"
        " checksum=excluded.checksum, origin=excluded.origin"
        " WHERE excluded.send >= send"));
    read_origin.emplace(database.Prepare(
        "SELECT checksum, origin FROM origins WHERE team=? AND id=?"));
    expire_origins.emplace(
        database.Prepare("DELETE FROM origins WHERE expires_at < ?"));
    insert_spending.emplace(database.Prepare(
        "INSERT INTO spending(claim, sequence, in_use, used, is_sealed,"
        " expires_at, checksum) VALUES(?,?,?,?,0,?,?) ON CONFLICT DO NOTHING"));
    update_spending.emplace(database.Prepare(
        "UPDATE spending SET sequence=?2, in_use=?3, used=?4, expires_at=?5,"
        " checksum=?6 WHERE claim=?1 AND sequence < ?2 AND is_sealed=0"));
    seal_spending.emplace(
        database.Prepare("UPDATE spending SET is_sealed=1 WHERE claim=?"));
    read_spending.emplace(
        database.Prepare("SELECT sequence, in_use, used, checksum FROM spending"
                         " WHERE claim=?"));
    expire_spending.emplace(
        database.Prepare("DELETE FROM spending WHERE expires_at < ?"));
    set_property.emplace(database.Prepare(
        "INSERT OR REPLACE INTO properties(name, value) VALUES(?,?)"));
    get_property.emplace(
        database.Prepare("SELECT value FROM properties WHERE name=?"));
  }

  std::optional<std::int64_t> Property(std::string_view name) {
    const statement_use use(*get_property);
    get_property->BindBytes(0, name);
    return get_property->Step() ? std::optional(get_property->Number(0))
                                : std::nullopt;
  }

  void SetProperty(std::string_view name, std::int64_t value) {
    set_property->BindBytes(0, name).Bind(1, value).Run();
  }

  std::int64_t LastPosition() {
    const statement_use use(*last_position);
    return last_position->Step() ? last_position->Number(0) : 0;
  }

  // Runs an action in a transaction that is durable once it has returned.
  template <typename Action>
  auto Commit(Action action) {
    database.Execute("BEGIN");
    try {
      auto outcome = action();
      database.Execute("COMMIT");
      return outcome;
    } catch (...) {
      try {
        database.Execute("ROLLBACK");
      } catch (const sqlite_failure&) {
        // SQLite has already rolled back after some failures.
      }
      throw;
    }
  }

  void AddRunningTime(duration elapsed) {
    running_ms += ToMilliseconds(elapsed).count();
    SetProperty("running_ms", running_ms);
  }

  store_outcome Insert(const kept_turn& turn);
  void Insert(const stored_origin& stored);
  store_outcome Insert(const spending_record& record);
  /** @throws damaged_record */
  std::optional<kept_turn> Read(const turn_key& key);
  /** Removes a damaged record, so that a copy can replace it. */
  std::optional<kept_turn> ReadSound(const turn_key& key);

  sqlite_database database;
  std::optional<sqlite_statement> insert;
  std::optional<sqlite_statement> find;
  std::optional<sqlite_statement> read;
  std::optional<sqlite_statement> journal_after;
  std::optional<sqlite_statement> remove;
  std::optional<sqlite_statement> expire;
  std::optional<sqlite_statement> last_position;
  std::optional<sqlite_statement> count;
  std::optional<sqlite_statement> insert_origin;
  std::optional<sqlite_statement> read_origin;
  std::optional<sqlite_statement> expire_origins;
  std::optional<sqlite_statement> insert_spending;
  std::optional<sqlite_statement> update_spending;
  std::optional<sqlite_statement> seal_spending;
  std::optional<sqlite_statement> read_spending;
  std::optional<sqlite_statement> expire_spending;
  std::optional<sqlite_statement> set_property;
  std::optional<sqlite_statement> get_property;
  std::int64_t running_ms = 0;
  std::int64_t journal = 0;
  bool settled = false;
  std::int64_t damaged = 0;
};

store_outcome turn_database::state::Insert(const kept_turn& turn) {
  const std::int64_t checksum = ChecksumOf(turn);
  insert->BindBytes(0, turn.key.team)
      .BindBytes(1, turn.key.id)
      .BindBytes(2, turn.previous)
      .BindBytes(3, turn.conversation)
      .Bind(4, running_ms + turn.retention.count())
      .Bind(5, checksum)
      .BindBytes(6, turn.history)
      .Run();
  if (database.changes() > 0) {
    return store_outcome::stored;
  }
  const statement_use use(*find);
  find->BindBytes(0, turn.key.team).BindBytes(1, turn.key.id);
  const bool same = find->Step() && find->Number(1) == checksum;
  return same ? store_outcome::stored : store_outcome::conflict;
}

void turn_database::state::Insert(const stored_origin& stored) {
  const std::string origin = EncodeOrigin(stored.origin);
  insert_origin->BindBytes(0, stored.key.team)
      .BindBytes(1, stored.key.id)
      .Bind(2, stored.send)
      .Bind(3, running_ms + kOriginRetention.count())
      .Bind(4, ChecksumOf(stored.key, origin))
      .BindBytes(5, origin)
      .Run();
}

store_outcome turn_database::state::Insert(const spending_record& record) {
  constexpr std::int64_t kFirstSequence = 1;
  sqlite_statement& statement =
      record.sequence == kFirstSequence ? *insert_spending : *update_spending;
  statement.BindBytes(0, record.claim)
      .Bind(1, record.sequence)
      .Bind(2, record.in_use)
      .Bind(3, record.used)
      .Bind(4, running_ms + kSpendingRetention.count())
      .Bind(5, ChecksumOf(record))
      .Run();
  return database.changes() > 0 ? store_outcome::stored
                                : store_outcome::conflict;
}

std::optional<kept_turn> turn_database::state::Read(const turn_key& key) {
  const statement_use use(*read);
  read->BindBytes(0, key.team).BindBytes(1, key.id);
  if (!read->Step()) {
    return std::nullopt;
  }
  kept_turn turn;
  turn.key = key;
  turn.previous = read->Bytes(0);
  turn.conversation = read->Bytes(1);
  turn.retention =
      milliseconds(std::max<std::int64_t>(0, read->Number(2) - running_ms));
  turn.history = read->Bytes(4);
  if (ChecksumOf(turn) != read->Number(3)) {
    throw damaged_record{key};
  }
  return turn;
}

std::optional<kept_turn> turn_database::state::ReadSound(const turn_key& key) {
  try {
    return Read(key);
  } catch (const damaged_record&) {
    Commit([&] {
      remove->BindBytes(0, key.team).BindBytes(1, key.id).Run();
      SetProperty("settled", 0);
      return true;
    });
    settled = false;
    ++damaged;
    return std::nullopt;
  }
}

turn_database::turn_database(std::unique_ptr<state> opened)
    : state_(std::move(opened)) {}

turn_database::~turn_database() = default;

result<std::unique_ptr<turn_database>> turn_database::Open(
    const std::string& directory,
    bool first_start) {
  const std::string path = directory + kFileName;
  const auto open = [&]() -> std::unique_ptr<turn_database> {
    auto opened = std::make_unique<state>(path);
    if (!opened->Property("journal")) {
      opened->Commit([&] {
        // Positive, so that no reader has read a journal before its first read.
        system_random random;
        opened->SetProperty("journal",
                            static_cast<std::int64_t>(random.Next() >> 1U));
        opened->SetProperty("settled", first_start ? 1 : 0);
        return true;
      });
    }
    opened->journal = opened->Property("journal").value_or(0);
    opened->settled = opened->Property("settled").value_or(0) != 0;
    opened->running_ms = opened->Property("running_ms").value_or(0);
    return std::unique_ptr<turn_database>(new turn_database(std::move(opened)));
  };
  try {
    return open();
  } catch (const sqlite_failure& failure) {
    if (!failure.is_damage()) {
      return ErrorFrom(failure);
    }
  }
  Discard(directory);
  first_start = false;
  return Guard(open);
}

void turn_database::Discard(const std::string& directory) {
  for (const char* suffix : {"", "-wal", "-journal"}) {
    std::remove((directory + kFileName + suffix).c_str());
  }
}

result<std::vector<store_outcome>> turn_database::Store(
    const std::vector<const kept_turn*>& turns,
    duration elapsed) {
  return Store(store_batch{turns, {}, {}}, elapsed);
}

result<std::vector<store_outcome>> turn_database::Store(
    const store_batch& batch,
    duration elapsed) {
  return Guard([&] {
    return state_->Commit([&] {
      state_->AddRunningTime(elapsed);
      std::vector<store_outcome> outcomes;
      outcomes.reserve(batch.turns.size() + batch.spending.size());
      for (const kept_turn* turn : batch.turns) {
        outcomes.push_back(state_->Insert(*turn));
      }
      for (const stored_origin* origin : batch.origins) {
        state_->Insert(*origin);
      }
      for (const spending_record* record : batch.spending) {
        outcomes.push_back(state_->Insert(*record));
      }
      return outcomes;
    });
  });
}

result<std::optional<spending_record>> turn_database::SealSpending(
    const std::string& claim) {
  return Guard([&] {
    return state_->Commit([&]() -> std::optional<spending_record> {
      state_->seal_spending->BindBytes(0, claim).Run();
      const statement_use use(*state_->read_spending);
      state_->read_spending->BindBytes(0, claim);
      if (!state_->read_spending->Step()) {
        return std::nullopt;
      }
      spending_record record{claim, state_->read_spending->Number(0),
                             state_->read_spending->Number(1),
                             state_->read_spending->Number(2)};
      if (ChecksumOf(record) != state_->read_spending->Number(3)) {
        ++state_->damaged;
        return std::nullopt;
      }
      return record;
    });
  });
}

result<std::optional<stream_origin>> turn_database::ReadOrigin(
    const turn_key& key) {
  return Guard([&]() -> std::optional<stream_origin> {
    const statement_use use(*state_->read_origin);
    state_->read_origin->BindBytes(0, key.team).BindBytes(1, key.id);
    if (!state_->read_origin->Step()) {
      return std::nullopt;
    }
    const std::string bytes = state_->read_origin->Bytes(1);
    if (ChecksumOf(key, bytes) != state_->read_origin->Number(0)) {
      ++state_->damaged;
      return std::nullopt;
    }
    const result<stream_origin> origin = DecodeOrigin(bytes);
    return Failed(origin) ? std::nullopt : std::optional(ValueOf(origin));
  });
}

result<std::optional<chain_part>> turn_database::ReadChain(
    const turn_key& key) {
  return Guard([&]() -> std::optional<chain_part> {
    std::vector<std::string> histories;
    std::string conversation;
    std::string next = key.id;
    for (int i = 0; i < kMaxChainLength && !next.empty(); ++i) {
      std::optional<kept_turn> turn = state_->ReadSound({key.team, next});
      if (!turn) {
        break;
      }
      if (histories.empty()) {
        conversation = std::move(turn->conversation);
      }
      histories.push_back(std::move(turn->history));
      next = std::move(turn->previous);
    }
    if (histories.empty()) {
      return std::nullopt;
    }
    chain_part part;
    part.conversation = std::move(conversation);
    part.missing = std::move(next);
    for (; !histories.empty(); histories.pop_back()) {
      part.history += histories.back();
    }
    return part;
  });
}

result<journal_page> turn_database::ReadJournal(std::int64_t after,
                                                std::size_t limit) {
  return Guard([&] {
    journal_page page;
    page.journal = state_->journal;
    page.last = state_->LastPosition();
    sqlite_statement& read = *state_->journal_after;
    const statement_use use(read);
    read.Bind(0, after).Bind(1, static_cast<std::int64_t>(limit));
    while (read.Step()) {
      page.entries.push_back({read.Number(0),
                              {read.Bytes(1), read.Bytes(2)},
                              read.Bytes(3),
                              static_cast<std::size_t>(read.Number(4))});
    }
    return page;
  });
}

result<std::vector<turn_key>> turn_database::FindMissing(
    const std::vector<turn_key>& keys) {
  return Guard([&] {
    std::vector<turn_key> missing;
    for (const turn_key& key : keys) {
      const statement_use use(*state_->find);
      state_->find->BindBytes(0, key.team).BindBytes(1, key.id);
      if (!state_->find->Step()) {
        missing.push_back(key);
      }
    }
    return missing;
  });
}

result<std::vector<kept_turn>> turn_database::ReadTurns(
    const std::vector<turn_key>& keys) {
  return Guard([&] {
    std::vector<kept_turn> turns;
    for (const turn_key& key : keys) {
      if (std::optional<kept_turn> turn = state_->ReadSound(key)) {
        turns.push_back(std::move(*turn));
      }
    }
    return turns;
  });
}

result<int> turn_database::RemoveExpired(duration elapsed) {
  return Guard([&] {
    return state_->Commit([&] {
      state_->AddRunningTime(elapsed);
      state_->expire_origins->Bind(0, state_->running_ms).Run();
      state_->expire_spending->Bind(0, state_->running_ms).Run();
      state_->expire->Bind(0, state_->running_ms).Run();
      return state_->database.changes();
    });
  });
}

bool turn_database::is_settled() const {
  return state_->settled;
}

result<success> turn_database::Settle() {
  return Guard([&] {
    state_->Commit([&] {
      state_->SetProperty("settled", 1);
      return true;
    });
    state_->settled = true;
    return success{};
  });
}

std::int64_t turn_database::journal() const {
  return state_->journal;
}

result<database_totals> turn_database::Totals() {
  return Guard([&] {
    database_totals totals;
    {
      const statement_use use(*state_->count);
      state_->count->Step();
      totals.turns = state_->count->Number(0);
    }
    totals.last_position = state_->LastPosition();
    totals.damaged = state_->damaged;
    totals.is_settled = state_->settled;
    sqlite_statement pages = state_->database.Prepare(
        "SELECT page_count * page_size FROM pragma_page_count(),"
        " pragma_page_size()");
    pages.Step();
    totals.disk_bytes = pages.Number(0);
    return totals;
  });
}

}  // namespace gentian
