#include "gentian_gateway/budget_ledger.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

// Writes without an answer after which waiting turns are given up. A second
// try uses a new connection and tells whether the first one took effect.
constexpr int kMaxUnansweredWrites = 2;
// Part of a budget that is claimed beyond the turns that wait. Programs
// commonly use a fifth of their budgets, so that one or two writes are enough
// for most; a daemon that fails loses at most this part to a program.
constexpr double kClaimAheadFraction = 0.25;

}  // namespace

void budget_commands::Append(budget_commands more) {
  decisions.insert(decisions.end(), more.decisions.begin(),
                   more.decisions.end());
  std::move(more.writes.begin(), more.writes.end(), std::back_inserter(writes));
}

budget_ledger::budget_ledger(std::string writer) : writer_(std::move(writer)) {}

budget_commands budget_ledger::Reserve(const token_request& request,
                                       steady_time now) {
  account& own = accounts_[request.program];
  own.budget = request.budget;
  own.claim_ahead = request.claim_ahead;
  own.last_used = now;
  own.waiting.push_back(request);
  return Advance(request.program, own);
}

budget_commands budget_ledger::Settle(const std::string& program,
                                      std::int64_t reserved,
                                      std::int64_t used,
                                      steady_time now) {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return {};
  }
  found->second.available += reserved - used;
  found->second.used += used;
  found->second.last_used = now;
  return Advance(program, found->second);
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

void budget_ledger::GrantWaiting(account& own, budget_commands& commands) {
  while (!own.waiting.empty() &&
         own.available >= own.waiting.front().max_tokens) {
    own.available -= own.waiting.front().max_tokens;
    commands.decisions.push_back(
        {own.waiting.front().ticket, budget_decision::granted});
    own.waiting.pop_front();
  }
}

std::int64_t budget_ledger::AmountToClaim(const account& own) {
  std::int64_t wanted = -own.available;
  for (const token_request& next : own.waiting) {
    wanted += next.max_tokens;
  }
  const auto ahead =
      own.claim_ahead
          ? static_cast<std::int64_t>(kClaimAheadFraction *
                                      static_cast<double>(own.budget))
          : 0;
  return std::min(wanted + ahead, own.budget - own.claimed);
}

budget_commands budget_ledger::Advance(const std::string& program,
                                       account& own) {
  budget_commands commands;
  GrantWaiting(own, commands);
  if (own.writing) {
    return commands;
  }
  while (!own.waiting.empty()) {
    const std::int64_t amount = AmountToClaim(own);
    if (own.available + amount >= own.waiting.front().max_tokens) {
      own.writing = true;
      own.write_id = writer_ + "-" + std::to_string(++last_write_);
      own.write_amount = amount;
      commands.writes.push_back(
          {program, own.version,
           EncodeClaim({own.claimed + amount, own.write_id})});
      break;
    }
    commands.decisions.push_back(
        {own.waiting.front().ticket, budget_decision::exhausted});
    own.waiting.pop_front();
  }
  return commands;
}

budget_commands budget_ledger::OnWriteResolved(
    const std::string& program,
    account& own,
    std::uint64_t version,
    const std::optional<budget_claim>& stored) {
  own.writing = false;
  own.unanswered_writes = 0;
  own.version = version;
  own.claimed = stored ? stored->claimed : 0;
  if (stored && stored->write_id == own.write_id) {
    own.available += own.write_amount;
  }
  own.write_id.clear();
  return Advance(program, own);
}

budget_commands budget_ledger::OnWritten(const std::string& program,
                                         std::uint64_t version) {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return {};
  }
  account& own = found->second;
  return OnWriteResolved(
      program, own, version,
      budget_claim{own.claimed + own.write_amount, own.write_id});
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

budget_commands budget_ledger::OnNoAnswer(const std::string& program,
                                          bool may_have_run) {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return {};
  }
  account& own = found->second;
  budget_commands commands;
  if (++own.unanswered_writes < kMaxUnansweredWrites) {
    // The same write again: if the first one took effect, this one conflicts
    // and finds the write's own identifier.
    commands.writes.push_back(
        {program, own.version,
         EncodeClaim({own.claimed + own.write_amount, own.write_id})});
    return commands;
  }
  own.writing = false;
  own.unanswered_writes = 0;
  if (MayStartUnclaimed(own)) {
    own.has_unclaimed_turn = true;
    own.available -= own.waiting.front().max_tokens;
    commands.decisions.push_back(
        {own.waiting.front().ticket, budget_decision::granted});
    own.waiting.pop_front();
  }
  for (const token_request& next : own.waiting) {
    commands.decisions.push_back({next.ticket, budget_decision::unavailable});
  }
  own.waiting.clear();
  if (may_have_run) {
    // Until the next write shows whether this one took effect, its tokens
    // count as claimed by nobody here: a conflict with another identifier
    // loses them.
    own.write_id.clear();
  }
  return commands;
}

std::int64_t budget_ledger::UsedTokens(const std::string& program) const {
  const auto found = accounts_.find(program);
  return found == accounts_.end() ? 0 : found->second.used;
}

// The first turn of a program may start before its tokens are claimed: if this
// daemon fails before it claims them, the program exceeds its budget by one
// turn at most, which the users allow.
bool budget_ledger::MayStartUnclaimed(const account& own) {
  return own.version == 0 && !own.has_unclaimed_turn && !own.waiting.empty() &&
         own.waiting.front().may_start_unclaimed &&
         own.waiting.front().max_tokens <= own.budget;
}

std::vector<budget_commands::write> budget_ledger::ReleaseAll() {
  std::vector<budget_commands::write> writes;
  for (auto& [program, own] : accounts_) {
    if (own.available > 0 && !own.writing && own.version != 0) {
      own.claimed -= own.available;
      own.available = 0;
      writes.push_back(
          {program, own.version,
           EncodeClaim(
               {own.claimed, writer_ + "-" + std::to_string(++last_write_)})});
    }
  }
  return writes;
}

void budget_ledger::EvictIdle(steady_time limit) {
  for (auto next = accounts_.begin(); next != accounts_.end();) {
    const account& own = next->second;
    if (own.last_used < limit && own.waiting.empty() && !own.writing) {
      next = accounts_.erase(next);
    } else {
      ++next;
    }
  }
}

}  // namespace gentian
