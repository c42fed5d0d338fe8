// Tests the storage of turns on a real file system. A loss of power is played
// by copying the files in the state in which it would leave them.
#include <criterion/criterion.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

#include "gentian_turn_storage/gentian_turn_storage.h"

using namespace gentian;

namespace {

namespace fs = std::filesystem;

constexpr duration kNoTime{0};

class temporary_directory {
 public:
  temporary_directory() {
    std::string name = (fs::temp_directory_path() / "gentian-XXXXXX").string();
    cr_assert(::mkdtemp(name.data()) != nullptr);
    path_ = name;
  }
  ~temporary_directory() { fs::remove_all(path_); }

  std::string path() const { return path_; }

 private:
  std::string path_;
};

using database_pointer = std::unique_ptr<turn_database>;

database_pointer Open(const std::string& directory, bool first_start = true) {
  auto opened = turn_database::Open(directory, first_start);
  cr_assert(!Failed(opened), "%s",
            Failed(opened) ? ErrorOf(opened).message.c_str() : "");
  return std::move(ValueOf(opened));
}

kept_turn Turn(const std::string& id,
               const std::string& previous = "",
               const std::string& history = "") {
  return {{"team", id},
          previous,
          "conversation",
          milliseconds(1'000),
          history.empty() ? "<" + id + ">" : history};
}

store_outcome StoreOne(turn_database& database,
                       const kept_turn& turn,
                       duration elapsed = kNoTime) {
  const auto outcomes = database.Store({&turn}, elapsed);
  cr_assert(!Failed(outcomes));
  return ValueOf(outcomes).front();
}

std::string HistoryOf(turn_database& database, const std::string& id) {
  const auto part = database.ReadChain({"team", id});
  cr_assert(!Failed(part));
  return ValueOf(part) ? ValueOf(part)->history : "absent";
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteFile(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

}  // namespace

Test(turn_database, reads_a_chain_oldest_first) {
  const temporary_directory directory;
  const auto subject = Open(directory.path());
  StoreOne(*subject, Turn("1"));
  StoreOne(*subject, Turn("2", "1"));
  StoreOne(*subject, Turn("3", "2"));
  StoreOne(*subject, Turn("2b", "1"));
  cr_assert(HistoryOf(*subject, "3") == "<1><2><3>");
  cr_assert(HistoryOf(*subject, "2b") == "<1><2b>", "a branch");
  cr_assert(HistoryOf(*subject, "4") == "absent");
  const auto part = subject->ReadChain({"team", "3"});
  cr_assert(ValueOf(part)->conversation == "conversation");
  cr_assert(ValueOf(part)->missing.empty());
}

Test(turn_database, tells_which_turn_of_a_chain_it_lacks) {
  const temporary_directory directory;
  const auto subject = Open(directory.path());
  StoreOne(*subject, Turn("3", "2"));
  const auto part = subject->ReadChain({"team", "3"});
  cr_assert(ValueOf(part)->missing == "2");
  cr_assert(ValueOf(part)->history == "<3>");
}

// Guards against a team that reads another team's turns.
Test(turn_database, the_turns_of_a_team_are_its_own) {
  const temporary_directory directory;
  const auto subject = Open(directory.path());
  StoreOne(*subject, Turn("1"));
  kept_turn other = Turn("1", "", "theirs");
  other.key.team = "other";
  cr_assert(StoreOne(*subject, other) == store_outcome::stored);
  kept_turn continued = Turn("2", "1");
  continued.key.team = "other";
  StoreOne(*subject, continued);
  cr_assert(HistoryOf(*subject, "1") == "<1>");
  cr_assert(HistoryOf(*subject, "2") == "absent");
  cr_assert(ValueOf(subject->ReadChain({"other", "2"}))->history ==
            "theirs<2>");
}

// Guards against a late or repeated write that changes a turn.
Test(turn_database, a_turn_never_changes) {
  const temporary_directory directory;
  const auto subject = Open(directory.path());
  cr_assert(StoreOne(*subject, Turn("1")) == store_outcome::stored);
  cr_assert(StoreOne(*subject, Turn("1")) == store_outcome::stored);
  cr_assert(StoreOne(*subject, Turn("1", "", "other")) ==
            store_outcome::conflict);
  cr_assert(HistoryOf(*subject, "1") == "<1>");
  cr_assert(ValueOf(subject->Totals()).turns == 1);
}

// Guards against a turn that was acknowledged and is gone, or half there, after
// a loss of power: the log of the database ends at any byte from the last
// commit on.
Test(turn_database, survives_a_loss_of_power_at_every_byte, .timeout = 120) {
  const temporary_directory directory;
  const std::string log = directory.path() + "/turns.db-wal";
  std::string before;
  std::string after;
  {
    const auto subject = Open(directory.path());
    StoreOne(*subject, Turn("1", "", std::string(3'000, 'a')));
    before = ReadFile(log);
    StoreOne(*subject, Turn("2", "1", std::string(20'000, 'b')));
    after = ReadFile(log);
    const temporary_directory image;
    fs::copy(directory.path(), image.path(), fs::copy_options::recursive);
    // A log that was used before keeps its length.
    cr_assert(after.size() > before.size());
    constexpr std::size_t kStep = 97;
    for (std::size_t end = before.size(); end <= after.size(); end += kStep) {
      const temporary_directory crashed;
      fs::copy(image.path(), crashed.path(), fs::copy_options::recursive);
      // Bytes beyond the end are torn.
      std::string torn = after.substr(0, end);
      torn.resize(after.size(), '\xa5');
      WriteFile(crashed.path() + "/turns.db-wal", torn);
      const auto recovered = Open(crashed.path(), false);
      cr_assert(HistoryOf(*recovered, "1") == std::string(3'000, 'a'));
      const std::string second = HistoryOf(*recovered, "2");
      cr_assert(second == "absent" ||
                second == std::string(3'000, 'a') + std::string(20'000, 'b'));
      cr_assert(recovered->is_settled());
    }
  }
  const auto reopened = Open(directory.path(), false);
  cr_assert(HistoryOf(*reopened, "2").size() == 23'000);
}

// Guards against a store that says that a turn does not exist after it has lost
// its disk.
Test(turn_database, a_new_database_is_settled_only_at_the_first_start) {
  const temporary_directory directory;
  cr_assert(Open(directory.path(), true)->is_settled());
  cr_assert(Open(directory.path(), false)->is_settled());
  const temporary_directory empty;
  const auto subject = Open(empty.path(), false);
  cr_assert(!subject->is_settled());
  cr_assert(!Failed(subject->Settle()));
  cr_assert(subject->is_settled());
}

// Guards against a store that does not start, or serves wrong bytes, from a
// damaged file.
Test(turn_database, a_damaged_file_is_replaced_by_an_empty_database) {
  const temporary_directory directory;
  WriteFile(directory.path() + "/turns.db", std::string(20'000, 'x'));
  const auto subject = Open(directory.path(), true);
  cr_assert(!subject->is_settled());
  cr_assert(HistoryOf(*subject, "1") == "absent");
  StoreOne(*subject, Turn("1"));
  cr_assert(HistoryOf(*subject, "1") == "<1>");
}

Test(turn_database, a_damaged_record_is_removed_and_unsettles_the_database) {
  const temporary_directory directory;
  const std::string path = directory.path() + "/turns.db";
  Open(directory.path());
  {
    const auto subject = Open(directory.path());
    StoreOne(*subject, Turn("1", "", std::string(500, 'q')));
    StoreOne(*subject, Turn("2"));
  }
  // Closing moved the log into the file.
  std::string bytes = ReadFile(path);
  const std::size_t found = bytes.find(std::string(500, 'q'));
  cr_assert(found != std::string::npos);
  bytes[found + 250] = 'p';
  WriteFile(path, bytes);
  const auto subject = Open(directory.path(), false);
  cr_assert(subject->is_settled());
  cr_assert(HistoryOf(*subject, "1") == "absent");
  cr_assert(!subject->is_settled());
  cr_assert(ValueOf(subject->Totals()).damaged == 1);
  cr_assert(HistoryOf(*subject, "2") == "<2>");
  StoreOne(*subject, Turn("1", "", std::string(500, 'q')));
  cr_assert(HistoryOf(*subject, "1") == std::string(500, 'q'));
}

// Guards against a chain that loses its beginning, and against a disk that
// fills.
Test(turn_database, a_conversation_is_kept_until_its_last_turn_expires) {
  const temporary_directory directory;
  const auto subject = Open(directory.path());
  StoreOne(*subject, Turn("1"));
  kept_turn other = Turn("x");
  other.conversation = "other";
  StoreOne(*subject, other);
  StoreOne(*subject, Turn("2", "1"), milliseconds(800));
  cr_assert(ValueOf(subject->RemoveExpired(milliseconds(500))) == 1);
  cr_assert(HistoryOf(*subject, "2") == "<1><2>");
  cr_assert(HistoryOf(*subject, "x") == "absent");
  cr_assert(ValueOf(subject->RemoveExpired(milliseconds(501))) == 2);
  cr_assert(HistoryOf(*subject, "1") == "absent");
}

// Guards against a clock or a long time without power that removes turns early:
// only the running time of the store counts.
Test(turn_database, retention_goes_on_after_a_restart) {
  const temporary_directory directory;
  {
    const auto subject = Open(directory.path());
    StoreOne(*subject, Turn("1"), milliseconds(100'000));
  }
  const auto subject = Open(directory.path(), false);
  cr_assert(ValueOf(subject->RemoveExpired(milliseconds(1'000))) == 0);
  cr_assert(ValueOf(subject->RemoveExpired(milliseconds(1))) == 1);
}

// Guards against a reader that misses turns: positions are never used again.
Test(turn_database, the_journal_lists_turns_in_order) {
  const temporary_directory directory;
  const auto subject = Open(directory.path());
  StoreOne(*subject, Turn("1"));
  StoreOne(*subject, Turn("2"));
  const auto page = subject->ReadJournal(0, 10);
  cr_assert(ValueOf(page).entries.size() == 2);
  const std::int64_t last = ValueOf(page).last;
  cr_assert(ValueOf(page).entries.back().position == last);
  cr_assert(ValueOf(page).entries.back().size == 3);
  subject->RemoveExpired(milliseconds(2'000));
  cr_assert(ValueOf(subject->ReadJournal(0, 10)).last == last);
  StoreOne(*subject, Turn("3"));
  const auto next = subject->ReadJournal(last, 10);
  cr_assert(ValueOf(next).entries.size() == 1);
  cr_assert(ValueOf(next).entries.front().position > last);
  cr_assert(ValueOf(subject->ReadJournal(0, 1)).entries.size() == 1);
}

Test(turn_database, finds_and_reads_the_turns_that_another_host_lacks) {
  const temporary_directory directory;
  const auto subject = Open(directory.path());
  StoreOne(*subject, Turn("1"));
  const auto missing = subject->FindMissing({{"team", "1"}, {"team", "2"}});
  cr_assert(ValueOf(missing).size() == 1 && ValueOf(missing)[0].id == "2");
  const auto turns = subject->ReadTurns({{"team", "1"}, {"team", "2"}});
  cr_assert(ValueOf(turns).size() == 1);
  cr_assert(ValueOf(turns)[0].history == "<1>");
  cr_assert(ValueOf(turns)[0].retention == milliseconds(1'000));
}

// Guards against one sync of the disk for each turn under load, and against a
// turn that is acknowledged before it is durable.
Test(turn_storage, stores_turns_together_and_answers_each, .timeout = 60) {
  constexpr int kTurns = 500;
  const temporary_directory directory;
  std::promise<void> done;
  std::atomic<int> stored{0};
  {
    turn_storage subject(
        Open(directory.path()), directory.path(),
        [](const std::function<void()>& handler) { handler(); });
    for (int i = 0; i < kTurns; ++i) {
      subject.Store(Turn("turn-" + std::to_string(i)),
                    [&](const result<store_outcome>& outcome) {
                      cr_assert(!Failed(outcome));
                      if (++stored == kTurns) {
                        done.set_value();
                      }
                    });
    }
    done.get_future().wait();
  }
  const auto reopened = Open(directory.path(), false);
  cr_assert(ValueOf(reopened->Totals()).turns == kTurns);
}

// Guards against memory that grows without bound while the disk is slow.
Test(turn_storage, refuses_turns_that_find_no_room, .timeout = 60) {
  const temporary_directory directory;
  std::atomic<int> refused{0};
  std::atomic<int> answered{0};
  constexpr int kTurns = 64;
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  {
    turn_storage subject(
        Open(directory.path()), directory.path(),
        [](const std::function<void()>& handler) { handler(); });
    subject.Run<success>(
        [released](turn_database&) -> result<success> {
          released.wait();
          return success{};
        },
        [](const result<success>&) {});
    for (int i = 0; i < kTurns; ++i) {
      subject.Store(Turn(std::to_string(i), "", std::string(1024 * 1024, 'a')),
                    [&](const result<store_outcome>& outcome) {
                      refused += Failed(outcome) ? 1 : 0;
                      ++answered;
                    });
    }
    cr_assert(refused > 0);
    cr_assert(refused < kTurns);
    release.set_value();
    while (answered < kTurns) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
}
