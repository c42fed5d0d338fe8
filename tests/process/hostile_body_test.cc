// Processes whose callers, gateways, turn stores or targets send bodies and
// lists that take many times their text once they are read, or much time to
// read. The bounds are those of the settings.
#include <criterion/criterion.h>

#include <atomic>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_core/deflate.h"
#include "soak/key_value_server.h"
#include "support/hostile_crowd.h"
#include "support/hostile_server.h"
#include "support/limited_gateway.h"
#include "support/observed_process.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

// As in hostile_client_test.cc.
constexpr std::size_t kServeMegabytes = 96;
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kFew = 12;
// Of a body that never ends.
constexpr std::size_t kUnfinished = 7 * kMegabyte;
constexpr std::size_t kCallers = 40;
constexpr milliseconds kPollInterval{20};
// Most gateways of a large fleet learn of the state of the key-value service
// from others; this one reads it itself in the small one.
constexpr int kLargeFleet = 40;
constexpr int kSmallFleet = 8;

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string all;
  while (all.size() < bytes) {
    all += text;
  }
  return all;
}

std::string Post(const std::string& path,
                 const std::string& body,
                 const std::string& lines = {}) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + lines +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

hostile_answer Answer(const std::string& body) {
  return {"200 OK\r\nConnection: close\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body,
          "x", 1};
}

// Starts a daemon with a key-value service.
/** @param memory  a line of the settings */
void ExposeServe(const std::string& request,
                 std::size_t connections = kFew,
                 const std::string& memory = {}) {
  const exclusive_load alone;
  const process_folder folder;
  io_pool pool(1);
  key_value_fake values;
  etcd_fake_server service(pool, values);
  http_server http(pool,
                   [&](const auto& exchange) { service.Serve(exchange); });
  cr_assert(!Failed(http.Listen("127.0.0.1:0")));
  const std::string callers = ProcessIp() + ":18368";
  const std::string settings = folder.Write(
      "a.ini", "[daemon]\nhost = a\nfailure_domain = f\npeer_address = " +
                   ProcessIp() + ":18370\ncaller_address = " + callers + "\n" +
                   memory + "[peers]\nkey_file = " +
                   folder.Write("key", "0123456789abcdef0123456789abcdef\n") +
                   "\n[key-value]\naddress = " + http.address() + "\n");
  {
    observed_process process({"serve", settings});
    while (!raw_connection(callers).connected()) {
      std::this_thread::sleep_for(kPollInterval);
    }
    {
      hostile_crowd crowd(callers, connections);
      crowd.Send({request, "", 0}, [&process] { process.Observe(); });
      process.ObserveUntilSteady();
      ExpectSound(process, callers, "/v1/addresses", kServeMegabytes);
    }
  }
  http.Stop();
  pool.Stop();
}

