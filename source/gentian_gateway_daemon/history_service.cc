#include "gentian_gateway_daemon/history_service.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "gentian_gateway_daemon/history_paths.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
// A store answers within some milliseconds; a long chain takes up to a few
// hundred over the link of a small host.
constexpr milliseconds kReadTimeout{600};
constexpr milliseconds kWriteTimeout{700};
constexpr milliseconds kConnectTimeout{150};
// Time without an answer after which one more store is asked.
constexpr milliseconds kSlowRead{60};
constexpr milliseconds kSlowWrite{100};
// Interval between rounds of writing to the stores.
constexpr milliseconds kRoundInterval{100};

}  // namespace

const char* NameOf(loaded_history::outcome outcome) {
  switch (outcome) {
    case loaded_history::outcome::found:
      return "found";
    case loaded_history::outcome::absent:
      return "absent";
    case loaded_history::outcome::uncertain:
      return "uncertain";
  }
  return "uncertain";
}

struct history_service::load {
  load(turn_key wanted, std::vector<std::string> hosts)
      : key(std::move(wanted)), lookup(key.id, std::move(hosts)) {}

  turn_key key;
  chain_lookup lookup;
  std::string request_id;
  std::string input;
  load_handler handler;
  steady_time started_at = BootTimeNow();
  std::vector<std::shared_ptr<http_call>> calls;
  std::vector<std::string> failed_hosts;
};

struct history_service::save {
  save(std::vector<std::string> hosts, std::size_t copies)
      : write(std::move(hosts), copies) {}

  turn_key key;
  std::string conversation;
  placement_policy policy;
  std::string body;
  turn_write write;
  std::size_t copies = 0;
  int rounds = 0;
  steady_time started_at = BootTimeNow();
  steady_time deadline;
  save_handler handler;
  /** Another turn with the key is stored. */
  bool conflict = false;
};

history_service::history_service(io_pool& pool,
                                 http_client& peers,
                                 const gateway_settings& settings,
                                 gateway_state& state)
    : pool_(pool),
      readers_(peers, {kReadTimeout, kConnectTimeout}),
      writers_(peers, {kWriteTimeout, kConnectTimeout}),
      settings_(settings),
      state_(state) {}

std::size_t history_service::copies() const {
  return settings_.tolerated_losses + 1;
}

std::string history_service::AddressOf(const std::string& host) const {
  const auto found = state_.turn_stores.known().find(host);
  return found == state_.turn_stores.known().end() ? "" : found->second.address;
}

void history_service::DeferAvoided(std::vector<std::string>& hosts) const {
  std::stable_partition(hosts.begin(), hosts.end(),
                        [this](const std::string& host) {
                          return !readers_.IsAvoided(AddressOf(host));
                        });
}

std::string history_service::DomainOf(const std::string& host) const {
  const auto found = state_.turn_stores.known().find(host);
  return found == state_.turn_stores.known().end()
             ? std::string()
             : found->second.failure_domain;
}

void history_service::PutHomesFirst(const placement_policy& policy,
                                    std::vector<std::string>& hosts) const {
  if (policy.has_homes()) {
    std::stable_partition(hosts.begin(), hosts.end(),
                          [&](const std::string& host) {
                            return policy.IsAtHome(DomainOf(host));
                          });
  }
}

void history_service::Load(const std::string& request_id,
                           const turn_key& turn,
                           const std::string& program,
                           const placement_policy& policy,
                           std::string input,
                           load_handler handler) {
  std::vector<std::string> hosts =
      state_.turn_stores.ReadOrder(program, copies(), settings_.failure_domain);
  PutHomesFirst(policy, hosts);
  DeferAvoided(hosts);
  const auto subject = std::make_shared<load>(turn, std::move(hosts));
  subject->request_id = request_id;
  subject->input = std::move(input);
  subject->handler = std::move(handler);
  Read(subject, subject->lookup.Start());
}

void history_service::Read(const std::shared_ptr<load>& subject,
                           const chain_lookup::reads& reads) {
  if (subject->lookup.current() != chain_lookup::state::pending) {
    FinishLoad(subject);
    return;
  }
  for (const chain_lookup::read& next : reads) {
    const std::string address = AddressOf(next.host);
    subject->calls.push_back(readers_.Post(
        address, kReadChainPath,
        EncodeKeys({{subject->key.team, next.turn_id}}),
        [this, subject, next](const http_response& response) {
          OnRead(subject, next, response);
        },
        [this, subject, next, address](http_failure, const std::string&) {
          readers_.Avoid(address);
          OnReadFailed(subject, next);
        }));
  }
  if (!reads.empty()) {
    ArmReadTimer(subject);
  }
}

void history_service::ArmReadTimer(const std::shared_ptr<load>& subject) {
  pool_.After(kSlowRead, [this, subject] {
    if (subject->handler) {
      Read(subject, subject->lookup.OnSlow());
    }
  });
}

void history_service::OnRead(const std::shared_ptr<load>& subject,
                             const chain_lookup::read& read,
                             const http_response& response) {
  if (response.status == kOk) {
    result<chain_part> part = DecodePart(response.body);
    if (!Failed(part)) {
      Read(subject, subject->lookup.OnPart(read, std::move(ValueOf(part))));
      return;
    }
    Log(log_level::warning, "cannot decode the answer of a turn store",
        {{"store", read.host}, {"reason", ErrorOf(part).message}});
  }
  if (response.status == kNotFound) {
    Read(subject, subject->lookup.OnAbsent(read));
    return;
  }
  OnReadFailed(subject, read);
}

