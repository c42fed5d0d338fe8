// Tests entries that another program has left among those of the targets.
#include <criterion/criterion.h>
#include <sys/resource.h>

#include <string>
#include <vector>

#include "gentian_gateway/gentian_gateway.h"
#include "platform/gateway_fleet.h"
#include "platform/platform.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::gateway_fleet;
using gentian::testing::WaitFor;

namespace {

constexpr std::size_t kLargestEntry = 1024 * 1024;

std::string Entry(const std::string& field, const std::string& value) {
  json fields = {{"service", "s"},    {"address", "127.0.0.1:7000"},
                 {"zone", "z"},       {"version", "v1"},
                 {"slots", 4},        {"state", "ready"},
                 {"cold_left_ms", 0}, {"seq", 1},
                 {"born", 1}};
  fields.erase(field);
  std::string text = fields.dump();
  text.pop_back();
  return text + ",\"" + field + "\":" + value + "}";
}

std::vector<std::string> OddEntries() {
  std::vector<std::string> odd = {"",
                                  "1",
                                  "\"text\"",
                                  "null",
                                  "[]",
                                  "{}",
                                  "{",
                                  "\xff\xfe",
                                  "{\"service\"",
                                  std::string(1'000, '['),
                                  "[1]",
                                  "{]}",
                                  "1e400",
                                  "-",
                                  "{\"a\":1e400}"};
  odd.push_back(std::string(kLargestEntry, '['));
  odd.push_back(std::string(kLargestEntry, '{'));
  odd.push_back(std::string(kLargestEntry / 2, '[') +
                std::string(kLargestEntry / 2, ']'));
  odd.push_back(std::string(kLargestEntry, ' ') + Entry("seq", "1"));
  std::string objects;
  for (int i = 0; i < 100'000; ++i) {
    objects += "{\"a\":";
  }
  odd.push_back(objects + "1" + std::string(100'000, '}'));
  odd.push_back(Entry("extra", objects + "1" + std::string(100'000, '}')));
  for (const char* field : {"slots", "seq", "born"}) {
    for (const char* number : {"1e400", "1e30", "-1e30", "18446744073709551616",
                               "1.5", "\"4\"", "[4]", "{}", "true"}) {
      odd.push_back(Entry(field, number));
    }
  }
  for (const char* number : {"-1", "0", "4294967300", "2000000"}) {
    odd.push_back(Entry("slots", number));
  }
  for (const char* number : {"-1", "18446744073709551615", "99999999999999"}) {
    odd.push_back(Entry("born", number));
  }
  for (const char* address :
       {"\"\"", "\"127.0.0.1\"", "\"127.0.0.1:0\"", "\"127.0.0.1:65536\"",
        "\"127.0.0.1:-1\"", "\"127.0.0.1:1e3\"", "\"127.0.0.1:99999999999\"",
        "\"127.0.0.1: 80\"", "\"host:80\"", "\":80\"", "80", "null"}) {
    odd.push_back(Entry("address", address));
  }
  for (const char* field : {"service", "zone", "version", "state"}) {
    for (const char* value : {"null", "1", "[]", "{\"a\":{\"a\":{}}}"}) {
      odd.push_back(Entry(field, value));
    }
  }
  odd.push_back(Entry("state", "\"unheard\""));
  return odd;
}

}  // namespace

// Guards against an entry that names a target which can't be used, or ends the
// process that reads it.
Test(odd_entries, name_no_target) {
  const platform_protocol protocol;
  cr_assert(
      !Failed(protocol.DecodeTarget({"servers/i-1", Entry("seq", "1"), 1})));
  cr_assert(!Failed(
      protocol.DecodeTarget({"servers/i-1", Entry("born", "null"), 1})));
  for (const std::string& odd : OddEntries()) {
    const auto target = protocol.DecodeTarget({"servers/i-1", odd, 1});
    cr_assert(Failed(target), "%s", odd.substr(0, 200).c_str());
    cr_assert(!ErrorOf(target).message.empty() &&
              !ErrorOf(target).remedy.empty());
  }
  // A name that comes twice: the last one counts.
  cr_assert(!Failed(protocol.DecodeTarget(
      {"servers/i-1", "{\"seq\":\"x\"," + Entry("seq", "2").substr(1), 1})));
}

// Guards against a nested entry of a megabyte that takes more memory than the
// host of a gateway has.
Test(odd_entries, take_little_memory) {
  const platform_protocol protocol;
  const std::vector<std::string> odd = OddEntries();
  rusage before{};
  ::getrusage(RUSAGE_SELF, &before);
  for (const std::string& next : odd) {
    cr_assert(Failed(protocol.DecodeTarget({"servers/i-1", next, 1})));
    cr_assert(!DecodeMember(next));
    cr_assert(!DecodeClaim(next));
    cr_assert(!DecodeTurnStore(next));
  }
  rusage after{};
  ::getrusage(RUSAGE_SELF, &after);
  constexpr long kMaxKb = 8 * 1024;
  cr_assert(after.ru_maxrss - before.ru_maxrss < kMaxKb, "%ld KB",
            after.ru_maxrss - before.ru_maxrss);
}

// Guards against a record of another gateway or of the product's own services
// that is damaged and ends the process, or is taken for a sound one.
Test(odd_entries, are_no_records) {
  const std::string member = EncodeMember({"h", "z", "c", "p", false, "t"});
  cr_assert(DecodeMember(member));
  for (const char* protocol : {"0", "-1", "1.5", "1e30", "4294967296", "\"2\"",
                               "null", "18446744073709551616"}) {
    json record = json::parse(member);
    record.erase("protocol");
    std::string text = record.dump();
    text.pop_back();
    cr_assert(!DecodeMember(text + ",\"protocol\":" + protocol + "}"), "%s",
              protocol);
  }
  for (const char* claim :
       {"{\"claimed\":-1,\"write\":\"w\"}", "{\"claimed\":1.5}",
        "{\"claimed\":18446744073709551615}", "{\"claimed\":1,\"write\":2}",
        "{\"claimed\":1e300}", "{\"claimed\":\"1\"}"}) {
    cr_assert(!DecodeClaim(claim), "%s", claim);
  }
  cr_assert(DecodeClaim("{\"claimed\":1,\"later\":{}}"));
}

// Guards against one odd entry that stops gateways from following the list, at
// a gateway that reads it and at one that learns it from another gateway.
Test(odd_entries, the_list_is_followed_on, .timeout = 120) {
  gateway_fleet fleet(4, [](const std::shared_ptr<http_exchange>& exchange,
                            int) { fake_target::RespondSealed(exchange, ""); });
  const std::vector<std::string> odd = OddEntries();
  for (std::size_t i = 0; i < odd.size(); ++i) {
    fleet.first.store.Put("servers/odd-" + std::to_string(i), odd[i]);
  }
  const std::string records[] = {"members/odd", "members-blocked/odd",
                                 "members-limits/odd", "members-stores/odd"};
  for (const std::string& key : records) {
    for (std::size_t i = 0; i < odd.size(); ++i) {
      fleet.first.store.Put("gentianrun/" + key + std::to_string(i), odd[i]);
    }
  }
  fake_target later(fleet.first.pool,
                    [](const std::shared_ptr<http_exchange>& exchange, int) {
                      fake_target::RespondSealed(exchange, "later");
                    });
  fleet.first.RegisterTarget("later", later.address(), "v1");
  fleet.first.store.Remove("servers/i-1");
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    cr_assert(
        WaitFor([&] {
          static int number = 0;
          http_client_request request = fleet.Request(i, "/again/x");
          request.headers = http_headers();
          request.headers.Add("Host", "h");
          request.headers.Add("Request-Id", "r" + std::to_string(++number));
          request.headers.Add("X-Api-Key", "k");
          return Fetch(fleet.first.client, request).response.body == "later";
        }),
        "gateway %zu", i);
    cr_assert(fleet.Metrics(i).find("target_entry_unreadable") !=
              std::string::npos);
  }
}
