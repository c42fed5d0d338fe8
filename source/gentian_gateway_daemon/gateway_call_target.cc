// Implements gateway_call: the choice of a target, and room below its limit.

#include <algorithm>

#include "gentian_gateway_daemon/gateway_call.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

// Targets with a limit that are asked for room before the request goes to
// others or waits. Each question takes a few milliseconds.
constexpr int kMaxPermitRequests = 3;
// Older paces hardly count.
constexpr milliseconds kFreshPace{600};

void LogDomainChanges(gateway_state& state) {
  for (const domain_routers::change& next : state.domains.TakeChanges()) {
    Log(log_level::info, "share that leaves the failure domain changed",
        {{"service", next.service},
         {"domain", next.domain},
         {"share_before", next.before},
         {"share", next.now},
         {"reason", NameOf(next.reason)}});
  }
}

}  // namespace

const known_target* gateway_call::ChooseTarget(steady_time now) const {
  const target_table& targets = environment_.state.targets;
  const bool may_ask = permit_requests_ < kMaxPermitRequests;
  const auto may_send = [&](const std::string& id) {
    const known_target& target = *targets.Find(id);
    return id == permitted_target_ ||
           (!target.HasNoRoom(now) && (may_ask || !target.IsLimited(now)));
  };
  if (IsUsable(bound_target_)) {
    // No other target may run it, even if this one has no room.
    return may_send(bound_target_) ? targets.Find(bound_target_) : nullptr;
  }
  if (IsBoundForbidden()) {
    return nullptr;
  }
  for (const std::string* id : {&permitted_target_, &preferred_target_}) {
    if (IsUsable(*id) && may_send(*id) &&
        now >= targets.Find(*id)->avoid_until) {
      return targets.Find(*id);
    }
  }
  target_requirements demand;
  demand.service = service_;
  if (route_->has_affinity) {
    demand.affinity_key =
        call_->object.empty() ? call_->program : call_->object;
  }
  demand.failure_domain = environment_.settings.failure_domain;
  // A retry compares other targets.
  demand.draw = StableHash(call_->request_id,
                           static_cast<std::uint64_t>(sends_) +
                               static_cast<std::uint64_t>(permit_requests_));
  if (call_->request_id.empty()) {
    demand.draw +=
        static_cast<std::uint64_t>(arrived_.time_since_epoch().count());
  }
  demand.excluded = excluded_;
  demand.skip_limited = !may_ask;
  if (origin_) {
    demand.version = origin_->version;
  } else if (recording_) {
    // The record that was written for the earlier send stays true.
    demand.preferred_version = recording_->origin().version;
  }
  if (policy_.has_homes()) {
    demand.may_run = [this](const target_record& target) {
      return policy_.MayRun(target);
    };
  }
  gateway_state& state = environment_.state;
  // By default only turns are kept in their domain: plain requests carry few
  // bytes, and their targets are so few that the wait for a slot matters more.
  std::optional<domain_charges> charges;
  if (environment_.settings.domains.mode == own_domain_mode::on) {
    charges = state.domains.ChargesFor(service_, demand.failure_domain, targets,
                                       state.membership.members(), now);
  }
  LogDomainChanges(state);
  demand.charges = charges ? &*charges : nullptr;
  return SelectTarget(targets, demand, now);
}

void gateway_call::RecordExpectation(const known_target& target) {
  const service_targets* service =
      environment_.state.targets.FindService(service_);
  if (service == nullptr || !service->performance.reports_pace) {
    return;
  }
  gateway_state& state = environment_.state;
  const steady_time now = choice_.sent_at;
  choice_.pace = PaceNow(target, now);
  choice_.expected_completion =
      ExpectedCompletion(target, service->performance, {}, now);
  state.metrics.AddLatency("expected_completion", *choice_.expected_completion);
  const bool is_fresh =
      target.load && target.load->pace && now - target.load->at < kFreshPace;
  state.counters.Add(is_fresh ? "chosen_by_pace.fresh"
                              : "chosen_by_pace.stale");
}

bool gateway_call::IsUsable(const std::string& target) const {
  const known_target* known = environment_.state.targets.Find(target);
  return known != nullptr && known->record.service == service_ &&
         policy_.MayRun(known->record) &&
         (!origin_ || known->record.version == origin_->version) &&
         std::find(excluded_.begin(), excluded_.end(), target) ==
             excluded_.end();
}

bool gateway_call::IsBoundForbidden() const {
  const target_table& targets = environment_.state.targets;
  const known_target* bound = targets.FindListed(bound_target_);
  return bound != nullptr &&
         (targets.IsEvacuated(bound_target_) || !policy_.MayRun(bound->record));
}

const known_target* gateway_call::FindSoonestRoom(steady_time now) const {
  const known_target* soonest = nullptr;
  if (IsBoundForbidden()) {
    return nullptr;
  }
  for (const known_target* target :
       environment_.state.targets.Serving(service_)) {
    const std::string& id = target->record.id;
    if (target->HasNoRoom(now) && IsUsable(id) &&
        (!IsUsable(bound_target_) || id == bound_target_) &&
        (soonest == nullptr ||
         target->no_room_until < soonest->no_room_until)) {
      soonest = target;
    }
  }
  return soonest;
}

// No target has room at once: reserves the next place, unless the request can't
// wait for it.
bool gateway_call::WaitForRoom() {
  if (has_waited_for_room_) {
    return false;
  }
  has_waited_for_room_ = true;
  const steady_time now = BootTimeNow();
  const known_target* soonest = FindSoonestRoom(now);
  const milliseconds limit = MaxQueueTime();
  if (soonest == nullptr || soonest->no_room_until - now > limit) {
    return false;
  }
  if (soonest->cold.Rate(now) && soonest->record.id != bound_target_) {
    // Callers may try elsewhere sooner than the target warms up.
    return false;
  }
  RequestPermit(soonest->record.id, limit);
  return true;
}

void gateway_call::RequestPermit(const std::string& target,
                                 milliseconds max_wait) {
  ++permit_requests_;
  environment_.limits.Take(target, max_wait,
                           [me = shared_from_this(), target](
                               const target_limit_service::permit& permit) {
                             me->OnPermit(target, permit);
                           });
}

void gateway_call::OnPermit(const std::string& target,
                            const target_limit_service::permit& permit) {
  if (phase_ == phase::ended) {
    return;
  }
  if (!permit.granted) {
    // The target is known to have no room now.
    Dispatch();
    return;
  }
  permitted_target_ = target;
  permit_wait_ += permit.wait;
  if (permit.wait.count() == 0) {
    Dispatch();
    return;
  }
  environment_.pool.After(permit.wait, [me = shared_from_this()] {
    if (me->phase_ != phase::ended) {
      me->Dispatch();
    }
  });
}

}  // namespace gentian
