#include "gentian_gateway_daemon/stream_origin_service.h"

#include <utility>
#include <vector>

#include "gentian_gateway_daemon/history_paths.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr milliseconds kWriteTimeout{500};
constexpr milliseconds kReadTimeout{300};
constexpr milliseconds kConnectTimeout{100};
// Time without an answer after which one more store is asked.
constexpr milliseconds kSlowWrite{25};
constexpr milliseconds kSlowRead{30};
// Interval between rounds of a search while stores don't answer.
constexpr milliseconds kRoundInterval{60};
constexpr std::size_t kMaxBegun = 4'000;

}  // namespace

struct stream_origin_service::search {
  turn_key stream;
  std::string request_id;
  origin_lookup lookup{{}, 0};
  int rounds = 0;
  steady_time started_at = BootTimeNow();
  steady_time deadline;
  find_handler handler;
};

stream_origin_service::stream_origin_service(io_pool& pool,
                                             http_client& peers,
                                             const gateway_settings& settings,
                                             gateway_state& state)
    : pool_(pool),
      writers_(peers, {kWriteTimeout, kConnectTimeout}),
      readers_(peers, {kReadTimeout, kConnectTimeout}),
      settings_(settings),
      state_(state) {}

std::size_t stream_origin_service::copies() const {
  return settings_.tolerated_losses + 1;
}

std::string stream_origin_service::AddressOf(const std::string& host) const {
  const auto found = state_.turn_stores.known().find(host);
  return found == state_.turn_stores.known().end() ? "" : found->second.address;
}

std::shared_ptr<stream_origin_service::recording> stream_origin_service::Start(
    const turn_key& stream) {
  return std::make_shared<recording>(
      stream, state_.turn_stores.Placement(stream.id), copies());
}

void stream_origin_service::Record(const std::shared_ptr<recording>& subject,
                                   const stream_origin& origin,
                                   settled_handler on_settled) {
  subject->has_changed_software_ |=
      subject->stored_.send > 0 && !IsSameSoftware(subject->origin(), origin);
  ++subject->stored_.send;
  subject->stored_.origin = origin;
  subject->on_settled_ = std::move(on_settled);
  subject->started_at_ = BootTimeNow();
  if (origin.version.empty()) {
    // Such a stream can't be resumed.
    Settle(subject);
    return;
  }
  Write(subject, subject->write_.Start());
  ArmWriteTimer(subject);
}

void stream_origin_service::Write(const std::shared_ptr<recording>& subject,
                                  const origin_write::sends& hosts) {
  if (subject->write_.IsDurable() || subject->write_.IsExhausted()) {
    Settle(subject);
    return;
  }
  const int round = subject->write_.round();
  const std::string body = EncodeStoredOrigin(subject->stored_);
  for (const std::string& host : hosts) {
    const std::string address = AddressOf(host);
    const auto on_failure = [this, subject, round, host](bool is_unchanged) {
      state_.counters.Add("stream_origin_write_failed");
      Write(subject, subject->write_.OnFailed(host, round, is_unchanged));
    };
    writers_.Post(
        address, kStoreOriginPath, body,
        [this, subject, round, host,
         on_failure](const http_response& response) {
          if (response.status == kOk) {
            Write(subject, subject->write_.OnStored(host, round));
          } else {
            on_failure(response.status == kUnavailable);
          }
        },
        [on_failure](http_failure failure, const std::string&) {
          on_failure(failure == http_failure::not_sent);
        });
  }
}

void stream_origin_service::ArmWriteTimer(
    const std::shared_ptr<recording>& subject) {
  pool_.After(kSlowWrite, [this, subject, round = subject->write_.round()] {
    if (subject->on_settled_ && round == subject->write_.round()) {
      Write(subject, subject->write_.OnSlow());
      ArmWriteTimer(subject);
    }
  });
}

void stream_origin_service::Settle(const std::shared_ptr<recording>& subject) {
  if (!subject->on_settled_) {
    return;
  }
  const bool durable = subject->write_.IsDurable();
  state_.counters.Add(durable ? "stream_origin_durable"
                              : "stream_origin_not_durable");
  state_.metrics.AddLatency("stream_origin_write",
                            BootTimeNow() - subject->started_at_);
  const settled_handler handler = std::exchange(subject->on_settled_, nullptr);
  handler();
}

void stream_origin_service::Begin(const recording& subject) {
  const turn_key& key = subject.stored_.key;
  const auto [place, is_new] = begun_.insert_or_assign(
      std::make_pair(key.team, key.id), subject.origin());
  if (!is_new) {
    return;
  }
  begun_order_.push_back(place->first);
  if (begun_order_.size() > kMaxBegun) {
    begun_.erase(begun_order_.front());
    begun_order_.pop_front();
  }
}

