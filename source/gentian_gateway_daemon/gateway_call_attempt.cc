// Implements gateway_call: attempts and retries.

#include <algorithm>
#include <utility>

#include "gentian_gateway_daemon/gateway_call.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

// A connection within a region takes a few milliseconds. After this time the
// request is retried at another target.
constexpr milliseconds kConnectTimeout{250};
// Attempts of one request, including those that the target refused.
constexpr int kMaxSends = 4;
// Silence after which a request on a direct connection is given up once this
// host is partitioned from the targets.
constexpr milliseconds kPathSilence{400};
// Gateways that were asked for a tunnel in vain, per request.
constexpr int kMaxTunnelFailures = 4;
// Possible runs of a repeatable request. Once max_targets targets may have run
// it, further attempts go to the last of them.
constexpr int kMaxRuns = 3;
constexpr milliseconds kFullRetryAfter{150};
constexpr milliseconds kMinLimitRetryAfter{50};
// Bounds of an answer that never ends. Answers that are no streams are held
// until they are whole.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxStreamBytes = 64 * 1024 * 1024;
// For routes without a limit on the pause between events.
constexpr milliseconds kSaveLimit{2'000};
constexpr int kFirstFailureStatus = 300;

// Whether callers read a status as a promise that the request has not run. A
// target that sends such a status without that promise may have run it.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void gateway_call::Dispatch() {
  const steady_time now = BootTimeNow();
  const milliseconds time_left = TimeLeft(now);
  if (time_left.count() <= 0) {
    Refuse(
        {runs_ > 0 ? refusal_reason::target_timeout : refusal_reason::too_late,
         std::nullopt});
    return;
  }
  if (!MayBeSentBeforeStop()) {
    RefuseForStop();
    return;
  }
  // Keys and routes may have changed while the request was queued.
  if (const auto refused = Authorize()) {
    Refuse(runs_ > 0 ? refusal{refusal_reason::target_failed, std::nullopt}
                     : *refused);
    return;
  }
  if (!HasRightHistory()) {
    // A new configuration changed the route's turns or the key's team.
    Refuse(runs_ > 0 ? refusal{refusal_reason::target_failed, std::nullopt}
                     : refusal{refusal_reason::history_unavailable,
                               kNoTargetRetryAfter});
    return;
  }
  if (const milliseconds left = environment_.crashes.BlockedFor(fingerprint_);
      left.count() > 0) {
    Refuse(runs_ > 0 ? refusal{refusal_reason::target_failed, std::nullopt}
                     : refusal{refusal_reason::blocked_request, left});
    return;
  }
  if (!is_crash_checked_ && environment_.crashes.IsSuspect(fingerprint_)) {
    is_crash_checked_ = true;
    environment_.crashes.Check(fingerprint_, [me = shared_from_this()] {
      if (me->phase_ != phase::ended) {
        me->Dispatch();
      }
    });
    return;
  }
  if (!IsOriginCertain()) {
    Refuse(runs_ > 0
               ? refusal{refusal_reason::target_failed, std::nullopt}
               : refusal{refusal_reason::stream_origin_unknown, std::nullopt});
    return;
  }
  const known_target* target = sends_ < kMaxSends ? ChooseTarget(now) : nullptr;
  if (target == nullptr) {
    if (sends_ >= kMaxSends || !WaitForRoom()) {
      RefuseWithoutTarget();
    }
  } else if (target->IsLimited(now) && target->record.id != permitted_target_) {
    RequestPermit(target->record.id, milliseconds(0));
  } else {
    Send(*target, time_left);
  }
}

void gateway_call::RefuseWithoutTarget() {
  const steady_time now = BootTimeNow();
  if (runs_ > 0) {
    Refuse({refusal_reason::target_failed, std::nullopt});
  } else if (const known_target* soonest = FindSoonestRoom(now)) {
    Refuse({refusal_reason::targets_limited,
            std::max(ToMilliseconds(soonest->no_room_until - now),
                     kMinLimitRetryAfter)});
  } else if (sends_ > 0) {
    Refuse({refusal_reason::targets_full, kFullRetryAfter});
  } else {
    Refuse(NoTargetRefusal());
  }
}

