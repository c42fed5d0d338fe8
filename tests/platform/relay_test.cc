// Tests gateways that learn the state of the key-value service from each other.
#include <criterion/criterion.h>

#include <atomic>
#include <thread>

#include "gentian_core/deflate.h"
#include "gentian_gateway_daemon/relay_messages.h"
#include "platform/gateway_fixture.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::http_outcome;
using gentian::testing::PostRequest;
using gentian::testing::WaitFor;

namespace {

// Ends all handlers before the variables of a test that they use.
void StopPools(gateway_fixture& gateway) {
  gateway.daemon_pool.Stop();
  gateway.pool.Stop();
}

void Answer(const std::shared_ptr<http_exchange>& exchange, int) {
  fake_target::RespondSealed(exchange, "");
}

relay_answer Ask(gateway_fixture& gateway, const relay_request& request) {
  const http_outcome outcome =
      Fetch(gateway.client, PostRequest(gateway.peer_address, kRelayPath,
                                        EncodeRelayRequest(request)));
  cr_assert(outcome.response.status == 200);
  const auto answer = DecodeRelayAnswer(outcome.response.body);
  cr_assert(!Failed(answer));
  return ValueOf(answer);
}

constexpr std::size_t kListings = 3;
const std::vector<std::uint64_t> kFromStart(kListings, 0);

}  // namespace

Test(relay_messages, any_bytes_survive) {
  relay_answer answer;
  answer.source = "start";
  answer.held = milliseconds(7);
  answer.listings.resize(2);
  answer.listings[0].changes = {
      5, true, {{"key", std::string("\xff\0", 2), 3}}, {"gone"}};
  answer.listings[0].age = milliseconds(40);
  const auto read = DecodeRelayAnswer(EncodeRelayAnswer(answer));
  cr_assert(!Failed(read));
  const relayed_listing& listing = ValueOf(read).listings[0];
  cr_assert(listing.changes.cursor == 5 && listing.changes.complete);
  cr_assert(listing.changes.entries[0].value == std::string("\xff\0", 2));
  cr_assert(listing.changes.removed[0] == "gone");
  cr_assert(listing.age == milliseconds(40));
  cr_assert(!ValueOf(read).listings[1].age);
}

// Guards against a malformed message that ends the process.
Test(relay_messages, damaged_messages_are_errors) {
  constexpr std::uint64_t kSeed = 4;
  constexpr int kChanges = 5'000;
  relay_answer answer;
  answer.listings.resize(1);
  answer.listings[0].changes = {5, false, {{"key", "value", 3}}, {"gone"}};
  answer.listings[0].age = milliseconds(40);
  seeded_random random(kSeed);
  for (const std::string& message :
       {EncodeRelayAnswer(answer), EncodeRelayRequest({"source", {1, 2, 3}})}) {
    for (int i = 0; i < kChanges; ++i) {
      std::string damaged = message;
      damaged[random.Below(damaged.size())] =
          static_cast<char>(random.Below(256));
      damaged.resize(random.Below(damaged.size() + 1));
      DecodeRelayAnswer(damaged);
      DecodeRelayRequest(damaged);
    }
  }
}

// Guards against a follower that hears of a change only with the next poll.
Test(relay, tells_its_followers_of_a_change_at_once, .timeout = 60) {
  gateway_fixture subject(Answer);
  relay_answer known = Ask(subject, {"", kFromStart});
  relay_request next{known.source, {}};
  for (const relayed_listing& listing : known.listings) {
    cr_assert(listing.changes.complete && listing.age);
    next.cursors.push_back(listing.changes.cursor);
  }
  // Nothing changes: the answer is held back and tells how old the listing is.
  const relay_answer same = Ask(subject, next);
  cr_assert(same.held > milliseconds(300));
  cr_assert(same.listings[1].changes.entries.empty());
  subject.store.Put("servers/i-2", "not a target");
  relay_answer changed = Ask(subject, next);
  while (changed.listings[1].changes.entries.empty()) {
    changed = Ask(subject, next);
  }
  cr_assert(changed.listings[1].changes.entries.front().key == "servers/i-2");
  cr_assert(!changed.listings[1].changes.complete);
}