void stream_origin_service::Find(const std::string& request_id,
                                 const turn_key& stream,
                                 milliseconds limit,
                                 find_handler handler) {
  const auto own = begun_.find({stream.team, stream.id});
  if (own != begun_.end()) {
    state_.counters.Add("stream_origin_known");
    handler(own->second);
    return;
  }
  const auto subject = std::make_shared<search>();
  subject->stream = stream;
  subject->request_id = request_id;
  subject->deadline = BootTimeNow() + limit;
  subject->handler = std::move(handler);
  StartRound(subject);
}

void stream_origin_service::StartRound(const std::shared_ptr<search>& subject) {
  ++subject->rounds;
  subject->lookup =
      origin_lookup(state_.turn_stores.ReadOrder(subject->stream.id, copies(),
                                                 settings_.failure_domain),
                    copies());
  Ask(subject, subject->lookup.Start());
  ArmSearchTimer(subject);
}

void stream_origin_service::Ask(const std::shared_ptr<search>& subject,
                                const origin_lookup::asks& hosts) {
  if (!subject->handler) {
    return;
  }
  if (subject->lookup.current() == origin_lookup::state::absent) {
    FinishSearch(subject, std::nullopt, "absent");
    return;
  }
  if (subject->lookup.current() == origin_lookup::state::uncertain) {
    if (BootTimeNow() + kRoundInterval >= subject->deadline) {
      FinishSearch(subject, std::nullopt, "uncertain");
    } else {
      pool_.After(kRoundInterval, [this, subject] { StartRound(subject); });
    }
    return;
  }
  const int round = subject->rounds;
  for (const std::string& host : hosts) {
    readers_.Post(
        AddressOf(host), kReadOriginPath, EncodeKeys({subject->stream}),
        [this, subject, round, host](const http_response& response) {
          if (round == subject->rounds) {
            OnAnswer(subject, host, response);
          }
        },
        [this, subject, round, host](http_failure, const std::string&) {
          if (round == subject->rounds) {
            Ask(subject, subject->lookup.OnFailed(host));
          }
        });
  }
}

void stream_origin_service::OnAnswer(const std::shared_ptr<search>& subject,
                                     const std::string& host,
                                     const http_response& response) {
  if (response.status == kNotFound) {
    Ask(subject, subject->lookup.OnAbsent(host));
    return;
  }
  if (response.status == kOk) {
    const result<stream_origin> origin = DecodeOrigin(response.body);
    if (!Failed(origin)) {
      subject->lookup.OnFound();
      FinishSearch(subject, ValueOf(origin), "found");
      return;
    }
    Log(log_level::warning, "cannot decode the answer of a turn store",
        {{"store", host}, {"reason", ErrorOf(origin).message}});
  }
  Ask(subject, subject->lookup.OnFailed(host));
}

void stream_origin_service::ArmSearchTimer(
    const std::shared_ptr<search>& subject) {
  pool_.After(kSlowRead, [this, subject, round = subject->rounds] {
    // A round that has ended is followed by the next one.
    if (!subject->handler || round != subject->rounds ||
        subject->lookup.current() != origin_lookup::state::pending) {
      return;
    }
    if (BootTimeNow() >= subject->deadline) {
      FinishSearch(subject, std::nullopt, "uncertain");
      return;
    }
    Ask(subject, subject->lookup.OnSlow());
    ArmSearchTimer(subject);
  });
}

void stream_origin_service::FinishSearch(const std::shared_ptr<search>& subject,
                                         std::optional<stream_origin> origin,
                                         const char* outcome) {
  if (!subject->handler) {
    return;
  }
  const duration waited = BootTimeNow() - subject->started_at;
  state_.counters.Add(std::string("stream_origin_") + outcome);
  state_.metrics.AddLatency("stream_origin_find", waited);
  Log(log_level::info, "stream origin looked up",
      {{"request", subject->request_id},
       {"stream", subject->stream.id},
       {"team", subject->stream.team},
       {"outcome", outcome},
       {"version", origin ? origin->version : ""},
       {"began_at", origin ? origin->target : ""},
       {"rounds", subject->rounds},
       {"stores", state_.turn_stores.known().size()},
       {"waited_ms", ToMilliseconds(waited).count()}});
  const find_handler handler = std::exchange(subject->handler, nullptr);
  handler(std::move(origin));
}

}  // namespace gentian
