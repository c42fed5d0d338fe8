#ifndef GENTIAN_GATEWAY_DAEMON_GATEWAY_CALL_H_
#define GENTIAN_GATEWAY_DAEMON_GATEWAY_CALL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gentian_gateway_daemon/allowance_service.h"
#include "gentian_gateway_daemon/crash_service.h"
#include "gentian_gateway_daemon/gateway_protocol.h"
#include "gentian_gateway_daemon/gateway_state.h"
#include "gentian_gateway_daemon/history_service.h"
#include "gentian_gateway_daemon/path_service.h"
#include "gentian_gateway_daemon/state_reader.h"
#include "gentian_gateway_daemon/stream_origin_service.h"
#include "gentian_gateway_daemon/target_limit_service.h"
#include "gentian_gateway_daemon/turn_service.h"

namespace gentian {

class gateway_call;

/** Requests that have no whole answer yet. */
using open_call_set =
    std::map<const gateway_call*, std::weak_ptr<gateway_call>>;

/** Shared by all requests of a daemon. */
struct gateway_environment {
  const gateway_settings& settings;
  const gateway_protocol& protocol;
  gateway_state& state;
  io_pool& pool;
  allowance_service& allowances;
  target_limit_service& limits;
  crash_service& crashes;
  turn_service& turns;
  history_service& histories;
  stream_origin_service& origins;
  path_service& paths;
  state_reader& reader;
  http_client& targets;
  open_call_set& open_calls;
};

/** Handles one request of a caller, from its arrival to the end of its
    response. Its handlers own it. Runs on the I/O thread.
*/
class gateway_call : public std::enable_shared_from_this<gateway_call> {
 public:
  gateway_call(gateway_environment& environment,
               std::shared_ptr<http_exchange> exchange);

  void Start();

  /** Answers the request because the process ends. */
  void EndForStop();

 private:
  /** The loaded history of the turn that the request continues from. */
  struct continuation {
    std::string team;
    std::string conversation;
    /** The whole prompt: the history and the new input. */
    std::shared_ptr<const std::string> prompt;
  };

  /** State of the response to the caller. */
  enum class phase {
    waiting,
    at_target,
    streaming,
    /** The whole answer has been sent, except its end. */
    saving,
    ended,
  };

  /** State of the target when it was chosen, for logs. */
  struct target_choice {
    const char* chosen_by = "";
    std::optional<reported_load> load;
    int open_requests = 0;
    int failures = 0;
    std::uint64_t target_start = 0;
    /** Version of the target's software. */
    std::string version;
    std::string failure_domain;
    /** Requests per second that the target takes; nothing for no limit. */
    std::optional<double> rate_limit;
    /** Time for which the target stays cold. */
    duration cold_left{0};
    steady_time sent_at;
    /** Nothing unless targets of the service report a pace. */
    std::optional<duration> expected_completion{};
    /** That was expected when the request was sent. */
    double pace = 1;
  };

  /** The outcome of a request that got a target's answer. */
  static constexpr const char* kAnswered = "answered";
  /** Least number of events for an average event interval. */
  static constexpr int kMinEventsForInterval = 4;
  // For a service without a usable target; the next poll may find one.
  static constexpr milliseconds kNoTargetRetryAfter{300};

  // Admission.
  std::optional<refusal> Authorize();
  void TakeAllowance();
  void OnAllowance(std::shared_ptr<const gateway_team> team,
                   const allowance_verdict& verdict);
  void Admit();
  bool SelectService();
  void LoadHistory();
  void OnHistory(loaded_history history);
  void RequestTurn();
  void OnTurnVerdict(const turn_verdict& verdict, const std::string& owner);