void gateway_call::Send(const known_target& target, milliseconds time_left) {
  const steady_time now = BootTimeNow();
  ++sends_;
  permitted_target_.clear();
  is_crash_checked_ = false;
  target_ = target.record.id;
  choice_ = {target_ == bound_target_       ? "earlier attempt"
             : target_ == preferred_target_ ? "owner"
                                            : "this daemon",
             target.load,
             target.open_requests,
             target.failures,
             target.record.started_at_ms,
             target.record.version,
             target.record.failure_domain,
             target.RateLimit(now),
             target.cold.TimeLeft(now),
             now};
  RecordExpectation(target);
  if (choice_.rate_limit) {
    environment_.state.counters.Add("sent_to_limited_target");
  }
  answer_ = target_answer();
  answer_body_.clear();
  attempt_events_ = 0;
  events_.DiscardPartialEvent();
  if (phase_ != phase::streaming) {
    phase_ = phase::at_target;
  }
  const http_request& original = exchange_->request();
  target_call details;
  details.target_id = target_;
  details.team = TeamName();
  details.time_left = time_left;
  details.last_event_id =
      events_.last_id().empty() ? call_->last_event_id : events_.last_id();
  http_client_request request;
  request.address = target.record.address;
  const member_record* carrier = environment_.paths.TunnelTo(target, policy_);
  tunnel_ = carrier == nullptr ? std::string() : carrier->tunnel_address;
  request.tunnel = tunnel_;
  request.tunnel_name = target_;
  request.is_tunnel_unframed =
      carrier != nullptr && !carrier->Knows(peer_protocol::framed_tunnels);
  request.method = original.method;
  request.target = original.target;
  request.headers = environment_.protocol.TargetHeaders(original, details);
  if (continued_) {
    request.shared_body = continued_->prompt;
  } else {
    // Shared with the exchange, which outlives the attempt.
    request.shared_body =
        std::shared_ptr<const std::string>(exchange_, &original.body);
  }
  request.deadline = time_left;
  request.connect_limit = std::min(kConnectTimeout, time_left);
  request.reuse_connection = true;
  request.max_body_bytes = kMaxStreamBytes;
  request.confirm_end = true;
  // A second send would not be counted against the limit.
  request.send_once =
      route_->kind != route_kind::idempotent || target.IsLimited(now);
  RecordOrigin(target);
  environment_.state.targets.RequestStarted(target_);
  environment_.paths.OnSent(target_, tunnel_);
  const std::uint64_t serial = ++attempt_serial_;
  // Handlers of a cancelled attempt must have no effect.
  const auto if_current = [me = shared_from_this(), serial] {
    return me->phase_ != phase::ended && me->attempt_serial_ == serial;
  };
  http_client_handlers handlers;
  handlers.is_own = [me = shared_from_this(), if_current](
                        int status, const http_headers& headers,
                        bool is_first) {
    return !if_current() || me->AcceptAnswer(status, headers, is_first);
  };
  // The target may have said meanwhile that it leaves.
  handlers.is_wanted = [me = shared_from_this(), if_current] {
    return !if_current() || me->IsUsable(me->target_);
  };
  handlers.on_header = [me = shared_from_this(), if_current](
                           int status, const http_headers& headers) {
    if (if_current()) {
      me->OnHeader(status, headers);
    }
  };
  handlers.on_body = [me = shared_from_this(),
                      if_current](std::string_view bytes) {
    if (if_current()) {
      me->OnBody(bytes);
    }
  };
  handlers.held = [me = shared_from_this(), if_current] {
    return if_current() ? me->HeldBytes() : 0;
  };
  handlers.on_end = [me = shared_from_this(), if_current] {
    if (if_current()) {
      me->OnEnd();
    }
  };
  handlers.on_failure = [me = shared_from_this(), if_current](
                            http_failure failure, const std::string& message) {
    if (if_current()) {
      me->OnFailure(failure, message);
    }
  };
  heard_at_ = BootTimeNow();
  attempt_ = environment_.targets.Send(std::move(request), std::move(handlers));
  WatchPath();
}

void gateway_call::WatchPath() {
  if (tunnel_.empty() && MayRunAgain()) {
    path_watch_ = environment_.paths.Watch(
        [me = shared_from_this()] { me->OnPartition(); });
  }
}

