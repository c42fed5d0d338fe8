// Implements turn_store_daemon: the interface for gateways and other stores.

#include <algorithm>
#include <array>
#include <utility>

#include "gentian_daemon/connection_report.h"
#include "gentian_gateway_daemon/history_paths.h"
#include "gentian_log/gentian_log.h"
#include "gentian_turn_daemon/turn_store_daemon.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kFailed = 500;
constexpr int kUnavailable = 503;
constexpr std::size_t kPageEntries = 500;
constexpr const char* kMetricsPath = "/metrics";

void Respond(http_exchange& exchange, int status, std::string body = "") {
  http_response response;
  response.status = status;
  response.body = std::move(body);
  exchange.Respond(std::move(response));
}

}  // namespace

/** How the outcomes of one kind of write are counted and answered. */
struct turn_store_daemon::write_report {
  const char* stored;
  const char* conflicting;
  const char* refused;
  const char* latency;
  int failure_status;
};

const turn_store_daemon::write_report turn_store_daemon::kTurnReport = {
    "turns_stored", "turns_conflicting", "turns_refused", "store",
    kUnavailable};

// A failed write of a spending record may be stored after all.
const turn_store_daemon::write_report turn_store_daemon::kSpendingReport = {
    "spending_stored", "spending_conflicting", "spending_refused",
    "store_spending", kFailed};

void turn_store_daemon::Answer(const exchange_pointer& exchange) {
  static constexpr std::array<endpoint, 9> kEndpoints = {
      {{kStoreTurnPath, &turn_store_daemon::StoreTurn},
       {kReadChainPath, &turn_store_daemon::ReadChain},
       {kReadJournalPath, &turn_store_daemon::ReadJournal},
       {kReadTurnsPath, &turn_store_daemon::ReadTurns},
       {kStoreOriginPath, &turn_store_daemon::StoreOrigin},
       {kReadOriginPath, &turn_store_daemon::ReadOrigin},
       {kStoreSpendingPath, &turn_store_daemon::StoreSpending},
       {kSealSpendingPath, &turn_store_daemon::SealSpending},
       {kMetricsPath, &turn_store_daemon::ShowMetrics}}};
  const std::string path = exchange->request().Path();
  const auto found =
      std::find_if(kEndpoints.begin(), kEndpoints.end(),
                   [&path](const endpoint& next) { return path == next.path; });
  if (found == kEndpoints.end()) {
    Respond(*exchange, kNotFound);
    return;
  }
  (this->*found->answer)(exchange);
}

bool turn_store_daemon::TakesWrites() const {
  return registered_ && !stopping_ && drain_status_key_.empty();
}

turn_storage::store_handler turn_store_daemon::RespondWhenStored(
    const exchange_pointer& exchange,
    const write_report& report) {
  return [this, exchange, &report,
          started_at = BootTimeNow()](const result<store_outcome>& outcome) {
    if (Failed(outcome)) {
      counters_.Add(report.refused);
      Respond(*exchange, report.failure_status);
      return;
    }
    const bool stored = ValueOf(outcome) == store_outcome::stored;
    counters_.Add(stored ? report.stored : report.conflicting);
    metrics_.AddLatency(report.latency, BootTimeNow() - started_at);
    Respond(*exchange, stored ? kOk : kConflict);
  };
}

void turn_store_daemon::StoreTurn(const exchange_pointer& exchange) {
  result<kept_turn> turn = DecodeTurn(exchange->request().body);
  if (Failed(turn)) {
    Respond(*exchange, kBadRequest);
    return;
  }
  if (!TakesWrites()) {
    counters_.Add(kTurnReport.refused);
    Respond(*exchange, kUnavailable);
    return;
  }
  storage_->Store(std::move(ValueOf(turn)),
                  RespondWhenStored(exchange, kTurnReport));
}

void turn_store_daemon::ReadChain(const exchange_pointer& exchange) {
  const result<std::vector<turn_key>> keys =
      DecodeKeys(exchange->request().body);
  if (Failed(keys) || ValueOf(keys).size() != 1) {
    Respond(*exchange, kBadRequest);
    return;
  }
  /** The part of a chain that is stored here, and whether the lack of it is
      certain. */
  struct answer {
    std::optional<chain_part> part;
    bool is_settled = false;
  };
  storage_->Run<answer>(
      [key = ValueOf(keys).front()](turn_database& database) -> result<answer> {
        result<std::optional<chain_part>> part = database.ReadChain(key);
        if (Failed(part)) {
          return ErrorOf(part);
        }
        return answer{std::move(ValueOf(part)), database.is_settled()};
      },
      [this, exchange](const result<answer>& outcome) {
        if (Failed(outcome)) {
          counters_.Add("reads_failed");
          Respond(*exchange, kUnavailable);
        } else if (ValueOf(outcome).part) {
          counters_.Add("chains_read");
          Respond(*exchange, kOk, EncodePart(*ValueOf(outcome).part));
        } else {
          Respond(*exchange,
                  ValueOf(outcome).is_settled ? kNotFound : kUnavailable);
        }
      });
}

