#ifndef GENTIAN_DECISIONS_RECORD_LOG_H_
#define GENTIAN_DECISIONS_RECORD_LOG_H_

#include <functional>

#include "gentian_decisions/node_context.h"
#include "gentian_decisions/session_record.h"

namespace gentian {

/** Makes records durable. */
class record_log {
 public:
  /** Runs once, when the record is acknowledged by enough replicas; never if
      the owner is fenced before.
  */
  using commit_handler = std::function<void(node_context&)>;

  virtual ~record_log() = default;

  /** Copies the next record of a session. The handler may run at once. */
  virtual void Replicate(const session_id& session,
                         const session_record& record,
                         commit_handler handler,
                         node_context& context) = 0;

  /** Forgets a session whose last record is committed. */
  virtual void Retire(const session_id& session, node_context& context) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_RECORD_LOG_H_
