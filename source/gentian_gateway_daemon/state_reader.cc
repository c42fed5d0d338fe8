#include "gentian_gateway_daemon/state_reader.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

// Configuration changes must apply, and a draining target must stop getting
// requests, within two seconds. The intervals leave time to repeat one lost
// call.
constexpr milliseconds kConfigurationInterval{1'200};
constexpr milliseconds kTargetsInterval{1'200};
constexpr milliseconds kMembersInterval{1'500};
// Bounds a call whose connection has gone silent.
constexpr milliseconds kCallTimeout{800};
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{400};
constexpr int kMaxDoublings = 2;
// About as long as a daemon serves without a confirmed configuration. After
// that, the directory must no longer list it.
constexpr milliseconds kLeaseTtl{4'500};
constexpr milliseconds kRenewInterval{1'200};

duration RetryDelay(int failures) {
  return std::min<duration>(
      kMaxRetryDelay,
      kMinRetryDelay * (1 << std::min(failures, kMaxDoublings)));
}

}  // namespace

state_reader::state_reader(io_pool& pool,
                           key_value_store& store,
                           const gateway_protocol& protocol,
                           const gateway_settings& settings,
                           gateway_state& state,
                           std::function<void()> on_configuration)
    : pool_(pool),
      store_(store),
      protocol_(protocol),
      settings_(settings),
      state_(state),
      on_configuration_(std::move(on_configuration)),
      listings_{{{"configuration", protocol.ConfigurationPrefix(),
                  kConfigurationInterval, &state_reader::ApplyConfiguration},
                 {"targets", protocol.TargetsPrefix(), kTargetsInterval,
                  &state_reader::ApplyTargets},
                 {"members", kMembersPrefix, kMembersInterval,
                  &state_reader::ApplyMembers}}} {}

void state_reader::Start() {
  for (listing& subject : listings_) {
    Poll(subject);
  }
  GrantLease();
}

void state_reader::Poll(listing& subject) {
  const steady_time asked_at = BootTimeNow();
  store_.Call(kv_list{subject.prefix}, kCallTimeout,
              [this, &subject, asked_at](const kv_answer& answer) {
                OnListing(subject, answer, asked_at);
              });
}

void state_reader::OnListing(listing& subject,
                             const kv_answer& answer,
                             steady_time asked_at) {
  RecordReachability(subject, answer);
  duration delay = RetryDelay(subject.failures);
  if (answer.outcome == kv_answer::status::ok) {
    subject.failures = 0;
    (this->*subject.apply)(answer, asked_at);
    delay = std::max<duration>(kMinRetryDelay,
                               subject.interval - (BootTimeNow() - asked_at));
  } else {
    ++subject.failures;
    state_.counters.Add(std::string("listing_failed.") + subject.name);
  }
  pool_.After(delay, [this, &subject] { Poll(subject); });
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

void state_reader::ApplyConfiguration(const kv_answer& answer,
                                      steady_time asked_at) {
  AnswerDrainRequests(answer);
  for (const kv_entry& entry : answer.entries) {
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
           {"read_ms", ToMilliseconds(BootTimeNow() - asked_at).count()}});
      UpdateHolders();
      on_configuration_();
    }
  }
}

void state_reader::ApplyTargets(const kv_answer& answer, steady_time asked_at) {
  std::vector<target_record> records;
  for (const kv_entry& entry : answer.entries) {
    if (auto record = protocol_.DecodeTarget(entry)) {
      records.push_back(std::move(*record));
    } else {
      state_.counters.Add("target_entry_unreadable");
    }
  }
  for (const std::string& id :
       state_.targets.Update(std::move(records), asked_at)) {
    const bool usable = state_.targets.Find(id) != nullptr;
    Log(log_level::info,
        usable ? "target usable" : "target draining or removed",
        {{"target", id}, {"listed", state_.targets.IsListed(id)}});
  }
}

void state_reader::ApplyMembers(const kv_answer& answer, steady_time asked_at) {
  std::map<std::string, member_record> listed;
  for (const kv_entry& entry : answer.entries) {
    if (auto member = DecodeMember(entry.value)) {
      listed[entry.key] = std::move(*member);
    } else {
      state_.counters.Add("member_entry_unreadable");
    }
  }
  gateway_members& membership = state_.membership;
  const std::size_t listed_count = listed.size();
  const std::size_t before = membership.members().size();
  const std::vector<std::string> could_grant = membership.PossibleGranters();
  if (membership.Update(std::move(listed), asked_at)) {
    state_.members_changed_at = asked_at;
    Log(log_level::info, "members changed",
        {{"count", membership.members().size()},
         {"listed", listed_count},
         {"before", before}});
  }
  if (membership.PossibleGranters() != could_grant) {
    UpdateHolders();
  }
}

void state_reader::UpdateHolders() {
  const shared_configuration configuration = state_.configuration.current();
  if (configuration) {
    state_.holders.Update(state_.membership.PossibleGranters(),
                          configuration->content().teams,
                          MemberKey(settings_.host), BootTimeNow());
  }
}

void state_reader::GrantLease() {
  store_.Call(kv_grant_lease{kLeaseTtl}, kCallTimeout,
              [this](const kv_answer& answer) {
                if (answer.outcome != kv_answer::status::ok) {
                  RetryRegistration();
                  return;
                }
                lease_ = answer.lease;
                WriteRecord();
              });
}

void state_reader::RetryRegistration() {
  lease_ = 0;
  state_.counters.Add("registration_failed");
  pool_.After(kMaxRetryDelay, [this] { GrantLease(); });
}

void state_reader::StoreRecord(key_value_store::answer_handler on_answer) {
  const member_record own{settings_.host, settings_.failure_domain,
                          settings_.caller_address, settings_.peer_address,
                          state_.stopping};
  store_.Call(kv_compare_and_swap{MemberKey(settings_.host), record_version_,
                                  EncodeMember(own), lease_},
              kCallTimeout, std::move(on_answer));
}

void state_reader::WriteRecord() {
  StoreRecord([this](const kv_answer& answer) { OnRecordWritten(answer); });
}

void state_reader::OnRecordWritten(const kv_answer& answer) {
  switch (answer.outcome) {
    case kv_answer::status::ok:
      record_version_ = answer.revision;
      Log(log_level::info, "registered",
          {{"lease", lease_}, {"stopping", state_.stopping}});
      pool_.After(kRenewInterval, [this] { RenewLease(); });
      return;
    case kv_answer::status::conflict:
      // The record is from an earlier start, or no longer exists.
      record_version_ =
          answer.entries.empty() ? 0 : answer.entries.front().version;
      WriteRecord();
      return;
    default:
      RetryRegistration();
      return;
  }
}

void state_reader::RenewLease() {
  if (lease_ == 0) {
    return;
  }
  store_.Call(kv_renew_lease{lease_}, kCallTimeout,
              [this](const kv_answer& answer) {
                if (answer.outcome == kv_answer::status::lease_expired) {
                  Log(log_level::warning, "lease expired", {{"lease", lease_}});
                  GrantLease();
                  return;
                }
                const bool renewed = answer.outcome == kv_answer::status::ok;
                pool_.After(renewed ? kRenewInterval : kMaxRetryDelay,
                            [this] { RenewLease(); });
              });
}

void state_reader::AnnounceStop() {
  assert(state_.stopping);
  if (lease_ == 0) {
    return;
  }
  StoreRecord([this](const kv_answer& answer) {
    if (answer.outcome == kv_answer::status::ok) {
      record_version_ = answer.revision;
    }
  });
}

void state_reader::Deregister() {
  if (lease_ == 0) {
    return;
  }
  lease_ = 0;
  store_.Call(kv_delete{MemberKey(settings_.host), record_version_},
              kCallTimeout, [](const kv_answer&) {
                // If the call fails, the record expires with its lease.
              });
}

bool state_reader::IsFirstMember() const {
  const auto& members = state_.membership.members();
  return !members.empty() &&
         members.begin()->first == MemberKey(settings_.host);
}

void state_reader::AnswerDrainRequests(const kv_answer& answer) {
  if (!IsFirstMember()) {
    return;
  }
  for (const kv_entry& entry : answer.entries) {
    const auto request = protocol_.DecodeDrainRequest(entry);
    if (!request || !drains_.insert(request->status_key).second) {
      continue;
    }
    Log(log_level::info, "drain of a host requested",
        {{"drained_host", request->host}});
    WriteDrainStatus(request->status_key, 0, false);
  }
}

void state_reader::WriteDrainStatus(const std::string& key,
                                    std::uint64_t version,
                                    bool completed) {
  store_.Call(
      kv_compare_and_swap{key, version, protocol_.DrainStatus(completed)},
      kCallTimeout, [this, key, completed](const kv_answer& answer) {
        if (answer.outcome == kv_answer::status::ok) {
          if (!completed) {
            // Hosts with disks hold no data that has to be moved.
            WriteDrainStatus(key, answer.revision, true);
          }
        } else if (answer.outcome == kv_answer::status::conflict) {
          const std::uint64_t stored =
              answer.entries.empty() ? 0 : answer.entries.front().version;
          const bool same =
              !answer.entries.empty() &&
              answer.entries.front().value == protocol_.DrainStatus(true);
          if (!same) {
            WriteDrainStatus(key, stored, stored != 0);
          }
        } else {
          drains_.erase(key);
        }
      });
}

}  // namespace gentian
