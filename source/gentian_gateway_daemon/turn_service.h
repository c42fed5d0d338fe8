#ifndef GENTIAN_GATEWAY_DAEMON_TURN_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_TURN_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_gateway_daemon/turn_request.h"

namespace gentian {

/** Admits turns of programs within the program's token budget and the capacity
    of the engines.

    Any daemon may receive a turn. It asks the daemon that owns the program to
    decide, so that one claim in the key-value service covers several turns and
    urgent turns go first. If the owner is unreachable, it decides locally. Used
    on the I/O thread only.
*/
class turn_service {
 public:
  /** Receives the verdict and the address (`ip:port`) of the daemon that
      decided; empty for this daemon. */
  using verdict_handler =
      std::function<void(const turn_verdict&, const std::string& owner)>;

  /** @param peers   client for other daemons
      @param writer  unique for each start of a daemon */
  turn_service(io_pool& pool,
               key_value_store& store,
               http_client& peers,
               const gateway_settings& settings,
               gateway_state& state,
               const std::string& writer);

  /** Requests admission of a turn. The handler may run before the function
      returns.

      @returns  a number for Abandon */
  std::uint64_t Request(const turn_request& request, verdict_handler handler);

  /** Ends a turn that was granted.

      @param owner  the daemon that granted it */
  void End(const turn_end& end, const std::string& owner);

  /** Cancels a request that has no verdict yet. */
  void Abandon(std::uint64_t request);

  /** Answers a request of another daemon; false if the path belongs to another
      service. */
  bool AnswerPeer(const std::shared_ptr<http_exchange>& exchange);

  /** Returns claimed tokens before the daemon stops. */
  void Release();

 private:
  /** A turn that this daemon decides, for itself or for another daemon. */
  struct owned_turn {
    turn_request request;
    steady_time requested_at;
    steady_time deadline;
    steady_time finish_by;
    steady_time wait_deadline;
    bool budget_granted = false;
    std::optional<turn_verdict> verdict;
    /** Receives the verdict; empty while nothing waits for it. */
    std::function<void(const turn_verdict&)> reply;
  };
  /** A turn of this daemon's own callers that has no verdict yet. */
  struct pending_turn {
    turn_request request;
    steady_time requested_at;
    /** Time at which it is refused if the budget is unavailable. */
    steady_time wait_deadline;
    verdict_handler handler;
    /** Identifies it in owned_; 0 unless this daemon decides. */
    turn_ticket own_ticket = 0;
    /** The latest request to the owner; empty if there was none. */
    std::shared_ptr<http_call> call;
  };

  // Interface between daemons.
  static constexpr const char* kAskPath = "/turns/ask";
  static constexpr const char* kEndPath = "/turns/end";
  static constexpr milliseconds kPeerTimeout{450};

  static constexpr milliseconds kAdvanceInterval{25};

  // Asking the owner.
  const member_record* ReachableOwner(const std::string& program) const;
  void AskOwner(const std::string& owner,
                std::uint64_t number,
                turn_ticket known);
  void OnOwnerAnswer(const std::string& owner,
                     std::uint64_t number,
                     const http_response& response);
  void RetryLater(std::uint64_t number);
  void RequestDecision(std::uint64_t number);
  void DecideLocally(std::uint64_t number);
  void Answer(std::uint64_t number,
              const turn_verdict& verdict,
              const std::string& owner);

  // Deciding turns.
  turn_ticket AddOwned(const turn_request& request);
  bool IsOwner(const std::string& program) const;
  bool IsMembershipStable() const;
  void ReplyWhenDecided(turn_ticket ticket,
                        std::function<void(const turn_verdict&)> reply);
  void Decide(turn_ticket ticket, turn_verdict::outcome outcome);
  void SetVerdict(owned_turn& own, const turn_verdict& verdict);
  void LogVerdict(const owned_turn& own, const turn_verdict& verdict) const;
  void EndOwned(const turn_end& end);
  void DropOwned(turn_ticket ticket);
  void Advance();
  void DropOverdue();
  void ReleaseMovedPrograms();
  /** Repeats writes of claims whose outcome is not known. */
  void ResolveWrites();
  void ReleaseLaterIfNotOwner(const std::string& program);
  void AnswerRequest(const std::shared_ptr<http_exchange>& exchange,
                     const json& body);

  // Writing claims.
  void Execute(const budget_commands& commands);
  void Write(const budget_commands::write& write);
  void OnWritten(const std::string& program, const kv_answer& answer);

  io_pool& pool_;
  key_value_store& store_;
  peer_client peers_;
  const gateway_settings& settings_;
  gateway_state& state_;
  budget_ledger ledger_;
  turn_scheduler scheduler_;
  steady_time idle_evicted_at_;
  /** The change of members after which tokens were last released. */
  steady_time released_at_change_;
  /** When to release the tokens of programs that this daemon doesn't own. */
  std::map<std::string, steady_time> release_at_;
  /** Program of the write that ResolveWrites repeated last. */
  std::string resolved_last_;
  /** Advances the turns while there are any. */
  repeating_task advancing_;
  bool is_advancing_ = false;
  repeating_task releasing_;
  turn_ticket last_ticket_;
  std::uint64_t last_number_ = 0;
  std::map<turn_ticket, owned_turn> owned_;
  std::map<std::uint64_t, pending_turn> pending_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_TURN_SERVICE_H_
