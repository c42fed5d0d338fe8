#ifndef GENTIAN_GATEWAY_DAEMON_SPENDING_RECORDER_H_
#define GENTIAN_GATEWAY_DAEMON_SPENDING_RECORDER_H_

#include <functional>
#include <optional>
#include <string>

#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_turns/gentian_turns.h"

namespace gentian {

/** Keeps spending records at turn stores. Used on the I/O thread only. */
class spending_recorder {
 public:
  enum class seal_outcome {
    sealed,
    /** There is no record, and there will be none that counts. */
    absent,
    /** The store doesn't answer. */
    unreachable,
  };
  /** Receives true if the record is durable. */
  using record_handler = std::function<void(bool)>;
  /** Receives the record if it was sealed. */
  using seal_handler =
      std::function<void(seal_outcome, const spending_record&)>;

  spending_recorder(http_client& peers,
                    const gateway_settings& settings,
                    const gateway_state& state);

  /** The host of a store for the records of a claim; empty if there is none.
      Preferably in the failure domain of this daemon. */
  std::string ChooseStore(const std::string& program) const;

  void Record(const std::string& host,
              const spending_record& record,
              record_handler handler);

  /** Seals the record of a claim, so that its daemon can't change it. */
  void Seal(const std::string& host,
            const std::string& claim,
            const seal_handler& handler);

 private:
  const turn_store_record* Find(const std::string& host) const;

  peer_client peers_;
  const gateway_settings& settings_;
  const gateway_state& state_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_SPENDING_RECORDER_H_
