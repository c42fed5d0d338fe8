#include "gentian_decisions/member_table.h"

#include <iterator>
#include <utility>

namespace gentian {

namespace {

constexpr milliseconds kSuspectAfter{3'000};
constexpr milliseconds kDeadAfter{10'000};
constexpr milliseconds kOwnPause{1'000};
constexpr milliseconds kForgetAfter{3'600'000};
// With 6 links each change leaves a daemon on about as many heartbeats as the
// fleet has hops (4 to 5), so that a lost one does not stop it.
constexpr int kNewsRepeats = 6;

}  // namespace

member_table::row* member_table::Row(const host_id& host, steady_time now) {
  if (host == self_ || host.empty()) {
    return nullptr;
  }
  const auto [it, added] = rows_.try_emplace(host);
  if (added) {
    it->second.info.id.host = host;
    it->second.last_heard = now;
  }
  return &it->second;
}

void member_table::UseSettings(const configuration& settings, steady_time now) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    const bool removed =
        it->second.configured && settings.daemons.count(it->first) == 0;
    it = removed ? rows_.erase(it) : std::next(it);
  }
  for (const auto& [host, daemon] : settings.daemons) {
    row* entry = Row(host, now);
    if (!entry) {
      continue;
    }
    entry->configured = true;
    entry->info.failure_domain = daemon.failure_domain;
    entry->info.peer_address = daemon.peer_address;
    entry->info.caller_address = daemon.caller_address;
    entry->info.has_data_folder = daemon.has_data_folder;
  }
}

void member_table::UseRecord(const daemon_record& record, steady_time now) {
  row* entry = Row(record.id.host, now);
  if (!entry || record.id.epoch < entry->info.id.epoch) {
    return;
  }
  Replace(*entry, record.id, now);
  entry->info.failure_domain = record.failure_domain;
  entry->info.peer_address = record.peer_address;
  entry->info.caller_address = record.caller_address;
  entry->info.has_data_folder = record.has_data_folder;
}

void member_table::UseHostList(const std::vector<host_list_entry>& entries) {
  leaving_.clear();
  for (const host_list_entry& entry : entries) {
    if (entry.leaving) {
      leaving_.insert(host_id(entry.name));
    }
  }
}

// A new incarnation starts alive, whatever was known of the previous one.
bool member_table::Replace(row& entry, const incarnation& id, steady_time now) {
  if (id.epoch <= entry.info.id.epoch) {
    return false;
  }
  entry.info.id = id;
  entry.info.draining = false;
  entry.heartbeat = 0;
  entry.last_heard = now;
  SetState(entry, member::state::alive, now);
  return true;
}

void member_table::Heard(const heartbeat& input, steady_time now) {
  row* entry = Row(input.sender.host, now);
  if (!entry || input.sender.epoch < entry->info.id.epoch) {
    return;
  }
  if (Replace(*entry, input.sender, now)) {
    AddNews(*entry);
  }
  if (input.number <= entry->heartbeat) {
    // Late or doubled: it says nothing about the present.
    return;
  }
  entry->heartbeat = input.number;
  entry->last_heard = now;
  entry->info.draining = input.draining;
  const auto next = input.leaving ? member::state::dead : member::state::alive;
  if (entry->info.liveness != next) {
    SetState(*entry, next, now);
    AddNews(*entry);
  }
}

bool member_table::Apply(const member_news& news, steady_time now) {
  row* entry = Row(news.id.host, now);
  const bool known_state = news.state >= 0 && news.state <= 2;
  if (!entry || !known_state || news.id.epoch < entry->info.id.epoch) {
    return false;
  }
  const bool replaced = Replace(*entry, news.id, now);
  const int current = static_cast<int>(entry->info.liveness);
  const bool newer =
      news.heartbeat > entry->heartbeat ||
      (news.heartbeat == entry->heartbeat && news.state > current);
  if (newer) {
    entry->heartbeat = news.heartbeat;
  }
  const bool changes = newer && news.state != current;
  if (changes) {
    // A refuted suspicion gives a silent link another 3 s.
    entry->last_heard = now;
    SetState(*entry, static_cast<member::state>(news.state), now);
  }
  // An unchanged state is passed on too: it may refute a suspicion elsewhere.
  if (!replaced && !newer) {
    return false;
  }
  AddNews(*entry);
  return true;
}

void member_table::SetState(row& entry, member::state next, steady_time now) {
  entry.info.liveness = next;
  if (next != member::state::alive) {
    entry.suspected_at = now;
  }
}

void member_table::AddNews(const row& entry) {
  news_[entry.info.id.host] = kNewsRepeats;
}

void member_table::Judge(const std::set<host_id>& probed, steady_time now) {
  // After a pause of this process the silence was its own.
  const bool paused = last_judged_ && now - *last_judged_ >= kOwnPause;
  last_judged_ = now;
  for (auto& [host, entry] : rows_) {
    const auto state = entry.info.liveness;
    if (paused) {
      entry.last_heard = now;
    }
    const bool silent =
        probed.count(host) > 0 && now - entry.last_heard >= kSuspectAfter;
    if (state == member::state::alive && silent) {
      SetState(entry, member::state::suspect, now);
      AddNews(entry);
    } else if (state == member::state::suspect &&
               now - entry.suspected_at >= kDeadAfter) {
      SetState(entry, member::state::dead, now);
      AddNews(entry);
    }
  }
  ForgetOldDead(now);
}

// Hosts are replaced all the time; the settings name those that come back.
void member_table::ForgetOldDead(steady_time now) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    const row& entry = it->second;
    const bool old = !entry.configured &&
                     entry.info.liveness == member::state::dead &&
                     now - entry.suspected_at >= kForgetAfter;
    it = old ? rows_.erase(it) : std::next(it);
  }
}

