#include "gentian_gateway_daemon/state_reader.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "gentian_gateway_daemon/turn_store_listing.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

// Configuration changes must apply, and a draining target must stop getting
// requests, within two seconds. The intervals leave time for a lost call, or
// for followers to turn to another reader.
constexpr milliseconds kConfigurationInterval{800};
constexpr milliseconds kTargetsInterval{800};
constexpr milliseconds kMembersInterval{1'000};
// Interval at which a gateway that follows others looks for stale listings.
constexpr milliseconds kStaleCheckInterval{200};
// Interval between reads of a gateway that follows others, while those can't
// tell: the key-value service may be out of reach of all.
constexpr milliseconds kMinDirectInterval{1'000};
constexpr int kOk = 200;
// Positions in listings_.
constexpr std::size_t kConfigurationListing = 0;
constexpr std::size_t kTargetsListing = 1;
constexpr std::size_t kMembersListing = 2;
// Bounds a call whose connection has gone silent.
constexpr milliseconds kCallTimeout{800};
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{400};
constexpr int kMaxDoublings = 2;

duration RetryDelay(int failures) {
  return std::min<duration>(
      kMaxRetryDelay,
      kMinRetryDelay * (1 << std::min(failures, kMaxDoublings)));
}

}  // namespace

state_reader::state_reader(io_pool& pool,
                           key_value_store& store,
                           http_client& peers,
                           const gateway_protocol& protocol,
                           const gateway_settings& settings,
                           gateway_state& state,
                           std::string start,
                           std::function<void()> on_configuration,
                           registry_handler on_registry)
    : pool_(pool),
      store_(store),
      protocol_(protocol),
      settings_(settings),
      state_(state),
      on_configuration_(std::move(on_configuration)),
      on_registry_(std::move(on_registry)),
      listings_{{{"configuration", protocol.ConfigurationPrefix(),
                  kConfigurationInterval, &state_reader::ApplyConfiguration},
                 {"targets", protocol.TargetsPrefix(), kTargetsInterval,
                  &state_reader::ApplyTargets},
                 {"members", kRegistryPrefix, kMembersInterval,
                  &state_reader::ApplyRegistry}}},
      contents_(
          {{listings_[0].name}, {listings_[1].name}, {listings_[2].name}}),
      monitor_(state),
      registration_(
          pool,
          store,
          MemberKey(settings.host),
          [this] {
            return EncodeMember({settings_.host, settings_.failure_domain,
                                 settings_.caller_address,
                                 settings_.peer_address, state_.stop.HasBegun(),
                                 settings_.tunnel_address});
          },
          state.counters,
          [this](bool reached, steady_time asked_at) {
            state_.store_reached = reached;
            if (reached) {
              state_.registered_at = asked_at;
              StartReadingMembers();
            }
          }),
      relay_(pool,
             peers,
             settings,
             state,
             std::move(start),
             contents_,
             monitor_,
             [this](std::size_t index) { Apply(index); }) {}

void state_reader::Start() {
  Read(kConfigurationListing);
  Read(kTargetsListing);
  registration_.Start();
  relay_.Start();
  pool_.After(kMembersInterval, [this] { StartReadingMembers(); });
}

// The first listing of the members should contain this daemon.
void state_reader::StartReadingMembers() {
  if (!reads_members_) {
    reads_members_ = true;
    Read(kMembersListing);
  }
}

void state_reader::ReportAge(std::size_t index) {
  const auto& asked_at = contents_[index].asked_at;
  monitor_.OnAge(
      listings_[index].name,
      asked_at ? std::optional(BootTimeNow() - *asked_at) : std::nullopt,
      relay_.IsStale(index));
}

void state_reader::ReportAges() {
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    ReportAge(i);
  }
}

void state_reader::Poll(std::size_t index) {
  ReportAge(index);
  if (state_.relays.IsReader() || relay_.IsStale(index)) {
    Read(index);
  } else {
    pool_.After(kStaleCheckInterval, [this, index] { Poll(index); });
  }
}

void state_reader::Read(std::size_t index) {
  const steady_time asked_at = BootTimeNow();
  store_.Call(kv_list{listings_[index].prefix}, kCallTimeout,
              [this, index, asked_at](const kv_answer& answer) {
                OnListing(index, answer, asked_at);
              });
}

