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
// Longest silence of a source. What takes longer only because there is much of
// it goes on: begun again, it would take as long, and load the source twice.
constexpr milliseconds kAnswerSilence{700};
constexpr milliseconds kAnswerTimeout{5'000};
constexpr milliseconds kConnectTimeout{150};
// Bounds the load of changes in quick succession, and of a stopping source,
// which holds nothing back.
constexpr milliseconds kMinInterval{50};
constexpr milliseconds kNextSourceDelay{50};
// Pause after changes could not be fetched apart.
constexpr milliseconds kFetchRetryDelay{200};
// While the key-value service is away, all sources are stale. Gateways that
// asked them more often would flood the readers.
constexpr milliseconds kStaleSourceDelay{300};
// Gateways that were sources once and have left.
constexpr std::size_t kMaxPositions = 64;
constexpr milliseconds kIdleInterval{400};
// Smaller changes are not compressed.
constexpr std::size_t kMinPackedBytes = 1'024;
// Larger ones are asked for apart.
constexpr std::size_t kMaxInlineBytes = 32 * 1024;
// Followers that are at different changes.
constexpr std::size_t kMaxPackedChanges = 4;

}  // namespace

state_relay::state_relay(io_pool& pool,
                         http_client& peers,
                         gateway_state& state,
                         std::string start,
                         std::vector<shared_listing>& listings,
                         listing_monitor& monitor,
                         confirmed_handler on_confirmed)
    : peers_(peers, {kAnswerTimeout, kConnectTimeout, kAnswerSilence}),
      state_(state),
      start_(std::move(start)),
      listings_(listings),
      monitor_(monitor),
      on_confirmed_(std::move(on_confirmed)),
      holding_(
          pool,
          kMinInterval,
          [this](const repeating_task::round& round) { ReleaseHeld(round); }),
      is_fetching_(listings.size()),
      follow_(pool,
              kNextSourceDelay,
              [this](const repeating_task::round& round) { Follow(round); }),
      packed_(listings.size()) {
  for (std::size_t i = 0; i < listings.size(); ++i) {
    fetches_.push_back(std::make_unique<repeating_task>(
        pool, kFetchRetryDelay, [this, i](const repeating_task::round& round) {
          round.End();
          EndFetch(i);
        }));
  }
}

void state_relay::Start() {
  follow_.Start();
}

duration state_relay::TimeUntilStale(std::size_t index) const {
  const std::optional<duration> age = listings_[index].Age(BootTimeNow());
  return age ? listings_[index].max_age() - *age : duration(0);
}

bool state_relay::IsAnyStale() const {
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    if (IsStale(i)) {
      return true;
    }
  }
  return false;
}

// True if the follower's content is known to be this gateway's, or it was told
// of the last change.
bool state_relay::IsSame(const relay_request& request,
                         std::size_t index) const {
  const listing_content& content = listings_[index].content();
  const bool is_equal =
      !request.digests.empty() && request.digests[index] == content.digest();
  return is_equal || (request.source == start_ &&
                      request.cursors[index] == content.cursor());
}

