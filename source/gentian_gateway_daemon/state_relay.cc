#include "gentian_gateway_daemon/state_relay.h"

#include <algorithm>
#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// An answer is held back for this long if nothing has changed. A follower
// notices a frozen source soon after.
constexpr milliseconds kMaxHold{400};
constexpr milliseconds kAnswerTimeout{700};
constexpr milliseconds kConnectTimeout{150};
constexpr milliseconds kNextSourceDelay{50};
// While the key-value service is away, all sources are stale. Gateways that
// asked them more often would flood the readers.
constexpr milliseconds kStaleSourceDelay{300};
// Gateways that were sources once and have left.
constexpr std::size_t kMaxPositions = 64;
constexpr milliseconds kIdleInterval{400};
// Fraction of the withdrawal bound after which a listing is stale. Then there
// is still time to read it before the configuration is too old.
constexpr double kStaleFraction = 0.36;

}  // namespace

state_relay::state_relay(io_pool& pool,
                         http_client& peers,
                         const gateway_settings& settings,
                         gateway_state& state,
                         std::string start,
                         std::vector<shared_listing>& listings,
                         listing_monitor& monitor,
                         confirmed_handler on_confirmed)
    : pool_(pool),
      peers_(peers, {kAnswerTimeout, kConnectTimeout}),
      settings_(settings),
      state_(state),
      start_(std::move(start)),
      listings_(listings),
      monitor_(monitor),
      on_confirmed_(std::move(on_confirmed)) {}

void state_relay::Start() {
  Follow();
}

bool state_relay::IsStale(std::size_t index) const {
  const auto limit = std::chrono::duration_cast<duration>(
      kStaleFraction * settings_.withdrawal_bound);
  const auto& asked_at = listings_[index].asked_at;
  return !asked_at || BootTimeNow() - *asked_at > limit;
}

bool state_relay::IsAnyStale() const {
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    if (IsStale(i)) {
      return true;
    }
  }
  return false;
}

bool state_relay::HasNews(const relay_request& request) const {
  if (request.source != start_) {
    return true;
  }
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    if (listings_[i].content.cursor() != request.cursors[i]) {
      return true;
    }
  }
  return false;
}

bool state_relay::AnswerPeer(const std::shared_ptr<http_exchange>& exchange) {
  if (exchange->request().Path() != kRelayPath) {
    return false;
  }
  const result<relay_request> request =
      DecodeRelayRequest(exchange->request().body);
  if (Failed(request) || ValueOf(request).cursors.size() != listings_.size()) {
    exchange->Respond({kBadRequest, http_headers(), ""});
    return true;
  }
  const follower waiting{exchange, ValueOf(request), BootTimeNow()};
  // A stopping gateway holds nothing back.
  if (HasNews(waiting.request) || state_.stop.HasBegun()) {
    Respond(waiting);
    return true;
  }
  followers_.push_back(waiting);
  ArmHoldTimer();
  return true;
}

void state_relay::ArmHoldTimer() {
  if (hold_timer_armed_) {
    return;
  }
  hold_timer_armed_ = true;
  const duration left = followers_.front().since + kMaxHold - BootTimeNow();
  pool_.After(std::max<duration>(left, milliseconds(1)),
              [this] { ReleaseHeld(); });
}

void state_relay::ReleaseHeld() {
  hold_timer_armed_ = false;
  const steady_time now = BootTimeNow();
  while (!followers_.empty() && now - followers_.front().since >= kMaxHold) {
    Respond(followers_.front());
    followers_.pop_front();
  }
  if (!followers_.empty()) {
    ArmHoldTimer();
  }
}

void state_relay::RequestRefresh() {
  for (const std::string& source : state_.relays.sources()) {
    const auto found = state_.membership.members().find(source);
    if (found != state_.membership.members().end()) {
      peers_.Post(
          found->second.peer_address, kRefreshPath, std::string(),
          [](const http_response&) {},
          [this](http_failure, const std::string&) {
            // The source reads it with its next poll.
            state_.counters.Add("refresh_lost");
          });
    }
  }
}

void state_relay::OnListing(std::size_t index, bool changed) {
  if (changed) {
    OnChanged(index, nullptr);
  }
}

void state_relay::OnChanged(std::size_t index,
                            const source_position* changed_by) {
  // The other sources tell only what has changed for them. They may never have
  // seen an entry that came and went, so they have to tell everything again.
  for (auto& [address, position] : positions_) {
    if (&position != changed_by && index < position.cursors.size()) {
      position.cursors[index] = 0;
    }
  }
  // The hold timer finds the list empty or with followers that came later.
  for (const follower& waiting : std::exchange(followers_, {})) {
    Respond(waiting);
  }
}

