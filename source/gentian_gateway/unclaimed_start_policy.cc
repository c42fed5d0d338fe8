#include "gentian_gateway/unclaimed_start_policy.h"

#include <algorithm>
#include <utility>

#include "gentian_gateway/owner_of.h"

namespace gentian {

unclaimed_start_policy::unclaimed_start_policy(std::string self,
                                               duration retention)
    : self_(std::move(self)), retention_(retention) {}

void unclaimed_start_policy::OnRecordLost(steady_time now) {
  has_claims_ = false;
  if (started_at_) {
    started_at_ = now;
  }
}

void unclaimed_start_policy::OnMembers(
    const std::map<std::string, member_record>& members,
    bool after_outage,
    steady_time now) {
  bool has_lost_owner = !started_at_;
  started_at_ = started_at_.value_or(now);
  for (const auto& [key, member] : owners_) {
    const auto found = members.find(key);
    const bool is_gone = found == members.end() || found->second.stopping;
    if (is_gone && left_at_.emplace(key, now).second) {
      has_lost_owner = true;
    }
  }
  for (const auto& [key, member] : members) {
    if (!member.stopping) {
      owners_[key] = member;
      left_at_.erase(key);
    }
  }
  if (after_outage && has_lost_owner) {
    refused_until_ = now + retention_;
  }
}

bool unclaimed_start_policy::IsPast(const std::string& key,
                                    steady_time now) const {
  const auto found = left_at_.find(key);
  return found != left_at_.end() && now - found->second >= retention_;
}

bool unclaimed_start_policy::NeedsClaims(steady_time now) const {
  return !has_claims_ || std::any_of(left_at_.begin(), left_at_.end(),
                                     [this, now](const auto& left) {
                                       return !IsPast(left.first, now);
                                     });
}

void unclaimed_start_policy::OnClaims(
    const std::vector<std::string>& programs) {
  has_claims_ = true;
  claimed_.clear();
  for (const std::string& program : programs) {
    claimed_.insert(StableHash(program));
  }
  for (const auto& [key, left_at] : left_at_) {
    owners_.erase(key);
  }
  left_at_.clear();
}

bool unclaimed_start_policy::MayStart(const std::string& program,
                                      steady_time now) const {
  if (!started_at_ || now < refused_until_ ||
      (!has_claims_ && now - *started_at_ < retention_) ||
      claimed_.count(StableHash(program)) > 0) {
    return false;
  }
  const member_record* owner =
      OwnerOf(program, owners_, [this, now](const member_record& member) {
        return left_at_.empty() || !IsPast(MemberKey(member.host), now);
      });
  return owner != nullptr && MemberKey(owner->host) == self_;
}

}  // namespace gentian
