#include "gentian_decisions/event_buffer.h"

#include <utility>

namespace gentian {

namespace {

constexpr std::size_t kCallsKept = 2;

}  // namespace

answer_event event_buffer::Add(const session_id& session,
                               std::uint64_t call,
                               json data) {
  events_by_call& calls = calls_[session];
  std::vector<json>& events = calls[call];
  events.push_back(std::move(data));
  answer_event added;
  added.id = events.size();
  added.data = events.back();
  while (calls.size() > kCallsKept) {
    calls.erase(calls.begin());
  }
  return added;
}

std::vector<answer_event> event_buffer::After(const session_id& session,
                                              std::uint64_t call,
                                              std::uint64_t after_event) const {
  std::vector<answer_event> wanted;
  const auto calls = calls_.find(session);
  if (calls == calls_.end()) {
    return wanted;
  }
  const auto events = calls->second.find(call);
  if (events == calls->second.end()) {
    return wanted;
  }
  for (std::uint64_t id = after_event + 1; id <= events->second.size(); ++id) {
    wanted.push_back(answer_event{id, events->second[id - 1]});
  }
  return wanted;
}

std::uint64_t event_buffer::NextId(const session_id& session,
                                   std::uint64_t call) const {
  return After(session, call, 0).size() + 1;
}

void event_buffer::EraseCall(const session_id& session, std::uint64_t call) {
  const auto calls = calls_.find(session);
  if (calls != calls_.end()) {
    calls->second.erase(call);
  }
}

}  // namespace gentian
