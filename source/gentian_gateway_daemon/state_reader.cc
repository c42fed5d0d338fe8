#include "gentian_gateway_daemon/state_reader.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "gentian_gateway_daemon/turn_store_listing.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

// Intervals at which everything is read while changes can't be watched. They
// leave time for a lost call, or for followers to turn to another reader.
constexpr milliseconds kConfigurationInterval{800};
constexpr milliseconds kTargetsInterval{800};
constexpr milliseconds kMembersInterval{1'000};
// Bounds the time after which a gateway that follows others looks for stale
// listings.
constexpr milliseconds kMinStaleCheck{10};
constexpr milliseconds kMaxStaleCheck{200};
// Part of the age from which on a listing is stale for which the service may
// hold a watch without a change. The answer confirms the listing; the rest is
// for the answers to followers, which are held as well.
constexpr double kWatchFraction = 0.4;
// For a gateway that only makes up for stale sources.
constexpr milliseconds kNoWait{1};
// Failures in a row after which a gateway that is no reader asks more rarely.
constexpr int kQuickRetries = 2;
// Time for the answer of a watch after its wait.
constexpr milliseconds kWatchMargin{400};
// Pause after a watch that ends before its wait.
constexpr milliseconds kChangeInterval{100};
// Failures in a row after which everything is read at intervals for a while.
constexpr int kMaxWatchFailures = 2;
constexpr milliseconds kWatchPause{5'000};
// Fraction of a bound after which a listing is stale. Then there is still time
// to read it, and for a request to reach a target.
constexpr double kStaleFraction = 0.65;
// The same for the withdrawal bound, which also covers an outage.
constexpr double kStaleFractionOfWithdrawal = 0.36;
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

// A watch that tells of no change proves it only for the time before this: the
// service may tell watches nothing for a while before it drops its history.
constexpr milliseconds kWatchSilence{1'000};
// Largest part of the withdrawal bound that is given up for that.
constexpr double kMaxSilenceFraction = 0.25;

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
          {{listings_[kConfigurationListing].name,
            std::min({FractionOf(kStaleFractionOfWithdrawal,
                                 settings.withdrawal_bound),
                      FractionOf(kStaleFraction, settings.configuration_bound),
                      FractionOf(kStaleFraction, settings.evacuation_bound)})},
           {listings_[kTargetsListing].name,
            FractionOf(kStaleFraction, settings.drain_bound)},
           {listings_[kMembersListing].name,
            FractionOf(kStaleFractionOfWithdrawal,
                       settings.withdrawal_bound)}}),
      silence_(std::min<duration>(
          kWatchSilence,
          FractionOf(kMaxSilenceFraction, settings.withdrawal_bound))),
      monitor_(state),
      registration_(
          pool,
          store,
          MemberKey(settings.host),
          [this, start] {
            member_record record;
            record.host = settings_.host;
            record.failure_domain = settings_.failure_domain;
            record.caller_address = settings_.caller_address;
            record.peer_address = settings_.peer_address;
            record.stopping = state_.stop.HasBegun();
            record.tunnel_address = settings_.tunnel_address;
            record.incarnation = start;
            return EncodeMember(record);
          },
          state.counters,
          [this](bool reached, steady_time asked_at) {
            state_.store_reached = reached;
            if (reached) {
              state_.registered_at = asked_at;
              state_.configuration.OnServiceHeard(asked_at);
              state_.targets.OnServiceHeard(asked_at);
              StartReadingMembers();
            }
          }),
      relay_(pool,
             peers,
             state,
             std::move(start),
             contents_,
             monitor_,
             [this](std::size_t index, shared_listing::outcome outcome) {
               OnRelayed(index, outcome);
             }) {
  state_.members_max_age = contents_[kMembersListing].max_age();
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    polls_.push_back(std::make_unique<repeating_task>(
        pool_, kMinRetryDelay,
        [this, i](const poll_round& round) { Poll(i, round); }));
  }
}

void state_reader::Start() {
  polls_[kConfigurationListing]->Start();
  polls_[kTargetsListing]->Start();
  registration_.Start();
  relay_.Start();
  pool_.After(kMembersInterval, [this] { StartReadingMembers(); });
}

// The first listing of the members should contain this daemon.
void state_reader::StartReadingMembers() {
  if (!reads_members_) {
    reads_members_ = true;
    polls_[kMembersListing]->Start();
  }
}

void state_reader::ReportAge(std::size_t index) {
  monitor_.OnAge(listings_[index].name, contents_[index].Age(BootTimeNow()),
                 relay_.IsStale(index));
}

void state_reader::ReportAges() {
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    ReportAge(i);
  }
}