// Guards against a gateway that follows others which can't tell it anything,
// and so serves with a configuration that is out of date.
Test(relay, a_gateway_whose_sources_fail_reads_itself, .timeout = 60) {
  gateway_fixture subject(Answer);
  std::atomic<int> asked{0};
  http_server broken(subject.pool,
                     [&asked](const std::shared_ptr<http_exchange>& exchange) {
                       ++asked;
                       exchange->Respond({200, http_headers(), "nothing"});
                     });
  cr_assert(!Failed(broken.Listen("127.0.0.1:0")));
  // This gateway is unlikely to be among the readers.
  constexpr int kOthers = 200;
  for (int i = 0; i < kOthers; ++i) {
    const std::string host = "other-" + std::to_string(i);
    subject.store.Put(MemberKey(host), EncodeMember({host, "z" + host, "",
                                                     broken.address(), false}));
  }
  cr_assert(WaitFor([&asked] { return asked > 3; }));
  subject.Configure("[]");
  cr_assert(WaitFor([&subject] {
    return Fetch(subject.client, subject.Request("/once/x")).response.status ==
           401;
  }));
  StopPools(subject);
}

// Guards against a stale configuration that a frozen clock or a slow way makes
// look fresh: the age that a source tells counts.
Test(relay, a_stale_source_does_not_keep_a_key_alive, .timeout = 60) {
  gateway_fixture subject(Answer);
  const relay_answer known = Ask(subject, {"", kFromStart});
  http_server stale(
      subject.pool, [&known](const std::shared_ptr<http_exchange>& exchange) {
        relay_answer answer = known;
        answer.source = "stale";
        for (relayed_listing& listing : answer.listings) {
          listing.age = milliseconds(60'000);
        }
        exchange->Respond({200, http_headers(), EncodeRelayAnswer(answer)});
      });
  cr_assert(!Failed(stale.Listen("127.0.0.1:0")));
  constexpr int kOthers = 200;
  for (int i = 0; i < kOthers; ++i) {
    const std::string host = "other-" + std::to_string(i);
    subject.store.Put(MemberKey(host), EncodeMember({host, "z" + host, "",
                                                     stale.address(), false}));
  }
  const auto status = [&subject] {
    return Fetch(subject.client, subject.Request("/once/x")).response.status;
  };
  std::this_thread::sleep_for(milliseconds(1'500));
  cr_assert(status() != 401);
  subject.store.SetUnavailable(true);
  cr_assert(
      WaitFor([&status] { return status() == 503; }, milliseconds(2'500)));
  StopPools(subject);
}

// Guards against an entry that stays although it is gone: it came and went
// between two listings of the source, so the source never tells that it went.
Test(relay,
     a_source_tells_everything_after_a_change_from_elsewhere,
     .timeout = 60) {
  gateway_fixture subject(Answer);
  const relay_answer known = Ask(subject, {"", kFromStart});
  std::atomic<bool> is_stale{false};
  std::atomic<std::uint64_t> asked_from{0};
  http_server source(
      subject.pool, [&](const std::shared_ptr<http_exchange>& exchange) {
        const auto request = DecodeRelayRequest(exchange->request().body);
        asked_from = ValueOf(request).cursors[1];
        relay_answer answer = known;
        answer.source = "source";
        for (relayed_listing& listing : answer.listings) {
          listing.age = milliseconds(is_stale ? 60'000 : 0);
        }
        exchange->Respond({200, http_headers(), EncodeRelayAnswer(answer)});
      });
  cr_assert(!Failed(source.Listen("127.0.0.1:0")));
  constexpr int kOthers = 200;
  for (int i = 0; i < kOthers; ++i) {
    const std::string host = "other-" + std::to_string(i);
    subject.store.Put(MemberKey(host), EncodeMember({host, "z" + host, "",
                                                     source.address(), false}));
  }
  cr_assert(WaitFor([&asked_from] { return asked_from > 0; }));
  is_stale = true;
  subject.store.Put("servers/i-3", "came and went");
  cr_assert(WaitFor([&asked_from] { return asked_from == 0; }));
  StopPools(subject);
}

// Guards against an age that can't be subtracted from the present time, and
// makes an old listing look young.
Test(relay_messages, times_are_bounded) {
  relay_answer answer;
  answer.held = milliseconds::max();
  answer.listings.resize(1);
  answer.listings[0].age = milliseconds::max();
  const auto read = DecodeRelayAnswer(EncodeRelayAnswer(answer));
  cr_assert(!Failed(read));
  constexpr milliseconds kHour{3'600'000};
  cr_assert(ValueOf(read).listings[0].age == kHour);
  cr_assert(ValueOf(read).held == kHour);
}

// Guards against listings that wait behind a large change of another one, and
// against the transfer of what a follower has already.
Test(relay,
     tells_large_changes_apart_and_equal_content_not_at_all,
     .timeout = 60) {
  gateway_fixture subject(Answer);
  json large = json::parse(subject.store.Value("op/config"));
  large["version"] = ++subject.version;
  large["note"] = std::string(200'000, 'x');
  subject.store.Put("op/config", large.dump());
  const auto has_large = [&subject] {
    relay_request plain{"", kFromStart};
    return SizeOf(Ask(subject, plain).listings[0].changes.entries) > 200'000;
  };
  cr_assert(WaitFor(has_large));
  relay_request request{"", kFromStart};
  request.takes_packed = true;
  const relay_answer told = Ask(subject, request);
  cr_assert(told.listings[0].is_deferred);
  cr_assert(told.listings[0].changes.entries.empty());
  cr_assert(!told.listings[1].changes.entries.empty());

  request.only = 0;
  http_client_request post = PostRequest(subject.peer_address, kRelayPath,
                                         EncodeRelayRequest(request));
  const std::string packed = Fetch(subject.client, post).response.body;
  cr_assert(packed.size() < 10'000);
  const relay_answer apart = ValueOf(DecodeRelayAnswer(packed));
  cr_assert(apart.listings[0].changes.entries.at(0).value == large.dump());
  cr_assert(!apart.listings[1].age);

  relay_request equal{told.source, kFromStart};
  for (const relayed_listing& listing : told.listings) {
    equal.digests.push_back(listing.digest);
  }
  const relay_answer same = Ask(subject, equal);
  cr_assert(same.held > milliseconds(300));
  cr_assert(same.listings[0].changes.cursor == told.listings[0].changes.cursor);
}

// Guards against a process that is ended by a packed message that is damaged or
// far larger than it looks.
Test(relay_messages, damaged_packed_messages_are_errors) {
  constexpr std::uint64_t kSeed = 7;
  constexpr int kChanges = 5'000;
  relay_answer answer;
  answer.listings.resize(1);
  relayed_listing& listing = answer.listings[0];
  listing.changes = {5, true, {{"key", std::string(4'000, 'v'), 3}}, {}};
  listing.age = milliseconds(1);
  listing.packed =
      std::make_shared<const std::string>(PackChanges(listing.changes));
  const std::string sound = EncodeRelayAnswer(answer);
  cr_assert(ValueOf(DecodeRelayAnswer(sound))
                .listings[0]
                .changes.entries.at(0)
                .value == listing.changes.entries.at(0).value);
  seeded_random random(kSeed);
  for (int i = 0; i < kChanges; ++i) {
    std::string damaged = sound;
    damaged[random.Below(damaged.size())] =
        static_cast<char>(random.Below(256));
    DecodeRelayAnswer(damaged);
  }
  constexpr std::size_t kMegabytes = 64 * 1024 * 1024;
  listing.packed =
      std::make_shared<const std::string>(Deflate(std::string(kMegabytes, 0)));
  cr_assert(Failed(DecodeRelayAnswer(EncodeRelayAnswer(answer))));
}

Test(relay, refuses_malformed_requests) {
  gateway_fixture subject(Answer);
  for (const std::string& body :
       {std::string("x"), EncodeRelayRequest({"source", {1}})}) {
    cr_assert(Fetch(subject.client,
                    PostRequest(subject.peer_address, kRelayPath, body))
                  .response.status == 400);
  }
}
