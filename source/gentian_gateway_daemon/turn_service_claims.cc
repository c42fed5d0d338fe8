// Implements turn_service: keeps the claims on token budgets in the key-value
// service.

#include <algorithm>
#include <iterator>
#include <utility>

#include "gentian_gateway_daemon/turn_service.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

using outcome = turn_verdict::outcome;

// Bounds one write. The key-value service answers within a few milliseconds, a
// slow one within a few hundred.
constexpr milliseconds kWriteTimeout{900};
// Bounds one write while the service doesn't answer: other daemons that may
// reach it are waiting for this one.
constexpr milliseconds kOutageWriteTimeout{150};
// Turns of several programs that end at about the same time share a call.
constexpr milliseconds kReleaseDelay{20};
// Time after a program's last turn from which on tokens of which a turn store
// records that they are not in use may be released together, and are released
// in any case. A successor finds the record; they only take up memory here.
constexpr milliseconds kMinRecordedIdle{60'000};
constexpr milliseconds kMaxRecordedIdle{90'000};
// Refused calls are priced, too.
constexpr milliseconds kWritePause{500};
outcome OutcomeOf(budget_decision verdict) {
  switch (verdict) {
    case budget_decision::granted:
      return outcome::granted;
    case budget_decision::exhausted:
      return outcome::budget_spent;
    case budget_decision::unavailable:
      return outcome::unavailable;
  }
  return outcome::unavailable;
}

kv_write_batch BatchOf(const std::vector<budget_commands::write>& writes) {
  kv_write_batch batch;
  for (const budget_commands::write& write : writes) {
    batch.writes.push_back(
        {ClaimKey(write.program), write.expected_version, write.value, 0});
  }
  return batch;
}

// Takes the last writes, as many as one batch may have.
std::vector<budget_commands::write> SplitOff(
    std::vector<budget_commands::write>& writes) {
  const std::size_t size = std::min(writes.size(), kv_write_batch::kMaxWrites);
  const auto begin = std::prev(writes.end(), static_cast<long>(size));
  std::vector<budget_commands::write> part(begin, writes.end());
  writes.erase(begin, writes.end());
  return part;
}

// The claim of a program in the answer to a batch that conflicts; nullptr if it
// has none.
const kv_entry* FindClaim(const std::string& program, const kv_answer& answer) {
  const auto found =
      std::find_if(answer.entries.begin(), answer.entries.end(),
                   [key = ClaimKey(program)](const kv_entry& entry) {
                     return entry.key == key;
                   });
  return found == answer.entries.end() ? nullptr : &*found;
}

bool IsConditionMet(const budget_commands::write& write,
                    const kv_answer& answer) {
  const kv_entry* stored = FindClaim(write.program, answer);
  return (stored == nullptr ? 0 : stored->version) == write.expected_version;
}

}  // namespace

void turn_service::Execute(budget_commands commands) {
  if (!commands.writes.empty()) {
    if (MayWriteInBackground() &&
        commands.writes.size() < kv_write_batch::kMaxWrites) {
      // They cost no call of their own this way.
      const steady_time now = BootTimeNow();
      budget_commands idle = ledger_.ReleaseIdle(
          now, now - kMinRecordedIdle,
          kv_write_batch::kMaxWrites - commands.writes.size());
      idle.Append(std::move(commands));
      commands = std::move(idle);
    }
    Write(std::move(commands.writes));
  }
  for (const budget_commands::record& next : commands.records) {
    StoreRecord(next);
  }
  for (const budget_commands::holder_question& next : commands.questions) {
    ResolveHolder(next);
  }
  for (const auto& verdict : commands.decisions) {
    if (verdict.outcome == budget_decision::granted) {
      GrantBudget(verdict.ticket, verdict.is_claimed);
    } else {
      Decide(verdict.ticket, OutcomeOf(verdict.outcome));
    }
  }
}

void turn_service::Write(std::vector<budget_commands::write> writes) {
  while (!writes.empty()) {
    // The last ones first: they are of turns that wait.
    std::vector<budget_commands::write> part = SplitOff(writes);
    const kv_write_batch batch = BatchOf(part);
    store_.Call(batch,
                state_.store_reached ? kWriteTimeout : kOutageWriteTimeout,
                [this, part = std::move(part)](const kv_answer& answer) {
                  OnWritten(part, answer);
                });
  }
}

void turn_service::OnWritten(const std::vector<budget_commands::write>& writes,
                             const kv_answer& answer) {
  if (answer.outcome != kv_answer::status::ok &&
      answer.outcome != kv_answer::status::conflict) {
    writes_paused_until_ = BootTimeNow() + kWritePause;
  }
  budget_commands commands;
  for (const budget_commands::write& write : writes) {
    commands.Append(OutcomeOfWrite(write, answer));
  }
  Execute(std::move(commands));
}

budget_commands turn_service::OutcomeOfWrite(
    const budget_commands::write& write,
    const kv_answer& answer) {
  const std::string& program = write.program;
  switch (answer.outcome) {
    case kv_answer::status::ok:
      return ledger_.OnWritten(program, answer.revision);
    case kv_answer::status::conflict:
      break;
    case kv_answer::status::not_sent:
      return ledger_.OnNoAnswer(program, false);
    default:
      return ledger_.OnNoAnswer(program, true);
  }
  if (IsConditionMet(write, answer)) {
    return ledger_.OnNotCarriedOut(program);
  }
  const kv_entry* stored = FindClaim(program, answer);
  if (stored == nullptr) {
    return ledger_.OnConflict(program, 0, std::nullopt);
  }
  const auto claim = DecodeClaim(stored->value);
  // If it can't be read, the tokens spent are unknown, so nothing more is
  // granted.
  return claim ? ledger_.OnConflict(program, stored->version, claim)
               : ledger_.OnNoAnswer(program, false);
}

void turn_service::Release() {
  std::vector<budget_commands::write> writes = ledger_.ReleaseAll();
  while (!writes.empty()) {
    WriteLast(SplitOff(writes));
  }
}

// If the call fails, the programs lose the tokens.
void turn_service::WriteLast(
    const std::vector<budget_commands::write>& writes) {
  store_.Call(BatchOf(writes), kWriteTimeout,
              [this, writes](const kv_answer& answer) {
                std::vector<budget_commands::write> sound;
                for (const budget_commands::write& write : writes) {
                  if (answer.outcome == kv_answer::status::conflict &&
                      IsConditionMet(write, answer)) {
                    sound.push_back(write);
                  }
                }
                if (!sound.empty()) {
                  WriteLast(sound);
                }
              });
}

bool turn_service::MayWriteInBackground() const {
  return state_.store_reached && BootTimeNow() >= writes_paused_until_;
}

// Tokens that this daemon has claimed for programs of which another daemon is
// the owner now would be missing there, and if this daemon fails, they are
// missing anywhere.
void turn_service::ReleaseTokens() {
  const steady_time now = BootTimeNow();
  if (released_at_change_ != state_.members_changed_at) {
    released_at_change_ = state_.members_changed_at;
    Execute(ledger_.ReleaseUnused(
        [this](const std::string& program) { return !IsOwner(program); }));
  }
  while (MayWriteInBackground() &&
         ledger_.HasIdle(now - kReleaseDelay, now - kMaxRecordedIdle)) {
    Execute(ledger_.ReleaseIdle(now, now - kMinRecordedIdle,
                                kv_write_batch::kMaxWrites));
  }
}

void turn_service::ScheduleRelease() {
  if (std::exchange(is_release_scheduled_, true)) {
    return;
  }
  pool_.After(kReleaseDelay, [this] {
    is_release_scheduled_ = false;
    ReleaseTokens();
  });
}

void turn_service::StoreRecord(const budget_commands::record& record) {
  recorder_.Record(
      record.recorder,
      {record.write_id, record.sequence, record.in_use, record.used},
      [this, record](bool is_durable) {
        if (is_durable) {
          Execute(ledger_.OnRecorded(record.program, record.write_id,
                                     record.sequence));
          return;
        }
        state_.counters.Add("spending_not_recorded");
        Execute(ledger_.OnNotRecorded(record.program, record.write_id,
                                      record.sequence));
      });
}

bool turn_service::MayRun(const std::string& writer) const {
  const auto& members = state_.membership.members();
  return std::any_of(members.begin(), members.end(), [&](const auto& next) {
    const member_record& member = next.second;
    return member.host != settings_.host && member.incarnation == writer;
  });
}

// The record of a daemon that only seems to have ended is sealed, so that it
// grants nothing more of what it holds.
void turn_service::ResolveHolder(
    const budget_commands::holder_question& question) {
  const claim_holder& holder = question.holder;
  if (MayRun(WriterOf(holder.write_id))) {
    Execute(ledger_.OnHolderUnresolved(question.program, holder.write_id,
                                       /*is_final=*/false));
    return;
  }
  using outcome = spending_recorder::seal_outcome;
  recorder_.Seal(
      holder.recorder, holder.write_id,
      [this, question](outcome result, const spending_record& record) {
        const claim_holder& holder = question.holder;
        Log(log_level::info, "claim of an ended gateway resolved",
            {{"program", question.program},
             {"claim", holder.write_id},
             {"store", holder.recorder},
             {"tokens", holder.tokens},
             {"in_use", result == outcome::sealed ? record.in_use : -1},
             {"used", result == outcome::sealed ? record.used : -1},
             {"reached", result != outcome::unreachable}});
        Execute(result == outcome::sealed
                    ? ledger_.OnHolderSealed(question.program, holder.write_id,
                                             record.in_use, record.used)
                    : ledger_.OnHolderUnresolved(question.program,
                                                 holder.write_id,
                                                 result == outcome::absent));
      });
}

void turn_service::ResolveWrites() {
  if (!MayWriteInBackground()) {
    return;
  }
  const std::vector<std::string> programs = ledger_.UnresolvedPrograms();
  // Goes on after the program at which the last call has stopped.
  auto next =
      std::upper_bound(programs.begin(), programs.end(), resolved_last_);
  budget_commands commands;
  for (std::size_t i = 0;
       i < std::min(programs.size(), kv_write_batch::kMaxWrites); ++i) {
    if (next == programs.end()) {
      next = programs.begin();
    }
    resolved_last_ = *next++;
    state_.counters.Add("budget_write_repeated");
    commands.Append(ledger_.Resolve(resolved_last_));
  }
  Execute(std::move(commands));
}

}  // namespace gentian