void state_reader::OnListing(std::size_t index,
                             const kv_answer& answer,
                             steady_time asked_at) {
  listing& subject = listings_[index];
  RecordReachability(subject, answer);
  duration delay = RetryDelay(subject.failures);
  const bool is_read = answer.outcome == kv_answer::status::ok;
  if (is_read) {
    subject.failures = 0;
    delay = std::max<duration>(kMinRetryDelay,
                               subject.interval - (BootTimeNow() - asked_at));
  } else {
    ++subject.failures;
    state_.counters.Add(std::string("listing_failed.") + subject.name);
  }
  if (!state_.relays.IsReader()) {
    delay = std::max<duration>(delay, kMinDirectInterval);
  }
  // The polling goes on even if an exception ends the handling of this answer.
  pool_.After(delay, [this, index] { Poll(index); });
  if (is_read) {
    ApplyAnswer(index, answer, asked_at);
  }
}

void state_reader::ApplyAnswer(std::size_t index,
                               const kv_answer& answer,
                               steady_time asked_at) {
  monitor_.OnReceived(listings_[index].name,
                      listing_monitor::origin::key_value_service,
                      BootTimeNow() - asked_at, SizeOf(answer.entries));
  shared_listing& own = contents_[index];
  if (!own.asked_at || asked_at >= *own.asked_at) {
    const bool changed = own.content.Update(answer.entries);
    own.asked_at = asked_at;
    Apply(index);
    relay_.OnListing(index, changed);
  }
}

void state_reader::Refresh() {
  ReadRegistryNow();
  relay_.RequestRefresh();
}

// Reads that come together are one: the last one sees all changes.
void state_reader::ReadRegistryNow() {
  if (!state_.relays.IsReader()) {
    return;
  }
  if (refreshing_) {
    refresh_again_ = true;
    return;
  }
  refreshing_ = true;
  const steady_time asked_at = BootTimeNow();
  store_.Call(kv_list{kRegistryPrefix}, kCallTimeout,
              [this, asked_at](const kv_answer& answer) {
                refreshing_ = false;
                if (answer.outcome == kv_answer::status::ok) {
                  ApplyAnswer(kMembersListing, answer, asked_at);
                }
                // After a failure, the next poll brings the change.
                if (std::exchange(refresh_again_, false)) {
                  ReadRegistryNow();
                }
              });
}

void state_reader::ReadTargets(std::function<void(bool is_read)> handler) {
  targets_handlers_.push_back(std::move(handler));
  if (!reading_targets_) {
    StartTargetsRead();
  }
}

void state_reader::StartTargetsRead() {
  reading_targets_ = true;
  const steady_time asked_at = BootTimeNow();
  store_.Call(kv_list{listings_[kTargetsListing].prefix}, kCallTimeout,
              [this, asked_at, handlers = std::exchange(targets_handlers_, {})](
                  const kv_answer& answer) {
                // Before the answer is applied, which may throw an exception.
                reading_targets_ = false;
                const bool is_read = answer.outcome == kv_answer::status::ok;
                if (is_read) {
                  ApplyAnswer(kTargetsListing, answer, asked_at);
                }
                if (!targets_handlers_.empty()) {
                  StartTargetsRead();
                }
                for (const auto& handler : handlers) {
                  handler(is_read);
                }
              });
}

bool state_reader::AnswerPeer(const std::shared_ptr<http_exchange>& exchange) {
  if (exchange->request().Path() == kRefreshPath) {
    ReadRegistryNow();
    exchange->Respond(JsonResponse(kOk, json::object()));
    return true;
  }
  return relay_.AnswerPeer(exchange);
}

void state_reader::Apply(std::size_t index) {
  const shared_listing& own = contents_[index];
  (this->*listings_[index].apply)(own.content.Entries(), *own.asked_at);
}

void state_reader::RecordReachability(listing& subject,
                                      const kv_answer& answer) {
  const bool reached = answer.outcome == kv_answer::status::ok;
  const steady_time now = BootTimeNow();
  if (reached != subject.reached) {
    Log(reached ? log_level::info : log_level::warning,
        reached ? "key-value service reached" : "key-value service lost",
        {{"listing", subject.name},
         {"outcome", NameOf(answer.outcome)},
         {"last_answer_age_ms",
          subject.last_answer == steady_time()
              ? -1
              : ToMilliseconds(now - subject.last_answer).count()}});
  }
  subject.reached = reached;
  state_.store_reached = reached;
  if (reached) {
    subject.last_answer = now;
  }
}

