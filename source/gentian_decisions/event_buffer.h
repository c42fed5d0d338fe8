#ifndef GENTIAN_DECISIONS_EVENT_BUFFER_H_
#define GENTIAN_DECISIONS_EVENT_BUFFER_H_

#include <map>
#include <vector>

#include "gentian_decisions/answer_part.h"

namespace gentian {

/** Events of streamed calls, kept so that callers can resume. Of each session
    the last two calls are kept; older ones have their whole answer in the
    history.
*/
class event_buffer {
 public:
  /** Adds an event and returns it with its id. */
  answer_event Add(const session_id& session, std::uint64_t call, json data);

  /** Events of a call with a higher id than the given one. */
  std::vector<answer_event> After(const session_id& session,
                                  std::uint64_t call,
                                  std::uint64_t after_event) const;

  /** Id that the end of a call's answer gets. */
  std::uint64_t NextId(const session_id& session, std::uint64_t call) const;

  /** Drops the events of one call. */
  void EraseCall(const session_id& session, std::uint64_t call);

  /** Drops the events of a session. */
  void Erase(const session_id& session) { calls_.erase(session); }

 private:
  using events_by_call = std::map<std::uint64_t, std::vector<json>>;

  std::map<session_id, events_by_call> calls_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_EVENT_BUFFER_H_