// An answer that is still on its way over an open connection is awaited, and so
// is a target that has not been silent for long.
void gateway_call::OnPartition() {
  path_watch_ = 0;
  if (phase_ == phase::ended || !attempt_ ||
      !environment_.paths.IsPartitioned()) {
    return;
  }
  const milliseconds silence = ToMilliseconds(BootTimeNow() - heard_at_);
  if (silence < kPathSilence) {
    const std::uint64_t serial = attempt_serial_;
    environment_.pool.After(kPathSilence - silence,
                            [me = shared_from_this(), serial] {
                              if (me->attempt_serial_ == serial) {
                                me->OnPartition();
                              }
                            });
    return;
  }
  attempt_->Cancel();
  EndAttempt();
  RetryAfterPossibleRun("path_lost");
}

void gateway_call::EndAttempt() {
  ++attempt_serial_;
  attempt_.reset();
  environment_.paths.Unwatch(path_watch_);
  environment_.state.targets.RequestEnded(target_);
}

// A target in trouble may send an answer twice. The copy arrives where the next
// answer is expected, and may be a refusal, which would promise that the next
// request has not run.
bool gateway_call::AcceptAnswer(int status,
                                const http_headers& headers,
                                bool is_first) {
  const std::string id =
      environment_.protocol.DecodeAnswer(status, headers).request_id;
  if (call_->request_id.empty() || id == call_->request_id ||
      (id.empty() && is_first)) {
    environment_.paths.OnAnswer(target_, tunnel_, is_first);
    return true;
  }
  environment_.state.counters.Add("foreign_answer_dropped");
  Log(log_level::warning, "answer to another request dropped",
      {{"request", call_->request_id},
       {"answered_request", id},
       {"status", status},
       {"target", target_}});
  return false;
}

void gateway_call::OnHeader(int status, const http_headers& headers) {
  heard_at_ = BootTimeNow();
  answer_ = environment_.protocol.DecodeAnswer(status, headers);
  if (answer_.load) {
    answer_.load->at = BootTimeNow();
    environment_.state.targets.ReportLoad(target_, *answer_.load);
  }
  // Another target at the address, or bytes that are no answer, say nothing of
  // this target's limit.
  if (!answer_.wrong_target && (answer_.is_signed || answer_.rate_limit)) {
    environment_.limits.OnAnswer(target_, answer_.rate_limit);
  }
  if (!answer_.wrong_target && answer_.cold_left) {
    environment_.limits.OnColdAnswer(target_, *answer_.cold_left);
  }
  if (answer_.is_leaving && !answer_.wrong_target &&
      (answer_.is_signed || answer_.not_run) &&
      environment_.state.targets.ReportLeaving(target_)) {
    environment_.state.counters.Add("target_said_leaving");
    Log(log_level::info, "target said that it leaves",
        {{"target", target_}, {"request", call_->request_id}});
  }
  if (events_sent_ == 0) {
    answer_headers_ = environment_.protocol.AnswerHeaders(headers);
  }
  if (answer_.wrong_target || answer_.not_run) {
    OnNotRun();
  } else if (!IsAnswerUsable()) {
    OnUnusableAnswer("unusable_answer");
  }
}

bool gateway_call::IsEventStream() const {
  return answer_.status < kFirstFailureStatus && answer_.is_signed &&
         answer_.is_event_stream;
}

bool gateway_call::IsAnswerUsable() const {
  const bool misleading =
      PromisesNotRun(answer_.status) && route_->kind != route_kind::idempotent;
  return IsEventStream() ||
         (answer_.is_signed && events_sent_ == 0 && !misleading);
}

// The header decides, so that a body that comes slowly, or without end, holds
// up nothing.
void gateway_call::OnNotRun() {
  attempt_->Discard();
  EndAttempt();
  environment_.paths.OnHeard(target_, tunnel_);
  environment_.state.targets.ReportSuccess(target_, BootTimeNow());
  if (answer_.wrong_target) {
    environment_.state.targets.ReportReplaced(target_);
    RetryElsewhere("wrong_target");
  } else {
    RetryElsewhere("target_full");
  }
}

void gateway_call::OnUnusableAnswer(const char* reason) {
  attempt_->Cancel();
  EndAttempt();
  environment_.state.targets.ReportFailure(target_, BootTimeNow());
  RetryAfterPossibleRun(reason);
}

void gateway_call::OnBody(std::string_view bytes) {
  heard_at_ = BootTimeNow();
  if (!IsEventStream()) {
    if (answer_body_.size() + bytes.size() > kMaxAnswerBytes) {
      OnUnusableAnswer("answer_too_long");
      return;
    }
    answer_body_.append(bytes);
    return;
  }
  event_splitter::chunk part = events_.Feed(bytes);
  if (events_.IsOverflowing()) {
    events_.DiscardPartialEvent();
    OnUnusableAnswer("event_too_long");
    return;
  }
  if (part.events > 0) {
    OnEvents(std::move(part));
  }
  if (events_.IsOutOfOrder() && phase_ != phase::ended) {
    // A target that has begun anew, or repeats what was sent.
    environment_.state.counters.Add("event_out_of_order");
    OnUnusableAnswer("event_out_of_order");
  }
}

