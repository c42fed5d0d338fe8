#include "gentian_adapters/prefix_cache_fake.h"

#include <algorithm>

namespace gentian {

namespace {

// Older events are lost, which a reader sees as a gap in the numbers.
constexpr std::size_t kKeptEvents = 1'000;

}  // namespace

std::uint64_t prefix_cache_fake::Held(const std::string& session) const {
  for (const holding& held : holdings_) {
    if (held.session == session) {
      return held.tokens;
    }
  }
  return 0;
}

void prefix_cache_fake::Store(const std::string& session,
                              std::uint64_t tokens) {
  const auto same = [&](const holding& held) {
    return held.session == session;
  };
  const auto old = std::find_if(holdings_.begin(), holdings_.end(), same);
  if (old != holdings_.end()) {
    total_ -= old->tokens;
    holdings_.erase(old);
  }
  holdings_.push_back(holding{session, tokens});
  total_ += tokens;
  Record("stored", holdings_.back());
  while (total_ > capacity_ && holdings_.size() > 1) {
    total_ -= holdings_.front().tokens;
    Record("evicted", holdings_.front());
    holdings_.pop_front();
  }
}

void prefix_cache_fake::Release(const std::string& session) {
  const auto same = [&](const holding& held) {
    return held.session == session;
  };
  const auto found = std::find_if(holdings_.begin(), holdings_.end(), same);
  if (found != holdings_.end()) {
    total_ -= found->tokens;
    Record("evicted", *found);
    holdings_.erase(found);
  }
}

json prefix_cache_fake::Listing() const {
  json rows = json::array();
  for (const holding& held : holdings_) {
    rows.push_back({{"session", held.session}, {"tokens", held.tokens}});
  }
  return json{{"number", last_number_}, {"holdings", rows}};
}

json prefix_cache_fake::EventsAfter(std::uint64_t number) const {
  json rows = json::array();
  for (const json& event : events_) {
    if (event["number"].get<std::uint64_t>() > number) {
      rows.push_back(event);
    }
  }
  return rows;
}

void prefix_cache_fake::Record(const char* change, const holding& changed) {
  events_.push_back({{"number", ++last_number_},
                     {"change", change},
                     {"session", changed.session},
                     {"tokens", changed.tokens}});
  if (events_.size() > kKeptEvents) {
    events_.pop_front();
  }
}

}  // namespace gentian
