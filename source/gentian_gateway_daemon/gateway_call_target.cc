// Implements gateway_call: the choice of a target, and room below its limit.

#include <algorithm>

#include "gentian_gateway_daemon/gateway_call.h"

namespace gentian {

namespace {

// Targets with a limit that are asked for room before the request goes to
// others or waits. Each question takes a few milliseconds.
constexpr int kMaxPermitRequests = 3;

}  // namespace

const known_target* gateway_call::ChooseTarget(steady_time now) const {
  const target_table& targets = environment_.state.targets;
  const bool may_ask = permit_requests_ < kMaxPermitRequests;
  const auto may_send = [&](const std::string& id) {
    const known_target& target = *targets.Find(id);
    return id == permitted_target_ ||
           (!target.HasNoRoom(now) && (may_ask || !target.IsLimited()));
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
  return SelectTarget(targets, demand, now);
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