std::size_t gateway_call::HeldBytes() const {
  return answer_body_.size() + events_.partial_event().size() +
         event_data_.size() + held_events_.size();
}

void gateway_call::OnEvents(event_splitter::chunk part) {
  if (events_sent_ == 0) {
    first_event_ = BootTimeNow();
  }
  if (attempt_events_ == 0) {
    first_attempt_event_ = BootTimeNow();
  }
  if (route_->keeps_turns) {
    AppendEventData(part.bytes, event_data_);
  }
  events_sent_ += part.events;
  attempt_events_ += part.events;
  last_event_ = BootTimeNow();
  PassOn(std::move(part.bytes));
}

void gateway_call::OnEnd() {
  const bool is_stream = IsEventStream();
  const bool ends_inside_event = is_stream && !events_.partial_event().empty();
  if (ends_inside_event) {
    attempt_->CloseAfterAnswer();
  }
  EndAttempt();
  environment_.paths.OnHeard(target_, tunnel_);
  if (ends_inside_event) {
    // However the answer was framed, its target broke it off.
    environment_.state.counters.Add("stream_ended_inside_event");
    environment_.state.targets.ReportFailure(target_, BootTimeNow());
    OnBroken("the stream ended inside an event");
    return;
  }
  environment_.state.targets.ReportSuccess(target_, BootTimeNow());
  if (is_stream) {
    OnStreamEnd();
  } else {
    OnWholeAnswer();
  }
}

void gateway_call::OnStreamEnd() {
  ++runs_;
  RecordDuration();
  if (!held_events_.empty()) {
    ends_after_held_ = true;
    return;
  }
  FinishStream();
}

void gateway_call::RecordDuration() {
  const steady_time now = BootTimeNow();
  environment_.state.domains.AddSample(service_, now - choice_.sent_at);
  environment_.state.stop.OnAnswered(route_->name,
                                     ToMilliseconds(now - choice_.sent_at));
  if (!IsEventStream()) {
    // A failure says nothing of the time that work takes.
    if (answer_.is_signed && answer_.status < kFirstFailureStatus) {
      environment_.state.targets.ReportWork(target_, {now - choice_.sent_at},
                                            now);
    }
  } else if (attempt_events_ >= kMinEventsForInterval) {
    environment_.state.targets.ReportWork(
        target_,
        {last_event_ - first_attempt_event_,
         static_cast<double>(attempt_events_ - 1), false},
        now);
  }
}

void gateway_call::FinishStream() {
  if (phase_ != phase::streaming) {
    exchange_->StartChunks(answer_headers_);
    phase_ = phase::streaming;
  }
  if (route_->keeps_turns && !call_->request_id.empty()) {
    SaveTurn();
  } else {
    EndAnswer();
  }
}

void gateway_call::EndAnswer() {
  environment_.crashes.OnAnswered(fingerprint_);
  exchange_->EndStream();
  Finish(kAnswered);
}

void gateway_call::SaveTurn() {
  phase_ = phase::saving;
  kept_turn turn;
  turn.key = {TeamName(), call_->request_id};
  turn.previous = continued_ ? call_->previous_turn : "";
  turn.conversation =
      continued_ ? continued_->conversation
                 : ConversationName(call_->program.empty() ? call_->request_id
                                                           : call_->program);
  turn.retention = route_->turn_retention;
  turn.history = exchange_->request().body + event_data_;
  // Callers close a stream that pauses for longer.
  const milliseconds patience =
      route_->max_event_gap.count() > 0 ? route_->max_event_gap : kSaveLimit;
  environment_.histories.Save(
      turn, policy_, std::min(TimeLeft(BootTimeNow()), patience),
      [me = shared_from_this()](bool durable) {
        if (me->phase_ == phase::ended) {
          return;
        }
        if (durable) {
          me->EndAnswer();
        } else {
          // The caller must not take the turn for one that it can continue.
          me->Refuse({refusal_reason::turn_not_kept, std::nullopt});
        }
      });
}

