// Tests the records of what daemons spend of their claims.
#include <criterion/criterion.h>

#include <unistd.h>

#include <filesystem>
#include <string>

#include "gentian_turn_storage/gentian_turn_storage.h"

using namespace gentian;

namespace {

constexpr duration kNoTime{0};

// A database in a folder of its own.
class spending_database {
 public:
  spending_database() {
    std::filesystem::create_directories(folder_);
    Open();
  }
  ~spending_database() {
    database_.reset();
    std::filesystem::remove_all(folder_);
  }

  void Open() {
    database_.reset();
    result<std::unique_ptr<turn_database>> opened =
        turn_database::Open(folder_, true);
    cr_assert(!Failed(opened));
    database_ = std::move(ValueOf(opened));
  }

  bool Store(std::int64_t sequence, std::int64_t in_use) {
    const spending_record record{"claim-1", sequence, in_use, 0};
    store_batch batch;
    batch.spending.push_back(&record);
    const auto outcomes = database_->Store(batch, kNoTime);
    cr_assert(!Failed(outcomes));
    return ValueOf(outcomes).front() == store_outcome::stored;
  }

  /** The tokens in use; -1 if there is no record. */
  std::int64_t Seal() {
    const auto record = database_->SealSpending("claim-1");
    cr_assert(!Failed(record));
    return ValueOf(record) ? ValueOf(record)->in_use : -1;
  }

  turn_database& database() { return *database_; }

 private:
  const std::string folder_ =
      (std::filesystem::temp_directory_path() /
       ("gentian-spending-" + std::to_string(::getpid())))
          .string();
  std::unique_ptr<turn_database> database_;
};

}  // namespace

// Guards against a record that arrives late and replaces the one after it, and
// against one that is lost when the process ends.
Test(spending_record, the_latest_record_stays) {
  spending_database subject;
  cr_assert(subject.Store(1, 560));
  cr_assert(subject.Store(3, 1'120));
  cr_assert(!subject.Store(2, 140));
  cr_assert(!subject.Store(1, 560));
  subject.Open();
  cr_assert_eq(subject.Seal(), 1'120);
}

// Guards against tokens that a daemon grants after its successor has read what
// is in use, also if one of them is started anew in between.
Test(spending_record, a_sealed_record_can_not_change) {
  spending_database subject;
  cr_assert(subject.Store(1, 560));
  cr_assert_eq(subject.Seal(), 560);
  subject.Open();
  cr_assert(!subject.Store(2, 1'120));
  cr_assert_eq(subject.Seal(), 560);
}

// Guards against a daemon that goes on with a record that its store has lost.
Test(spending_record, a_lost_record_is_not_continued) {
  spending_database subject;
  cr_assert(!subject.Store(2, 560));
  cr_assert_eq(subject.Seal(), -1);
}

// Guards against a disk that fills up with records.
Test(spending_record, old_records_are_removed) {
  spending_database subject;
  cr_assert(subject.Store(1, 560));
  cr_assert(!Failed(subject.database().RemoveExpired(std::chrono::hours(1))));
  cr_assert_eq(subject.Seal(), -1);
}

// Guards against messages that can't be read.
Test(spending_record, malformed_messages_are_refused) {
  const spending_record record{"claim-1", 2, 560, 140};
  const result<spending_record> decoded =
      DecodeSpending(EncodeSpending(record));
  cr_assert(!Failed(decoded));
  cr_assert(ValueOf(decoded).claim == record.claim);
  cr_assert_eq(ValueOf(decoded).sequence, record.sequence);
  cr_assert_eq(ValueOf(decoded).in_use, record.in_use);
  cr_assert_eq(ValueOf(decoded).used, record.used);
  cr_assert(Failed(DecodeSpending("")));
  cr_assert(Failed(DecodeSpending(EncodeSpending({"", 1, 1, 1}))));
  cr_assert(Failed(DecodeSpending(EncodeSpending({"claim", 1, -1, 1}))));
}
