#ifndef GENTIAN_DECISIONS_REGISTRATION_H_
#define GENTIAN_DECISIONS_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gentian_decisions/backoff.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/node_identity.h"

namespace gentian {

/** Registers this daemon as a new incarnation and renews its lease.

    The epoch is kept under `/epoch/<host>` without a lease, because the entry
    `/daemon/<host>` disappears with its lease and an epoch must never come
    back. A daemon whose lease has expired registers again and serves in the
    meantime. It stays the same incarnation unless another process has taken a
    higher epoch for its host.
*/
class registration {
 public:
  /** Creates the registration of a daemon.

      @param kv        access to the service; must outlive this object
      @param identity  what is registered
  */
  registration(kv_access& kv, node_identity identity);

  registration(const registration&) = delete;
  registration& operator=(const registration&) = delete;

  /** Starts whatever is due.

      @returns true if the incarnation has changed since the last call
  */
  bool Tick(node_context& context);

  /** The current incarnation; epoch 0 before the first registration. */
  const incarnation& self() const { return self_; }

  /** Deletes the entry, so that others need not wait for the lease. */
  void Withdraw(node_context& context);

 private:
  enum class step { idle, calling, registered, withdrawn };

  void ReadEpoch(node_context& context);
  void WriteEpoch(const kv_answer& current, node_context& context);
  void GrantLease(node_context& context);
  void ReadEntry(node_context& context);
  void WriteEntry(const kv_answer& current, node_context& context);
  void Renew(node_context& context);
  void StartOver(node_context& context);
  std::string EpochKey() const;
  std::string EntryKey() const;

  kv_access& kv_;
  node_identity identity_;
  incarnation self_;
  step step_ = step::idle;
  bool changed_ = false;
  std::uint64_t next_epoch_ = 0;
  std::uint64_t lease_ = 0;
  std::uint64_t entry_version_ = 0;
  bool renewing_ = false;
  steady_time renew_at_;
  steady_time not_before_;
  backoff delay_{milliseconds(100), milliseconds(5'000)};
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_REGISTRATION_H_
