// Tests how old the configuration and the targets become at a gateway, with a
// large configuration and over slow connections.
#include <criterion/criterion.h>

#include <algorithm>
#include <thread>

#include "gentian_gateway_daemon/relay_messages.h"
#include "platform/gateway_fixture.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::PostRequest;
using gentian::testing::WaitFor;

namespace {

constexpr milliseconds kWithdrawalBound{5'000};
constexpr milliseconds kDrainBound{2'000};
constexpr milliseconds kSilence{400};
constexpr std::size_t kConfigurationListing = 0;

void Answer(const std::shared_ptr<http_exchange>& exchange, int) {
  fake_target::RespondSealed(exchange, "");
}

// Sends an answer in parts, so that it takes this time as a whole.
void RespondSlowly(io_pool& pool,
                   const std::shared_ptr<http_exchange>& exchange,
                   const std::string& body,
                   milliseconds time) {
  constexpr int kParts = 16;
  const std::size_t size = body.size() / kParts + 1;
  exchange->StartChunks(http_headers());
  for (int i = 0; i < kParts; ++i) {
    pool.After(time * i / kParts, [exchange, body, size, i] {
      const std::size_t begin = std::min(body.size(), i * size);
      if (begin < body.size()) {
        exchange->SendChunk(body.substr(begin, size));
      }
    });
  }
  pool.After(time, [exchange] { exchange->EndStream(); });
}

// Members that are not there, or answer at this address, so many that the
// gateway is unlikely to be a reader.
void AddMembers(gateway_fixture& subject, const std::string& peer_address) {
  constexpr int kOthers = 200;
  for (int i = 0; i < kOthers; ++i) {
    const std::string host = "other-" + std::to_string(i);
    subject.store.Put(MemberKey(host), EncodeMember({host, "z" + host, "",
                                                     peer_address, false}));
  }
}

// The configuration with another version, changed by a function.
template <typename Change>
std::string NextConfiguration(gateway_fixture& subject, Change change) {
  json next = json::parse(subject.store.Value("op/config"));
  next["version"] = ++subject.version;
  change(next);
  return next.dump();
}

void AddRoutes(json& configuration) {
  constexpr int kRoutes = 1'400;
  for (int i = 0; i < kRoutes; ++i) {
    json route = configuration.at("routes").at(0);
    route["name"] = "added-" + std::to_string(i);
    route["prefix"] = "/added-" + std::to_string(i) + "/";
    route["note"] = std::string(200, 'x');
    configuration["routes"].push_back(route);
  }
}

int StatusOf(gateway_fixture& subject,
             const std::string& path,
             const std::string& key) {
  http_client_request request;
  request.address = subject.caller_address;
  request.method = "POST";
  request.target = path;
  request.headers.Add("Host", "h");
  request.headers.Add("Request-Id", "r-" + path);
  request.headers.Add("Deadline-Ms", "1000");
  if (!key.empty()) {
    request.headers.Add("X-Api-Key", key);
  }
  return Fetch(subject.client, request).response.status;
}

kv_answer List(metadata_store& store, milliseconds deadline) {
  std::promise<kv_answer> done;
  store.Call(kv_list{"op/"}, deadline,
             [&done](const kv_answer& answer) { done.set_value(answer); });
  return done.get_future().get();
}

json ListingOf(std::size_t value_bytes) {
  return {{"items",
           {{{"key", "op/config"},
             {"value", EncodeBase64(std::string(value_bytes, 'x'))},
             {"rev", 3}}}},
          {"as_of", 4}};
}

}  // namespace

// Guards against a value that is never read because its transfer takes longer
// than a call without an answer may take.
Test(listing_age, a_value_that_comes_slowly_is_read, .timeout = 60) {
  constexpr std::size_t kBytes = 100'000;
  io_pool pool(2);
  http_server server(
      pool, [&pool](const std::shared_ptr<http_exchange>& exchange) {
        RespondSlowly(pool, exchange, ListingOf(kBytes).dump(), 4 * kSilence);
      });
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  metadata_store store(pool, server.address());
  const kv_answer answer = List(store, kSilence);
  cr_assert(answer.outcome == kv_answer::status::ok);
  cr_assert(answer.entries.at(0).value.size() == kBytes);
  pool.Stop();
}

// Guards against calls that wait for the rest of an answer for good.
Test(listing_age, an_answer_that_stalls_ends_the_call, .timeout = 60) {
  io_pool pool(2);
  http_server server(pool, [](const std::shared_ptr<http_exchange>& exchange) {
    exchange->StartChunks(http_headers());
    exchange->SendChunk(ListingOf(100).dump().substr(0, 50));
  });
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  metadata_store store(pool, server.address());
  const steady_time begin = BootTimeNow();
  cr_assert(List(store, kSilence).outcome == kv_answer::status::no_answer);
  cr_assert(BootTimeNow() - begin < 3 * kSilence);
  pool.Stop();
}

// Guards against readers that do nothing but read the same large configuration.
Test(listing_age, an_unchanged_configuration_is_not_read_again, .timeout = 60) {
  gateway_fixture subject(Answer);
  const std::string large = NextConfiguration(subject, AddRoutes);
  subject.store.Put("op/config", large);
  cr_assert(WaitFor(
      [&subject] { return StatusOf(subject, "/added-7/x", "k") == 200; }));
  const std::size_t before = subject.store_client.bytes();
  std::this_thread::sleep_for(milliseconds(3'000));
  const std::size_t read = subject.store_client.bytes() - before;
  cr_assert(read < large.size(), "%zu bytes of %zu", read, large.size());
}

// Guards against followers that give up an answer which is on its way, and ask
// for all of it again.
Test(listing_age, a_slow_answer_of_a_source_is_awaited, .timeout = 60) {
  gateway_fixture subject(Answer, kWithdrawalBound);
  const auto asked =
      Fetch(subject.client, PostRequest(subject.peer_address, kRelayPath,
                                        EncodeRelayRequest({"", {0, 0, 0}})));
  relay_answer answer = ValueOf(DecodeRelayAnswer(asked.response.body));
  answer.source = "source";
  constexpr std::uint64_t kLater = 1'000'000;
  relayed_listing next;
  next.changes = answer.listings[kConfigurationListing].changes;
  next.changes.cursor += 1;
  next.changes.entries = {
      {"op/config",
       NextConfiguration(subject,
                         [](json& next) {
                           next["tenants"][0]["api_keys"] = {"k", "later"};
                         }),
       kLater}};
  next.age = milliseconds(0);
  answer.listings[kConfigurationListing] = next;
  http_server source(
      subject.pool,
      [&subject, &answer](const std::shared_ptr<http_exchange>& exchange) {
        RespondSlowly(subject.pool, exchange, EncodeRelayAnswer(answer),
                      milliseconds(1'600));
      });
  cr_assert(!Failed(source.Listen("127.0.0.1:0")));
  subject.store_client.Drop("op/");
  AddMembers(subject, source.address());
  cr_assert(WaitFor(
      [&subject] { return StatusOf(subject, "/once/x", "later") == 200; }));
  subject.daemon_pool.Stop();
  subject.pool.Stop();
}

// Guards against requests that are decided by a configuration that others have
// replaced: only the reads of the configuration fail here.
Test(listing_age, an_old_configuration_decides_nothing, .timeout = 60) {
  gateway_fixture subject(Answer, kWithdrawalBound);
  subject.store.Put("op/config", NextConfiguration(subject, [](json& next) {
                      next["routes"][0]["public"] = true;
                    }));
  cr_assert(
      WaitFor([&subject] { return StatusOf(subject, "/once/x", "") == 200; }));
  subject.store_client.Drop("op/");
  cr_assert(
      WaitFor([&subject] { return StatusOf(subject, "/once/x", "") == 503; },
              kDrainBound + milliseconds(500)));
}

// Guards against refusals while no gateway can know the configuration.
Test(listing_age, an_outage_does_not_end_open_routes, .timeout = 60) {
  gateway_fixture subject(Answer, kWithdrawalBound);
  subject.store.Put("op/config", NextConfiguration(subject, [](json& next) {
                      next["routes"][0]["public"] = true;
                    }));
  cr_assert(
      WaitFor([&subject] { return StatusOf(subject, "/once/x", "") == 200; }));
  subject.store.SetUnavailable(true);
  const steady_time end = BootTimeNow() + kWithdrawalBound;
  while (BootTimeNow() < end) {
    cr_assert(StatusOf(subject, "/once/x", "") == 200);
    std::this_thread::sleep_for(milliseconds(50));
  }
}

// Guards against requests to a target that has said that it drains, longer ago
// than the bound, at a gateway that has lost those that it learns from.
Test(listing_age, targets_are_read_in_time_without_sources, .timeout = 60) {
  gateway_fixture subject(Answer, kWithdrawalBound);
  AddMembers(subject, "127.0.0.1:1");
  std::this_thread::sleep_for(kDrainBound);
  // The rest of the bound is for a request to reach its target.
  const auto limit =
      static_cast<double>((kDrainBound - milliseconds(300)).count());
  double oldest = 0;
  const steady_time end = BootTimeNow() + 4 * kDrainBound;
  while (BootTimeNow() < end) {
    oldest = std::max(oldest, subject.Gauge("listing_age_ms_targets"));
    std::this_thread::sleep_for(milliseconds(5));
  }
  cr_assert(oldest > 0 && oldest < limit, "%.0f ms", oldest);
  subject.daemon_pool.Stop();
  subject.pool.Stop();
}
