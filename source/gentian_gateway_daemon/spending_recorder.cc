#include "gentian_gateway_daemon/spending_recorder.h"

#include <utility>

#include "gentian_gateway_daemon/history_paths.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
// A turn waits for its record, and can start with a claim without tokens ahead
// instead.
constexpr milliseconds kTimeout{150};
constexpr milliseconds kConnectTimeout{100};

}  // namespace

spending_recorder::spending_recorder(http_client& peers,
                                     const gateway_settings& settings,
                                     const gateway_state& state)
    : peers_(peers, {kTimeout, kConnectTimeout}),
      settings_(settings),
      state_(state) {}

const turn_store_record* spending_recorder::Find(
    const std::string& host) const {
  const turn_store_directory::records& known = state_.turn_stores.known();
  const auto found = known.find(host);
  return found == known.end() ? nullptr : &found->second;
}

std::string spending_recorder::ChooseStore(const std::string& program) const {
  std::string other;
  for (const std::string& host : state_.turn_stores.Placement(program)) {
    const turn_store_record* store = Find(host);
    if (store == nullptr || peers_.IsAvoided(store->address)) {
      continue;
    }
    if (store->failure_domain == settings_.failure_domain) {
      return host;
    }
    if (other.empty()) {
      other = host;
    }
  }
  return other;
}

void spending_recorder::Record(const std::string& host,
                               const spending_record& record,
                               record_handler handler) {
  const turn_store_record* store = Find(host);
  if (store == nullptr || peers_.IsAvoided(store->address)) {
    handler(false);
    return;
  }
  const auto on_answer =
      [this, handler, address = store->address](const http_response& response) {
        if (response.status != kOk && response.status != kConflict) {
          peers_.Avoid(address);
        }
        handler(response.status == kOk);
      };
  peers_.Post(store->address, kStoreSpendingPath, EncodeSpending(record),
              on_answer,
              [this, handler = std::move(handler), address = store->address](
                  http_failure, const std::string&) {
                peers_.Avoid(address);
                handler(false);
              });
}

void spending_recorder::Seal(const std::string& host,
                             const std::string& claim,
                             const seal_handler& handler) {
  const turn_store_record* store = Find(host);
  if (store == nullptr) {
    // Its disk is lost, unless the stores are not known yet.
    handler(state_.turn_stores.is_loaded() ? seal_outcome::absent
                                           : seal_outcome::unreachable,
            {});
    return;
  }
  if (peers_.IsAvoided(store->address)) {
    handler(seal_outcome::unreachable, {});
    return;
  }
  peers_.Post(
      store->address, kSealSpendingPath, claim,
      [handler](const http_response& response) {
        if (response.status == kNotFound) {
          handler(seal_outcome::absent, {});
          return;
        }
        const result<spending_record> record = DecodeSpending(response.body);
        if (response.status != kOk || Failed(record)) {
          handler(seal_outcome::unreachable, {});
        } else {
          handler(seal_outcome::sealed, ValueOf(record));
        }
      },
      [this, handler, address = store->address](http_failure,
                                                const std::string&) {
        peers_.Avoid(address);
        handler(seal_outcome::unreachable, {});
      });
}

}  // namespace gentian
