#include "gentian_decisions/membership.h"

#include <algorithm>
#include <utility>

#include "gentian_decisions/neighbours.h"

namespace gentian {

namespace {

constexpr milliseconds kHeartbeatEvery{1'000};
constexpr milliseconds kAddressReadEvery{1'000};
constexpr std::size_t kNewsPerHeartbeat = 4;
constexpr int kRefutations = 6;

}  // namespace

membership::membership(kv_access& kv, node_identity identity)
    : kv_(kv),
      identity_(std::move(identity)),
      registration_(kv, identity_),
      table_(identity_.host),
      heard_(identity_.host) {}

void membership::UseSettings(const configuration& settings, steady_time now) {
  table_.UseSettings(settings, now);
  heard_.UseSettings(settings);
  configured_ = settings.daemons.size();
  ChooseLinks();
}

void membership::ChooseLinks() {
  neighbours_ =
      ChooseNeighbours(identity_.host, identity_.failure_domain, table_.All());
  // Dead members are still probed in a small fleet, so that both sides of a
  // partition find each other again.
  for (const host_id& host : table_.Dead()) {
    if (neighbours_.size() + 1 < kFullyLinkedFleet) {
      neighbours_.insert(host);
    }
  }
}

bool membership::Tick(const heartbeat_facts& facts, node_context& context) {
  const bool changed = registration_.Tick(context);
  if (changed) {
    number_ = 0;
  }
  table_.Judge(neighbours_, context.now);
  if (changed || context.now >= next_heartbeat_) {
    ChooseLinks();
    SendHeartbeats(facts, context);
  }
  if (!members_read_ && !reading_ && context.now >= next_address_read_) {
    ReadMembers(context);
  } else if (context.now >= next_address_read_ && !reading_) {
    ReadAddress(context);
  }
  return changed;
}

heartbeat membership::NextHeartbeat(const heartbeat_facts& facts,
                                    steady_time now) {
  heartbeat next;
  next.sender = self();
  next.number = ++number_;
  next.config_version = facts.config_version;
  next.withdrawn_digest = facts.withdrawn_digest;
  next.draining = draining_;
  next.leaving = leaving_;
  next.load = load_;
  next.news = table_.TakeNews(kNewsPerHeartbeat);
  if (refutations_ > 0) {
    --refutations_;
    next.news.push_back({self(), 0, next.number});
  }
  if (configured_ > kFullyLinkedFleet) {
    next.heard = heard_.Export(now);
  }
  return next;
}

void membership::SendHeartbeats(const heartbeat_facts& facts,
                                node_context& context) {
  next_heartbeat_ = context.now + kHeartbeatEvery;
  const heartbeat next = NextHeartbeat(facts, context.now);
  for (const host_id& host : neighbours_) {
    context.Emit(send_to_peer{host, next});
  }
  // After a long partition each side has declared the other one dead; one
  // extra heartbeat a second lets them find each other again.
  const std::vector<host_id> dead = table_.Dead();
  if (!dead.empty()) {
    const host_id& host = dead[context.random.Below(dead.size())];
    if (neighbours_.count(host) == 0) {
      context.Emit(send_to_peer{host, next});
    }
  }
}

void membership::Handle(const heartbeat& input,
                        const heartbeat_facts& facts,
                        node_context& context) {
  for (const member_news& news : input.news) {
    HandleNews(news, context.now);
  }
  table_.Heard(input, context.now);
  HeardFrom(input.sender, context.now);
  heard_.Import(input.heard, context.now);
  // A daemon that probes this one without being probed by it needs an answer.
  if (!input.answer && neighbours_.count(input.sender.host) == 0) {
    heartbeat reply = NextHeartbeat(facts, context.now);
    reply.answer = true;
    context.Emit(send_to_peer{input.sender.host, reply});
  }
}

void membership::HandleNews(const member_news& news, steady_time now) {
  if (news.id == self() && news.state > 0 && !leaving_) {
    refutations_ = kRefutations;
    // The next heartbeat has to be newer than the suspicion.
    number_ = std::max(number_, news.heartbeat);
    return;
  }
  table_.Apply(news, now);
}

void membership::HeardFrom(const incarnation& sender, steady_time now) {
  heard_.Heard(sender.host, now);
}

void membership::Handle(const host_list_received& input) {
  table_.UseHostList(input.entries);
}

void membership::ReadMembers(node_context& context) {
  reading_ = true;
  next_address_read_ = context.now + kAddressReadEvery;
  kv_.Call(
      kv_list{"/daemon/"}, kv_access::priority::configuration,
      [this](const kv_answer& answer, node_context& later) {
        reading_ = false;
        members_read_ = answer.outcome == kv_answer::status::ok;
        UseAnswer(answer, later.now);
      },
      context);
}

// Members that are not in the settings are learned from gossip, which has no
// addresses.
void membership::ReadAddress(node_context& context) {
  next_address_read_ = context.now + kAddressReadEvery;
  const std::vector<host_id> hosts = table_.WithoutAddress();
  if (hosts.empty()) {
    return;
  }
  reading_ = true;
  const host_id& host = hosts[context.random.Below(hosts.size())];
  kv_.Call(
      kv_get{"/daemon/" + host.text()}, kv_access::priority::configuration,
      [this](const kv_answer& answer, node_context& later) {
        reading_ = false;
        UseAnswer(answer, later.now);
      },
      context);
}

void membership::UseAnswer(const kv_answer& answer, steady_time now) {
  for (const kv_entry& entry : answer.entries) {
    const json parsed = json::parse(entry.value, nullptr, false);
    if (parsed.is_discarded()) {
      continue;
    }
    try {
      table_.UseRecord(parsed.get<daemon_record>(), now);
    } catch (const json::exception&) {
      // Written by another version of the program; the settings and the
      // heartbeats still name the daemon.
      continue;
    }
  }
}

void membership::StartDraining(const heartbeat_facts& facts,
                               node_context& context) {
  draining_ = true;
  SendHeartbeats(facts, context);
}

void membership::Leave(const heartbeat_facts& facts, node_context& context) {
  draining_ = true;
  leaving_ = true;
  SendHeartbeats(facts, context);
  registration_.Withdraw(context);
}

member membership::Self() const {
  member self;
  self.id = registration_.self();
  self.failure_domain = identity_.failure_domain;
  self.peer_address = identity_.peer_address;
  self.caller_address = identity_.caller_address;
  self.has_data_folder = identity_.has_data_folder;
  self.draining = draining_;
  return self;
}

std::vector<member> membership::WithSelf(std::vector<member> others) const {
  others.push_back(Self());
  std::sort(others.begin(), others.end(),
            [](const member& a, const member& b) { return a.id < b.id; });
  return others;
}

std::vector<member> membership::Live() const {
  return WithSelf(table_.Live());
}

std::vector<member> membership::All() const {
  return WithSelf(table_.All());
}

std::optional<member> membership::Find(const host_id& host) const {
  return host == identity_.host ? std::optional<member>(Self())
                                : table_.Find(host);
}

bool membership::IsAlive(const incarnation& id) const {
  const std::optional<member> found = Find(id.host);
  // Epoch 0 in the table: the daemon is configured but was not heard from.
  const bool current =
      found &&
      (found->id == id || (found->id.epoch == 0 && id.host != identity_.host));
  return current && found->liveness == member::state::alive;
}

bool membership::TakesCallers(const host_id& host) const {
  if (host == identity_.host) {
    return !draining_ && !table_.IsLeaving(host) &&
           !identity_.caller_address.empty();
  }
  return table_.TakesCallers(host);
}

bool membership::HeardMajority(duration within, steady_time now) const {
  return heard_.HeardMajority(within, now);
}

}  // namespace gentian