void state_reader::Poll(std::size_t index, const poll_round& round) {
  ReportAge(index);
  const duration until_stale = relay_.TimeUntilStale(index);
  if (state_.relays.IsReader() || until_stale <= duration(0)) {
    Read(index, round);
  } else {
    round.RunAgainAfter(
        std::clamp<duration>(until_stale, kMinStaleCheck, kMaxStaleCheck));
  }
}

// A listing is read as a whole once, and then only what changes in it: whole
// reads would take all of a small host's time where the listing is large.
void state_reader::Read(std::size_t index, const poll_round& round) {
  const listing& subject = listings_[index];
  if (subject.followed_to != 0 && BootTimeNow() >= subject.watch_not_before) {
    Watch(index, round);
  } else {
    List(index, round);
  }
}

void state_reader::List(std::size_t index, const poll_round& round) {
  const read_call call{index, round, BootTimeNow()};
  store_.Call(
      kv_list{listings_[index].prefix}, kCallTimeout,
      [this, call](const kv_answer& answer) { OnListed(call, answer); });
}

void state_reader::Watch(std::size_t index, const poll_round& round) {
  const listing& subject = listings_[index];
  const milliseconds wait =
      state_.relays.IsReader()
          ? ToMilliseconds(
                FractionOf(kWatchFraction, contents_[index].max_age()))
          : kNoWait;
  const read_call call{index, round, BootTimeNow(), wait,
                       subject.outside_changes};
  store_.Call(kv_watch{subject.prefix, subject.followed_to, call.wait},
              call.wait + kWatchMargin, [this, call](const kv_answer& answer) {
                OnWatched(call, answer);
              });
}

void state_reader::OnListed(const read_call& call, const kv_answer& answer) {
  listing& subject = listings_[call.index];
  RecordReachability(subject, answer);
  const bool is_read = answer.outcome == kv_answer::status::ok;
  duration delay = RetryDelay(subject.failures);
  if (is_read) {
    subject.failures = 0;
    const bool can_watch = BootTimeNow() >= subject.watch_not_before;
    delay = can_watch ? duration(0)
                      : std::max<duration>(
                            kMinRetryDelay,
                            subject.interval - (BootTimeNow() - call.asked_at));
  } else {
    ++subject.failures;
    state_.counters.Add(std::string("listing_failed.") + subject.name);
  }
  const bool retries_soon = !is_read && subject.failures <= kQuickRetries;
  if (!state_.relays.IsReader() && !retries_soon) {
    delay = std::max<duration>(delay, kMinDirectInterval);
  }
  call.round.RunAgainAfter(delay);
  if (is_read && ApplyListing(call.index, answer, call.asked_at) !=
                     shared_listing::outcome::older) {
    subject.followed_to = answer.revision;
  }
}

void state_reader::OnWatched(const read_call& call, const kv_answer& answer) {
  listing& subject = listings_[call.index];
  // A revision that goes back is that of a service restored from a backup.
  if (answer.outcome != kv_answer::status::ok ||
      answer.revision < subject.followed_to) {
    OnWatchFailed(call, answer);
    return;
  }
  RecordReachability(subject, answer);
  subject.failures = 0;
  subject.watch_failures = 0;
  const steady_time now = BootTimeNow();
  const bool has_changes = !answer.entries.empty() || !answer.deleted.empty();
  // A watch that ends without a change has looked at the end of its wait.
  const bool has_waited = !has_changes && now - call.asked_at >= call.wait;
  call.round.RunAgainAfter(!state_.relays.IsReader() ? kMinDirectInterval
                           : has_waited              ? milliseconds(0)
                                                     : kChangeInterval);
  if (call.outside_changes != subject.outside_changes) {
    // The changes may be older than the content.
    return;
  }
  shared_listing& own = contents_[call.index];
  const shared_listing::reading source{
      std::max(answer.revision, own.revision()),
      has_waited ? call.asked_at + call.wait : call.asked_at};
  // Not the revision of the answer: a service that has told watches nothing for
  // a while is asked for the same changes again.
  subject.followed_to = std::max(subject.followed_to, answer.last_change);
  listing_changes changes;
  changes.entries = answer.entries;
  changes.removed = answer.deleted;
  if (has_changes) {
    monitor_.OnReceived(subject.name,
                        listing_monitor::origin::key_value_service,
                        now - call.asked_at, SizeOf(changes.entries));
  }
  Apply(call.index, own.Apply(changes, source, now));
}

