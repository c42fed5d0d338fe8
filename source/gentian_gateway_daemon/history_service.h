#ifndef GENTIAN_GATEWAY_DAEMON_HISTORY_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_HISTORY_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_turns/gentian_turns.h"

namespace gentian {

/** What a turn continues from. */
struct loaded_history {
  enum class outcome {
    found,
    /** No such turn of the team exists. */
    absent,
    /** A store that may hold the turn did not answer. */
    uncertain,
  };

  outcome result = outcome::uncertain;
  std::string conversation;
  /** The histories of the chain, oldest first, and the new input. */
  std::shared_ptr<const std::string> prompt;
};

/** The stable name of an outcome, for logs. */
const char* NameOf(loaded_history::outcome outcome);

/** Reads the history of a turn from the turn stores, and keeps turns there.
   Used on the I/O thread only.
*/
class history_service {
 public:
  using load_handler = std::function<void(loaded_history)>;
  /** Receives true if the turn is durable. */
  using save_handler = std::function<void(bool)>;

  history_service(io_pool& pool,
                  http_client& peers,
                  const gateway_settings& settings,
                  gateway_state& state);

  /** Loads the chain that ends with a turn.

      @param request_id  the request that continues it, for logs
      @param program  where the chain is looked for first: the program of the
                      request, which usually started the conversation
      @param policy   stores in homes are asked first
      @param input    the new input */
  void Load(const std::string& request_id,
            const turn_key& turn,
            const std::string& program,
            const placement_policy& policy,
            std::string input,
            load_handler handler);

  /** Stores a turn at as many hosts as may be lost at once, and one more.

      @param policy  decides which hosts may keep the turn; those in homes come
                     first
      @param limit  time after which the turn counts as not kept */
  void Save(const kept_turn& turn,
            const placement_policy& policy,
            milliseconds limit,
            save_handler handler);

 private:
  struct load;
  struct save;

  void Read(const std::shared_ptr<load>& subject,
            const chain_lookup::reads& reads);
  void OnRead(const std::shared_ptr<load>& subject,
              const chain_lookup::read& read,
              const http_response& response);
  void OnReadFailed(const std::shared_ptr<load>& subject,
                    const chain_lookup::read& read);
  void ArmReadTimer(const std::shared_ptr<load>& subject);
  void FinishLoad(const std::shared_ptr<load>& subject);

  void StartRound(const std::shared_ptr<save>& subject);
  void Write(const std::shared_ptr<save>& subject,
             const turn_write::sends& hosts);
  void ArmWriteTimer(const std::shared_ptr<save>& subject);
  void FinishSave(const std::shared_ptr<save>& subject);

  std::string AddressOf(const std::string& host) const;
  std::size_t copies() const;
  /** Moves hosts that did not answer lately to the end. */
  void DeferAvoided(std::vector<std::string>& hosts) const;
  std::string DomainOf(const std::string& host) const;
  void PutHomesFirst(const placement_policy& policy,
                     std::vector<std::string>& hosts) const;

  io_pool& pool_;
  peer_client readers_;
  peer_client writers_;
  const gateway_settings& settings_;
  gateway_state& state_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_HISTORY_SERVICE_H_
