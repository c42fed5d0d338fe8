#ifndef GENTIAN_GATEWAY_DAEMON_TARGET_LIMIT_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_TARGET_LIMIT_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_gateway_daemon/record_publisher.h"
#include "gentian_net/gentian_net.h"

namespace gentian {

/** Keeps the requests of all gateways to a target within the limit that the
    target names.

    Rendezvous hashing picks one gateway that paces the target; the others ask
    it before each request. It publishes the limit, so that also those ask that
    have not heard of it from the target. A target whose pacing gateway can't be
   reached gets nothing from those that can't reach it: a substitute would send
   as much again. Used on the I/O thread only.
*/
class target_limit_service {
 public:
  /** Whether and when a request may be sent to a target. */
  struct permit {
    bool granted = false;
    /** Granted: time until the request may be sent. Otherwise: time after which
        the target may have room. */
    milliseconds wait{0};
  };
  using permit_handler = std::function<void(const permit&)>;

  target_limit_service(http_client& peers,
                       const gateway_settings& settings,
                       gateway_state& state,
                       record_publisher& publisher);

  /** Asks to send one request to a target that has a limit. The handler may run
      before the function returns.

      @param max_wait  longest time that the request would wait */
  void Take(const std::string& target,
            milliseconds max_wait,
            permit_handler handler);

  /** Records what a target says about its limit in an answer. */
  void OnAnswer(const std::string& target, std::optional<double> rate);

  /** Records that a target says in an answer how long it stays cold. */
  void OnColdAnswer(const std::string& target, milliseconds left);

  /** Brings the metrics of cold targets up to date. */
  void ReportColdTargets();

  /** Learns the limits that other gateways have published, and keeps the
     records of the targets that this gateway paces up to date. */
  void OnRegistry(const std::vector<kv_entry>& entries);

  /** Answers a request of another daemon; false if the path belongs to another
      service. */
  bool AnswerPeer(const std::shared_ptr<http_exchange>& exchange);

 private:
  /** The gateway that paces a target; nullptr if no other is known. */
  const member_record* PacerOf(const std::string& target) const;
  bool IsSelf(const member_record* pacer) const;
  /** As PacerOf, for permits. A cold target is paced by a gateway that knows
      of cold targets. */
  const member_record* PermitGranterOf(const std::string& target,
                                       bool is_cold) const;
  /** What a gateway that asks for a permit knows of the target. */
  struct asker_knowledge {
    /** Limit that applies if this gateway doesn't list the target. */
    std::optional<double> rate{};
    /** Rate of a cold target. The asker may know sooner than this gateway that
        the target is cold. */
    std::optional<double> cold_rate{};
  };
  permit TakeLocally(const std::string& target,
                     const asker_knowledge& asker,
                     milliseconds max_wait);
  permit Reserve(const target_pacer::request& subject, steady_time now);
  /** Time after a change of members before which a cold target gets nothing
      from its new pacer, and age of the list of members up to which its pacer
      grants. */
  duration ColdHandoverDelay() const;
  /** True if no other gateway can pace cold targets of this one. */
  bool MayPaceColdTargets(steady_time now) const;
  /** Records that a permit was refused to this gateway. */
  void ReportNoRoom(const std::string& target, duration wait);
  void AskPacer(const std::string& address,
                const std::string& target,
                milliseconds max_wait,
                permit_handler handler);
  /** Applies a statement unless a later one is known.

      @returns  true if the limit changed */
  bool Learn(const std::string& target,
             const target_limit& limit,
             const char* source);
  bool Paces(const std::string& target) const;
  void Publish(const std::string& target, double rate);
  /** What this gateway knows of a limit, for another one. */
  json Statement(const std::string& target) const;
  /** @returns  what the other gateway knows; nothing if it knows no limit */
  std::optional<target_limit> LearnStatement(const json& statement);

  peer_client peers_;
  const gateway_settings& settings_;
  gateway_state& state_;
  record_publisher& publisher_;
  target_pacer pacer_;
  /** Targets with a published limit, by the latest listing. */
  std::set<std::string> listed_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_TARGET_LIMIT_SERVICE_H_
