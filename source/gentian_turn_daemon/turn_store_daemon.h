#ifndef GENTIAN_TURN_DAEMON_TURN_STORE_DAEMON_H_
#define GENTIAN_TURN_DAEMON_TURN_STORE_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "gentian_daemon/daemon_metrics.h"
#include "gentian_gateway_daemon/gateway_protocol.h"
#include "gentian_gateway_daemon/lease_registration.h"
#include "gentian_turn_daemon/turn_replicator.h"

namespace gentian {

/** Keeps turns on the disk of its host. Runs on the single thread of the pool;
    the disk has a thread of its own. */
class turn_store_daemon {
 public:
  /** @param incarnation  unique for each start */
  turn_store_daemon(io_pool& pool,
                    key_value_store& store,
                    const gateway_protocol& protocol,
                    turn_store_settings settings,
                    std::string incarnation);
  ~turn_store_daemon();

  /** Opens the database and the listener and registers the store. */
  result<success> Start();

  /** Stores and answers what has arrived, and ends the registration.

      @param on_stopped  runs once this is done */
  void Stop(std::function<void()> on_stopped);

 private:
  /** Of its listener, in logs and metrics. */
  static constexpr const char* kListenerName = "peers";

  using exchange_pointer = std::shared_ptr<http_exchange>;
  /** One path of the interface for gateways and other stores. */
  struct endpoint {
    const char* path;
    void (turn_store_daemon::*answer)(const exchange_pointer& exchange);
  };
  struct write_report;
  static const write_report kTurnReport;
  static const write_report kSpendingReport;

  // Interface.
  void Answer(const exchange_pointer& exchange);
  void StoreTurn(const exchange_pointer& exchange);
  void ReadChain(const exchange_pointer& exchange);
  void ReadJournal(const exchange_pointer& exchange);
  void ReadTurns(const exchange_pointer& exchange);
  void StoreOrigin(const exchange_pointer& exchange);
  void ReadOrigin(const exchange_pointer& exchange);
  void StoreSpending(const exchange_pointer& exchange);
  void SealSpending(const exchange_pointer& exchange);
  bool TakesWrites() const;
  /** Answers once the outcome of a write is known.

      @param report  outlives the write */
  turn_storage::store_handler RespondWhenStored(
      const exchange_pointer& exchange,
      const write_report& report);
  void ShowMetrics(const exchange_pointer& exchange);

  // Registration.
  turn_store_record Record() const;
  void RegisterDisk(std::uint64_t version);
  void PollRegistry();
  void RemoveLostDisks(const kv_answer& listing);

  // Draining.
  void PollDrainRequests();
  void BeginDrain(const std::string& status_key);
  void WriteDrainStatus(std::uint64_t version,
                        bool completed,
                        std::function<void()> on_written);
  void CheckDrain();
  void CompleteDrain();
  void RemoveDiskRecord();

  /** Ends once everything that has come is answered, or the time is over. */
  void FinishStop();
  void CheckSettled();
  void RemoveExpired();
  void UpdateTotals();

  io_pool& pool_;
  key_value_store& store_;
  const gateway_protocol& protocol_;
  const turn_store_settings settings_;
  const std::string incarnation_;
  counter_set counters_;
  daemon_metrics metrics_;
  turn_store_directory directory_;
  drain_progress drain_;
  http_client peer_client_;
  lease_registration registration_;
  std::unique_ptr<turn_storage> storage_;
  std::unique_ptr<turn_replicator> replicator_;
  http_server server_;
  /** Gateways can find this store, so that it may take turns. */
  bool registered_ = false;
  bool settled_ = false;
  bool stopping_ = false;
  steady_time stop_ends_at_;
  std::function<void()> on_stopped_;
  /** Where the progress of draining is written; empty unless draining. */
  std::string drain_status_key_;
  bool drained_ = false;
  steady_time drain_started_at_;
  /** When each host whose store does not run was first seen so. */
  std::map<std::string, steady_time> lost_since_;
};

}  // namespace gentian

#endif  // GENTIAN_TURN_DAEMON_TURN_STORE_DAEMON_H_
