#ifndef GENTIAN_DECISIONS_TARGET_DISPATCH_H_
#define GENTIAN_DECISIONS_TARGET_DISPATCH_H_

#include <functional>
#include <map>

#include "gentian_decisions/call_run.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/session.h"

namespace gentian {

class call_pipeline;

/** Sends calls to targets and handles their responses: orders the chunks of
    streams, resumes interrupted streams, reports failures for retry, and
    records answers that arrive after the deadline.
*/
class target_dispatch {
 public:
  /** @param pipeline  owner of the calls; must outlive this object */
  explicit target_dispatch(call_pipeline& pipeline) : pipeline_(pipeline) {}

  void SetFencingSource(std::function<std::uint64_t(const shard_id&)> source) {
    fencing_source_ = std::move(source);
  }

  /** Sends a call that has been assigned a slot.
      @param owner  session of the call, or null for a call without session */
  void Dispatch(call_run& run,
                const session* owner,
                const target_settings& target,
                node_context& context);

  /** Ends a dispatch whose deadline has passed. If the call belongs to a
      session and must not be repeated, its late answer is still recorded;
      any other dispatch is cancelled.
  */
  void AbandonAfterDeadline(call_run& run, node_context& context);

  /** Cancels a dispatch at the target. Later responses are ignored. */
  void Cancel(call_run& run, node_context& context);

  /** Resumes a stream without data for longer than the silence timeout, or
      fails the call if its stream cannot be resumed. */
  void CheckStreamSilence(call_run& run, node_context& context);

  void Handle(const target_accepted& input, node_context& context);
  void Handle(const target_chunk& input, node_context& context);
  void Handle(const target_finished& input, node_context& context);
  void Handle(const target_failed& input, node_context& context);

 private:
  /** A call whose deadline passed before its answer arrived. */
  struct late_call {
    session_id session;
    std::uint64_t call = 0;
  };

  call_run* Find(dispatch_id id);
  void Send(call_run& run, dispatch_call message, node_context& context);
  json BuildBody(const call_run& run, const session* owner) const;
  void ResumeStream(call_run& run, node_context& context);
  void AppendChunk(call_run& run, const json& data, node_context& context);
  void RecordLateAnswer(const late_call& late,
                        const target_finished& input,
                        node_context& context);
  call_finished BuildResult(const call_run& run,
                            const target_finished& input) const;
  void Fail(call_run& run,
            target_failure failure,
            const std::string& message,
            node_context& context);

  call_pipeline& pipeline_;
  std::function<std::uint64_t(const shard_id&)> fencing_source_;
  std::map<dispatch_id, ticket_id> tickets_;
  std::map<dispatch_id, late_call> late_calls_;
  dispatch_id last_dispatch_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_TARGET_DISPATCH_H_