  // One attempt at a target.
  void Dispatch();
  const known_target* ChooseTarget(steady_time now) const;
  bool IsUsable(const std::string& target) const;
  /** True if the bound target may no longer run the request, because of an
      evacuation or of its homes. No other target may run it either. */
  bool IsBoundForbidden() const;
  /** Of the targets that may run the request but whose limits leave no room,
      the one that has room first; nullptr if there is none. */
  const known_target* FindSoonestRoom(steady_time now) const;
  void RequestPermit(const std::string& target, milliseconds max_wait);
  void OnPermit(const std::string& target,
                const target_limit_service::permit& permit);
  /** Notes what is expected of the target, for logs and metrics. */
  void RecordExpectation(const known_target& target);
  bool WaitForRoom();
  void RefuseWithoutTarget();
  /** The refusal for a service without a target that may run the request. */
  refusal NoTargetRefusal() const;
  void Send(const known_target& target, milliseconds time_left);
  /** True if an answer that came on the connection is one to this request;
      then its target is reachable. */
  bool AcceptAnswer(int status, const http_headers& headers, bool is_first);
  void OnHeader(int status, const http_headers& headers);
  void OnBody(std::string_view bytes);
  /** Bytes of the answer that are held. */
  std::size_t HeldBytes() const;
  void OnEvents(event_splitter::chunk part);
  /** True if the answer is the beginning or the rest of a stream. */
  bool IsEventStream() const;
  /** True if the caller may get the answer, as far as its header tells. */
  bool IsAnswerUsable() const;
  /** The target says that it has not run the request. */
  void OnNotRun();
  /** The target may have run the request, but the caller can't get what it
      sends. */
  void OnUnusableAnswer(const char* reason);
  void OnEnd();
  void OnStreamEnd();
  /** Records how long the target took, for stops and for later choices. */
  void RecordDuration();
  void FinishStream();
  void SaveTurn();
  void EndAnswer();
  void OnWholeAnswer();
  void OnFailure(http_failure failure, const std::string& message);
  void WatchPath();
  /** All direct connections to targets may be lost. */
  void OnPartition();
  void OnNotSent(http_failure failure, const std::string& message);
  void OnBroken(const std::string& message);
  void EndAttempt();
  /** @param detail  what the connection reported; empty if nothing */
  void RetryElsewhere(const char* reason, const std::string& detail = {});
  void RetryAfterPossibleRun(const char* reason,
                             const std::string& detail = {});
  void RecordPossibleRun(const char* reason, const std::string& detail);
  void RetryOrFail(const char* reason);
  /** True if requests of the route may run more than once. */
  bool MayRunAgain() const;
  /** True if this one may be sent again after a possible run. */
  bool MayRetry() const;

  // Software of a stream's targets.
  /** True if a caller or the gateway may resume the stream of the route. */
  bool IsResumable() const;
  /** True if the request resumes a stream of an earlier request. */
  bool ResumesEarlier() const;
  void FindOrigin();
  void OnOrigin(std::optional<stream_origin> origin);
  /** Finds the origin of a stream without a record, if only one version can
      have begun it.

      @param is_read  the targets were read after the request had come */
  void OnTargetsRead(bool is_read);
  /** The only version that can have begun a stream of the service, as far as
      the last listing tells. */
  std::optional<std::string> OnlyVersion() const;
  /** Longest time to look for the origin of a stream. */
  milliseconds MaxOriginSearch() const;
  void ResumeStream();
  /** True if no listed restart contradicts which software began the stream. */
  bool IsOriginCertain() const;
  bool HasTarget() const;
  /** False if the target's software can't continue the stream. */
  bool HasSoftware(const known_target& target) const;
  /** True if a target that could run the request is in an evacuated failure
      domain. */
  bool HasEvacuatedTarget() const;
  void RecordOrigin(const known_target& target);
  /** Sends events to the caller, or holds them until the origin of the stream
      is recorded. */
  void PassOn(std::string events);
  void OnOriginSettled();

  bool NeedsHistory() const;
  /** True if the history that was loaded is the one that the configuration
      calls for now. */
  bool HasRightHistory() const;
  std::string TeamName() const;
  /** The name of a conversation, with the homes of the request. */
  std::string ConversationName(const std::string& name) const;

