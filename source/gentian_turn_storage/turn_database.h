#ifndef GENTIAN_TURN_STORAGE_TURN_DATABASE_H_
#define GENTIAN_TURN_STORAGE_TURN_DATABASE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gentian_turns/gentian_turns.h"

namespace gentian {

/** What became of one turn that was to be stored. */
enum class store_outcome {
  stored,
  /** Another turn with the same key is stored already and stays. */
  conflict,
};

/** What one transaction stores. */
struct store_batch {
  std::vector<const kept_turn*> turns{};
  std::vector<const stored_origin*> origins{};
  std::vector<const spending_record*> spending{};
};

/** Totals of a database. */
struct database_totals {
  std::int64_t turns = 0;
  /** Position of the latest entry ever written. */
  std::int64_t last_position = 0;
  std::int64_t disk_bytes = 0;
  /** Records that did not match their checksums and were removed. */
  std::int64_t damaged = 0;
  bool is_settled = false;
};

/** The turns that one host keeps on its disk.

    Retention is measured in the time that the store has been running, which is
    stored with each change: a clock that jumps can't remove a turn early. Used
    by one thread. Failures are error_kind::unavailable; a damaged file is
    error_kind::internal.
*/
class turn_database {
 public:
  /** Opens or creates the database. A damaged file is replaced by an empty one.

      @param directory    exists already
      @param first_start  the whole system starts for the first time, so that
                          an empty database has lost nothing */
  static result<std::unique_ptr<turn_database>> Open(
      const std::string& directory,
      bool first_start);
  /** Removes the files of a damaged database. */
  static void Discard(const std::string& directory);
  ~turn_database();
  turn_database(const turn_database&) = delete;
  turn_database& operator=(const turn_database&) = delete;

  /** Stores turns in one transaction. They survive a loss of power once the
      function has returned.

      @param elapsed  running time since the previous call that took one */
  result<std::vector<store_outcome>> Store(
      const std::vector<const kept_turn*>& turns,
      duration elapsed);

  /** Stores turns, origins of streams and spending records in one transaction.
      An origin stays if the one that is stored under its key is of a later
     send. A spending record that is sealed, of a later sequence, or missing
     although this one isn't the first, is a conflict.

      @returns  the outcomes of the turns, then those of the spending records */
  result<std::vector<store_outcome>> Store(const store_batch& batch,
                                           duration elapsed);

  /** Reads the origin of a stream.

      @returns  nothing if it is not stored here */
  result<std::optional<stream_origin>> ReadOrigin(const turn_key& key);

  /** Reads the spending record of a claim. From then on it can't change.

      @returns  nothing if it is not stored here */
  result<std::optional<spending_record>> SealSpending(const std::string& claim);

  /** Reads the chain that ends with a turn. A record that doesn't match its
      checksum is removed, and the database is no longer settled.

      @returns  nothing if the turn is not stored here */
  result<std::optional<chain_part>> ReadChain(const turn_key& key);

  /** Entries of the journal after a position. */
  result<journal_page> ReadJournal(std::int64_t after, std::size_t limit);

  /** Of these keys, the ones that are not stored. */
  result<std::vector<turn_key>> FindMissing(const std::vector<turn_key>& keys);

  /** Reads turns; keys that are not stored are left out. */
  result<std::vector<kept_turn>> ReadTurns(const std::vector<turn_key>& keys);

  /** Removes conversations and origins that need not be kept any longer.

      @returns  the number of turns removed */
  result<int> RemoveExpired(duration elapsed);

  /** False while the database may lack turns that this host had stored. */
  bool is_settled() const;
  /** Records that the copies of other hosts have been read. */
  result<success> Settle();

  /** Identifies the journal; differs for each database that was created. */
  std::int64_t journal() const;
  result<database_totals> Totals();

 private:
  struct state;

  explicit turn_database(std::unique_ptr<state> opened);

  std::unique_ptr<state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_TURN_STORAGE_TURN_DATABASE_H_
