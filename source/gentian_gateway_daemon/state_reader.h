#ifndef GENTIAN_GATEWAY_DAEMON_STATE_READER_H_
#define GENTIAN_GATEWAY_DAEMON_STATE_READER_H_

#include <array>
#include <functional>
#include <map>
#include <string>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_gateway_daemon/gateway_protocol.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/lease_registration.h"

namespace gentian {

/** Keeps a gateway_state up to date from the key-value service and keeps this
    daemon registered there. Used on the I/O thread only.
*/
class state_reader {
 public:
  /** @param on_configuration  runs after a new configuration is applied */
  state_reader(io_pool& pool,
               key_value_store& store,
               const gateway_protocol& protocol,
               const gateway_settings& settings,
               gateway_state& state,
               std::function<void()> on_configuration);

  void Start();

  /** Marks this daemon's member record as stopping, so that callers are sent
      elsewhere. Precondition: `gateway_state::stopping`. */
  void AnnounceStop();

  /** Removes the registration. */
  void Deregister();

 private:
  /** A key prefix that is polled, and the state of its polling. */
  struct listing {
    const char* name;
    std::string prefix;
    duration interval;
    void (state_reader::*apply)(const kv_answer& answer, steady_time asked_at);
    int failures = 0;
    bool reached = false;
    steady_time last_answer{};
  };

  void Poll(listing& subject);
  void OnListing(listing& subject,
                 const kv_answer& answer,
                 steady_time asked_at);
  void RecordReachability(listing& subject, const kv_answer& answer);

  void ApplyConfiguration(const kv_answer& answer, steady_time asked_at);
  void ApplyTargets(const kv_answer& answer, steady_time asked_at);
  void ApplyRegistry(const kv_answer& answer, steady_time asked_at);
  void ApplyMembers(std::map<std::string, member_record> listed,
                    steady_time asked_at);

  void UpdateHolders();

  io_pool& pool_;
  key_value_store& store_;
  const gateway_protocol& protocol_;
  const gateway_settings& settings_;
  gateway_state& state_;
  std::function<void()> on_configuration_;
  std::array<listing, 3> listings_;
  std::uint64_t configuration_version_ = 0;
  lease_registration registration_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_STATE_READER_H_