void turn_store_daemon::ReadJournal(const exchange_pointer& exchange) {
  const result<journal_request> request =
      DecodeJournalRequest(exchange->request().body);
  if (Failed(request)) {
    Respond(*exchange, kBadRequest);
    return;
  }
  storage_->Run<journal_page>(
      [request = ValueOf(request)](turn_database& database) {
        const bool same = request.journal == database.journal();
        return database.ReadJournal(same ? request.after : 0, kPageEntries);
      },
      [this, exchange,
       request = ValueOf(request)](const result<journal_page>& page) {
        if (Failed(page)) {
          Respond(*exchange, kUnavailable);
          return;
        }
        drain_.OnRead(request, ValueOf(page).journal);
        Respond(*exchange, kOk, EncodeJournalPage(ValueOf(page)));
      });
}

void turn_store_daemon::ReadTurns(const exchange_pointer& exchange) {
  result<std::vector<turn_key>> keys = DecodeKeys(exchange->request().body);
  if (Failed(keys)) {
    Respond(*exchange, kBadRequest);
    return;
  }
  storage_->Run<std::vector<kept_turn>>(
      [keys = std::move(ValueOf(keys))](turn_database& database) {
        return database.ReadTurns(keys);
      },
      [exchange](const result<std::vector<kept_turn>>& turns) {
        if (Failed(turns)) {
          Respond(*exchange, kUnavailable);
        } else {
          Respond(*exchange, kOk, EncodeTurns(ValueOf(turns)));
        }
      });
}

void turn_store_daemon::StoreOrigin(const exchange_pointer& exchange) {
  result<stored_origin> origin = DecodeStoredOrigin(exchange->request().body);
  if (Failed(origin)) {
    Respond(*exchange, kBadRequest);
    return;
  }
  if (!TakesWrites()) {
    counters_.Add("origins_refused");
    Respond(*exchange, kUnavailable);
    return;
  }
  const steady_time started_at = BootTimeNow();
  storage_->StoreOrigin(
      std::move(ValueOf(origin)),
      [this, exchange, started_at](const result<success>& outcome) {
        counters_.Add(Failed(outcome) ? "origins_refused" : "origins_stored");
        metrics_.AddLatency("store_origin", BootTimeNow() - started_at);
        // It may be stored after all.
        Respond(*exchange, Failed(outcome) ? kFailed : kOk);
      });
}

void turn_store_daemon::ReadOrigin(const exchange_pointer& exchange) {
  const result<std::vector<turn_key>> keys =
      DecodeKeys(exchange->request().body);
  if (Failed(keys) || ValueOf(keys).size() != 1) {
    Respond(*exchange, kBadRequest);
    return;
  }
  storage_->Run<std::optional<stream_origin>>(
      [key = ValueOf(keys).front()](turn_database& database) {
        return database.ReadOrigin(key);
      },
      [this, exchange](const result<std::optional<stream_origin>>& outcome) {
        if (Failed(outcome)) {
          counters_.Add("reads_failed");
          Respond(*exchange, kUnavailable);
        } else if (!ValueOf(outcome)) {
          Respond(*exchange, kNotFound);
        } else {
          counters_.Add("origins_read");
          Respond(*exchange, kOk, EncodeOrigin(*ValueOf(outcome)));
        }
      });
}

void turn_store_daemon::StoreSpending(const exchange_pointer& exchange) {
  result<spending_record> record = DecodeSpending(exchange->request().body);
  if (Failed(record)) {
    Respond(*exchange, kBadRequest);
    return;
  }
  if (!TakesWrites()) {
    counters_.Add(kSpendingReport.refused);
    Respond(*exchange, kUnavailable);
    return;
  }
  storage_->StoreSpending(std::move(ValueOf(record)),
                          RespondWhenStored(exchange, kSpendingReport));
}

void turn_store_daemon::SealSpending(const exchange_pointer& exchange) {
  storage_->Run<std::optional<spending_record>>(
      [claim = exchange->request().body](turn_database& database) {
        return database.SealSpending(claim);
      },
      [this, exchange](const result<std::optional<spending_record>>& outcome) {
        if (Failed(outcome)) {
          counters_.Add("reads_failed");
          Respond(*exchange, kUnavailable);
        } else if (!ValueOf(outcome)) {
          Respond(*exchange, kNotFound);
        } else {
          counters_.Add("spending_sealed");
          Respond(*exchange, kOk, EncodeSpending(*ValueOf(outcome)));
        }
      });
}

void turn_store_daemon::ShowMetrics(const exchange_pointer& exchange) {
  metrics_.SetGauge("settled", settled_ ? 1 : 0);
  metrics_.SetGauge("replication_lag_seconds", ToSeconds(replicator_->Lag()));
  metrics_.SetGauge("stores_known",
                    static_cast<double>(directory_.known().size()));
  ReportConnections(metrics_, server_, kListenerName);
  ReportProcessUsage(metrics_, settings_.memory, settings_.descriptors);
  http_response page;
  page.status = kOk;
  page.body = metrics_.ToPrometheus(counters_);
  page.headers.Add("Content-Type", "text/plain");
  exchange->Respond(std::move(page));
}

}  // namespace gentian
