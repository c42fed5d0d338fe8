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
// enough for most.
constexpr std::int64_t kMaxAheadDivisor = 4;

}  // namespace

void budget_commands::Append(budget_commands more) {
  decisions.insert(decisions.end(), more.decisions.begin(),
                   more.decisions.end());
  std::move(more.writes.begin(), more.writes.end(), std::back_inserter(writes));
  std::move(more.records.begin(), more.records.end(),
            std::back_inserter(records));
  std::move(more.questions.begin(), more.questions.end(),
            std::back_inserter(questions));
}

budget_ledger::budget_ledger(std::string writer) : writer_(std::move(writer)) {}

budget_commands budget_ledger::Reserve(const token_request& request,
                                       steady_time now) {
  account& entry = accounts_[request.program];
  entry.budget = request.budget;
  entry.claim_ahead = request.claim_ahead;
  entry.recorder = request.recorder;
  entry.max_turn_tokens = request.max_tokens;
  entry.unresolved_holder.clear();
  entry.last_used = now;
  entry.waiting.push_back(request);
  budget_commands commands = Advance(request.program, entry);
  TrackAvailable(entry, now);
  return commands;
}

budget_commands budget_ledger::Settle(const std::string& program,
                                      std::int64_t reserved,
                                      std::int64_t used,
                                      steady_time now) {
  account& entry = accounts_[program];
  const std::int64_t releasing =
      entry.write ? std::max<std::int64_t>(-entry.write->amount, 0) : 0;
  const std::int64_t running = InUse(entry) - entry.own_spent - releasing;
  // The rest was claimed by the daemon that granted the turn.
  entry.own_claimed += std::max<std::int64_t>(reserved - running, 0);
  entry.available += reserved - used;
  entry.own_spent += used;
  entry.used += used;
  entry.last_used = now;
  budget_commands commands = Advance(program, entry);
  TrackAvailable(entry, now);
  Record(program, entry, commands);
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
         entry.available >= entry.waiting.front().max_tokens &&
         IsGrantRecorded(entry, entry.waiting.front().max_tokens)) {
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

// Including the tokens of turns that have ended.
std::int64_t budget_ledger::InUse(const account& entry) {
  return entry.own_claimed - entry.available;
}

std::int64_t budget_ledger::AmountToClaim(const account& entry) const {
  const std::int64_t wanted = WaitingTokens(entry) - entry.available;
  const std::int64_t ahead =
      MayHold(entry) ? entry.budget / kMaxAheadDivisor : 0;
  return std::min(wanted + ahead, entry.budget - entry.claimed);
}

bool budget_ledger::NeedsRelease(const account& entry,
                                 steady_time since,
                                 steady_time recorded_since) {
  if (entry.write || entry.is_resolving || !entry.waiting.empty()) {
    return false;
  }
  if (entry.records) {
    return entry.available > 0 && entry.last_used < recorded_since;
  }
  return (entry.available > 0 || HasUnreported(entry)) &&
         entry.available_since.value_or(entry.last_used) < since;
}

// A successor can't tell that the budget is spent, as long as the claim doesn't
// say so.
bool budget_ledger::HasUnreported(const account& entry) {
  return entry.own_spent > 0 &&
         entry.claimed + entry.max_turn_tokens > entry.budget;
}

void budget_ledger::TrackAvailable(account& entry, steady_time now) {
  if (entry.available <= 0) {
    entry.available_since.reset();
  } else if (!entry.available_since) {
    entry.available_since = now;
  }
}

bool budget_ledger::IsOwn(const claim_holder& holder) const {
  return WriterOf(holder.write_id) == writer_;
}

bool budget_ledger::MayHold(const account& entry) const {
  return entry.claim_ahead && !entry.recorder.empty() &&
         (!entry.holder || IsOwn(*entry.holder));
}

// A daemon that substitutes for the owner leaves the holder alone.
bool budget_ledger::NeedsHolder(const account& entry) const {
  return entry.claim_ahead && entry.holder && !IsOwn(*entry.holder) &&
         entry.holder->write_id != entry.unresolved_holder;
}

void budget_ledger::AskHolder(const std::string& program,
                              account& entry,
                              budget_commands& commands) {
  entry.is_resolving = true;
  commands.questions.push_back({program, *entry.holder});
}

// What is in use once the first waiting turns have got what there is then.
std::int64_t budget_ledger::InUseAfterClaim(const account& entry,
                                            std::int64_t amount) {
  std::int64_t left = entry.available + amount;
  for (const token_request& next : entry.waiting) {
    if (next.max_tokens > left) {
      break;
    }
    left -= next.max_tokens;
  }
  return entry.own_claimed + amount - left;
}

// Also by the record of a write that is on its way: a successor finds that one
// once the write has taken effect.
bool budget_ledger::IsGrantRecorded(const account& entry, std::int64_t tokens) {
  const std::int64_t in_use = InUse(entry) + tokens;
  return (!entry.records || in_use <= entry.records->limit) &&
         (!entry.write || in_use - entry.write->spent <= entry.write->limit);
}

void budget_ledger::Record(const std::string& program,
                           account& entry,
                           budget_commands& commands) {
  if (!entry.records || entry.records->sent || entry.writing) {
    return;
  }
  const std::int64_t in_use = InUseAfterClaim(entry, 0);
  recording& records = *entry.records;
  if (in_use == records.limit && entry.own_spent == records.used) {
    return;
  }
  ++records.sequence;
  records.used = entry.own_spent;
  records.sent = in_use;
  // It may take effect at any time from now on.
  records.limit = std::min(records.limit, in_use);
  commands.records.push_back({program, records.recorder, records.write_id,
                              records.sequence, in_use, entry.own_spent});
}

budget_commands budget_ledger::Advance(const std::string& program,
                                       account& entry) {
  budget_commands commands;
  GrantWaiting(entry, commands);
  if (entry.writing || entry.is_resolving) {
    return commands;
  }
  if (entry.write && !entry.waiting.empty()) {
    commands.writes.push_back(SendWrite(program, entry));
    return commands;
  }
  if (!entry.waiting.empty() &&
      entry.available >= entry.waiting.front().max_tokens) {
    Record(program, entry, commands);
    return commands;
  }
  while (!entry.waiting.empty() && !entry.writing && !entry.is_resolving) {
    const std::int64_t amount = AmountToClaim(entry);
    if (entry.available + amount < entry.waiting.front().max_tokens) {
      OnTooFewTokens(program, entry, commands);
    } else if (NeedsHolder(entry)) {
      AskHolder(program, entry, commands);
    } else {
      StartWrite(program, entry, amount, true, commands);
    }
  }
  if (!entry.writing && !entry.is_resolving) {
    entry.verified = false;
  }
  return commands;
}

// A budget that is not certain to be spent ends no program: what a daemon had
// claimed that has failed may not have been used.
void budget_ledger::OnTooFewTokens(const std::string& program,
                                   account& entry,
                                   budget_commands& commands) {
  const bool is_certain =
      entry.spent + InUse(entry) + entry.waiting.front().max_tokens >
      entry.budget;
  const bool others_hold_tokens =
      entry.claimed >
      entry.own_claimed + (entry.is_spent_estimated ? 0 : entry.spent);
  if (!is_certain && NeedsHolder(entry)) {
    AskHolder(program, entry, commands);
    return;
  }
  if (others_hold_tokens && !entry.verified &&
      (!is_certain || entry.is_spent_estimated)) {
    // Another daemon may have released tokens since the claim was read.
    entry.verified = true;
    StartWrite(program, entry, 0, true, commands);
    return;
  }
  const bool may_have_more = entry.is_spent_estimated && others_hold_tokens &&
                             entry.waiting.front().others_may_release;
  commands.decisions.push_back(
      {entry.waiting.front().ticket, is_certain && !may_have_more
                                         ? budget_decision::exhausted
                                         : budget_decision::unavailable});
  entry.waiting.pop_front();
}

// The record of a claim is stored before the claim: a successor takes all
// tokens to be in use of which it finds no record.
void budget_ledger::StartWrite(const std::string& program,
                               account& entry,
                               std::int64_t amount,
                               bool may_hold,
                               budget_commands& commands) {
  claim_write started;
  started.id = writer_ + "-" + std::to_string(++last_write_);
  started.expected_version = entry.version;
  started.amount = amount;
  started.spent = entry.own_spent;
  const std::int64_t tokens = entry.own_claimed + amount - entry.own_spent;
  if (entry.holder && !IsOwn(*entry.holder)) {
    started.holder = entry.holder;
  } else if (may_hold && MayHold(entry) && tokens > 0) {
    started.holder = claim_holder{started.id, tokens, entry.recorder};
    started.limit = InUseAfterClaim(entry, amount) - started.spent;
    started.is_recording = true;
    commands.records.push_back({program, entry.recorder, started.id,
                                budget_commands::record::kFirstSequence,
                                started.limit, 0});
  }
  entry.writing = true;
  entry.write = std::move(started);
  if (!entry.write->is_recording) {
    commands.writes.push_back(SendWrite(program, entry));
  }
}

budget_commands::write budget_ledger::SendWrite(const std::string& program,
                                                account& entry) {
  entry.writing = true;
  const claim_write& write = *entry.write;
  return {program, write.expected_version,
          EncodeClaim({entry.claimed + write.amount, write.id,
                       entry.spent + write.spent, write.holder})};
}

std::vector<std::string> budget_ledger::UnresolvedPrograms() const {
  std::vector<std::string> programs;
  for (const auto& [program, entry] : accounts_) {
    if (!entry.writing && !entry.is_resolving &&
        (entry.write || entry.available < 0)) {
      programs.push_back(program);
    }
  }
  return programs;
}

budget_commands budget_ledger::Resolve(const std::string& program) {
  const auto found = accounts_.find(program);
  budget_commands commands;
  if (found == accounts_.end() || found->second.writing ||
      found->second.is_resolving) {
    return commands;
  }
  account& entry = found->second;
  if (entry.write) {
    commands.writes.push_back(SendWrite(program, entry));
  } else if (entry.available < 0) {
    // Also beyond the budget: the tokens have reached the caller.
    StartWrite(program, entry, -entry.available, entry.records.has_value(),
               commands);
  }
  return commands;
}

// With an amount of 0 if the stored claim has not been read.
void budget_ledger::StartRelease(const std::string& program,
                                 account& entry,
                                 budget_commands& commands) {
  entry.available_since.reset();
  if (entry.version == 0) {
    StartWrite(program, entry, 0, false, commands);
    return;
  }
  // Not to be granted while the release is on its way.
  const std::int64_t amount = std::exchange(entry.available, 0);
  StartWrite(program, entry, -amount, false, commands);
}

budget_commands budget_ledger::ReleaseUnused(const std::string& program) {
  const auto found = accounts_.find(program);
  budget_commands commands;
  if (found == accounts_.end()) {
    return commands;
  }
  account& entry = found->second;
  if (entry.available > 0 && !entry.write && !entry.is_resolving &&
      entry.waiting.empty()) {
    StartRelease(program, entry, commands);
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
                            steady_time recorded_since) const {
  return std::any_of(accounts_.begin(), accounts_.end(), [=](const auto& next) {
    return NeedsRelease(next.second, since, recorded_since);
  });
}

budget_commands budget_ledger::ReleaseIdle(steady_time since,
                                           steady_time recorded_since,
                                           std::size_t max_writes) {
  budget_commands commands;
  for (auto& [program, entry] : accounts_) {
    if (commands.writes.size() >= max_writes) {
      break;
    }
    if (NeedsRelease(entry, since, recorded_since)) {
      StartRelease(program, entry, commands);
    }
  }
  return commands;
}

budget_ledger::write_outcome budget_ledger::OutcomeOf(
    const account& entry,
    const std::optional<budget_claim>& stored) {
  const claim_write& write = *entry.write;
  // Other daemons keep the holder in their writes.
  if (stored && (stored->write_id == write.id ||
                 (stored->holder && stored->holder->write_id == write.id))) {
    return write_outcome::applied;
  }
  // Each write of the holder names another holder or none.
  const bool is_holder = entry.records && stored && stored->holder &&
                         stored->holder->write_id == entry.records->write_id;
  // Only the tries without an answer can have run before the last one.
  return write.may_have_run && !is_holder ? write_outcome::unknown
                                          : write_outcome::not_applied;
}

// Tokens of a write whose outcome stays unknown are lost to the program. They
// may belong to another daemon now, or count as spent.
void budget_ledger::ApplyOutcome(account& entry, write_outcome outcome) const {
  const claim_write write = *std::exchange(entry.write, std::nullopt);
  if (outcome == write_outcome::not_applied) {
    entry.available += std::max<std::int64_t>(-write.amount, 0);
    return;
  }
  const bool is_applied = outcome == write_outcome::applied;
  entry.own_claimed +=
      (is_applied ? write.amount : std::min<std::int64_t>(write.amount, 0)) -
      write.spent;
  entry.own_spent -= write.spent;
  const bool is_holder = write.holder && IsOwn(*write.holder);
  if (!is_applied) {
    if (is_holder) {
      // A successor may have released all tokens that it named.
      LoseClaim(entry);
    }
    return;
  }
  entry.available += std::max<std::int64_t>(write.amount, 0);
  entry.records.reset();
  if (is_holder) {
    recording started;
    started.write_id = write.holder->write_id;
    started.recorder = write.holder->recorder;
    started.limit = write.limit;
    entry.records = std::move(started);
  }
}

void budget_ledger::ApplyStored(account& entry,
                                const std::optional<budget_claim>& stored) {
  entry.claimed = stored ? stored->claimed : 0;
  entry.holder = stored ? stored->holder : std::nullopt;
  entry.is_spent_estimated = stored && !stored->spent;
  entry.spent =
      entry.is_spent_estimated
          ? std::max<std::int64_t>(entry.claimed - entry.own_claimed, 0)
          : (stored ? *stored->spent : 0);
  if (!entry.records ||
      (entry.holder && entry.holder->write_id == entry.records->write_id)) {
    return;
  }
  if (entry.is_spent_estimated) {
    // An earlier build has written the claim, and knows no holders.
    entry.records.reset();
  } else {
    LoseClaim(entry);
  }
}

// What runs still counts as claimed, and can be released at its end.
void budget_ledger::LoseClaim(account& entry) {
  entry.records.reset();
  const std::int64_t unused = std::max<std::int64_t>(entry.available, 0);
  entry.available -= unused;
  entry.own_claimed -= unused + entry.own_spent;
  entry.own_spent = 0;
}

budget_commands budget_ledger::OnWriteResolved(
    const std::string& program,
    account& entry,
    std::uint64_t version,
    const std::optional<budget_claim>& stored) {
  entry.writing = false;
  entry.version = version;
  const bool is_release = entry.write->amount < 0;
  const write_outcome outcome = OutcomeOf(entry, stored);
  ApplyOutcome(entry, outcome);
  ApplyStored(entry, stored);
  if (is_release && outcome == write_outcome::not_applied &&
      entry.waiting.empty()) {
    // Another daemon has changed the claim in the meantime.
    return ReleaseUnused(program);
  }
  budget_commands commands = Advance(program, entry);
  Record(program, entry, commands);
  return commands;
}

budget_commands budget_ledger::OnWritten(const std::string& program,
                                         std::uint64_t version) {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return {};
  }
  account& entry = found->second;
  const claim_write& write = *entry.write;
  return OnWriteResolved(program, entry, version,
                         budget_claim{entry.claimed + write.amount, write.id,
                                      entry.spent + write.spent, write.holder});
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

budget_commands budget_ledger::OnRecorded(const std::string& program,
                                          const std::string& write_id,
                                          std::int64_t sequence) {
  budget_commands commands;
  if (account* entry = FindRecordingWrite(program, write_id)) {
    entry->write->is_recording = false;
    commands.writes.push_back(SendWrite(program, *entry));
    return commands;
  }
  account* entry = FindRecording(program, write_id, sequence);
  if (entry == nullptr) {
    return commands;
  }
  entry->records->limit = *std::exchange(entry->records->sent, std::nullopt);
  commands = Advance(program, *entry);
  Record(program, *entry, commands);
  return commands;
}

budget_commands budget_ledger::OnNotRecorded(const std::string& program,
                                             const std::string& write_id,
                                             std::int64_t sequence) {
  if (account* entry = FindRecordingWrite(program, write_id)) {
    entry->write.reset();
    entry->writing = false;
    entry->verified = false;
    entry->recorder.clear();
    return Advance(program, *entry);
  }
  budget_commands commands;
  account* entry = FindRecording(program, write_id, sequence);
  if (entry == nullptr) {
    return commands;
  }
  entry->records->sent.reset();
  entry->recorder.clear();
  if (!entry->write && !entry->is_resolving) {
    const std::int64_t amount =
        std::min(WaitingTokens(*entry) - entry->available,
                 entry->budget - entry->claimed);
    entry->available += std::min<std::int64_t>(amount, 0);
    StartWrite(program, *entry, amount, false, commands);
  }
  return commands;
}

budget_ledger::account* budget_ledger::FindRecording(
    const std::string& program,
    const std::string& write_id,
    std::int64_t sequence) {
  const auto found = accounts_.find(program);
  if (found == accounts_.end()) {
    return nullptr;
  }
  const std::optional<recording>& records = found->second.records;
  const bool is_recording = records && records->sent &&
                            records->write_id == write_id &&
                            records->sequence == sequence;
  return is_recording ? &found->second : nullptr;
}

budget_ledger::account* budget_ledger::FindRecordingWrite(
    const std::string& program,
    const std::string& write_id) {
  const auto found = accounts_.find(program);
  const bool is_recording = found != accounts_.end() && found->second.write &&
                            found->second.write->is_recording &&
                            found->second.write->id == write_id;
  return is_recording ? &found->second : nullptr;
}

budget_ledger::account* budget_ledger::FindResolving(
    const std::string& program,
    const std::string& write_id) {
  const auto found = accounts_.find(program);
  const bool is_resolving =
      found != accounts_.end() && found->second.is_resolving &&
      found->second.holder && found->second.holder->write_id == write_id;
  return is_resolving ? &found->second : nullptr;
}

budget_commands budget_ledger::OnHolderSealed(const std::string& program,
                                              const std::string& write_id,
                                              std::int64_t in_use,
                                              std::int64_t used) {
  account* entry = FindResolving(program, write_id);
  if (entry == nullptr) {
    return {};
  }
  const std::int64_t kept = std::min(in_use, entry->holder->tokens);
  entry->claimed -= entry->holder->tokens - kept;
  entry->spent += std::min(used, kept);
  entry->holder.reset();
  entry->is_resolving = false;
  return Advance(program, *entry);
}

budget_commands budget_ledger::OnHolderUnresolved(const std::string& program,
                                                  const std::string& write_id,
                                                  bool is_final) {
  account* entry = FindResolving(program, write_id);
  if (entry == nullptr) {
    return {};
  }
  if (is_final) {
    entry->holder.reset();
  } else {
    entry->unresolved_holder = write_id;
  }
  entry->is_resolving = false;
  return Advance(program, *entry);
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
    if (entry.available + unresolved != 0 || HasUnreported(entry)) {
      entry.claimed -= entry.available + unresolved;
      entry.own_claimed -= entry.available + unresolved + entry.own_spent;
      entry.available = 0;
      entry.spent += std::exchange(entry.own_spent, 0);
      if (entry.holder && IsOwn(*entry.holder)) {
        entry.holder.reset();
      }
      entry.records.reset();
      writes.push_back(
          {program, entry.version,
           EncodeClaim({entry.claimed,
                        writer_ + "-" + std::to_string(++last_write_),
                        entry.spent, entry.holder})});
    }
  }
  return writes;
}

void budget_ledger::EvictIdle(steady_time limit) {
  for (auto next = accounts_.begin(); next != accounts_.end();) {
    const account& entry = next->second;
    if (entry.last_used < limit && entry.waiting.empty() && !entry.write &&
        !entry.is_resolving && entry.available == 0) {
      next = accounts_.erase(next);
    } else {
      ++next;
    }
  }
}

}  // namespace gentian
