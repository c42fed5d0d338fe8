#ifndef GENTIAN_GATEWAY_DAEMON_TURN_SERVICE_H_
#define GENTIAN_GATEWAY_DAEMON_TURN_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/peer_client.h"
#include "gentian_gateway_daemon/spending_recorder.h"
#include "gentian_gateway_daemon/turn_request.h"
#include "gentian_gateway_daemon/unclaimed_starts.h"

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
    /** Its tokens were claimed before it was granted. */
    bool is_claimed = false;
    std::optional<turn_verdict> verdict;
    /** The verdict was sent to its requester. */
    bool is_delivered = false;
    /** Receives the verdict; empty while nothing waits for it. */
    std::function<void(const turn_verdict&)> reply;
  };
  /** Sending the end of a turn to the owner that granted it. */
  struct end_delivery {
    turn_end end;
    std::string owner;
    int tries = 0;
    /** A try that had no answer may have reached the owner. */
    bool may_have_come = false;
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
  void SendEnd(const std::shared_ptr<end_delivery>& delivery);
  void OnEndAnswer(const end_delivery& delivery, const http_response& response);
  void OnEndFailure(const std::shared_ptr<end_delivery>& delivery,
                    http_failure failure);
  /** Ends a turn whose owner doesn't learn of its end. */
  void SettleForOwner(const turn_end& end);

  // Deciding turns.
  turn_ticket AddOwned(const turn_request& request);
  bool IsOwner(const std::string& program) const;
  void ReplyWhenDecided(turn_ticket ticket,
                        std::function<void(const turn_verdict&)> reply);
  void Decide(turn_ticket ticket, turn_verdict::outcome outcome);
  void GrantBudget(turn_ticket ticket, bool is_claimed);
  void SetVerdict(owned_turn& own, const turn_verdict& verdict);
  void LogVerdict(const owned_turn& own, const turn_verdict& verdict) const;
  /** Returns false if the turn is not known. */
  bool EndOwned(const turn_end& end);
  void DropOwned(turn_ticket ticket);
  void Advance();
  void DropOverdue();
  void AnswerRequest(const std::shared_ptr<http_exchange>& exchange,
                     const json& body);

  // Writing claims.
  void Execute(budget_commands commands);
  void Write(std::vector<budget_commands::write> writes);
  void OnWritten(const std::vector<budget_commands::write>& writes,
                 const kv_answer& answer);
  budget_commands OutcomeOfWrite(const budget_commands::write& write,
                                 const kv_answer& answer);
  void WriteLast(const std::vector<budget_commands::write>& writes);
  /** False while the key-value service does not answer or refuses writes. */
  bool MayWriteInBackground() const;
  /** Releases tokens that no turn needs. */
  void ReleaseTokens();
  /** Calls ReleaseTokens soon. */
  void ScheduleRelease();
  void StoreRecord(const budget_commands::record& record);
  void ResolveHolder(const budget_commands::holder_question& question);
  /** False if the daemon that holds tokens has certainly ended. */
  bool MayRun(const std::string& writer) const;
  /** Repeats writes of claims whose outcome is not known, and claims what was
      used before it was claimed. */
  void ResolveWrites();

  io_pool& pool_;
  key_value_store& store_;
  peer_client peers_;
  const gateway_settings& settings_;
  gateway_state& state_;
  budget_ledger ledger_;
  spending_recorder recorder_;
  turn_scheduler scheduler_;
  steady_time idle_evicted_at_;
  /** The change of members after which tokens were last released. */
  steady_time released_at_change_;
  bool is_release_scheduled_ = false;
  unclaimed_starts unclaimed_starts_;
  /** Until when nothing is written that no turn waits for. */
  steady_time writes_paused_until_;
  /** Program of the write that ResolveWrites repeated last. */
  std::string resolved_last_;
  /** Advances the turns while there are any. */
  repeating_task advancing_;
  bool is_advancing_ = false;
  repeating_task settling_;
  turn_ticket last_ticket_;
  std::uint64_t last_number_ = 0;
  std::map<turn_ticket, owned_turn> owned_;
  std::map<std::uint64_t, pending_turn> pending_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_TURN_SERVICE_H_
