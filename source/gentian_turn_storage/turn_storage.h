#ifndef GENTIAN_TURN_STORAGE_TURN_STORAGE_H_
#define GENTIAN_TURN_STORAGE_TURN_STORAGE_H_

#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gentian_turn_storage/turn_database.h"

namespace gentian {

/** Runs a turn_database on a thread of its own, since each commit waits for the
    disk. What arrives during a commit is stored together in the next one. A
    database that turns out to be damaged is replaced by an empty one.
*/
class turn_storage {
 public:
  using store_handler = std::function<void(const result<store_outcome>&)>;
  using origin_handler = std::function<void(const result<success>&)>;
  /** Runs an action where the results are handled. */
  using executor = std::function<void(std::function<void()>)>;

  /** @param run_handlers  runs the handlers; may be called on any thread */
  turn_storage(std::unique_ptr<turn_database> database,
               std::string directory,
               executor run_handlers);
  /** Ends after the current commit; later work is dropped. */
  ~turn_storage();
  turn_storage(const turn_storage&) = delete;
  turn_storage& operator=(const turn_storage&) = delete;

  /** Stores a turn.

      @param on_stored  runs once the turn is durable, or with the error;
                        error_kind::overloaded without a wait if too many bytes
                        are queued */
  void Store(kept_turn turn, store_handler on_stored);

  /** Stores the origin of a stream.

      @param on_stored  see Store */
  void StoreOrigin(stored_origin origin, origin_handler on_stored);

  /** Stores a spending record.

      @param on_stored  see Store */
  void StoreSpending(spending_record record, store_handler on_stored);

  /** Removes conversations and origins that need not be kept any longer.

      @param on_done  receives the number of turns removed */
  void RemoveExpired(std::function<void(const result<int>&)> on_done);

  /** Runs an action on the database, after the turns that were queued before.

      @param on_done  receives the action's result */
  template <typename Value>
  void Run(std::function<result<Value>(turn_database&)> action,
           std::function<void(const result<Value>&)> on_done) {
    Enqueue([this, action = std::move(action),
             on_done = std::move(on_done)](turn_database& database) {
      auto outcome =
          std::make_shared<result<Value>>(Try<Value>(action, database));
      run_handlers_([outcome, on_done] { on_done(*outcome); });
      return Failed(*outcome) ? std::optional<error>(ErrorOf(*outcome))
                              : std::nullopt;
    });
  }

 private:
  struct state;
  using job = std::function<std::optional<error>(turn_database&)>;

  /** Turns an exception of an action into an error. Not one of kind internal:
      the database is sound. */
  template <typename Value>
  static result<Value> Try(
      const std::function<result<Value>(turn_database&)>& action,
      turn_database& database) {
    try {
      return action(database);
    } catch (const std::exception& failure) {
      return error{error_kind::unavailable,
                   std::string("the turn database failed: ") + failure.what(),
                   "try again; give the turn store more memory if it recurs"};
    }
  }

  void Enqueue(job next);
  void Work();
  void Commit();
  template <typename Entry>
  bool Queue(std::vector<Entry>& queue, Entry& entry, std::size_t size);
  duration TakeRunningTime();
  void Recover(const error& reason);
  void ReplaceDatabase();

  executor run_handlers_;
  std::unique_ptr<state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_TURN_STORAGE_TURN_STORAGE_H_
