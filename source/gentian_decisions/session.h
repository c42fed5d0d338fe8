#ifndef GENTIAN_DECISIONS_SESSION_H_
#define GENTIAN_DECISIONS_SESSION_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gentian_decisions/budget.h"
#include "gentian_decisions/session_record.h"

namespace gentian {

/** A call of a session: its start and, once recorded, its end. */
struct session_call {
  call_started start;
  std::optional<call_finished> finish;
};

/** State of one session, built by applying its records in order. */
class session {
 public:
  /** Creates a session without records.

      @param id      the session
      @param opened  time at which it was opened, on this process's clock
  */
  session(session_id id, steady_time opened)
      : id_(std::move(id)), opened_(opened) {}

  /** Creates the next record, applies it and adds it to the log. */
  const session_record& Append(session_record_body body, steady_time now);

  /** Applies a record that has a number already, such as one of a previous
      owner. Precondition: the number is the next one.
  */
  void Apply(const session_record& record);

  /** The call with an idempotency key, nullptr if there is none. */
  const session_call* FindByKey(const std::string& key) const;

  /** True if a call with this key was interrupted and can be sent again; it
      may have run already.
  */
  bool WasInterrupted(const std::string& key) const {
    return interrupted_keys_.count(key) > 0;
  }

  /** The call at a position from 1, nullptr if there is none. */
  const session_call* FindCall(std::uint64_t call) const;

  /** Messages and answers of all successful model calls, in order: the prompt
      prefix of the next model call.
  */
  json PromptHistory() const;

  /** Tokens of PromptHistory as reported by the engine. */
  std::uint64_t HistoryTokens() const { return history_tokens_; }

  /** All calls of the session, in the format of read_history. */
  json History() const;

  /** Time since the session was opened. */
  milliseconds Elapsed(steady_time now) const;

  /** Calls that have started and not finished. */
  std::vector<call_started> OpenCalls() const;

  const session_id& id() const { return id_; }
  const session_opened& opened() const { return header_; }
  const budget& funds() const { return funds_; }
  const std::set<session_id>& children() const { return children_; }
  const std::vector<session_record>& records() const { return records_; }
  const std::vector<session_call>& calls() const { return calls_; }
  bool ended() const { return ended_; }
  /** True if the session was rebuilt from checkpoints. */
  bool restored() const { return restored_; }
  /** Position of the next call. */
  std::uint64_t next_call() const { return calls_.size() + 1; }

 private:
  void ApplyBody(const session_opened& body);
  void ApplyBody(const call_started& body);
  void ApplyBody(const call_retried& body);
  void ApplyBody(const call_finished& body);
  void ApplyBody(const child_opened& body);
  void ApplyBody(const child_ended& body);
  void ApplyBody(const session_restored& body);
  void ApplyBody(const session_ended& body);

  session_id id_;
  steady_time opened_;
  session_opened header_;
  budget funds_;
  std::vector<session_call> calls_;
  std::map<std::string, std::uint64_t> calls_by_key_;
  std::set<std::string> interrupted_keys_;
  std::set<session_id> children_;
  std::vector<session_record> records_;
  std::uint64_t history_tokens_ = 0;
  bool restored_ = false;
  bool ended_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SESSION_H_