void state_reader::ApplyConfiguration(const std::vector<kv_entry>& entries,
                                      steady_time asked_at) {
  for (const kv_entry& entry : entries) {
    if (!protocol_.IsConfiguration(entry)) {
      continue;
    }
    if (entry.version == configuration_version_) {
      state_.configuration.ConfirmUnchanged(asked_at);
      return;
    }
    const result<shared_configuration> decoded =
        protocol_.DecodeConfiguration(entry);
    if (Failed(decoded)) {
      Log(log_level::error, "cannot decode the configuration",
          {{"reason", ErrorOf(decoded).message},
           {"remedy", ErrorOf(decoded).remedy}});
      return;
    }
    if (state_.configuration.Confirm(ValueOf(decoded), asked_at)) {
      configuration_version_ = entry.version;
      Log(log_level::info, "configuration in force",
          {{"version", ValueOf(decoded)->version()},
           {"routes", ValueOf(decoded)->content().routes.size()},
           {"teams", ValueOf(decoded)->content().teams.size()},
           {"bytes", entry.value.size()},
           {"reads_key_value_service", state_.relays.IsReader()},
           {"read_ms", ToMilliseconds(BootTimeNow() - asked_at).count()}});
      UpdateHolders();
      on_configuration_();
    }
  }
}

void state_reader::ApplyTargets(const std::vector<kv_entry>& entries,
                                steady_time asked_at) {
  std::vector<target_record> records;
  std::map<std::string, std::uint64_t> odd_entries;
  for (const kv_entry& entry : entries) {
    result<target_record> record = protocol_.DecodeTarget(entry);
    if (!Failed(record)) {
      records.push_back(std::move(ValueOf(record)));
      continue;
    }
    state_.counters.Add("target_entry_unreadable");
    odd_entries[entry.key] = entry.version;
    const auto logged = odd_target_entries_.find(entry.key);
    if (logged == odd_target_entries_.end() ||
        logged->second != entry.version) {
      Log(log_level::warning, "entry of a target left out",
          {{"key", entry.key},
           {"entry_version", entry.version},
           {"reason", ErrorOf(record).message},
           {"remedy", ErrorOf(record).remedy}});
    }
  }
  odd_target_entries_ = std::move(odd_entries);
  for (const std::string& id :
       state_.targets.Update(std::move(records), asked_at)) {
    const bool usable = state_.targets.Find(id) != nullptr;
    Log(log_level::info,
        usable ? "target usable" : "target draining or removed",
        {{"target", id}, {"listed", state_.targets.IsListed(id)}});
  }
}

void state_reader::ApplyRegistry(const std::vector<kv_entry>& entries,
                                 steady_time asked_at) {
  std::map<std::string, member_record> members;
  for (const kv_entry& entry : entries) {
    if (entry.key.rfind(kMembersPrefix, 0) != 0) {
      continue;
    }
    if (auto member = DecodeMember(entry.value)) {
      members[entry.key] = std::move(*member);
    } else {
      state_.counters.Add("member_entry_unreadable");
    }
  }
  ApplyMembers(std::move(members), asked_at);
  on_registry_(entries);
  const bool placed = ApplyTurnStores(entries, state_.turn_stores);
  if (placed) {
    Log(log_level::info, "turn stores changed",
        {{"accepting", state_.turn_stores.accepting().size()},
         {"known", state_.turn_stores.known().size()}});
  }
}

void state_reader::ApplyMembers(std::map<std::string, member_record> listed,
                                steady_time asked_at) {
  gateway_members& membership = state_.membership;
  const std::size_t listed_count = listed.size();
  const std::size_t before = membership.members().size();
  const std::vector<std::string> could_grant = membership.PossibleGranters();
  if (membership.Update(std::move(listed), asked_at)) {
    state_.members_changed_at = asked_at;
    state_.relays.Update(membership.members(), MemberKey(settings_.host));
    Log(log_level::info, "members changed",
        {{"count", membership.members().size()},
         {"listed", listed_count},
         {"before", before},
         {"reads_key_value_service", state_.relays.IsReader()}});
  }
  // After a short outage of all hosts, the first listing still names those that
  // held the shares before.
  const bool resumes =
      before == 0 && listed_count > 0 && registration_.resumed();
  if (resumes || membership.PossibleGranters() != could_grant) {
    UpdateHolders(resumes);
  }
}

void state_reader::UpdateHolders(bool resumes) {
  const shared_configuration configuration = state_.configuration.current();
  if (configuration) {
    state_.holders.Update(state_.membership.PossibleGranters(),
                          configuration->content().teams,
                          MemberKey(settings_.host), BootTimeNow(), resumes);
  }
}

void state_reader::AnnounceStop() {
  assert(state_.stop.HasBegun());
  registration_.Update();
}

void state_reader::Deregister() {
  registration_.End();
}

}  // namespace gentian