std::vector<member_news> member_table::TakeNews(std::size_t limit) {
  std::vector<member_news> taken;
  for (auto it = news_.begin(); it != news_.end() && taken.size() < limit;) {
    const auto found = rows_.find(it->first);
    if (found != rows_.end()) {
      const row& entry = found->second;
      taken.push_back({entry.info.id, static_cast<int>(entry.info.liveness),
                       entry.heartbeat});
    }
    it = --it->second <= 0 || found == rows_.end() ? news_.erase(it)
                                                   : std::next(it);
  }
  return taken;
}

std::vector<host_id> member_table::WithoutAddress() const {
  std::vector<host_id> hosts;
  for (const auto& [host, entry] : rows_) {
    if (entry.info.peer_address.empty()) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::optional<member> member_table::Find(const host_id& host) const {
  const auto found = rows_.find(host);
  if (found == rows_.end()) {
    return std::nullopt;
  }
  return found->second.info;
}

std::vector<member> member_table::Live() const {
  std::vector<member> members;
  for (const auto& [host, entry] : rows_) {
    if (entry.info.liveness == member::state::alive) {
      members.push_back(entry.info);
    }
  }
  return members;
}

std::vector<member> member_table::All() const {
  std::vector<member> members;
  for (const auto& [host, entry] : rows_) {
    if (entry.info.liveness != member::state::dead) {
      members.push_back(entry.info);
    }
  }
  return members;
}

std::vector<host_id> member_table::Dead() const {
  std::vector<host_id> hosts;
  for (const auto& [host, entry] : rows_) {
    if (entry.info.liveness == member::state::dead) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

bool member_table::TakesCallers(const host_id& host) const {
  const auto found = rows_.find(host);
  if (found == rows_.end() || IsLeaving(host)) {
    return false;
  }
  const member& info = found->second.info;
  return info.liveness == member::state::alive && !info.draining &&
         !info.caller_address.empty();
}

bool member_table::IsLeaving(const host_id& host) const {
  return leaving_.count(host) > 0;
}

}  // namespace gentian
