// Random orders of writes, reads, crashes, wipes, cuts and drains against a
// plain map: no kept turn is lost, none is invented, none of another team is
// read. Runs the decisions and the databases of a fleet of stores without a
// network.
#include <criterion/criterion.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <map>

#include "gentian_turn_storage/gentian_turn_storage.h"

using namespace gentian;

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kTolerated = 1;
constexpr std::size_t kCopies = kTolerated + 1;
constexpr std::size_t kStores = 4;

/** One turn store: its disk, and whether it can be reached. */
struct model_store {
  std::unique_ptr<turn_database> database;
  std::string path;
  int starts = 0;
  bool running = true;
  bool draining = false;
  drain_progress drain;
};

/** What the fleet has acknowledged. */
struct expected_turn {
  turn_key key;
  std::string conversation;
  /** The history of the chain up to this turn. */
  std::string chain;
};

class model_fleet {
 public:
  explicit model_fleet(std::uint64_t seed) : random_(seed) {
    std::string name = (fs::temp_directory_path() / "fleet-XXXXXX").string();
    cr_assert(::mkdtemp(name.data()) != nullptr);
    root_ = name;
    for (std::size_t i = 0; i < kStores; ++i) {
      Add(true);
    }
    Announce();
  }

  ~model_fleet() {
    stores_.clear();
    fs::remove_all(root_);
  }

  void Step() {
    using action = void (model_fleet::*)();
    // Writes and reads are the most frequent.
    static constexpr std::array<action, 12> kActions = {
        {&model_fleet::Write, &model_fleet::Write, &model_fleet::Write,
         &model_fleet::Write, &model_fleet::Read, &model_fleet::Read,
         &model_fleet::ReadUnknown, &model_fleet::Crash, &model_fleet::Wipe,
         &model_fleet::Recover, &model_fleet::Drain, &model_fleet::Announce}};
    (this->*kActions[random_.Below(kActions.size())])();
  }

  // Everything is back: each acknowledged turn can be read.
  void CheckAll() {
    Recover();
    for (const expected_turn& turn : kept_) {
      Check(turn, true);
    }
  }

  std::size_t kept() const { return kept_.size(); }
  int absent() const { return absent_; }

 private:
  void Add(bool first_start) {
    const std::string host = "store-" + std::to_string(++last_store_);
    model_store& store = stores_[host];
    store.path = root_ + "/" + host;
    fs::create_directory(store.path);
    Start(store, first_start);
  }

  static void Start(model_store& store, bool first_start) {
    auto opened = turn_database::Open(store.path, first_start);
    cr_assert(!Failed(opened));
    store.database = std::move(ValueOf(opened));
    store.running = true;
    ++store.starts;
  }

  // Tells the directory which stores run and which disks exist.
  void Announce() {
    turn_store_directory::records running;
    turn_store_directory::records disks;
    for (const auto& [host, store] : stores_) {
      const turn_store_record record{
          host, host, "", std::to_string(store.starts), store.draining};
      disks[host] = record;
      if (store.running) {
        running[host] = record;
      }
    }
    directory_.Update(running, disks);
  }

  std::size_t Down() const {
    return static_cast<std::size_t>(
        std::count_if(stores_.begin(), stores_.end(),
                      [](const auto& next) { return !next.second.running; }));
  }

  model_store* RandomStore() {
    auto found = stores_.begin();
    std::advance(found,
                 static_cast<std::ptrdiff_t>(random_.Below(stores_.size())));
    return &found->second;
  }

  void Write() {
    kept_turn turn;
    turn.key = {"team-" + std::to_string(random_.Below(2)),
                "turn-" + std::to_string(++last_turn_)};
    turn.retention = std::chrono::hours(1);
    turn.history = "[" + turn.key.id + "]";
    turn.conversation = "program-" + std::to_string(last_turn_);
    std::string chain;
    if (!kept_.empty() && random_.Below(4) != 0) {
      const expected_turn& previous = kept_[random_.Below(kept_.size())];
      turn.key.team = previous.key.team;
      turn.previous = previous.key.id;
      turn.conversation = previous.conversation;
      chain = previous.chain;
    }
    turn_write write(directory_.Placement(turn.conversation), kCopies);
    std::vector<std::string> sends = write.Start();
    while (!sends.empty()) {
      const std::string host = sends.back();
      sends.pop_back();
      model_store& store = stores_[host];
      const bool takes = store.running && !store.draining;
      if (takes) {
        cr_assert(!Failed(store.database->Store({&turn}, duration(0))));
        // The answer may be lost on the way back.
      }
      const bool answered = takes && random_.Below(20) != 0;
      for (const std::string& next :
           answered ? write.OnStored(host) : write.OnFailed(host)) {
        sends.push_back(next);
      }
    }
    if (write.current() == turn_write::state::durable) {
      kept_.push_back({turn.key, turn.conversation, chain + turn.history});
    }
  }

  chain_lookup Look(const turn_key& key, const std::string& conversation) {
    chain_lookup lookup(key.id,
                        directory_.ReadOrder(conversation, kCopies, ""));
    chain_lookup::reads open = lookup.Start();
    while (!open.empty()) {
      const chain_lookup::read next = open.back();
      open.pop_back();
      const auto found = stores_.find(next.host);
      chain_lookup::reads more;
      if (found == stores_.end() || !found->second.running) {
        more = lookup.OnUncertain(next);
      } else {
        turn_database& database = *found->second.database;
        const auto part = database.ReadChain({key.team, next.turn_id});
        cr_assert(!Failed(part));
        more = ValueOf(part)           ? lookup.OnPart(next, *ValueOf(part))
               : database.is_settled() ? lookup.OnAbsent(next)
                                       : lookup.OnUncertain(next);
      }
      open.insert(open.end(), more.begin(), more.end());
    }
    return lookup;
  }