void state_reader::OnWatchFailed(const read_call& call,
                                 const kv_answer& answer) {
  listing& subject = listings_[call.index];
  state_.counters.Add(std::string("watch_ended.") + subject.name);
  subject.followed_to = 0;
  // A service that has dropped its history answers; the next watch may hold.
  if (answer.outcome != kv_answer::status::compacted &&
      ++subject.watch_failures >= kMaxWatchFailures) {
    subject.watch_not_before = BootTimeNow() + kWatchPause;
  }
  call.round.RunAgainAfter(kMinRetryDelay);
}

shared_listing::outcome state_reader::ApplyListing(std::size_t index,
                                                   const kv_answer& answer,
                                                   steady_time asked_at) {
  const steady_time now = BootTimeNow();
  monitor_.OnReceived(listings_[index].name,
                      listing_monitor::origin::key_value_service,
                      now - asked_at, SizeOf(answer.entries));
  listing_changes whole;
  whole.complete = true;
  whole.entries = answer.entries;
  const shared_listing::outcome outcome =
      contents_[index].Apply(whole, {answer.revision, asked_at}, now);
  Apply(index, outcome);
  return outcome;
}

void state_reader::OnReadOutside(std::size_t index,
                                 shared_listing::outcome outcome) {
  if (outcome == shared_listing::outcome::changed) {
    ++listings_[index].outside_changes;
    listings_[index].followed_to = 0;
  }
}

