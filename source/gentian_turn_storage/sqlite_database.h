#ifndef GENTIAN_TURN_STORAGE_SQLITE_DATABASE_H_
#define GENTIAN_TURN_STORAGE_SQLITE_DATABASE_H_

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

struct sqlite3;
struct sqlite3_stmt;

namespace gentian::detail {

/** A failed SQLite call. */
class sqlite_failure : public std::runtime_error {
 public:
  sqlite_failure(int code, const std::string& message)
      : std::runtime_error(message), code_(code) {}

  /** The file is damaged or isn't a database. */
  bool is_damage() const;
  bool is_full() const;
  /** Another process has the file open. */
  bool is_busy() const;

 private:
  int code_;
};

/** A prepared statement. Parameters and columns are numbered from 0. All
    functions throw sqlite_failure. */
class sqlite_statement {
 public:
  sqlite_statement(sqlite3* connection, const char* sql);

  sqlite_statement& Bind(int parameter, std::int64_t value);
  /** The bytes must stay valid until Reset. */
  sqlite_statement& BindBytes(int parameter, std::string_view bytes);
  /** Runs up to the next row; false if there is none. */
  bool Step();
  std::int64_t Number(int column) const;
  std::string Bytes(int column) const;
  std::size_t Size(int column) const;
  /** Prepares for the next run. */
  void Reset();
  /** Runs a statement that returns no rows, and resets it. */
  void Run();

 private:
  struct closer {
    void operator()(sqlite3_stmt* statement) const;
  };

  sqlite3* connection_;
  std::unique_ptr<sqlite3_stmt, closer> statement_;
};

/** Resets a statement at the end of a scope. */
class statement_use {
 public:
  explicit statement_use(sqlite_statement& statement) : statement_(statement) {}
  ~statement_use() { statement_.Reset(); }
  statement_use(const statement_use&) = delete;
  statement_use& operator=(const statement_use&) = delete;

 private:
  sqlite_statement& statement_;
};

/** A connection to one database file, which no other process uses. */
class sqlite_database {
 public:
  /** @throws sqlite_failure */
  explicit sqlite_database(const std::string& path);

  /** Runs statements that return no rows. */
  void Execute(const char* sql);
  sqlite_statement Prepare(const char* sql);
  /** Rows changed by the latest statement. */
  int changes() const;

 private:
  struct closer {
    void operator()(sqlite3* connection) const;
  };

  std::unique_ptr<sqlite3, closer> connection_;
};

}  // namespace gentian::detail

#endif  // GENTIAN_TURN_STORAGE_SQLITE_DATABASE_H_