  void Check(const expected_turn& turn, bool must_be_found) {
    // Some turns are continued by another program.
    const bool other_program = random_.Below(4) == 0;
    chain_lookup lookup =
        Look(turn.key, other_program ? "other" : turn.conversation);
    cr_assert(lookup.current() != chain_lookup::state::absent, "%s is lost",
              turn.key.id.c_str());
    cr_assert(!must_be_found || lookup.current() == chain_lookup::state::found,
              "%s is not found", turn.key.id.c_str());
    if (lookup.current() == chain_lookup::state::found) {
      cr_assert(lookup.conversation() == turn.conversation);
      const std::string prompt = lookup.TakePrompt("+");
      cr_assert(prompt == turn.chain + "+", "%s: %s", turn.key.id.c_str(),
                prompt.c_str());
    }
  }

  void Read() {
    if (!kept_.empty()) {
      Check(kept_[random_.Below(kept_.size())], false);
    }
  }

  // A turn that nobody wrote, and one of another team.
  void ReadUnknown() {
    cr_assert(Look({"team-0", "unknown"}, "program-1").current() !=
              chain_lookup::state::found);
    if (!kept_.empty()) {
      const expected_turn& turn = kept_[random_.Below(kept_.size())];
      const chain_lookup other =
          Look({turn.key.team + "-other", turn.key.id}, turn.conversation);
      cr_assert(other.current() != chain_lookup::state::found);
      absent_ += other.current() == chain_lookup::state::absent ? 1 : 0;
    }
  }

  void Crash() {
    model_store* store = RandomStore();
    if (Down() < kTolerated && store->running) {
      store->database.reset();
      store->running = false;
    }
  }

  // A disk is lost only while the turns of the disk lost before have their
  // copies again.
  void Wipe() {
    Recover();
    model_store* store = RandomStore();
    store->database.reset();
    fs::remove_all(store->path);
    fs::create_directory(store->path);
    Start(*store, false);
    if (random_.Below(2) == 0) {
      Announce();
    }
  }

  // Starts what is down and copies turns as the stores do.
  void Recover() {
    for (auto& [host, store] : stores_) {
      if (!store.running) {
        Start(store, false);
      }
    }
    Announce();
    Replicate();
  }

  void Replicate() {
    for (auto& [host, store] : stores_) {
      for (auto& [other_host, other] : stores_) {
        if (host != other_host) {
          Copy(host, store, other_host, other);
        }
      }
    }
    for (auto& [host, store] : stores_) {
      cr_assert(!Failed(store.database->Settle()));
    }
  }

  void Copy(const std::string& host,
            model_store& store,
            const std::string& other_host,
            model_store& other) {
    constexpr std::size_t kLimit = 100'000;
    const auto page = other.database->ReadJournal(0, kLimit);
    std::vector<turn_key> keys;
    for (const turn_summary& entry : ValueOf(page).entries) {
      if (directory_.IsPlacedAt(host, entry.conversation, kCopies)) {
        keys.push_back(entry.key);
      }
    }
    const auto missing = store.database->FindMissing(keys);
    const auto turns = other.database->ReadTurns(ValueOf(missing));
    std::vector<const kept_turn*> pointers;
    for (const kept_turn& turn : ValueOf(turns)) {
      pointers.push_back(&turn);
    }
    cr_assert(!Failed(store.database->Store(pointers, duration(0))));
    other.drain.OnRead({host, other.database->journal(), ValueOf(page).last,
                        directory_.accepting().count(other_host) == 0},
                       other.database->journal());
  }

  // Empties a store, takes it away with its disk and adds an empty one.
  void Drain() {
    Recover();
    auto drained = stores_.begin();
    std::advance(drained,
                 static_cast<std::ptrdiff_t>(random_.Below(stores_.size())));
    model_store& store = drained->second;
    const auto last = [&store] {
      return ValueOf(store.database->Totals()).last_position;
    };
    store.draining = true;
    cr_assert(!store.drain.IsComplete(directory_, last()) || last() == 0);
    Announce();
    Replicate();
    cr_assert(store.drain.IsComplete(directory_, last()));
    stores_.erase(drained);
    Add(false);
    Announce();
  }

  seeded_random random_;
  std::string root_;
  std::map<std::string, model_store> stores_;
  turn_store_directory directory_;
  std::vector<expected_turn> kept_;
  int last_store_ = 0;
  int last_turn_ = 0;
  int absent_ = 0;
};

}  // namespace

Test(turn_fleet, loses_and_invents_nothing_in_random_orders, .timeout = 300) {
  constexpr std::uint64_t kSeeds = 12;
  constexpr int kSteps = 250;
  std::size_t kept = 0;
  int absent = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    model_fleet fleet(seed);
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
    }
    fleet.CheckAll();
    kept += fleet.kept();
    absent += fleet.absent();
  }
  // Proves that the runs contained what they are about.
  cr_assert(kept > kSeeds * 20);
  cr_assert(absent > 0);
}
