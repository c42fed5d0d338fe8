#include "gentian_gateway_daemon/listing_monitor.h"

#include "gentian_log/gentian_log.h"

namespace gentian {

void listing_monitor::OnReceived(const std::string& listing,
                                 origin from,
                                 duration took,
                                 std::size_t bytes) {
  const bool read = from == origin::key_value_service;
  state_.metrics.AddLatency(
      (read ? "listing_read." : "listing_relayed.") + listing, took);
  state_.counters.Add(
      (read ? "listing_bytes_read." : "listing_bytes_relayed.") + listing,
      bytes);
}

void listing_monitor::OnPassedOn(std::size_t bytes) {
  state_.counters.Add("listing_bytes_passed_on", bytes);
}

void listing_monitor::OnAge(const std::string& listing,
                            std::optional<duration> age,
                            bool is_stale) {
  const double age_ms =
      age ? static_cast<double>(ToMilliseconds(*age).count()) : -1;
  state_.metrics.SetGauge("listing_age_ms." + listing, age_ms);
  state_.metrics.SetGauge("reads_key_value_service",
                          state_.relays.IsReader() ? 1 : 0);
  const bool was_stale = stale_.count(listing) > 0;
  if (is_stale == was_stale) {
    return;
  }
  if (is_stale) {
    stale_.insert(listing);
  } else {
    stale_.erase(listing);
  }
  Log(is_stale ? log_level::warning : log_level::info,
      is_stale ? "listing is stale" : "listing is young again",
      {{"listing", listing},
       {"age_ms", age_ms},
       {"reads_key_value_service", state_.relays.IsReader()},
       {"failed_reads", state_.counters.Value("listing_failed." + listing)},
       {"failed_relays", state_.counters.Value("relay_failed")},
       {"bytes_passed_on", state_.counters.Value("listing_bytes_passed_on")}});
}

}  // namespace gentian
