#ifndef TESTS_GATEWAY_CLAIM_STORE_H_
#define TESTS_GATEWAY_CLAIM_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"

namespace gentian::testing {

/** The spending records of a turn store. */
class record_store {
 public:
  struct entry {
    budget_commands::record record;
    bool is_sealed = false;
  };

  /** Stores a record; false if it is refused. */
  bool Store(const budget_commands::record& record) {
    const auto found = entries_.find(record.write_id);
    if (record.sequence == 1) {
      return entries_.insert({record.write_id, {record, false}}).second;
    }
    if (found == entries_.end() || found->second.is_sealed ||
        found->second.record.sequence >= record.sequence) {
      return false;
    }
    found->second.record = record;
    return true;
  }

  /** Seals a record and reports it. */
  budget_commands Seal(budget_ledger& ledger,
                       const budget_commands::holder_question& question) {
    const std::string& claim = question.holder.write_id;
    const auto found = entries_.find(claim);
    if (found == entries_.end()) {
      return ledger.OnHolderUnresolved(question.program, claim, true);
    }
    found->second.is_sealed = true;
    const budget_commands::record& record = found->second.record;
    return ledger.OnHolderSealed(question.program, claim, record.in_use,
                                 record.used);
  }

  /** Loses all records, as a disk does. */
  void Clear() { entries_.clear(); }

 private:
  std::map<std::string, entry> entries_;
};

/** The stored claim of one program that the ledgers of several daemons share.
 */
class claim_store {
 public:
  /** Carries out calls until there are none; counts granted turns. */
  int Run(budget_ledger& ledger, budget_commands commands) {
    int granted = TakeGranted(commands);
    while (CarryNext(ledger, commands)) {
      granted += TakeGranted(commands);
    }
    return granted;
  }

  /** Carries out the first call and replaces it by what follows from it; false
      if there is none. */
  bool CarryNext(budget_ledger& ledger, budget_commands& commands) {
    if (!commands.writes.empty()) {
      commands.Append(Carry(ledger, TakeFirst(commands.writes)));
    } else if (!commands.records.empty()) {
      commands.Append(Carry(ledger, TakeFirst(commands.records)));
    } else if (!commands.questions.empty()) {
      commands.Append(records.Seal(ledger, TakeFirst(commands.questions)));
    } else {
      return false;
    }
    return true;
  }

  /** Carries out one write and reports its outcome. */
  budget_commands Carry(budget_ledger& ledger,
                        const budget_commands::write& write) {
    ++writes_;
    if (write.expected_version == version_) {
      stored_ = DecodeClaim(write.value);
      return ledger.OnWritten(write.program, ++version_);
    }
    return ledger.OnConflict(write.program, version_, stored_);
  }

  /** Stores one record and reports the outcome. */
  budget_commands Carry(budget_ledger& ledger,
                        const budget_commands::record& record) {
    return records.Store(record)
               ? ledger.OnRecorded(record.program, record.write_id,
                                   record.sequence)
               : ledger.OnNotRecorded(record.program, record.write_id,
                                      record.sequence);
  }

  /** A write that is held up on its way to the store. */
  void HoldUp(const budget_commands::write& write) { held_.push_back(write); }

  /** Carries out what was held up, each write if its condition still holds. */
  void RunHeld() {
    for (const auto& write : std::exchange(held_, {})) {
      RunUnanswered(write);
    }
  }

  /** Carries out a write whose answer is lost. */
  void RunUnanswered(const budget_commands::write& write) {
    if (write.expected_version == version_) {
      stored_ = DecodeClaim(write.value);
      ++version_;
    }
  }

  /** Stores a claim in place of a daemon. */
  void Put(const budget_claim& claim) {
    stored_ = DecodeClaim(EncodeClaim(claim));
    ++version_;
  }

  /** Tokens that are claimed. */
  std::int64_t claimed() const { return stored_ ? stored_->claimed : 0; }
  const std::optional<budget_claim>& stored() const { return stored_; }
  /** Writes that were carried out and answered. */
  int writes() const { return writes_; }

  /** Of the tokens that the daemons hold. */
  record_store records;

 private:
  template <typename Command>
  static Command TakeFirst(std::vector<Command>& commands) {
    Command first = std::move(commands.front());
    commands.erase(commands.begin());
    return first;
  }

  static int TakeGranted(budget_commands& commands) {
    int granted = 0;
    for (const auto& decision : std::exchange(commands.decisions, {})) {
      granted += decision.outcome == budget_decision::granted ? 1 : 0;
    }
    return granted;
  }

  int writes_ = 0;
  std::uint64_t version_ = 0;
  std::optional<budget_claim> stored_;
  std::vector<budget_commands::write> held_;
};

}  // namespace gentian::testing

#endif  // TESTS_GATEWAY_CLAIM_STORE_H_
