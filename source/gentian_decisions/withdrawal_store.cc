#include "gentian_decisions/withdrawal_store.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

using status = kv_answer::status;

constexpr const char* kPrefix = "/revoked/";
constexpr auto kPriority = kv_access::priority::configuration;
constexpr milliseconds kOperatorWait{2'000};
constexpr milliseconds kExchangeEvery{2'000};
constexpr milliseconds kWriteAgain{2'000};
// Time for the operator's daemon to store a hash before another one does.
constexpr milliseconds kWriteForOthers{10'000};
// About 32 KB a message.
constexpr std::size_t kHashesPerMessage = 500;

std::string HashOf(const std::string& key) {
  return key.substr(std::string(kPrefix).size());
}

}  // namespace

withdrawal_store::withdrawal_store(kv_access& kv,
                                   key_registry& keys,
                                   withdrawn_handler on_added)
    : kv_(kv),
      keys_(keys),
      on_added_(std::move(on_added)),
      watcher_(kv, kPrefix, *this) {}

bool withdrawal_store::Add(const std::string& key_hash, node_context& context) {
  if (!IsKeyHash(key_hash) || !keys_.Withdraw(key_hash)) {
    return false;
  }
  digest_ ^= StableHash(key_hash);
  if (durable_.count(key_hash) == 0) {
    unwritten_[key_hash].not_before = context.now + kWriteForOthers;
  }
  context.counters.Add("keys.withdrawn");
  on_added_(key_hash, context);
  return true;
}

void withdrawal_store::Withdraw(const std::string& key_hash,
                                const std::string& author,
                                const fleet& view,
                                report_handler handler,
                                node_context& context) {
  Add(key_hash, context);
  Push({key_hash}, view.self, host_id(), view, context);
  waiting_operator entry;
  entry.confirmed.insert(view.self);
  entry.give_up = context.now + kOperatorWait;
  entry.handler = std::move(handler);
  operators_.emplace(key_hash, std::move(entry));
  const auto open = unwritten_.find(key_hash);
  if (open != unwritten_.end() && !open->second.writing) {
    open->second.author = author;
    Write(key_hash, context);
  }
}

void withdrawal_store::Write(const std::string& key_hash,
                             node_context& context) {
  unwritten& entry = unwritten_[key_hash];
  entry.writing = true;
  kv_.Call(
      kv_compare_and_swap{kPrefix + key_hash, 0,
                          json{{"author", entry.author}}.dump(), 0},
      kPriority,
      [this, key_hash](const kv_answer& answer, node_context& later) {
        // A conflict means that another daemon has stored it.
        if (answer.outcome == status::ok ||
            answer.outcome == status::conflict) {
          durable_.insert(key_hash);
          unwritten_.erase(key_hash);
          return;
        }
        const auto open = unwritten_.find(key_hash);
        if (open != unwritten_.end()) {
          open->second.writing = false;
          open->second.not_before = later.now + kWriteAgain;
        }
      },
      context);
}

void withdrawal_store::Push(const std::vector<std::string>& hashes,
                            const host_id& origin,
                            const host_id& except,
                            const fleet& view,
                            node_context& context) {
  for (const host_id& host : view.neighbours) {
    if (host != except) {
      context.Emit(send_to_peer{host, keys_withdrawn{hashes, origin}});
    }
  }
}

void withdrawal_store::Handle(const host_id& from,
                              const keys_withdrawn& input,
                              const fleet& view,
                              node_context& context) {
  std::vector<std::string> added;
  for (const std::string& hash : input.hashes) {
    if (Add(hash, context)) {
      added.push_back(hash);
    }
  }
  if (!input.origin.empty() && input.origin != view.self) {
    context.Emit(
        send_to_peer{input.origin, keys_withdrawn_confirmed{input.hashes}});
  }
  if (!added.empty()) {
    Push(added, input.origin, from, view, context);
  }
}

void withdrawal_store::Handle(const host_id& from,
                              const keys_withdrawn_confirmed& input) {
  for (const std::string& hash : input.hashes) {
    const auto range = operators_.equal_range(hash);
    for (auto it = range.first; it != range.second; ++it) {
      it->second.confirmed.insert(from);
    }
  }
}

void withdrawal_store::DigestSeen(const host_id& from,
                                  std::uint64_t digest,
                                  node_context& context) {
  steady_time& next = next_exchange_[from];
  if (digest == digest_ || context.now < next) {
    return;
  }
  next = context.now + kExchangeEvery;
  const std::set<std::string>& all = keys_.withdrawn();
  keys_withdrawn message;
  for (auto it = all.begin(); it != all.end();) {
    message.hashes.push_back(*it);
    ++it;
    if (it == all.end() || message.hashes.size() == kHashesPerMessage) {
      context.Emit(send_to_peer{from, message});
      message.hashes.clear();
    }
  }
}

void withdrawal_store::ReadAll(kv_watcher& watcher, node_context& context) {
  kv_.Call(
      kv_list{kPrefix}, kPriority,
      [this, &watcher](const kv_answer& answer, node_context& later) {
        if (answer.outcome != status::ok) {
          watcher.ReadFailed(later);
          return;
        }
        UseEntries(answer, later);
        watcher.Follow(answer.revision, later);
      },
      context);
}

void withdrawal_store::KeysChanged(kv_watcher& /*watcher*/,
                                   const kv_answer& changes,
                                   node_context& context) {
  UseEntries(changes, context);
}

void withdrawal_store::UseEntries(const kv_answer& answer,
                                  node_context& context) {
  for (const kv_entry& entry : answer.entries) {
    const std::string hash = HashOf(entry.key);
    durable_.insert(hash);
    Add(hash, context);
    unwritten_.erase(hash);
  }
}

void withdrawal_store::Tick(const fleet& view, node_context& context) {
  watcher_.Tick(context);
  WriteDue(view, context);
  AnswerOperators(view, context);
}

// One daemon stores what the operator's daemon could not, so that not the
// whole fleet writes at once after an outage.
void withdrawal_store::WriteDue(const fleet& view, node_context& context) {
  std::vector<std::string> due;
  for (auto& [hash, entry] : unwritten_) {
    if (entry.writing || context.now < entry.not_before) {
      continue;
    }
    entry.not_before = context.now + kWriteAgain;
    std::vector<host_id> hosts;
    for (const member& daemon : view.live) {
      hosts.push_back(daemon.id.host);
    }
    const bool own = !entry.author.empty();
    if (own || RendezvousOrder(hash, std::move(hosts)).front() == view.self) {
      due.push_back(hash);
    }
  }
  for (const std::string& hash : due) {
    Write(hash, context);
  }
}

void withdrawal_store::AnswerOperators(const fleet& view,
                                       node_context& context) {
  for (auto it = operators_.begin(); it != operators_.end();) {
    report answer;
    answer.in_force = it->second.confirmed;
    answer.durable = durable_.count(it->first) > 0;
    for (const member& daemon : view.live) {
      if (answer.in_force.count(daemon.id.host) == 0) {
        answer.missing.insert(daemon.id.host);
      }
    }
    const bool complete = answer.durable && answer.missing.empty();
    if (!complete && context.now < it->second.give_up) {
      ++it;
      continue;
    }
    const report_handler handler = std::move(it->second.handler);
    it = operators_.erase(it);
    handler(answer, context);
  }
}

}  // namespace gentian
