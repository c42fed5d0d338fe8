#include "gentian_gateway/budget_ledger.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

// Consecutive unanswered writes after which waiting turns are rejected. The
// second attempt uses a new connection and shows whether the first one took
// effect.
constexpr int kMaxUnansweredWrites = 2;
// A fourth of a budget is claimed at most in addition to what the waiting turns
// need. Programs commonly use a fifth of their budget, so one or two writes are
// enough for most. If the daemon fails while a program runs, the program loses
// it.
constexpr std::int64_t kMaxAheadDivisor = 4;
// Nothing is claimed ahead when half of a budget is claimed, so that a program
// never loses more than that to claims ahead, however many daemons fail.
constexpr std::int64_t kClaimedAheadDivisor = 2;

}  // namespace

void budget_commands::Append(budget_commands more) {
  decisions.insert(decisions.end(), more.decisions.begin(),
                   more.decisions.end());
  std::move(more.writes.begin(), more.writes.end(), std::back_inserter(writes));
}

budget_ledger::budget_ledger(std::string writer) : writer_(std::move(writer)) {}

budget_commands budget_ledger::Reserve(const token_request& request,
                                       steady_time now) {
  account& entry = accounts_[request.program];
  entry.budget = request.budget;
  entry.claim_ahead = request.claim_ahead;
  entry.last_used = now;
  entry.waiting.push_back(request);
  budget_commands commands = Advance(request.program, entry);
  TrackExcess(entry, now);
  return commands;
}

budget_commands budget_ledger::Settle(const std::string& program,
                                      std::int64_t reserved,
                                      std::int64_t used,
                                      steady_time now) {
  account& entry = accounts_[program];
  entry.available += reserved - used;
  entry.used += used;
  entry.last_used = now;
  budget_commands commands = Advance(program, entry);
  TrackExcess(entry, now);
  return commands;
}

void budget_ledger::Cancel(const std::string& program, budget_ticket ticket) {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return;
  }
  auto& waiting = found->second.waiting;
  waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                               [ticket](const token_request& next) {
                                 return next.ticket == ticket;
                               }),
                waiting.end());
}

void budget_ledger::GrantWaiting(account& entry, budget_commands& commands) {
  while (!entry.waiting.empty() &&
         entry.available >= entry.waiting.front().max_tokens) {
    entry.available -= entry.waiting.front().max_tokens;
    commands.decisions.push_back(
        {entry.waiting.front().ticket, budget_decision::granted});
    entry.waiting.pop_front();
  }
}

std::int64_t budget_ledger::WaitingTokens(const account& entry) {
  std::int64_t tokens = 0;
  for (const token_request& next : entry.waiting) {
    tokens += next.max_tokens;
  }
  return tokens;
}

// Most tokens that this daemon keeps for turns that have not been requested.
std::int64_t budget_ledger::MaxAhead(const account& entry) {
  if (!entry.claim_ahead) {
    return 0;
  }
  const std::int64_t needed =
      entry.claimed - entry.available + WaitingTokens(entry);
  return std::clamp<std::int64_t>(entry.budget / kClaimedAheadDivisor - needed,
                                  0, entry.budget / kMaxAheadDivisor);
}

std::int64_t budget_ledger::AmountToClaim(const account& entry) {
  const std::int64_t wanted = WaitingTokens(entry) - entry.available;
  return std::min(wanted + MaxAhead(entry), entry.budget - entry.claimed);
}

std::int64_t budget_ledger::IdleTokens(const account& entry,
                                       steady_time since) {
  if (entry.write || !entry.waiting.empty() || entry.available <= 0) {
    return 0;
  }
  if (entry.last_used < since) {
    return entry.available;
  }
  return entry.excess_since && *entry.excess_since < since
             ? std::max<std::int64_t>(entry.available - MaxAhead(entry), 0)
             : 0;
}

void budget_ledger::TrackExcess(account& entry, steady_time now) {
  if (entry.available <= MaxAhead(entry)) {
    entry.excess_since.reset();
  } else if (!entry.excess_since) {
    entry.excess_since = now;
  }
}

budget_commands budget_ledger::Advance(const std::string& program,
                                       account& entry) {
  budget_commands commands;
  GrantWaiting(entry, commands);
  if (entry.writing) {
    return commands;
  }
  if (entry.write && !entry.waiting.empty()) {
    commands.writes.push_back(SendWrite(program, entry));
    return commands;
  }
  while (!entry.waiting.empty()) {
    const std::int64_t amount = AmountToClaim(entry);
    if (entry.available + amount >= entry.waiting.front().max_tokens) {
      commands.writes.push_back(StartWrite(program, entry, amount));
      break;
    }
    const bool others_hold_tokens = entry.claimed > entry.own_claimed;
    if (others_hold_tokens && !entry.verified) {
      // Another daemon may have released tokens since the claim was read.
      entry.verified = true;
      commands.writes.push_back(StartWrite(program, entry, 0));
      break;
    }
    const bool may_have_more =
        others_hold_tokens && entry.waiting.front().others_may_release;
    commands.decisions.push_back({entry.waiting.front().ticket,
                                  may_have_more ? budget_decision::unavailable
                                                : budget_decision::exhausted});
    entry.waiting.pop_front();
  }
  if (!entry.writing) {
    entry.verified = false;
  }
  return commands;
}