void gateway_call::OnWholeAnswer() {
  ++runs_;
  RecordDuration();
  environment_.crashes.OnAnswered(fingerprint_);
  http_response response;
  response.status = answer_.status;
  response.headers = answer_headers_;
  response.body = std::move(answer_body_);
  exchange_->Respond(std::move(response));
  Finish(kAnswered);
}

void gateway_call::OnFailure(http_failure failure, const std::string& message) {
  EndAttempt();
  if (failure == http_failure::not_wanted) {
    RetryElsewhere("target_left", message);
    return;
  }
  if (failure == http_failure::not_sent || failure == http_failure::no_tunnel) {
    OnNotSent(failure, message);
    return;
  }
  if (failure == http_failure::no_memory) {
    // The largest message is given up first: in most cases its target is in
    // trouble.
    environment_.state.targets.ReportFailure(target_, BootTimeNow());
    RetryAfterPossibleRun("no_memory", message);
  } else if (failure == http_failure::broken) {
    environment_.paths.OnFailed(target_, tunnel_, failure);
    environment_.state.targets.ReportFailure(target_, BootTimeNow());
    OnBroken(message);
  } else {
    RetryAfterPossibleRun("deadline", message);
  }
}

void gateway_call::OnNotSent(http_failure failure, const std::string& message) {
  environment_.paths.OnFailed(target_, tunnel_, failure);
  if (failure == http_failure::no_tunnel &&
      ++tunnel_failures_ <= kMaxTunnelFailures) {
    // Another gateway may reach the target.
    last_reason_ = "no_tunnel";
    LogFailedAttempt("no_tunnel", false, message);
    environment_.state.counters.Add("retried.no_tunnel");
    --sends_;
    Dispatch();
    return;
  }
  environment_.state.targets.ReportFailure(target_, BootTimeNow());
  RetryElsewhere("not_sent", message);
}

// The target may have ended because of this request. Other gateways may have
// seen it end targets too, so it is sent again only after they were asked. A
// request that is not sent again is answered at once.
void gateway_call::OnBroken(const std::string& message) {
  RecordPossibleRun("broken", message);
  const bool retries = MayRetry();
  environment_.crashes.OnCrash(
      fingerprint_,
      {fingerprint_.content, target_, choice_.target_start, choice_.sent_at,
       BootTimeNow(), attempt_events_ > 0,
       environment_.state.targets.Serving(service_).size()},
      [me = shared_from_this(), retries] {
        if (retries && me->phase_ != phase::ended) {
          me->is_crash_checked_ = true;
          me->RetryOrFail("broken");
        }
      });
  if (!retries) {
    RetryOrFail("broken");
  }
}

void gateway_call::RetryElsewhere(const char* reason,
                                  const std::string& detail) {
  last_reason_ = reason;
  LogFailedAttempt(reason, false, detail);
  environment_.state.counters.Add(std::string("retried.") + reason);
  excluded_.push_back(target_);
  Dispatch();
}

bool gateway_call::MayRunAgain() const {
  switch (route_->kind) {
    case route_kind::idempotent:
      return true;
    case route_kind::stream:
      return route_->resumable;
    case route_kind::at_most_once:
      return false;
  }
  return false;
}

bool gateway_call::MayRetry() const {
  return TimeLeft(BootTimeNow()).count() > 0 && MayRunAgain() &&
         runs_ < kMaxRuns && (events_sent_ == 0 || events_.IsResumable());
}

void gateway_call::RetryAfterPossibleRun(const char* reason,
                                         const std::string& detail) {
  RecordPossibleRun(reason, detail);
  RetryOrFail(reason);
}

void gateway_call::RecordPossibleRun(const char* reason,
                                     const std::string& detail) {
  ++runs_;
  last_reason_ = reason;
  LogFailedAttempt(reason, true, detail);
}

void gateway_call::RetryOrFail(const char* reason) {
  if (!MayRetry()) {
    const bool in_time = TimeLeft(BootTimeNow()).count() > 0;
    Refuse({in_time ? refusal_reason::target_failed
                    : refusal_reason::target_timeout,
            std::nullopt});
    return;
  }
  environment_.state.counters.Add(std::string("retried.") + reason);
  if (runs_ >= route_->max_targets) {
    // No other target may run the request, but this one may run it again.
    bound_target_ = target_;
  } else {
    excluded_.push_back(target_);
  }
  Dispatch();
}

}  // namespace gentian
