#include "gentian_turn_storage/sqlite_database.h"

#include <sqlite3.h>

namespace gentian::detail {

namespace {

void Check(int code, sqlite3* connection) {
  if (code != SQLITE_OK && code != SQLITE_ROW && code != SQLITE_DONE) {
    throw sqlite_failure(code, connection == nullptr
                                   ? sqlite3_errstr(code)
                                   : sqlite3_errmsg(connection));
  }
}

}  // namespace

bool sqlite_failure::is_damage() const {
  return code_ == SQLITE_CORRUPT || code_ == SQLITE_NOTADB;
}

bool sqlite_failure::is_full() const {
  return code_ == SQLITE_FULL;
}

bool sqlite_failure::is_busy() const {
  return code_ == SQLITE_BUSY;
}

void sqlite_statement::closer::operator()(sqlite3_stmt* statement) const {
  sqlite3_finalize(statement);
}

sqlite_statement::sqlite_statement(sqlite3* connection, const char* sql)
    : connection_(connection) {
  sqlite3_stmt* statement = nullptr;
  Check(sqlite3_prepare_v3(connection, sql, -1, SQLITE_PREPARE_PERSISTENT,
                           &statement, nullptr),
        connection);
  statement_.reset(statement);
}

sqlite_statement& sqlite_statement::Bind(int parameter, std::int64_t value) {
  Check(sqlite3_bind_int64(statement_.get(), parameter + 1, value),
        connection_);
  return *this;
}

sqlite_statement& sqlite_statement::BindBytes(int parameter,
                                              std::string_view bytes) {
  // A null pointer would bind NULL instead of an empty value.
  const char* data = bytes.data() == nullptr ? "" : bytes.data();
  Check(sqlite3_bind_blob64(statement_.get(), parameter + 1, data, bytes.size(),
                            SQLITE_STATIC),
        connection_);
  return *this;
}

bool sqlite_statement::Step() {
  const int code = sqlite3_step(statement_.get());
  Check(code, connection_);
  return code == SQLITE_ROW;
}

std::int64_t sqlite_statement::Number(int column) const {
  return sqlite3_column_int64(statement_.get(), column);
}

std::string sqlite_statement::Bytes(int column) const {
  const auto* data =
      static_cast<const char*>(sqlite3_column_blob(statement_.get(), column));
  return data == nullptr ? std::string() : std::string(data, Size(column));
}

std::size_t sqlite_statement::Size(int column) const {
  return static_cast<std::size_t>(
      sqlite3_column_bytes(statement_.get(), column));
}

void sqlite_statement::Reset() {
  // The result repeats the failure of the latest step, which has been reported.
  sqlite3_reset(statement_.get());
  sqlite3_clear_bindings(statement_.get());
}

void sqlite_statement::Run() {
  const statement_use use(*this);
  Step();
}

void sqlite_database::closer::operator()(sqlite3* connection) const {
  sqlite3_close_v2(connection);
}

sqlite_database::sqlite_database(const std::string& path) {
  sqlite3* connection = nullptr;
  const int code = sqlite3_open_v2(
      path.c_str(), &connection,
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX,
      nullptr);
  connection_.reset(connection);
  Check(code, connection);
  // The host may use only a small part of its memory, and nothing else opens
  // the file, so that the index of the log needs no shared memory.
  Execute(
      "PRAGMA locking_mode=EXCLUSIVE;"
      "PRAGMA page_size=8192;"
      "PRAGMA journal_mode=WAL;"
      "PRAGMA synchronous=FULL;"
      "PRAGMA cache_size=-4096;"
      "PRAGMA wal_autocheckpoint=512;"
      "PRAGMA journal_size_limit=8388608;"
      "PRAGMA temp_store=MEMORY;");
}

void sqlite_database::Execute(const char* sql) {
  Check(sqlite3_exec(connection_.get(), sql, nullptr, nullptr, nullptr),
        connection_.get());
}

sqlite_statement sqlite_database::Prepare(const char* sql) {
  return sqlite_statement(connection_.get(), sql);
}

int sqlite_database::changes() const {
  return sqlite3_changes(connection_.get());
}

}  // namespace gentian::detail
