#include "gentian_gateway_daemon/unclaimed_starts.h"

#include <algorithm>
#include <vector>

#include "gentian_gateway_daemon/lease_registration.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

// A program is usually idle for only a few seconds between two turns.
constexpr milliseconds kMinProgramRetention{120'000};
// Time without a membership change after which all daemons have the same list.
constexpr milliseconds kMembershipStableDelay{6'000};
// Time without a change of owners after which earlier ones claim nothing more,
// so that a list of the claims is complete. Spread over the daemons, which
// often see the same change.
constexpr milliseconds kReadDelay{4'500};
constexpr milliseconds kReadSpread{1'000};
constexpr milliseconds kReadTimeout{2'000};
constexpr milliseconds kReadRetryInterval{5'000};
// Pages of some 500 claims that one daemon reads, and that all of them read
// together: all may see the same change, and a page has some 75 KB. If there
// are more, programs count as new only after ProgramRetention.
constexpr int kMaxPages = 8;
constexpr int kMaxPagesOfAll = 512;
// Members that are lost this long after an outage may have failed in it.
constexpr milliseconds kOutageLossWindow{10'000};
// A start takes less while the key-value service answers.
constexpr milliseconds kMaxUsualStart{3'000};

}  // namespace

milliseconds ProgramRetention(const gateway_state& state) {
  milliseconds retention = kMinProgramRetention;
  if (const shared_configuration current = state.configuration.current()) {
    for (const gateway_route& route : current->content().routes) {
      retention = std::max(retention, route.turn_retention);
    }
  }
  return retention;
}

bool IsMembershipStable(const gateway_state& state, steady_time now) {
  return now - state.members_changed_at > kMembershipStableDelay;
}

unclaimed_starts::unclaimed_starts(key_value_store& store,
                                   const gateway_settings& settings,
                                   const gateway_state& state)
    : store_(store),
      settings_(settings),
      state_(state),
      policy_(MemberKey(settings.host), ProgramRetention(state)) {}

// A daemon that has not renewed its record for this long may have a successor
// that does the same.
bool unclaimed_starts::MayStart(const std::string& program) const {
  const steady_time now = BootTimeNow();
  return state_.registered_at &&
         now - *state_.registered_at <
             lease_registration::kLeaseTtl + kMembershipStableDelay &&
         policy_.MayStart(program, now);
}

void unclaimed_starts::Update() {
  const steady_time now = BootTimeNow();
  policy_.SetRetention(ProgramRetention(state_));
  ApplyRegistration(now);
  ApplyMembers(now);
  ReadClaims(now);
}

void unclaimed_starts::ApplyRegistration(steady_time now) {
  if (state_.registered_at == registered_at_) {
    return;
  }
  if (registered_at_ &&
      *state_.registered_at - *registered_at_ > lease_registration::kLeaseTtl) {
    record_returned_at_ = now;
    policy_.OnRecordLost(now);
  }
  registered_at_ = state_.registered_at;
}

void unclaimed_starts::ApplyMembers(steady_time now) {
  const bool has_members = !state_.membership.members().empty();
  if (!state_.store_reached &&
      (has_members || now - started_at_ > kMaxUsualStart)) {
    outage_seen_at_ = now;
  }
  if (has_members && members_changed_at_ != state_.members_changed_at) {
    members_changed_at_ = state_.members_changed_at;
    policy_.OnMembers(
        state_.membership.members(),
        outage_seen_at_ && now - *outage_seen_at_ < kOutageLossWindow, now);
  }
}

steady_time unclaimed_starts::OwnersChangedAt() const {
  return std::max(members_changed_at_, record_returned_at_);
}

void unclaimed_starts::ReadClaims(steady_time now) {
  const milliseconds spread(StableHash(settings_.host) % kReadSpread.count());
  const bool is_settled = members_changed_at_ != steady_time() &&
                          now >= OwnersChangedAt() + kReadDelay + spread;
  if (!is_settled || is_reading_ || !state_.store_reached || now < next_read_ ||
      !policy_.NeedsClaims(now)) {
    return;
  }
  is_reading_ = true;
  const int members = static_cast<int>(state_.membership.members().size());
  const int pages =
      std::clamp(kMaxPagesOfAll / std::max(members, 1), 1, kMaxPages);
  store_.Call(kv_list{kClaimPrefix, false, pages}, kReadTimeout,
              [this, now](const kv_answer& answer) { OnClaims(now, answer); });
}

void unclaimed_starts::OnClaims(steady_time asked_at, const kv_answer& answer) {
  is_reading_ = false;
  if (answer.outcome != kv_answer::status::ok || answer.is_truncated) {
    next_read_ = BootTimeNow() + (answer.is_truncated ? ProgramRetention(state_)
                                                      : kReadRetryInterval);
    Log(log_level::info, "claims can not be listed",
        {{"outcome", NameOf(answer.outcome)},
         {"reason", answer.is_truncated ? "too many" : answer.reason}});
    return;
  }
  if (members_changed_at_ != state_.members_changed_at ||
      OwnersChangedAt() >= asked_at) {
    return;
  }
  std::vector<std::string> programs;
  programs.reserve(answer.entries.size());
  for (const kv_entry& entry : answer.entries) {
    programs.push_back(entry.key.substr(std::string(kClaimPrefix).size()));
  }
  policy_.OnClaims(programs);
  Log(log_level::info, "claims listed", {{"programs", programs.size()}});
}

}  // namespace gentian
