#include "gentian_turn_daemon/turn_store_daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "gentian_daemon/connection_report.h"
#include "gentian_gateway/gentian_gateway.h"
#include "gentian_gateway_daemon/turn_store_listing.h"
#include "gentian_log/gentian_log.h"
#include "gentian_net/connection_bounds.h"

namespace gentian {

namespace {

constexpr milliseconds kCallTimeout{800};
constexpr milliseconds kRetryDelay{400};
constexpr milliseconds kRegistryInterval{1'500};
constexpr milliseconds kSettleInterval{200};
constexpr milliseconds kExpiryInterval{5'000};
// Time for what is on its way to arrive before the process ends.
constexpr milliseconds kStopDelay{300};
constexpr milliseconds kStopPollInterval{50};
// Of the time before the forced end, for the end itself.
constexpr milliseconds kStopReserve{1'000};
// A host whose store has not run for this long has been removed or has lost its
// disk; every turn on it has another copy or has expired.
constexpr std::chrono::minutes kLostDiskAge{10};
constexpr std::size_t kMaxBodyBytes = 32 * 1024 * 1024;

http_server_limits InternalLimits(const turn_store_settings& settings) {
  const connection_bounds bounds =
      BoundConnections(settings.descriptors, settings.memory);
  http_server_limits limits;
  limits.max_connections = bounds.callers + bounds.peers;
  limits.max_body_bytes = kMaxBodyBytes;
  limits.max_unsent_bytes = kMaxBodyBytes;
  return limits;
}

}  // namespace

turn_store_daemon::turn_store_daemon(io_pool& pool,
                                     key_value_store& store,
                                     const gateway_protocol& protocol,
                                     turn_store_settings settings,
                                     std::string incarnation)
    : pool_(pool),
      store_(store),
      protocol_(protocol),
      settings_(std::move(settings)),
      incarnation_(std::move(incarnation)),
      peer_client_(pool),
      registration_(
          pool,
          store,
          RunningStoreKey(settings_.host),
          [this] { return EncodeTurnStore(Record()); },
          counters_,
          [](bool, steady_time) {}),
      server_(
          pool,
          [this](const exchange_pointer& exchange) { Answer(exchange); },
          InternalLimits(settings_)) {
  LogRefusedConnections(server_, kListenerName);
  ReportUnreadRequests(
      server_, kListenerName,
      [this](const std::string& counter) { counters_.Add(counter); });
}

turn_store_daemon::~turn_store_daemon() = default;

result<success> turn_store_daemon::Start() {
  // First, so that a start that has to wait changes nothing on the disk.
  if (!server_.is_bound()) {
    result<success> bound = server_.Bind(settings_.address);
    if (Failed(bound)) {
      return bound;
    }
  }
  result<std::unique_ptr<turn_database>> opened =
      turn_database::Open(settings_.data_directory, settings_.first_start);
  if (Failed(opened)) {
    return ErrorOf(opened);
  }
  std::unique_ptr<turn_database> database = std::move(ValueOf(opened));
  const result<database_totals> totals = database->Totals();
  if (Failed(totals)) {
    return ErrorOf(totals);
  }
  // Its disk was registered before it took the first turn.
  registered_ = ValueOf(totals).last_position > 0;
  settled_ = database->is_settled();
  Log(log_level::info, "turn database opened",
      {{"turns", ValueOf(totals).turns},
       {"disk_bytes", ValueOf(totals).disk_bytes},
       {"settled", settled_}});
  storage_ = std::make_unique<turn_storage>(
      std::move(database), settings_.data_directory,
      [this](std::function<void()> handler) {
        boost::asio::post(pool_.context(), std::move(handler));
      });
  replicator_ = std::make_unique<turn_replicator>(
      pool_, peer_client_, *storage_, settings_, directory_, counters_);
  server_.Serve();
  RegisterDisk(0);
  PollRegistry();
  PollDrainRequests();
  replicator_->Start();
  CheckSettled();
  RemoveExpired();
  return success{};
}

turn_store_record turn_store_daemon::Record() const {
  return {settings_.host, settings_.failure_domain, settings_.address,
          incarnation_, !drain_status_key_.empty()};
}

// The disk is registered before the process is, so that a gateway that finds
// the process also knows the disk when the process is gone.
void turn_store_daemon::RegisterDisk(std::uint64_t version) {
  store_.Call(
      kv_compare_and_swap{DiskKey(settings_.host), version,
                          EncodeTurnStore(Record())},
      kCallTimeout, [this](const kv_answer& answer) {
        if (answer.outcome == kv_answer::status::ok) {
          registered_ = true;
          Log(log_level::info, "disk registered", {{"host", settings_.host}});
          registration_.Start();
        } else if (answer.outcome == kv_answer::status::conflict) {
          RegisterDisk(answer.entries.empty() ? 0
                                              : answer.entries.front().version);
        } else {
          counters_.Add("registration_failed");
          pool_.After(kRetryDelay, [this] { RegisterDisk(0); });
        }
      });
}

void turn_store_daemon::PollRegistry() {
  store_.Call(kv_list{kRegistryPrefix, true}, kCallTimeout,
              [this](const kv_answer& answer) {
                const bool reached = answer.outcome == kv_answer::status::ok;
                if (!reached) {
                  counters_.Add("listing_failed.members");
                } else if (ApplyTurnStores(answer.entries, directory_)) {
                  Log(log_level::info, "turn stores changed",
                      {{"accepting", directory_.accepting().size()},
                       {"known", directory_.known().size()}});
                  replicator_->OnPlacementChanged();
                }
                if (reached) {
                  RemoveLostDisks(answer);
                }
                pool_.After(reached ? kRegistryInterval : kRetryDelay,
                            [this] { PollRegistry(); });
              });
}

void turn_store_daemon::RemoveLostDisks(const kv_answer& listing) {
  const steady_time now = BootTimeNow();
  const bool is_first = !directory_.accepting().empty() &&
                        directory_.accepting().begin()->first == settings_.host;
  for (const kv_entry& entry : listing.entries) {
    const auto record = DecodeTurnStore(entry.value);
    if (entry.key.rfind(kDisksPrefix, 0) != 0 || !record) {
      continue;
    }
    if (directory_.accepting().count(record->host) > 0) {
      lost_since_.erase(record->host);
      continue;
    }
    const steady_time since =
        lost_since_.insert({record->host, now}).first->second;
    if (is_first && now - since > kLostDiskAge) {
      Log(log_level::warning, "record of a lost disk removed",
          {{"disk_host", record->host},
           {"not_running_ms", ToMilliseconds(now - since).count()}});
      store_.Call(kv_delete{entry.key, entry.version}, kCallTimeout,
                  [](const kv_answer&) {
                    // Repeated after the next listing if it failed.
                  });
    }
  }
}

void turn_store_daemon::PollDrainRequests() {
  store_.Call(kv_list{protocol_.DrainRequestsPrefix(), true}, kCallTimeout,
              [this](const kv_answer& answer) {
                if (answer.outcome == kv_answer::status::ok) {
                  for (const kv_entry& entry : answer.entries) {
                    const auto request = protocol_.DecodeDrainRequest(entry);
                    if (request && request->host == settings_.host &&
                        drain_status_key_.empty()) {
                      BeginDrain(request->status_key);
                    }
                  }
                }
                pool_.After(kRegistryInterval, [this] { PollDrainRequests(); });
              });
}

void turn_store_daemon::BeginDrain(const std::string& status_key) {
  drain_status_key_ = status_key;
  drain_started_at_ = BootTimeNow();
  Log(log_level::info, "drain of this host requested",
      {{"status_key", status_key}});
  registration_.Update();
  WriteDrainStatus(0, false, [this] { CheckDrain(); });
}

void turn_store_daemon::WriteDrainStatus(std::uint64_t version,
                                         bool completed,
                                         std::function<void()> on_written) {
  store_.Call(
      kv_compare_and_swap{drain_status_key_, version,
                          protocol_.DrainStatus(completed)},
      kCallTimeout,
      [this, completed,
       on_written = std::move(on_written)](const kv_answer& answer) {
        if (answer.outcome == kv_answer::status::ok) {
          on_written();
          return;
        }
        if (answer.outcome == kv_answer::status::conflict) {
          const bool is_written =
              !answer.entries.empty() &&
              (answer.entries.front().value ==
                   protocol_.DrainStatus(completed) ||
               answer.entries.front().value == protocol_.DrainStatus(true));
          if (is_written) {
            on_written();
          } else {
            WriteDrainStatus(
                answer.entries.empty() ? 0 : answer.entries.front().version,
                completed, on_written);
          }
          return;
        }
        pool_.After(kRetryDelay, [this, completed, on_written] {
          WriteDrainStatus(0, completed, on_written);
        });
      });
}

void turn_store_daemon::CheckDrain() {
  storage_->Run<database_totals>(
      [](turn_database& database) { return database.Totals(); },
      [this](const result<database_totals>& totals) {
        if (!Failed(totals) &&
            drain_.IsComplete(directory_, ValueOf(totals).last_position)) {
          CompleteDrain();
          return;
        }
        pool_.After(kSettleInterval, [this] { CheckDrain(); });
      });
}

void turn_store_daemon::CompleteDrain() {
  if (drained_) {
    return;
  }
  drained_ = true;
  Log(log_level::info, "host drained",
      {{"duration_ms",
        ToMilliseconds(BootTimeNow() - drain_started_at_).count()}});
  registration_.End();
  RemoveDiskRecord();
}

// The record goes before the host may be taken away: readers would wait for a
// store that does not come back.
void turn_store_daemon::RemoveDiskRecord() {
  const auto retry = [this] {
    pool_.After(kRetryDelay, [this] { RemoveDiskRecord(); });
  };
  store_.Call(
      kv_get{DiskKey(settings_.host)}, kCallTimeout,
      [this, retry](const kv_answer& found) {
        if (found.outcome != kv_answer::status::ok) {
          retry();
          return;
        }
        if (found.entries.empty()) {
          WriteDrainStatus(0, true, [] {});
          return;
        }
        store_.Call(
            kv_delete{DiskKey(settings_.host), found.entries.front().version},
            kCallTimeout, [this, retry](const kv_answer& removed) {
              if (removed.outcome == kv_answer::status::ok) {
                WriteDrainStatus(0, true, [] {});
              } else {
                retry();
              }
            });
      });
}

void turn_store_daemon::CheckSettled() {
  if (!settled_ && replicator_->IsCaughtUp()) {
    storage_->Run<success>(
        [](turn_database& database) { return database.Settle(); },
        [this](const result<success>& outcome) {
          if (Failed(outcome)) {
            Log(log_level::error, "turn database failed",
                {{"reason", ErrorOf(outcome).message},
                 {"remedy", ErrorOf(outcome).remedy}});
            return;
          }
          settled_ = true;
          Log(log_level::info, "turns of this host restored");
        });
  }
  pool_.After(kSettleInterval, [this] { CheckSettled(); });
}

void turn_store_daemon::RemoveExpired() {
  storage_->RemoveExpired([this](const result<int>& removed) {
    if (!Failed(removed)) {
      counters_.Add("turns_expired",
                    static_cast<std::uint64_t>(ValueOf(removed)));
    }
    UpdateTotals();
    pool_.After(kExpiryInterval, [this] { RemoveExpired(); });
  });
}

void turn_store_daemon::UpdateTotals() {
  storage_->Run<database_totals>(
      [](turn_database& database) { return database.Totals(); },
      [this](const result<database_totals>& outcome) {
        if (Failed(outcome)) {
          return;
        }
        const database_totals& totals = ValueOf(outcome);
        if (settled_ && !totals.is_settled) {
          Log(log_level::warning, "turns of this host were lost",
              {{"damaged", totals.damaged}});
          settled_ = false;
          replicator_->OnPlacementChanged();
        }
        metrics_.SetGauge("turns", static_cast<double>(totals.turns));
        metrics_.SetGauge("disk_bytes", static_cast<double>(totals.disk_bytes));
        metrics_.SetGauge("damaged_turns", static_cast<double>(totals.damaged));
      });
}

void turn_store_daemon::Stop(std::function<void()> on_stopped) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  Log(log_level::info, "stopping");
  // Gateways write to other stores once the record is gone.
  registration_.End();
  server_.StopAccepting();
  on_stopped_ = std::move(on_stopped);
  stop_ends_at_ = BootTimeNow() + settings_.stop_grace - kStopReserve;
  pool_.After(kStopDelay, [this] { FinishStop(); });
}

void turn_store_daemon::FinishStop() {
  const std::size_t busy_connections = server_.busy_connections();
  if (busy_connections > 0 && BootTimeNow() < stop_ends_at_) {
    pool_.After(kStopPollInterval, [this] { FinishStop(); });
    return;
  }
  server_.EndReceiving(error{error_kind::draining,
                             "this turn store is stopping",
                             "send the request to another one"});
  // Time to send the last bytes.
  pool_.After(2 * kStopPollInterval, [this, busy_connections] {
    Log(log_level::info, "stopped", {{"busy_connections", busy_connections}});
    on_stopped_();
  });
}

}  // namespace gentian