budget_commands::write budget_ledger::StartWrite(const std::string& program,
                                                 account& entry,
                                                 std::int64_t amount) {
  claim_write started;
  started.id = writer_ + "-" + std::to_string(++last_write_);
  started.expected_version = entry.version;
  started.amount = amount;
  entry.write = std::move(started);
  return SendWrite(program, entry);
}

budget_commands::write budget_ledger::SendWrite(const std::string& program,
                                                account& entry) {
  entry.writing = true;
  const claim_write& write = *entry.write;
  return {program, write.expected_version,
          EncodeClaim({entry.claimed + write.amount, write.id})};
}

std::vector<std::string> budget_ledger::UnresolvedPrograms() const {
  std::vector<std::string> programs;
  for (const auto& [program, entry] : accounts_) {
    if (!entry.writing && (entry.write || entry.available < 0)) {
      programs.push_back(program);
    }
  }
  return programs;
}

budget_commands budget_ledger::Resolve(const std::string& program) {
  const auto found = accounts_.find(program);
  budget_commands commands;
  if (found == accounts_.end() || found->second.writing) {
    return commands;
  }
  account& entry = found->second;
  if (entry.write) {
    commands.writes.push_back(SendWrite(program, entry));
  } else if (entry.available < 0) {
    // Also beyond the budget: the tokens have reached the caller.
    commands.writes.push_back(StartWrite(program, entry, -entry.available));
  }
  return commands;
}

// With an amount of 0 if the stored claim has not been read.
budget_commands::write budget_ledger::StartRelease(const std::string& program,
                                                   account& entry,
                                                   std::int64_t amount) {
  entry.excess_since.reset();
  if (entry.version == 0) {
    return StartWrite(program, entry, 0);
  }
  // Not to be granted while the release is on its way.
  entry.available -= amount;
  return StartWrite(program, entry, -amount);
}

budget_commands budget_ledger::ReleaseUnused(const std::string& program) {
  const auto found = accounts_.find(program);
  budget_commands commands;
  if (found == accounts_.end()) {
    return commands;
  }
  account& entry = found->second;
  if (entry.available > 0 && !entry.write && entry.waiting.empty()) {
    commands.writes.push_back(StartRelease(program, entry, entry.available));
  }
  return commands;
}

budget_commands budget_ledger::ReleaseUnused(
    const std::function<bool(const std::string& program)>& applies) {
  budget_commands commands;
  for (const auto& [program, entry] : accounts_) {
    if (entry.available > 0 && applies(program)) {
      commands.Append(ReleaseUnused(program));
    }
  }
  return commands;
}

bool budget_ledger::HasIdle(steady_time since,
                            steady_time relaxed_since) const {
  return std::any_of(accounts_.begin(), accounts_.end(), [=](const auto& next) {
    const account& entry = next.second;
    const bool is_relaxed =
        entry.claimed <= entry.budget / kClaimedAheadDivisor;
    return IdleTokens(entry, is_relaxed ? relaxed_since : since) > 0;
  });
}

budget_commands budget_ledger::ReleaseIdle(steady_time since,
                                           std::size_t max_writes) {
  budget_commands commands;
  for (auto& [program, entry] : accounts_) {
    if (commands.writes.size() >= max_writes) {
      break;
    }
    const std::int64_t idle = IdleTokens(entry, since);
    if (idle > 0) {
      commands.writes.push_back(StartRelease(program, entry, idle));
    }
  }
  return commands;
}

budget_ledger::write_outcome budget_ledger::OutcomeOf(
    const claim_write& write,
    const std::optional<budget_claim>& stored) {
  if (stored && stored->write_id == write.id) {
    return write_outcome::applied;
  }
  // Only the tries without an answer can have run before the last one.
  return write.may_have_run ? write_outcome::unknown
                            : write_outcome::not_applied;
}

// Tokens of a write whose outcome stays unknown are lost to the program. They
// may belong to another daemon now.
void budget_ledger::ApplyOutcome(account& entry, write_outcome outcome) {
  const std::int64_t amount = entry.write->amount;
  entry.write.reset();
  if (outcome == write_outcome::applied) {
    entry.own_claimed += amount;
    entry.available += std::max<std::int64_t>(amount, 0);
  } else if (outcome == write_outcome::not_applied) {
    entry.available += std::max<std::int64_t>(-amount, 0);
  }
}