void history_service::OnReadFailed(const std::shared_ptr<load>& subject,
                                   const chain_lookup::read& read) {
  state_.counters.Add("history_read_failed");
  subject->failed_hosts.push_back(read.host);
  Read(subject, subject->lookup.OnUncertain(read));
}

void history_service::FinishLoad(const std::shared_ptr<load>& subject) {
  if (!subject->handler) {
    return;
  }
  // Calls that are still open hold the subject.
  for (const std::shared_ptr<http_call>& call : subject->calls) {
    call->Cancel();
  }
  subject->calls.clear();
  loaded_history history;
  switch (subject->lookup.current()) {
    case chain_lookup::state::found:
      history.result = loaded_history::outcome::found;
      history.conversation = subject->lookup.conversation();
      history.prompt = std::make_shared<const std::string>(
          subject->lookup.TakePrompt(subject->input));
      break;
    case chain_lookup::state::absent:
      history.result = loaded_history::outcome::absent;
      break;
    case chain_lookup::state::pending:
    case chain_lookup::state::uncertain:
      history.result = loaded_history::outcome::uncertain;
      break;
  }
  state_.counters.Add(std::string("history_") + NameOf(history.result));
  state_.metrics.AddLatency("history_load",
                            BootTimeNow() - subject->started_at);
  if (history.result != loaded_history::outcome::found) {
    Log(log_level::info, "history not loaded",
        {{"request", subject->request_id},
         {"previous", subject->key.id},
         {"team", subject->key.team},
         {"outcome", NameOf(history.result)},
         {"stores", state_.turn_stores.known().size()},
         {"stores_failed", subject->failed_hosts},
         {"waited_ms",
          ToMilliseconds(BootTimeNow() - subject->started_at).count()}});
  }
  const load_handler handler = std::exchange(subject->handler, nullptr);
  handler(std::move(history));
}

void history_service::Save(const kept_turn& turn,
                           const placement_policy& policy,
                           milliseconds limit,
                           save_handler handler) {
  const auto subject =
      std::make_shared<save>(std::vector<std::string>(), std::size_t{0});
  subject->key = turn.key;
  subject->conversation = turn.conversation;
  subject->policy = policy;
  subject->body = EncodeTurn(turn);
  subject->deadline = BootTimeNow() + limit;
  subject->handler = std::move(handler);
  StartRound(subject);
}

void history_service::StartRound(const std::shared_ptr<save>& subject) {
  ++subject->rounds;
  std::vector<std::string> hosts =
      state_.turn_stores.Placement(subject->conversation);
  // A store that lost only its lease may still take turns.
  for (const auto& [host, record] : state_.turn_stores.known()) {
    if (!record.draining && state_.turn_stores.accepting().count(host) == 0) {
      hosts.push_back(host);
    }
  }
  const placement_policy& policy = subject->policy;
  hosts.erase(std::remove_if(hosts.begin(), hosts.end(),
                             [&](const std::string& host) {
                               return !policy.MayHold(DomainOf(host));
                             }),
              hosts.end());
  DeferAvoided(hosts);
  PutHomesFirst(policy, hosts);
  subject->copies = copies();
  subject->write = turn_write(std::move(hosts), subject->copies);
  Write(subject, subject->write.Start());
}

void history_service::Write(const std::shared_ptr<save>& subject,
                            const turn_write::sends& hosts) {
  if (!subject->handler) {
    return;
  }
  const turn_write::state current = subject->write.current();
  const bool late = BootTimeNow() >= subject->deadline;
  if (current == turn_write::state::durable || subject->conflict || late) {
    FinishSave(subject);
    return;
  }
  if (current == turn_write::state::failed) {
    pool_.After(kRoundInterval, [this, subject] { StartRound(subject); });
    return;
  }
  const int round = subject->rounds;
  for (const std::string& host : hosts) {
    const std::string address = AddressOf(host);
    const auto on_failure = [this, subject, round, host] {
      state_.counters.Add("history_write_failed");
      if (round == subject->rounds) {
        Write(subject, subject->write.OnFailed(host));
      }
    };
    writers_.Post(
        address, kStoreTurnPath, subject->body,
        [this, subject, round, host,
         on_failure](const http_response& response) {
          subject->conflict |= response.status == kConflict;
          if (response.status != kOk) {
            on_failure();
          } else if (round == subject->rounds) {
            Write(subject, subject->write.OnStored(host));
          }
        },
        [this, address, on_failure](http_failure, const std::string&) {
          readers_.Avoid(address);
          on_failure();
        });
  }
  if (!hosts.empty()) {
    ArmWriteTimer(subject);
  }
}

void history_service::ArmWriteTimer(const std::shared_ptr<save>& subject) {
  pool_.After(kSlowWrite, [this, subject, round = subject->rounds] {
    if (round == subject->rounds) {
      Write(subject, subject->write.OnSlow());
    }
  });
}

void history_service::FinishSave(const std::shared_ptr<save>& subject) {
  const bool durable = subject->write.current() == turn_write::state::durable;
  const duration waited = BootTimeNow() - subject->started_at;
  state_.counters.Add(durable ? "turn_kept" : "turn_not_kept");
  state_.metrics.AddLatency("history_save", waited);
  if (!durable) {
    Log(log_level::warning, "turn not kept",
        {{"request", subject->key.id},
         {"team", subject->key.team},
         {"reason", subject->conflict ? "another turn has this ID"
                                      : "too few turn stores answered"},
         {"copies", subject->copies},
         {"rounds", subject->rounds},
         {"stores_accepting", state_.turn_stores.accepting().size()},
         {"waited_ms", ToMilliseconds(waited).count()}});
  }
  const save_handler handler = std::exchange(subject->handler, nullptr);
  handler(durable);
}

}  // namespace gentian
