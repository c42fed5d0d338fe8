#include "gentian_decisions/retry_policy.h"

#include <algorithm>
#include <string>

namespace gentian {

namespace {

const char* NameOfFailure(target_failure failure) {
  switch (failure) {
    case target_failure::not_sent:
      return "not_sent";
    case target_failure::rejected_not_run:
      return "rejected_not_run";
    case target_failure::broken:
      return "broken";
    case target_failure::silent:
      return "silent";
    case target_failure::deadline:
      return "deadline";
    case target_failure::answered_error:
      return "answered_error";
  }
  return "unknown";
}

bool IsKnownNotRun(target_failure failure) {
  return failure == target_failure::not_sent ||
         failure == target_failure::rejected_not_run;
}

void DropBefore(std::deque<steady_time>& times, steady_time limit) {
  while (!times.empty() && times.front() <= limit) {
    times.pop_front();
  }
}

}  // namespace

void retry_policy::budget::Trim(steady_time now) {
  DropBefore(first_attempts, now - kWindow);
  DropBefore(retries, now - kWindow);
}

bool retry_policy::budget::Allows(steady_time now) {
  Trim(now);
  const double allowed =
      kRetriesPerFirstAttempt * static_cast<double>(first_attempts.size()) +
      kMinRetries;
  return static_cast<double>(retries.size() + 1) <= allowed;
}

void retry_policy::RecordFirstAttempt(const team_id& team,
                                      const target_id& target,
                                      steady_time now) {
  for (budget* each : {&teams_[team], &targets_[target]}) {
    each->Trim(now);
    each->first_attempts.push_back(now);
  }
}

std::optional<milliseconds> retry_policy::Decide(const team_id& team,
                                                 const target_id& target,
                                                 target_failure failure,
                                                 int attempts,
                                                 bool repeatable,
                                                 node_context& context) {
  const std::string name = NameOfFailure(failure);
  // Most error responses are caused by the request itself, so they are retried
  // only once.
  const int most = failure == target_failure::answered_error ? 2 : kMaxAttempts;
  if (!(IsKnownNotRun(failure) || repeatable) || attempts >= most) {
    context.counters.Add("not_retried." + name);
    return std::nullopt;
  }
  budget& of_team = teams_[team];
  budget& of_target = targets_[target];
  if (!of_team.Allows(context.now) || !of_target.Allows(context.now)) {
    context.counters.Add("not_retried.budget");
    return std::nullopt;
  }
  of_team.retries.push_back(context.now);
  of_target.retries.push_back(context.now);
  context.counters.Add("retried." + name);
  const auto bound = std::min<std::int64_t>(
      kBackoffBase.count() << std::max(attempts - 1, 0), kBackoffCap.count());
  return milliseconds(static_cast<std::int64_t>(
      context.random.Below(static_cast<std::uint64_t>(bound) + 1)));
}

void retry_policy::RecordOutcome(const target_id& target,
                                 const pool_id& pool,
                                 std::size_t pool_size,
                                 bool ok,
                                 steady_time now) {
  target_record& record = records_[target];
  record.pool = pool;
  record.outcomes.push_back(outcome{now, ok});
  record.errors += ok ? 0 : 1;
  while (record.outcomes.front().time <= now - kWindow) {
    record.errors -= record.outcomes.front().ok ? 0 : 1;
    record.outcomes.pop_front();
  }
  record.consecutive_failures = ok ? 0 : record.consecutive_failures + 1;
  const double total = static_cast<double>(record.outcomes.size());
  const bool bad_rate =
      record.outcomes.size() >= kMinOutcomes &&
      static_cast<double>(record.errors) > kMaxErrorRate * total;
  if (!ok &&
      (record.consecutive_failures >= kMaxConsecutiveFailures || bad_rate)) {
    Eject(record, pool_size, now);
  }
  // A target without errors for a whole ejection period starts again with the
  // shortest ejection time.
  if (ok && record.errors == 0 &&
      now - record.ejected_until > record.next_ejection_time) {
    record.next_ejection_time = kMinEjectionTime;
  }
}

void retry_policy::Eject(target_record& record,
                         std::size_t pool_size,
                         steady_time now) {
  if (record.ejected_until > now) {
    return;
  }
  std::size_t ejected = 0;
  for (const auto& [id, other] : records_) {
    ejected += other.pool == record.pool && other.ejected_until > now ? 1 : 0;
  }
  if ((ejected + 1) * 2 > pool_size) {
    return;
  }
  record.ejected_until = now + record.next_ejection_time;
  record.next_ejection_time =
      std::min(record.next_ejection_time * 2, kMaxEjectionTime);
  record.consecutive_failures = 0;
  record.outcomes.clear();
  record.errors = 0;
}

bool retry_policy::IsEjected(const target_id& target, steady_time now) const {
  const auto found = records_.find(target);
  return found != records_.end() && found->second.ejected_until > now;
}

}  // namespace gentian