budget_commands budget_ledger::OnWriteResolved(
    const std::string& program,
    account& entry,
    std::uint64_t version,
    const std::optional<budget_claim>& stored) {
  entry.writing = false;
  entry.version = version;
  entry.claimed = stored ? stored->claimed : 0;
  const bool is_release = entry.write->amount < 0;
  const write_outcome outcome = OutcomeOf(*entry.write, stored);
  ApplyOutcome(entry, outcome);
  if (is_release && outcome == write_outcome::not_applied &&
      entry.waiting.empty()) {
    // Another daemon has changed the claim in the meantime.
    return ReleaseUnused(program);
  }
  return Advance(program, entry);
}

budget_commands budget_ledger::OnWritten(const std::string& program,
                                         std::uint64_t version) {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return {};
  }
  account& entry = found->second;
  return OnWriteResolved(
      program, entry, version,
      budget_claim{entry.claimed + entry.write->amount, entry.write->id});
}

budget_commands budget_ledger::OnConflict(
    const std::string& program,
    std::uint64_t version,
    const std::optional<budget_claim>& stored) {
  const auto found = accounts_.find(program);
  return found == accounts_.end()
             ? budget_commands()
             : OnWriteResolved(program, found->second, version, stored);
}

budget_commands budget_ledger::OnNotCarriedOut(const std::string& program) {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return {};
  }
  account& entry = found->second;
  entry.writing = false;
  entry.verified = false;
  if (entry.write->may_have_run) {
    // An earlier try may still run.
    budget_commands commands;
    commands.writes.push_back(SendWrite(program, entry));
    return commands;
  }
  ApplyOutcome(entry, write_outcome::not_applied);
  return Advance(program, entry);
}

budget_commands budget_ledger::OnNoAnswer(const std::string& program,
                                          bool may_have_run) {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return {};
  }
  account& entry = found->second;
  budget_commands commands;
  entry.write->may_have_run |= may_have_run;
  if (++entry.write->unanswered < kMaxUnansweredWrites) {
    // If the first try took effect, this one conflicts and finds its own ID in
    // the stored claim.
    commands.writes.push_back(SendWrite(program, entry));
    return commands;
  }
  entry.writing = false;
  entry.write->unanswered = 0;
  if (!entry.write->may_have_run) {
    ApplyOutcome(entry, write_outcome::not_applied);
  }
  if (MayStartUnclaimed(entry)) {
    entry.has_unclaimed_turn = true;
    entry.available -= entry.waiting.front().max_tokens;
    commands.decisions.push_back({entry.waiting.front().ticket,
                                  budget_decision::granted,
                                  /*is_claimed=*/false});
    entry.waiting.pop_front();
  }
  for (const token_request& next : entry.waiting) {
    commands.decisions.push_back({next.ticket, budget_decision::unavailable});
  }
  entry.waiting.clear();
  return commands;
}

std::int64_t budget_ledger::UsedTokens(const std::string& program) const {
  const auto found = accounts_.find(program);
  return found == accounts_.end() ? 0 : found->second.used;
}

// The first turn of a program may start before its tokens are claimed. If this
// daemon fails before it claims them, the program exceeds its budget by at most
// one turn, which the users accept.
bool budget_ledger::MayStartUnclaimed(const account& entry) {
  return entry.version == 0 && !entry.has_unclaimed_turn &&
         !entry.waiting.empty() && entry.waiting.front().may_start_unclaimed &&
         entry.waiting.front().max_tokens <= entry.budget;
}

std::vector<budget_commands::write> budget_ledger::ReleaseAll() {
  std::vector<budget_commands::write> writes;
  for (auto& [program, entry] : accounts_) {
    const bool is_owed = entry.available < 0;
    if (entry.writing || (entry.version == 0 && !is_owed)) {
      continue;
    }
    // If the condition of this write holds, an unresolved one has not run.
    const std::int64_t unresolved =
        entry.write ? std::max<std::int64_t>(-entry.write->amount, 0) : 0;
    entry.write.reset();
    if (entry.available + unresolved != 0) {
      entry.claimed -= entry.available + unresolved;
      entry.available = 0;
      writes.push_back(
          {program, entry.version,
           EncodeClaim({entry.claimed,
                        writer_ + "-" + std::to_string(++last_write_)})});
    }
  }
  return writes;
}

void budget_ledger::EvictIdle(steady_time limit) {
  for (auto next = accounts_.begin(); next != accounts_.end();) {
    const account& entry = next->second;
    if (entry.last_used < limit && entry.waiting.empty() && !entry.write &&
        entry.available == 0) {
      next = accounts_.erase(next);
    } else {
      ++next;
    }
  }
}

}  // namespace gentian