// A turn store without a key-value service.
void ExposeTurnStore(const std::string& path, const std::string& body) {
  const exclusive_load alone;
  const process_folder folder;
  const std::string address = ProcessIp() + ":17780";
  const std::string data = folder.Write("settings.json", "") + ".data";
  std::filesystem::create_directories(data);
  const std::string settings = folder.Write(
      "settings.json", json{{"node_name", "host"},
                            {"zone", "z"},
                            {"ip", ProcessIp()},
                            {"inner_ports", {17'780, 17'795}},
                            {"first_start", true},
                            {"data_dir", data},
                            {"limits",
                             {{"memory_mb", limited_gateway::kMemoryMegabytes},
                              {"max_fds", 4'100}}},
                            {"platform", {{"address", "127.0.0.1:1"}}}}
                           .dump());
  observed_process process({"turn-store", "--settings", settings});
  while (!raw_connection(address).connected()) {
    std::this_thread::sleep_for(kPollInterval);
  }
  {
    hostile_crowd crowd(address, kFew);
    crowd.Send({Post(path, body), "", 0}, [&process] { process.Observe(); });
    process.ObserveUntilSteady();
  }
  ExpectSound(process, address, "/metrics", limited_gateway::kMemoryMegabytes);
}

/** A gateway with one target, for which it may take other gateways too. */
class exposed_gateway {
 public:
  explicit exposed_gateway(const std::string& target)
      : store_(pool_,
               [](const std::string&,
                  const std::string&,
                  const std::string& value) { return value; }) {
    // The shares of some teams are held by other gateways only.
    json teams = json::array();
    for (std::size_t i = 0; i < kTeams; ++i) {
      teams.push_back({{"name", "t" + std::to_string(i)},
                       {"api_keys", {"k" + std::to_string(i)}},
                       {"rate_per_s", 1},
                       {"burst", 1}});
    }
    teams.push_back({{"name", "t"}, {"api_keys", {"k"}}});
    store_.Put("op/config", json{{"version", 1},
                                 {"routes",
                                  {{{"name", "once"},
                                    {"host", "h"},
                                    {"prefix", "/"},
                                    {"kind", "non_idempotent"},
                                    {"timeout_ms", 5'000},
                                    {"service", "s"}}}},
                                 {"limits", json::object()},
                                 {"services", {{{"name", "s"}}}},
                                 {"tenants", teams}}
                                .dump());
    store_.Put("servers/i-1", json{{"service", "s"},
                                   {"address", target},
                                   {"zone", "z"},
                                   {"slots", 100},
                                   {"state", "ready"},
                                   {"seq", 1},
                                   {"born", 1},
                                   {"version", "v1"}}
                                  .dump());
  }
  ~exposed_gateway() {
    gateway_.reset();
    pool_.Stop();
  }
  exposed_gateway(const exposed_gateway&) = delete;
  exposed_gateway& operator=(const exposed_gateway&) = delete;

  void Start() {
    gateway_ = std::make_unique<limited_gateway>(store_.Serve("host"));
  }

  /** Registers gateways that all are the server. */
  void AddPeers(const hostile_server& server, int number) {
    for (int i = 0; i < number; ++i) {
      const std::string host = "peer-" + std::to_string(i);
      store_.Put("gentianrun/members/" + host,
                 json{{"host", host},
                      {"failure_domain", host},
                      {"caller_address", server.address()},
                      {"peer_address", server.address()},
                      {"stopping", false},
                      {"tunnel_address", ""},
                      {"protocol", 3}}
                     .dump());
    }
  }

  /** Asks with the key of the team without an allowance. */
  std::string Ask(const std::string& key = "k") {
    return AskAnew(gateway_->callers(), "/x",
                   "Request-Id: r-" + std::to_string(++number_) +
                       "\r\nX-Api-Key: " + key + "\r\nDeadline-Ms: 2000\r\n");
  }

  /** Asks with the keys of teams whose shares others hold. */
  void AskOfManyTeams() {
    for (std::size_t i = 0; i < kTeams; ++i) {
      Ask("k" + std::to_string(i));
    }
  }

  void ExpectSoundNow() {
    gateway_->process().ObserveUntilSteady();
    ExpectSound(gateway_->process(), gateway_->callers(), "/x",
                limited_gateway::kMemoryMegabytes);
  }

  const std::string& callers() const { return gateway_->callers(); }

 private:
  static constexpr std::size_t kTeams = 16;

  io_pool pool_{1};
  soak::key_value_server store_;
  std::unique_ptr<limited_gateway> gateway_;
  int number_ = 0;
};

// Other gateways answer everything so.
void ExposeToPeers(const std::string& body, int peers) {
  const exclusive_load alone;
  const hostile_server server(Answer(body));
  exposed_gateway gateway(server.address());
  gateway.AddPeers(server, peers);
  gateway.Start();
  cr_assert(WaitFor([&] {
    gateway.AskOfManyTeams();
    return server.requests() > 0;
  }));
  gateway.AskOfManyTeams();
  gateway.ExpectSoundNow();
}

std::string ManyCborValues(std::size_t bytes) {
  constexpr char kArray = '\x9f';
  constexpr char kEmptyMap = '\xa0';
  constexpr char kEnd = '\xff';
  return kArray + std::string(bytes, kEmptyMap) + kEnd;
}

}  // namespace

// Guards against a body of small values, which take some hundred bytes each,
// from a caller whose key is not known yet.
Test(hostile_body, many_values_at_serve, .timeout = 900) {
  ExposeServe(Post("/v1/sessions", "[" + Repeat("{},", 6 * kMegabyte) + "{}]"));
}

// Guards against bodies that wait for their rest, and fill the memory together.
Test(hostile_body, unfinished_bodies_at_serve, .timeout = 900) {
  const std::string whole = Post("/v1/sessions", std::string(kUnfinished, 'x'));
  ExposeServe(whole.substr(0, whole.size() - 1), 2 * kFew,
              "memory_mb = " + std::to_string(kServeMegabytes) + "\n");
}

// Guards against a caller who has any one letter for a key, and a body that is
// full of it: its text was moved for each one.
Test(hostile_body, a_key_of_one_letter_at_serve, .timeout = 900) {
  ExposeServe(Post("/v1/sessions", '"' + std::string(kMegabyte, 'a') + '"',
                   "Authorization: Bearer a\r\n"));
}

// Guards against messages to a turn store of which each byte is a value.
Test(hostile_body, many_values_at_a_turn_store, .timeout = 900) {
  ExposeTurnStore("/history/turns", ManyCborValues(kMegabyte));
}

// Guards against answers of other gateways of which each byte is a value.
Test(hostile_body, many_values_from_gateways, .timeout = 900) {
  ExposeToPeers(ManyCborValues(4 * kMegabyte), kLargeFleet);
}

// The same within what is compressed.
Test(hostile_body, many_compressed_values_from_gateways, .timeout = 900) {
  const std::string packed = Deflate(ManyCborValues(12 * kMegabyte));
  const auto binary = [](const std::string& bytes) {
    return json::binary({bytes.begin(), bytes.end()});
  };
  std::string body;
  json::to_cbor(json{{"source", binary("s")},
                     {"held_ms", 0},
                     {"listings", json::array({{{"packed", binary(packed)}}})}},
                body);
  ExposeToPeers(body, kLargeFleet);
}

// Guards against an answer of another gateway that is nested so deeply that
// the stack ends when it is copied.
Test(hostile_body, nested_values_from_gateways, .timeout = 900) {
  constexpr std::size_t kDepth = 200'000;
  ExposeToPeers(R"({"wait_ms":1,"granted":)" + std::string(kDepth, '[') +
                    std::string(kDepth, ']') + "}",
                kSmallFleet);
}

// Guards against a target that names very many fields as those of one
// connection: each field was looked up in the whole list.
Test(hostile_body, a_long_connection_list_of_a_target, .timeout = 900) {
  constexpr std::size_t kHalf = 31'000;
  const exclusive_load alone;
  const hostile_server server(
      {"200 OK\r\nContent-Length: 0\r\nConnection: " + std::string(kHalf, ',') +
           "\r\n" + Repeat("a:\r\n", kHalf) + "\r\n",
       "x", 1});
  exposed_gateway gateway(server.address());
  gateway.Start();
  cr_assert(WaitFor([&] {
    gateway.Ask();
    return server.requests() > 0;
  }));
  std::vector<std::unique_ptr<raw_connection>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<raw_connection>(gateway.callers()));
    callers.back()->Write("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: c-" +
                          std::to_string(i) +
                          "\r\nX-Api-Key: k\r\nDeadline-Ms: 5000\r\n\r\n");
  }
  gateway.ExpectSoundNow();
}

// The same from callers.
Test(hostile_body, long_connection_lists_of_callers, .timeout = 900) {
  constexpr std::size_t kHalf = 7'500;
  const exclusive_load alone;
  const hostile_server server({"200 OK\r\nContent-Length: 0\r\n\r\n", "x", 1});
  exposed_gateway gateway(server.address());
  gateway.Start();
  cr_assert(WaitFor([&] {
    gateway.Ask();
    return server.requests() > 0;
  }));
  const std::string lines = "Connection: " + std::string(kHalf, ',') + "\r\n" +
                            Repeat("a:\r\n", kHalf);
  std::vector<std::unique_ptr<raw_connection>> callers;
  constexpr std::size_t kMany = 200;
  for (std::size_t i = 0; i < kMany; ++i) {
    callers.push_back(std::make_unique<raw_connection>(gateway.callers()));
    callers.back()->Write(
        "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: c-" + std::to_string(i) +
        "\r\nX-Api-Key: k\r\nDeadline-Ms: 5000\r\n" + lines + "\r\n");
  }
  gateway.ExpectSoundNow();
}

// Guards against long identifiers of programs, which are kept for minutes after
// their last request.
Test(hostile_body, long_identifiers_of_programs, .timeout = 900) {
  constexpr int kPrograms = 6'000;
  constexpr int kAtOnce = 48;
  constexpr std::size_t kLength = 14'000;
  const exclusive_load alone;
  io_pool pool(1);
  http_server target(pool, [](const std::shared_ptr<http_exchange>& exchange) {
    http_response answer;
    answer.headers.Add("Request-Id",
                       exchange->request().headers.Find("Request-Id"));
    answer.headers.Add("Response-Seal", "s");
    exchange->Respond(answer);
  });
  cr_assert(!Failed(target.Listen("127.0.0.1:0")));
  {
    exposed_gateway gateway(target.address());
    gateway.Start();
    cr_assert(
        WaitFor([&] { return gateway.Ask().rfind("HTTP/1.1 200", 0) == 0; }));
    http_client client(pool);
    std::atomic<int> ended{0};
    for (int i = 0; i < kPrograms; ++i) {
      http_client_request request;
      request.address = gateway.callers();
      request.method = "POST";
      request.target = "/x";
      request.reuse_connection = true;
      request.headers.Add("Host", "h");
      request.headers.Add("Request-Id", "p-" + std::to_string(i));
      request.headers.Add("X-Api-Key", "k");
      request.headers.Add("Deadline-Ms", "2000");
      request.headers.Add("Program-Id",
                          std::to_string(i) + std::string(kLength, 'p'));
      request.headers.Add("Token-Budget", "1000");
      request.headers.Add("Token-Count", "10,10");
      client.Fetch(
          std::move(request), [&ended](const http_response&) { ++ended; },
          [&ended](http_failure, const std::string&) { ++ended; });
      cr_assert(WaitFor([&] { return i - ended < kAtOnce; }));
    }
    cr_assert(WaitFor([&] { return ended == kPrograms; }));
    gateway.ExpectSoundNow();
  }
  target.Stop();
  pool.Stop();
}