  // Ends.
  void OnDisconnect();
  /** False if the process stops before an answer can be expected. */
  bool MayBeSentBeforeStop() const;
  void RefuseForStop();
  void Refuse(refusal answer);
  void ReturnAllowance();
  void EndTurn();
  void Finish(const std::string& outcome);

  // Logging.
  json ChoiceFields(steady_time now) const;
  void LogFailedAttempt(const char* reason,
                        bool may_have_run,
                        const std::string& detail) const;
  void LogEnd(const std::string& outcome, steady_time now) const;
  milliseconds TimeLeft(steady_time now) const;
  /** Longest time that the request may wait for its turn at a target. */
  milliseconds MaxQueueTime() const;

  gateway_environment& environment_;
  std::shared_ptr<http_exchange> exchange_;
  steady_time arrived_;
  steady_time deadline_;
  std::optional<caller_call> call_;
  shared_configuration configuration_;
  const gateway_route* route_ = nullptr;
  const gateway_team* team_ = nullptr;
  std::string service_;
  /** Set with the route. */
  placement_policy policy_;
  /** Set once the request is authorized. */
  request_fingerprint fingerprint_;
  /** The request's fingerprint is no suspect, or was checked after the last
      time that it was sent. */
  bool is_crash_checked_ = false;
  int tokens_per_event_ = 0;

  phase phase_ = phase::waiting;
  /** The team whose allowance was charged. */
  std::shared_ptr<const gateway_team> charged_team_;
  /** Member key of the daemon that granted the allowance. */
  std::string allowance_holder_;
  /** Time that the request waited for its token. */
  milliseconds allowance_wait_{0};
  /** Number of the turn request while it is pending. */
  std::optional<std::uint64_t> turn_request_;
  /** The turn that was granted, and the daemon that granted it. */
  std::optional<turn_end> turn_;
  std::string turn_owner_;
  /** The target that was chosen for the turn's program. */
  std::string preferred_target_;

  std::optional<continuation> continued_;
  /** The data of the events sent so far, on routes that keep turns. */
  std::string event_data_;

  /** The software that began the stream: nothing else may continue it. */
  std::optional<stream_origin> origin_;
  /** The targets are read again to find the origin. */
  bool awaits_targets_ = false;
  std::shared_ptr<stream_origin_service::recording> recording_;
  /** The record of the origin is durable, or can't become so. */
  bool is_origin_settled_ = true;
  /** Events that wait for the record of the origin. */
  std::string held_events_;
  /** The target has ended the stream while events were held. */
  bool ends_after_held_ = false;

  std::shared_ptr<http_call> attempt_;
  std::uint64_t attempt_serial_ = 0;
  std::string target_;
  target_choice choice_;
  std::vector<std::string> excluded_;
  /** The target with a limit to which the request may be sent. */
  std::string permitted_target_;
  int permit_requests_ = 0;
  bool has_waited_for_room_ = false;
  milliseconds permit_wait_{0};
  /** The only target that may still run the request, once the route's
      max_targets have been used. */
  std::string bound_target_;
  /** The tunnel server through which the request was sent; empty if it was sent
      directly. */
  std::string tunnel_;
  int tunnel_failures_ = 0;
  /** Number of the watch for a partition; 0 if there is none. */
  std::uint64_t path_watch_ = 0;
  /** When the request was sent, or the target was last heard of. */
  steady_time heard_at_;
  int sends_ = 0;
  int runs_ = 0;
  target_answer answer_;
  http_headers answer_headers_;
  std::string answer_body_;
  event_splitter events_;
  int events_sent_ = 0;
  /** Of these, the ones of the current attempt. */
  int attempt_events_ = 0;
  steady_time first_attempt_event_;
  std::optional<steady_time> first_event_;
  steady_time last_event_;
  std::string last_reason_;
  std::optional<milliseconds> retry_after_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_GATEWAY_CALL_H_
