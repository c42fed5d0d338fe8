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

/** A call of a session as its records describe it. */
struct session_call {
  call_started start;
  std::optional<call_finished> finish;
};

/** One session: the result of applying its records in order. */
class session {
 public:
  /** Starts without records.

      @param id      the session
      @param opened  when it was opened, on this process's clock
  */
  session(session_id id, steady_time opened)
      : id_(std::move(id)), opened_(opened) {}

  /** Numbers a new record, applies it and keeps it. */
  const session_record& Append(session_record_body body, steady_time now);

  /** Applies a record that another owner numbered. Precondition: it is the
      next one.
  */
  void Apply(const session_record& record);

  /** The call with an idempotency key, nothing if there is none. */
  const session_call* FindByKey(const std::string& key) const;

  /** True if a call with this key was interrupted and may be asked for again:
      it may have run already.
  */
  bool WasInterrupted(const std::string& key) const {
    return interrupted_keys_.count(key) > 0;
  }

  /** The call at a position from 1, nothing if there is none. */
  const session_call* FindCall(std::uint64_t call) const;

  /** Messages of all finished model calls, in order: the history that a model
      sees.
  */
  json PromptHistory() const;

  /** Tokens of PromptHistory as the engines counted them. */
  std::uint64_t HistoryTokens() const { return history_tokens_; }

  /** The committed calls, as read_history shows them. */
  json History() const;

  /** Time since the session was opened. */
  milliseconds Elapsed(steady_time now) const;

  /** Calls that were started and have no end. */
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
  void Use(const session_opened& body);
  void Use(const call_started& body);
  void Use(const call_retried& body);
  void Use(const call_finished& body);
  void Use(const child_opened& body);
  void Use(const child_ended& body);
  void Use(const session_restored& body);
  void Use(const session_ended& body);

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