bool state_relay::HasNews(const relay_request& request) const {
  if (request.source != start_) {
    return true;
  }
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    if (request.only.value_or(i) == i && !IsSame(request, i)) {
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
  const bool is_known = !Failed(request) &&
                        ValueOf(request).cursors.size() == listings_.size() &&
                        (ValueOf(request).digests.empty() ||
                         ValueOf(request).digests.size() == listings_.size());
  if (!is_known) {
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
  if (!std::exchange(is_holding_, true)) {
    holding_.StartAfter(TimeUntilRelease());
  }
  return true;
}

duration state_relay::TimeUntilRelease() const {
  return std::max<duration>(followers_.front().since + kMaxHold - BootTimeNow(),
                            milliseconds(1));
}

void state_relay::ReleaseHeld(const repeating_task::round& round) {
  const steady_time now = BootTimeNow();
  while (!followers_.empty() && now - followers_.front().since >= kMaxHold) {
    const follower waiting = followers_.front();
    followers_.pop_front();
    Respond(waiting);
  }
  if (followers_.empty()) {
    is_holding_ = false;
    round.End();
  } else {
    round.RunAgainAfter(TimeUntilRelease());
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

void state_relay::OnChanged(std::size_t index) {
  TellChange(index, nullptr);
}

void state_relay::TellChange(std::size_t index,
                             const listing_position* changed_by) {
  // The other sources tell only what has changed for them. They may never have
  // seen an entry that came and went, so they have to tell everything again.
  for (auto& [address, position] : positions_) {
    listing_position& subject = position.listings[index];
    if (&subject != changed_by) {
      subject = listing_position();
    }
  }
  packed_[index].clear();
  // The hold timer finds the list empty or with followers that came later.
  for (const follower& waiting : std::exchange(followers_, {})) {
    Respond(waiting);
  }
}

void state_relay::Respond(const follower& waiting) {
  relay_answer answer;
  answer.source = start_;
  answer.held = ToMilliseconds(BootTimeNow() - waiting.since);
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    answer.listings.push_back(waiting.request.only.value_or(i) == i
                                  ? Describe(waiting.request, i)
                                  : relayed_listing());
  }
  std::string body = EncodeRelayAnswer(answer);
  monitor_.OnPassedOn(body.size());
  waiting.exchange->Respond({kOk, http_headers(), std::move(body)});
}

relayed_listing state_relay::Describe(const relay_request& request,
                                      std::size_t index) {
  const shared_listing& own = listings_[index];
  relayed_listing listing;
  const std::optional<duration> age = own.Age(BootTimeNow());
  if (!age) {
    return listing;
  }
  listing.age = ToMilliseconds(*age);
  listing.revision = own.revision();
  listing.digest = own.content().digest();
  if (IsSame(request, index)) {
    listing.changes.cursor = own.content().cursor();
    return listing;
  }
  const std::uint64_t from =
      request.source == start_ ? request.cursors[index] : 0;
  listing.changes = own.content().ChangesAfter(from);
  if (!request.takes_packed) {
    return listing;
  }
  const std::size_t size = SizeOf(listing.changes.entries);
  listing.is_deferred = size > kMaxInlineBytes && !request.only;
  if (listing.is_deferred) {
    listing.changes.entries.clear();
    listing.changes.removed.clear();
  } else if (size >= kMinPackedBytes) {
    listing.packed = Pack(index, from, listing.changes);
  }
  return listing;
}

// Followers mostly ask for the same changes.
std::shared_ptr<const std::string> state_relay::Pack(
    std::size_t index,
    std::uint64_t from,
    const listing_changes& changes) {
  std::list<packed_changes>& known = packed_[index];
  for (const packed_changes& packed : known) {
    if (packed.from == from && packed.cursor == changes.cursor) {
      return packed.bytes;
    }
  }
  auto bytes = std::make_shared<const std::string>(PackChanges(changes));
  known.push_front({from, changes.cursor, bytes});
  if (known.size() > kMaxPackedChanges) {
    known.pop_back();
  }
  return bytes;
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

state_relay::source_position& state_relay::PositionOf(
    const std::string& address) {
  source_position& position = positions_[address];
  position.listings.resize(listings_.size());
  return position;
}

relay_request state_relay::RequestTo(const source_position& position) const {
  relay_request request;
  request.source = position.start;
  request.takes_packed = true;
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    request.cursors.push_back(position.listings[i].told);
    request.digests.push_back(listings_[i].content().digest());
  }
  return request;
}

void state_relay::Follow(const repeating_task::round& round) {
  const std::string address = SourceAddress();
  const bool needed = !state_.relays.IsReader() || IsAnyStale();
  if (address.empty() || !needed) {
    round.RunAgainAfter(kIdleInterval);
    return;
  }
  if (positions_.size() > kMaxPositions) {
    positions_.clear();
  }
  const question asked{address, RequestTo(PositionOf(address)), BootTimeNow()};
  peers_.Post(
      address, kRelayPath, EncodeRelayRequest(asked.request),
      [this, round, asked](const http_response& response) {
        OnAnswer(round, asked, response);
      },
      [this, round](http_failure, const std::string&) {
        state_.counters.Add("relay_failed");
        TryNextSource(round, kNextSourceDelay);
      });
}

void state_relay::TryNextSource(const repeating_task::round& round,
                                duration delay) {
  ++source_;
  round.RunAgainAfter(delay);
}

result<relay_answer> state_relay::Decode(const http_response& response) const {
  result<relay_answer> answer = DecodeRelayAnswer(response.body);
  if (!Failed(answer) &&
      (response.status != kOk ||
       ValueOf(answer).listings.size() != listings_.size())) {
    return error{error_kind::malformed_request,
                 "a source tells of other listings",
                 "run the same version on all hosts"};
  }
  return answer;
}

void state_relay::OnAnswer(const repeating_task::round& round,
                           const question& asked,
                           const http_response& response) {
  const result<relay_answer> answer = Decode(response);
  if (Failed(answer)) {
    state_.counters.Add("relay_answer_unreadable");
    TryNextSource(round, kNextSourceDelay);
    return;
  }
  Apply(ValueOf(answer), asked);
  if (!IsAnyStale()) {
    const duration pause = asked.sent_at + kMinInterval - BootTimeNow();
    round.RunAgainAfter(std::max<duration>(pause, duration(0)));
    return;
  }
  // The source can't read the key-value service, or has just started.
  state_.counters.Add("relay_stale");
  Log(log_level::info, "source of listings is stale",
      {{"source", asked.address}});
  TryNextSource(round, kStaleSourceDelay);
}

void state_relay::Fetch(std::size_t index, const std::string& address) {
  if (is_fetching_[index]) {
    return;
  }
  const repeating_task::round fetch = fetches_[index]->Begin();
  is_fetching_[index] = true;
  const source_position& position = PositionOf(address);
  question asked{address, RequestTo(position), BootTimeNow()};
  asked.request.only = index;
  asked.request.cursors[index] = position.listings[index].cursor;
  peers_.Post(
      address, kRelayPath, EncodeRelayRequest(asked.request),
      [this, index, fetch, asked](const http_response& response) {
        OnFetched(index, fetch, asked, response);
      },
      [this, fetch](http_failure, const std::string&) {
        state_.counters.Add("relay_fetch_failed");
        fetch.RunAgainAfter(kFetchRetryDelay);
      });
}

void state_relay::OnFetched(std::size_t index,
                            const repeating_task::round& fetch,
                            const question& asked,
                            const http_response& response) {
  const result<relay_answer> answer = Decode(response);
  if (Failed(answer)) {
    state_.counters.Add("relay_answer_unreadable");
    fetch.RunAgainAfter(kFetchRetryDelay);
    return;
  }
  Apply(ValueOf(answer), asked);
  fetch.End();
  EndFetch(index);
}

void state_relay::EndFetch(std::size_t index) {
  is_fetching_[index] = false;
  // A source that has told of more meanwhile tells it again.
  for (auto& [address, position] : positions_) {
    position.listings[index].told = position.listings[index].cursor;
  }
}

void state_relay::Apply(const relay_answer& answer, const question& asked) {
  source_position& position = PositionOf(asked.address);
  if (answer.source != position.start) {
    position.start = answer.source;
    position.listings.assign(listings_.size(), listing_position());
  }
  // The answer may have been on its way for all of the time for which it was
  // not held back.
  const duration transit = std::max<duration>(
      BootTimeNow() - asked.sent_at - answer.held, duration(0));
  for (std::size_t i = 0; i < listings_.size(); ++i) {
    if (answer.listings[i].age) {
      ApplyListing(i, answer.listings[i], asked, transit);
    }
  }
}

void state_relay::ApplyListing(std::size_t index,
                               const relayed_listing& relayed,
                               const question& asked,
                               duration transit) {
  listing_position& position = PositionOf(asked.address).listings[index];
  shared_listing& own = listings_[index];
  const steady_time now = BootTimeNow();
  const shared_listing::reading source{relayed.revision,
                                       now - *relayed.age - transit};
  const std::uint64_t cursor = relayed.changes.cursor;
  const bool is_equal =
      relayed.digest != 0 && relayed.digest == own.content().digest();
  if (is_equal) {
    position = {cursor, cursor};
    own.Confirm(source, now);
    on_confirmed_(index, shared_listing::outcome::unchanged);
    return;
  }
  // Changes are told from the cursor that was asked from. The content may have
  // changed from elsewhere since.
  const bool is_based =
      relayed.changes.complete ||
      (position.cursor != 0 && asked.request.cursors[index] == position.cursor);
  position.told = cursor;
  if (own.IsNewerThan(source)) {
    return;
  }
  if (relayed.is_deferred || !is_based) {
    Fetch(index, asked.address);
    return;
  }
  monitor_.OnReceived(own.name(), listing_monitor::origin::gateway, transit,
                      SizeOf(relayed.changes.entries));
  const shared_listing::outcome outcome =
      own.Apply(relayed.changes, source, now);
  position.cursor = cursor;
  on_confirmed_(index, outcome);
  if (outcome == shared_listing::outcome::changed) {
    TellChange(index, &position);
  }
}

}  // namespace gentian
