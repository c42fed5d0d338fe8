#include "gentian_gateway/evacuation_list.h"

#include <algorithm>
#include <utility>

namespace gentian {

void evacuation_list::Update(const std::set<std::string>& listed) {
  for (auto next = domains_.begin(); next != domains_.end();) {
    if (listed.count(next->first) > 0) {
      ++next;
      continue;
    }
    if (next->second == reported::evacuated) {
      returned_.push_back(next->first);
    }
    next = domains_.erase(next);
  }
  for (const std::string& domain : listed) {
    domains_.try_emplace(domain, reported::nothing);
  }
}

std::size_t evacuation_list::size() const {
  return static_cast<std::size_t>(std::count_if(
      domains_.begin(), domains_.end(),
      [](const auto& domain) { return domain.second != reported::unknown; }));
}

std::vector<evacuation_list::event> evacuation_list::TakeEvents(
    const std::function<bool(const std::string&)>& exists,
    bool is_complete) {
  std::vector<event> events;
  for (std::string& domain : std::exchange(returned_, {})) {
    events.push_back({event::kind::returned, std::move(domain)});
  }
  for (auto& [domain, state] : domains_) {
    if (state == reported::evacuated) {
      continue;
    }
    if (!domain.empty() && exists(domain)) {
      state = reported::evacuated;
      events.push_back({event::kind::evacuated, domain});
    } else if (state == reported::nothing && is_complete) {
      state = reported::unknown;
      events.push_back({event::kind::unknown, domain});
    }
  }
  return events;
}

}  // namespace gentian
