#ifndef GENTIAN_GATEWAY_DAEMON_LEASE_REGISTRATION_H_
#define GENTIAN_GATEWAY_DAEMON_LEASE_REGISTRATION_H_

#include <cstdint>
#include <functional>
#include <string>

#include "gentian_adapters/gentian_adapters.h"

namespace gentian {

/** Keeps a record of this process in the key-value service under a lease, so
    that the record disappears soon after the process has failed. Used on the
    I/O thread only.
*/
class lease_registration {
 public:
  /** Time after the last renewal at which the record disappears: about as long
      as a daemon serves without a confirmed configuration. After that, the
      directory must no longer list it. */
  static constexpr milliseconds kLeaseTtl{4'500};

  /** Receives the outcome of a call, and when it was made. */
  using observer = std::function<void(bool reached, steady_time asked_at)>;

  /** @param key       key of the record
      @param record    returns the record's current content
      @param counters  counts failed registrations
      @param on_call   runs after each call that keeps the record */
  lease_registration(io_pool& pool,
                     key_value_store& store,
                     std::string key,
                     std::function<std::string()> record,
                     counter_set& counters,
                     observer on_call);

  void Start();

  /** Writes the record again after its content has changed. */
  void Update();

  /** Removes the record. */
  void End();

  /** True if the first registration found the record of an earlier start whose
      lease had not expired. */
  bool resumed() const { return resumed_; }

 private:
  using round = repeating_task::round;

  void Keep(const round& current);
  void GrantLease(const round& current);
  void RenewLease(const round& current);
  void WriteUpdate(const round& current);
  /** Writes the record.

      @param on_done  receives whether it was written */
  void Write(std::function<void(bool is_written)> on_done);
  void Remove();

  key_value_store& store_;
  std::string key_;
  std::function<std::string()> record_;
  counter_set& counters_;
  observer on_call_;
  std::uint64_t lease_ = 0;
  std::uint64_t version_ = 0;
  bool ended_ = false;
  bool registered_before_ = false;
  bool resumed_ = false;
  repeating_task keeping_;
  repeating_task updating_;
  bool is_updating_ = false;
  /** The content has changed since the last write began. */
  bool has_update_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_LEASE_REGISTRATION_H_