void state_reader::OnRelayed(std::size_t index,
                             shared_listing::outcome outcome) {
  OnReadOutside(index, outcome);
  // The relay tells its followers itself.
  ApplyContent(index, outcome);
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
                  OnReadOutside(
                      kMembersListing,
                      ApplyListing(kMembersListing, answer, asked_at));
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
                  OnReadOutside(
                      kTargetsListing,
                      ApplyListing(kTargetsListing, answer, asked_at));
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

void state_reader::Apply(std::size_t index, shared_listing::outcome outcome) {
  ApplyContent(index, outcome);
  if (outcome == shared_listing::outcome::changed) {
    relay_.OnChanged(index);
  }
}

void state_reader::ApplyContent(std::size_t index,
                                shared_listing::outcome outcome) {
  if (outcome != shared_listing::outcome::older) {
    if (index != kConfigurationListing) {
      state_.configuration.OnServiceHeard(*contents_[index].asked_at());
    }
    (this->*listings_[index].apply)(outcome == shared_listing::outcome::changed,
                                    *contents_[index].asked_at());
  }
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
         {"reason", answer.reason},
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

void state_reader::ApplyConfiguration(bool has_changed, steady_time asked_at) {
  if (!has_changed) {
    if (is_configuration_read_) {
      state_.configuration.ConfirmUnchanged(asked_at, silence_);
    }
    return;
  }
  // Also with a configuration that can't be decoded.
  ApplyEvacuations();
  is_configuration_read_ = false;
  for (const kv_entry& entry :
       contents_[kConfigurationListing].content().Entries()) {
    if (!protocol_.IsConfiguration(entry)) {
      continue;
    }
    if (entry.version == configuration_version_) {
      is_configuration_read_ = true;
      state_.configuration.ConfirmUnchanged(asked_at, silence_);
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
    if (state_.configuration.Confirm(ValueOf(decoded), asked_at, silence_)) {
      is_configuration_read_ = true;
      configuration_version_ = entry.version;
      Log(log_level::info, "configuration in force",
          {{"version", ValueOf(decoded)->version()},
           {"routes", ValueOf(decoded)->content().routes.size()},
           {"teams", ValueOf(decoded)->content().teams.size()},
           {"bytes", entry.value.size()},
           {"reads_key_value_service", state_.relays.IsReader()},
           {"read_ms", ToMilliseconds(BootTimeNow() - asked_at).count()}});
      UpdateHolders();
      state_.targets.SetColdLimits(ColdLimitsOf(
          *ValueOf(decoded), settings_.cold_factor, settings_.cold_slack));
      on_configuration_();
    }
  }
}

void state_reader::ApplyEvacuations() {
  std::set<std::string> evacuated;
  for (const kv_entry& entry :
       contents_[kConfigurationListing].content().Entries()) {
    if (auto domain = protocol_.DecodeEvacuation(entry)) {
      evacuated.insert(std::move(*domain));
    }
  }
  state_.targets.evacuations().Update(evacuated);
  ReportEvacuations();
}

void state_reader::ReportEvacuations() {
  using kind = evacuation_list::event::kind;
  const auto exists = [this](const std::string& domain) {
    const auto& members = state_.membership.members();
    return domain == settings_.failure_domain ||
           settings_.regions.count(domain) > 0 ||
           state_.targets.HasDomain(domain) ||
           std::any_of(members.begin(), members.end(),
                       [&domain](const auto& member) {
                         return member.second.failure_domain == domain;
                       });
  };
  for (const evacuation_list::event& event :
       state_.targets.evacuations().TakeEvents(exists,
                                               state_.targets.is_loaded())) {
    switch (event.what) {
      case kind::evacuated:
        Log(log_level::warning, "failure domain evacuated",
            {{"failure_domain", event.failure_domain}});
        break;
      case kind::returned:
        Log(log_level::info, "failure domain no longer evacuated",
            {{"failure_domain", event.failure_domain}});
        break;
      case kind::unknown:
        Log(log_level::warning, "evacuated failure domain doesn't exist",
            {{"failure_domain", event.failure_domain},
             {"remedy", "name a failure domain of the targets"}});
        break;
    }
  }
}

void state_reader::DecodeTargets() {
  std::vector<target_record> records;
  std::map<std::string, std::uint64_t> odd_entries;
  for (const kv_entry& entry : contents_[kTargetsListing].content().Entries()) {
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
  target_records_ = std::move(records);
}

void state_reader::ApplyTargets(bool has_changed, steady_time asked_at) {
  if (has_changed) {
    DecodeTargets();
  }
  for (const std::string& id :
       state_.targets.Update(target_records_, asked_at, BootTimeNow())) {
    const bool usable = state_.targets.Find(id) != nullptr;
    const bool evacuated = state_.targets.IsEvacuated(id);
    Log(log_level::info,
        usable      ? "target usable"
        : evacuated ? "target in an evacuated failure domain"
                    : "target draining or removed",
        {{"target", id}, {"listed", state_.targets.IsListed(id)}});
  }
  if (has_changed) {
    ReportEvacuations();
  }
  LogColdTargets();
}

void state_reader::LogColdTargets() {
  const target_table::cold_news& news = state_.targets.cold_changes();
  for (const std::string& id : news.malformed) {
    state_.counters.Add("target_cold_time_unreadable");
    Log(log_level::warning, "cold time of a target can't be read",
        {{"target", id},
         {"entry_version", state_.targets.FindListed(id)->record.entry_version},
         {"reason",
          "cold_left_ms is no number of milliseconds up to the cold "
          "time of the service"},
         {"remedy", "the target counts as cold for at most that time"}});
  }
  const steady_time now = BootTimeNow();
  for (const std::string& id : news.turned_cold) {
    Log(log_level::info, "target is cold",
        {{"target", id},
         {"source", "listing"},
         {"cold_left_ms",
          ToMilliseconds(state_.targets.FindListed(id)->cold.TimeLeft(now))
              .count()}});
  }
}

void state_reader::ApplyRegistry(bool /*has_changed*/, steady_time asked_at) {
  const std::vector<kv_entry> entries =
      contents_[kMembersListing].content().Entries();
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
  state_.members_asked_at = asked_at;
  const std::size_t listed_count = listed.size();
  const std::size_t before = membership.members().size();
  const std::vector<std::string> could_grant = membership.PossibleGranters();
  if (membership.Update(std::move(listed), asked_at)) {
    state_.members_changed_at = asked_at;
    state_.members_change_read_at = BootTimeNow();
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