void state_relay::Respond(const follower& waiting) {
  const steady_time now = BootTimeNow();
  const bool same_source = waiting.request.source == start_;
  relay_answer answer;
  answer.source = start_;
  answer.held = ToMilliseconds(now - waiting.since);
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    relayed_listing listing;
    if (listings_[i].asked_at) {
      listing.changes = listings_[i].content.ChangesAfter(
          same_source ? waiting.request.cursors[i] : 0);
      listing.age = ToMilliseconds(now - *listings_[i].asked_at);
    }
    answer.listings.push_back(std::move(listing));
  }
  std::string body = EncodeRelayAnswer(answer);
  monitor_.OnPassedOn(body.size());
  waiting.exchange->Respond({kOk, http_headers(), std::move(body)});
}

std::string state_relay::SourceAddress() const {
  const std::vector<std::string>& sources = state_.relays.sources();
  if (sources.empty()) {
    return {};
  }
  const auto found =
      state_.membership.members().find(sources[source_ % sources.size()]);
  return found == state_.membership.members().end()
             ? std::string()
             : found->second.peer_address;
}

void state_relay::Follow() {
  const std::string address = SourceAddress();
  const bool needed = !state_.relays.IsReader() || IsAnyStale();
  if (address.empty() || !needed) {
    pool_.After(kIdleInterval, [this] { Follow(); });
    return;
  }
  if (positions_.size() > kMaxPositions) {
    positions_.clear();
  }
  source_position& position = positions_[address];
  position.cursors.resize(listings_.size(), 0);
  const steady_time sent_at = BootTimeNow();
  peers_.Post(
      address, kRelayPath,
      EncodeRelayRequest({position.start, position.cursors}),
      [this, address, sent_at](const http_response& response) {
        OnAnswer(address, sent_at, response);
      },
      [this](http_failure, const std::string&) {
        state_.counters.Add("relay_failed");
        TryNextSource(kNextSourceDelay);
      });
}

void state_relay::TryNextSource(duration delay) {
  ++source_;
  pool_.After(delay, [this] { Follow(); });
}

void state_relay::OnAnswer(const std::string& address,
                           steady_time sent_at,
                           const http_response& response) {
  const result<relay_answer> answer = DecodeRelayAnswer(response.body);
  if (response.status != kOk || Failed(answer) ||
      ValueOf(answer).listings.size() != listings_.size()) {
    state_.counters.Add("relay_answer_unreadable");
    TryNextSource(kNextSourceDelay);
    return;
  }
  Apply(ValueOf(answer), positions_[address], sent_at);
  if (!IsAnyStale()) {
    Follow();
    return;
  }
  // The source can't read the key-value service, or has just started.
  state_.counters.Add("relay_stale");
  Log(log_level::info, "source of listings is stale", {{"source", address}});
  TryNextSource(kStaleSourceDelay);
}

void state_relay::Apply(const relay_answer& answer,
                        source_position& position,
                        steady_time sent_at) {
  position.cursors.resize(listings_.size(), 0);
  if (answer.source != position.start) {
    position.start = answer.source;
    std::fill(position.cursors.begin(), position.cursors.end(), 0);
  }
  const steady_time now = BootTimeNow();
  // The answer may have been on its way for all of the time for which it was
  // not held back.
  const duration transit =
      std::max<duration>(now - sent_at - answer.held, duration(0));
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    const relayed_listing& relayed = answer.listings[i];
    if (!relayed.age) {
      continue;
    }
    shared_listing& own = listings_[i];
    const steady_time asked_at = now - *relayed.age - transit;
    if (own.asked_at && asked_at < *own.asked_at) {
      // Older than what this gateway knows. The cursor stays, so that the
      // changes are told again.
      continue;
    }
    if (!relayed.changes.entries.empty()) {
      monitor_.OnReceived(own.name, listing_monitor::origin::gateway, transit,
                          SizeOf(relayed.changes.entries));
    }
    const bool changed = own.content.Apply(relayed.changes);
    position.cursors[i] = relayed.changes.cursor;
    own.asked_at = asked_at;
    on_confirmed_(i);
    if (changed) {
      OnChanged(i, &position);
    }
  }
}

}  // namespace gentian
