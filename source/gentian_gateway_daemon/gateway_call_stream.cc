// Implements gateway_call: which software may run a stream.

#include <algorithm>
#include <utility>

#include "gentian_gateway_daemon/gateway_call.h"
#include "gentian_gateway_daemon/message_time.h"

namespace gentian {

namespace {

// Longest time for which the first events wait for the record of the stream's
// origin. Without a record, a caller can't resume the stream.
constexpr milliseconds kMaxOriginWait{60};
// Longest time to look for the origin of a stream, within this share of the
// caller's remaining time.
constexpr milliseconds kMaxOriginSearch{500};
constexpr int kOriginSearchShare = 4;
constexpr milliseconds kOriginRetryAfter{200};
// Largest difference between the clocks of two hosts that is allowed for.
constexpr milliseconds kMaxClockDifference{1'000};

}  // namespace

bool gateway_call::IsResumable() const {
  return route_->kind == route_kind::stream && route_->resumable;
}

bool gateway_call::ResumesEarlier() const {
  return IsResumable() && !call_->last_event_id.empty();
}

void gateway_call::FindOrigin() {
  if (call_->resumed_request.empty()) {
    OnOrigin(std::nullopt);
    return;
  }
  environment_.origins.Find(
      call_->request_id, {TeamName(), call_->resumed_request},
      MaxOriginSearch(),
      [me = shared_from_this()](std::optional<stream_origin> origin) {
        if (me->phase_ != phase::ended) {
          me->OnOrigin(std::move(origin));
        }
      });
}

milliseconds gateway_call::MaxOriginSearch() const {
  return std::min(kMaxOriginSearch,
                  TimeLeft(BootTimeNow()) / kOriginSearchShare);
}

std::optional<std::string> gateway_call::OnlyVersion() const {
  return route_->services.size() == 1
             ? environment_.state.targets.OnlyVersion(service_, BootTimeNow())
             : std::nullopt;
}

// Without a record, the stream can still have come from one version alone if
// there was no other. This gateway may have been cut off, or have stood still,
// while targets of another version joined and began the stream.
void gateway_call::OnOrigin(std::optional<stream_origin> origin) {
  origin_ = std::move(origin);
  if (origin_ || !OnlyVersion()) {
    ResumeStream();
    return;
  }
  awaits_targets_ = true;
  environment_.reader.ReadTargets(
      [me = shared_from_this()](bool is_read) { me->OnTargetsRead(is_read); });
  environment_.pool.After(MaxOriginSearch(), [me = shared_from_this()] {
    me->OnTargetsRead(false);
  });
}

void gateway_call::OnTargetsRead(bool is_read) {
  if (phase_ == phase::ended || !std::exchange(awaits_targets_, false)) {
    return;
  }
  const std::optional<std::string> version =
      is_read ? OnlyVersion() : std::nullopt;
  environment_.state.counters.Add(version ? "stream_origin_only_version"
                                          : "stream_origin_not_certain");
  if (version) {
    origin_.emplace();
    origin_->service = service_;
    origin_->version = *version;
  }
  ResumeStream();
}

void gateway_call::ResumeStream() {
  if (!origin_ || !IsOriginCertain()) {
    Refuse({refusal_reason::stream_origin_unknown, kOriginRetryAfter});
    return;
  }
  // The service may differ from the one that was selected by the request's ID.
  if (const std::optional<refusal> refused = Authorize()) {
    Refuse(*refused);
    return;
  }
  Admit();
}

// A target may restart under its ID with other software. A request that was
// sent before the registration was read again may have met either.
bool gateway_call::IsOriginCertain() const {
  if (!origin_) {
    return true;
  }
  const known_target* listed =
      environment_.state.targets.FindListed(origin_->target);
  return !origin_->version.empty() &&
         (listed == nullptr ||
          listed->record.started_at_ms == origin_->target_start ||
          static_cast<std::int64_t>(listed->record.started_at_ms) >
              origin_->sent_at_ms + kMaxClockDifference.count());
}

bool gateway_call::HasTarget() const {
  const std::vector<const known_target*> serving =
      environment_.state.targets.Serving(service_);
  return std::any_of(
      serving.begin(), serving.end(), [this](const known_target* target) {
        return HasSoftware(*target) && policy_.MayRun(target->record);
      });
}

bool gateway_call::HasSoftware(const known_target& target) const {
  return !origin_ || target.record.version == origin_->version;
}

refusal gateway_call::NoTargetRefusal() const {
  const std::vector<const known_target*> serving =
      environment_.state.targets.Serving(service_);
  const bool is_elsewhere = std::any_of(
      serving.begin(), serving.end(), [this](const known_target* target) {
        return HasSoftware(*target) && !policy_.MayRun(target->record);
      });
  if (is_elsewhere && !HasTarget()) {
    return {refusal_reason::home_unavailable, kNoTargetRetryAfter};
  }
  if (origin_ && !HasTarget() && !HasEvacuatedTarget()) {
    return {refusal_reason::stream_software_gone, std::nullopt};
  }
  return {refusal_reason::no_target, kNoTargetRetryAfter};
}

bool gateway_call::HasEvacuatedTarget() const {
  const target_table& targets = environment_.state.targets;
  const std::vector<const known_target*> all = targets.All();
  return std::any_of(all.begin(), all.end(), [&](const known_target* target) {
    return target->record.service == service_ && !target->IsLeaving() &&
           HasSoftware(*target) && targets.IsEvacuated(target->record.id);
  });
}

// Starts with the send, so that the record is durable before the first event
// comes.
void gateway_call::RecordOrigin(const known_target& target) {
  if (!IsResumable() || origin_ || call_->request_id.empty()) {
    return;
  }
  if (!recording_) {
    recording_ = environment_.origins.Start({TeamName(), call_->request_id});
  }
  is_origin_settled_ = false;
  environment_.origins.Record(
      recording_,
      {service_, target.record.version, target.record.id,
       target.record.started_at_ms, UnixTimeNow().count()},
      [me = shared_from_this()] { me->OnOriginSettled(); });
}

void gateway_call::PassOn(std::string events) {
  if (recording_ && !origin_) {
    origin_ = recording_->origin();
    if (!is_origin_settled_) {
      environment_.pool.After(
          kMaxOriginWait, [me = shared_from_this()] { me->OnOriginSettled(); });
    }
  }
  if (!is_origin_settled_) {
    held_events_ += events;
    return;
  }
  if (phase_ != phase::streaming) {
    phase_ = phase::streaming;
    if (recording_) {
      environment_.origins.Begin(*recording_);
    }
    exchange_->StartChunks(answer_headers_);
  }
  exchange_->SendChunk(std::move(events));
}

void gateway_call::OnOriginSettled() {
  if (phase_ == phase::ended || is_origin_settled_) {
    return;
  }
  is_origin_settled_ = true;
  if (held_events_.empty()) {
    return;
  }
  environment_.state.metrics.AddLatency("stream_origin_wait",
                                        BootTimeNow() - *first_event_);
  if (!recording_->IsConsistent()) {
    // A store may name the software of an earlier send.
    if (attempt_) {
      attempt_->Cancel();
      EndAttempt();
    }
    RecordPossibleRun("origin_not_recorded", {});
    Refuse({refusal_reason::target_failed, std::nullopt});
    return;
  }
  PassOn(std::exchange(held_events_, {}));
  if (ends_after_held_) {
    FinishStream();
  }
}

}  // namespace gentian
