#include "gentian_turn_daemon/turn_replicator.h"

#include <algorithm>
#include <utility>

#include "gentian_gateway_daemon/history_paths.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr milliseconds kTickInterval{400};
constexpr milliseconds kRequestTimeout{1'500};
constexpr milliseconds kConnectTimeout{200};
// Pause after a failed read, so that a store that is gone costs little.
constexpr milliseconds kRetryInterval{1'000};
// A turn that was just written is on its way to this host too.
constexpr milliseconds kWriteMargin{500};
constexpr std::size_t kPageEntries = 500;
// Bounds the memory that one request for turns takes on both hosts.
constexpr std::size_t kFetchBytes = 1024 * 1024;

}  // namespace

turn_replicator::turn_replicator(io_pool& pool,
                                 http_client& peers,
                                 turn_storage& storage,
                                 const turn_store_settings& settings,
                                 const turn_store_directory& directory,
                                 counter_set& counters)
    : pool_(pool),
      peers_(peers, {kRequestTimeout, kConnectTimeout}),
      storage_(storage),
      settings_(settings),
      directory_(directory),
      counters_(counters),
      caught_up_at_(BootTimeNow()) {}

void turn_replicator::Start() {
  Tick();
}

void turn_replicator::OnPlacementChanged() {
  ++generation_;
  for (auto& [host, state] : readers_) {
    state.after = 0;
    state.caught_up = false;
    state.retry_at = steady_time();
  }
}

bool turn_replicator::IsCaughtUp() const {
  return directory_.is_loaded() &&
         std::all_of(
             directory_.known().begin(), directory_.known().end(),
             [this](const auto& store) {
               const auto found = readers_.find(store.first);
               return store.first == settings_.host ||
                      (found != readers_.end() && found->second.caught_up);
             });
}

duration turn_replicator::Lag() const {
  return IsCaughtUp() ? duration(0) : BootTimeNow() - caught_up_at_;
}

void turn_replicator::Tick() {
  const steady_time now = BootTimeNow();
  for (const auto& [host, record] : directory_.known()) {
    reader& state = readers_[host];
    if (host != settings_.host && !state.busy && now >= state.retry_at) {
      ReadJournal(host, record.address);
    }
  }
  if (IsCaughtUp()) {
    caught_up_at_ = now;
  }
  pool_.After(kTickInterval, [this] { Tick(); });
}

void turn_replicator::ReadJournal(const std::string& host,
                                  const std::string& address) {
  reader& state = readers_[host];
  state.busy = true;
  journal_request request;
  request.reader = settings_.host;
  request.journal = state.journal;
  request.after = state.after;
  request.excludes_store = directory_.accepting().count(host) == 0;
  peers_.Post(
      address, kReadJournalPath, EncodeJournalRequest(request),
      [this, host, address,
       generation = generation_](const http_response& response) {
        result<journal_page> page = DecodeJournalPage(response.body);
        if (response.status != kOk || Failed(page)) {
          Fail(host, "the journal cannot be read");
          return;
        }
        OnPage(host, address, generation, std::move(ValueOf(page)));
      },
      [this, host](http_failure, const std::string& message) {
        Fail(host, message);
      });
}

void turn_replicator::Fail(const std::string& host, const std::string& reason) {
  reader& state = readers_[host];
  counters_.Add("replication_failed");
  if (state.caught_up) {
    Log(log_level::warning, "turn store cannot be read",
        {{"store", host}, {"reason", reason}});
  }
  state.busy = false;
  state.caught_up = false;
  state.retry_at = BootTimeNow() + kRetryInterval;
}

void turn_replicator::OnPage(const std::string& host,
                             const std::string& address,
                             std::uint64_t generation,
                             journal_page page) {
  reader& state = readers_[host];
  if (generation != generation_) {
    state.busy = false;
    return;
  }
  state.journal = page.journal;
  const auto copy = std::make_shared<page_copy>();
  copy->host = host;
  copy->address = address;
  copy->generation = generation;
  for (turn_summary& entry : page.entries) {
    if (IsPlacedHere(entry.conversation)) {
      copy->wanted.push_back(entry);
    }
  }
  copy->page = std::move(page);
  if (copy->wanted.empty()) {
    FinishPage(*copy);
  } else if (state.caught_up) {
    pool_.After(kWriteMargin, [this, copy] { FindMissing(copy); });
  } else {
    FindMissing(copy);
  }
}

// Stores in the caller's region may hold a turn that came from there, but don't
// copy it: they don't know the caller.
bool turn_replicator::IsPlacedHere(const std::string& conversation) const {
  const std::size_t copies = settings_.tolerated_losses + 1;
  auto homes = HomesOfConversation(conversation);
  if (!homes) {
    return directory_.IsPlacedAt(settings_.host, conversation, copies);
  }
  const placement_policy policy(settings_.regions, std::move(*homes));
  return directory_.IsPlacedAt(settings_.host, conversation, copies,
                               [&policy](const turn_store_record& store) {
                                 return policy.IsAtHome(store.failure_domain);
                               });
}

void turn_replicator::FindMissing(const std::shared_ptr<page_copy>& copy) {
  std::vector<turn_key> keys;
  keys.reserve(copy->wanted.size());
  for (const turn_summary& entry : copy->wanted) {
    keys.push_back(entry.key);
  }
  storage_.Run<std::vector<turn_key>>(
      [keys = std::move(keys)](turn_database& database) {
        return database.FindMissing(keys);
      },
      [this, copy](const result<std::vector<turn_key>>& missing) {
        if (Failed(missing)) {
          Fail(copy->host, ErrorOf(missing).message);
          return;
        }
        const std::vector<turn_key>& keys_missing = ValueOf(missing);
        auto& wanted = copy->wanted;
        wanted.erase(std::remove_if(wanted.begin(), wanted.end(),
                                    [&](const turn_summary& entry) {
                                      return std::find(keys_missing.begin(),
                                                       keys_missing.end(),
                                                       entry.key) ==
                                             keys_missing.end();
                                    }),
                     wanted.end());
        FetchNext(copy);
      });
}

void turn_replicator::FetchNext(const std::shared_ptr<page_copy>& copy) {
  if (copy->generation != generation_) {
    readers_[copy->host].busy = false;
    return;
  }
  if (copy->copied == copy->wanted.size()) {
    FinishPage(*copy);
    return;
  }
  std::vector<turn_key> keys;
  std::size_t bytes = 0;
  while (copy->copied < copy->wanted.size() &&
         (keys.empty() ||
          bytes + copy->wanted[copy->copied].size <= kFetchBytes)) {
    bytes += copy->wanted[copy->copied].size;
    keys.push_back(copy->wanted[copy->copied++].key);
  }
  peers_.Post(
      copy->address, kReadTurnsPath, EncodeKeys(keys),
      [this, copy](const http_response& response) {
        result<std::vector<kept_turn>> turns = DecodeTurns(response.body);
        if (response.status != kOk || Failed(turns)) {
          Fail(copy->host, "turns cannot be read");
          return;
        }
        StoreFetched(copy, std::move(ValueOf(turns)));
      },
      [this, copy](http_failure, const std::string& message) {
        Fail(copy->host, message);
      });
}

void turn_replicator::StoreFetched(const std::shared_ptr<page_copy>& copy,
                                   std::vector<kept_turn> turns) {
  if (turns.empty()) {
    // They have expired in the meantime.
    FetchNext(copy);
    return;
  }
  const auto open = std::make_shared<std::size_t>(turns.size());
  const auto failure = std::make_shared<std::string>();
  counters_.Add("turns_copied", turns.size());
  for (kept_turn& turn : turns) {
    storage_.Store(std::move(turn), [this, copy, open, failure](
                                        const result<store_outcome>& outcome) {
      if (Failed(outcome)) {
        *failure = ErrorOf(outcome).message;
      } else if (ValueOf(outcome) == store_outcome::conflict) {
        counters_.Add("replication_conflict");
      }
      if (--*open > 0) {
        return;
      }
      if (failure->empty()) {
        FetchNext(copy);
      } else {
        Fail(copy->host, *failure);
      }
    });
  }
}

void turn_replicator::FinishPage(const page_copy& copy) {
  reader& state = readers_[copy.host];
  state.busy = false;
  if (copy.generation != generation_) {
    return;
  }
  if (!copy.wanted.empty()) {
    Log(log_level::info, "turns copied",
        {{"store", copy.host}, {"turns", copy.wanted.size()}});
  }
  if (copy.page.entries.size() == kPageEntries) {
    state.after = copy.page.entries.back().position;
    ReadJournal(copy.host, copy.address);
    return;
  }
  state.after = std::max(state.after, copy.page.last);
  state.caught_up = true;
}

}  // namespace gentian
