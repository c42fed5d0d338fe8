// Case: the platform's store loses answers and goes down while a gateway gives tokens
// of budgets back, because a gateway was added and owns their programs now.
#include "../support/fleet.h"

using namespace review;

namespace {

constexpr int kPrograms = 24;
constexpr int kTokensPerEvent = 8;
constexpr int kMostEvents = 10;
constexpr int kMostTokens = kTokensPerEvent * kMostEvents;
constexpr int kBudget = 16 * kMostTokens;
constexpr long kEventGapMs = 50;
constexpr long kOutageMs = 2000;
constexpr long kLossyMs = 500;
constexpr const char* kHost = "svetlini.example";
constexpr const char* kKey = "key-of-team-a";
constexpr const char* kBudgets = "gentianrun/budget/";

std::atomic<int> events_of_turn{2};

/** An engine. */
class engine {
 public:
  engine(std::string id, const std::string& address, recorder& record)
      : id_(std::move(id)),
        record_(record),
        server_(address, [this](int fd) { Run(fd); }) {}

  const std::string& id() const { return id_; }
  const std::string& address() const { return server_.address(); }

 private:
  void Run(int fd) {
    connection from(fd);
    message call;
    while (call = message(), ReadRequest(from, call)) {
      const std::string request = Find(call.fields, "Request-Id");
      if (Find(call.fields, "Expect-Instance") != id_) {
        SendAll(fd,
                "HTTP/1.1 421 Misdirected Request\r\n"
                "Content-Length: 0\r\n\r\n");
        continue;
      }
      record_("engine %s runs %s", id_.c_str(), request.c_str());
      SendAll(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + request +
                      "\r\nResponse-Seal: 3e1b.07." + request +
                      "\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
      const int events = events_of_turn;
      for (int i = 1; i <= events; ++i) {
        Sleep(kEventGapMs);
        const std::string event =
            "id: " + std::to_string(i) + "\ndata: a piece\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        if (!SendAll(fd, size + event + "\r\n")) {
          return;
        }
      }
      SendAll(fd, "0\r\n\r\n");
    }
  }

  std::string id_;
  recorder& record_;
  server server_;
};

int CountEvents(const std::string& body) {
  int count = 0;
  for (std::size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos;
       at += 2) {
    ++count;
  }
  return count;
}

}  // namespace

int main(int argc, char** argv) {
  const setup given = ReadSetup(argc, argv);
  recorder record(given.record);
  record("disruption: %s", given.trouble ? "yes" : "no (TROUBLE=0)");

  std::vector<std::unique_ptr<engine>> engines;
  for (int i = 1; i <= 2; ++i) {
    const std::string ip = "127.0.0.2" + std::to_string(i);
    engines.push_back(std::make_unique<engine>(
        "i-engine" + std::to_string(i),
        ip + ":" + std::to_string(FreePort(ip)), record));
  }

  platform store;
  store.Put("op/config",
            json{{"version", 7},
                 {"routes",
                  {{{"name", "r-1"},
                    {"host", kHost},
                    {"prefix", "/lohu930/"},
                    {"kind", "streaming"},
                    {"timeout_ms", 3000},
                    {"target_latency_ms", 200},
                    {"gap_aim_ms", 250},
                    {"priority", 0},
                    {"service", "agents"},
                    {"attempts", 2},
                    {"public", false},
                    {"sticky", true},
                    {"resumable", false}}}},
                 {"services",
                  {{{"name", "agents"},
                    {"health_path", "/health"},
                    {"max_conns", 180},
                    {"engine", {{"tokens_per_event", kTokensPerEvent}}}}}},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 4194304},
                   {"header_timeout_ms", 5000},
                   {"idle_timeout_ms", 30000}}},
                 {"tenants",
                  {{{"name", "team-a"},
                    {"api_keys", {kKey}},
                    {"rate_per_s", 0},
                    {"burst", 0}}}}}
                .dump());
  std::atomic<bool> done{false};
  int seq = 0;
  const auto beat = [&] {
    ++seq;
    for (const auto& next : engines) {
      store.Put("servers/" + next->id(), json{{"service", "agents"},
                                              {"address", next->address()},
                                              {"zone", "trakia"},
                                              {"version", "v1"},
                                              {"slots", 16},
                                              {"state", "ready"},
                                              {"cold_left_ms", 0},
                                              {"born", 1700000000000},
                                              {"seq", seq}}
                                             .dump());
    }
  };
  beat();
  std::thread beats([&] {
    while (!done) {
      for (int i = 0; i < 12 && !done; ++i) {
        Sleep(100);
      }
      beat();
    }
  });

  store.SetObserver([&](const std::string& key, const std::string& value) {
    if (key.rfind(kBudgets, 0) == 0) {
      record("the store holds %s = %s", key.c_str(), value.c_str());
    }
  });

  // From the moment at which the machine has been added, every third write is done
  // and not answered. Half a second after the first call that gives tokens back,
  // the store is down: it answers 503.
  std::atomic<long> lossy_since{-1};
  std::atomic<long> down_since{-1};
  std::atomic<int> writes{0};
  if (given.trouble) {
    store.SetJudge([&](const std::string& host, const message& call) {
      if (lossy_since < 0) {
        return treatment::answered;
      }
      if (down_since >= 0 && Now() >= down_since) {
        return Now() < down_since + kOutageMs ? treatment::busy
                                              : treatment::answered;
      }
      if (call.second != "/kv-txn") {
        return treatment::answered;
      }
      const json body = json::parse(call.body);
      for (const json& put : body.value("puts", json::array())) {
        const std::string key = put.at("key").get<std::string>();
        if (key.rfind(kBudgets, 0) != 0) {
          continue;
        }
        const auto stored = store.List(key);
        const auto found = stored.find(key);
        const json next =
            json::parse(DecodeBase64(put.at("value").get<std::string>()));
        if (found != stored.end() && down_since < 0 &&
            json::parse(found->second).at("claimed").get<long>() >
                next.at("claimed").get<long>()) {
          down_since = Now() + kLossyMs;
          record("%s gives tokens back; the store will be down in %ld ms",
                 host.c_str(), kLossyMs);
        }
      }
      const bool lost = ++writes % 3 == 0;
      if (lost) {
        record("the answer to a write of %s is lost", host.c_str());
      }
      return lost ? treatment::lost : treatment::answered;
    });
  }

  std::vector<std::unique_ptr<machine>> fronts;
  for (int i = 0; i < 2; ++i) {
    const std::string name = "front-" + std::to_string(i + 1);
    const std::string address =
        "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"));
    store.Serve(name, address);
    fronts.push_back(std::make_unique<machine>(
        name, i == 0 ? "trakia" : "kapana", "127.0.0.1" + std::to_string(i + 1),
        std::vector<std::string>{given.program, "gateway"}, address,
        given.folder));
  }
  fronts[0]->Start();
  int exit_code = 2;
  std::vector<long> handed(kPrograms, 0);
  std::vector<int> spent(kPrograms, 0);
  if (fronts[0]->AwaitReady(15000)) {
    record("front-1 is ready");
    Sleep(7000);
    std::atomic<bool> second_ready{false}, pausing{false}, stop{false};
    std::atomic<int> next_turn{0};
    // Runs one turn; the status of its answer.
    const auto turn = [&](int program) {
      const int number = ++next_turn;
      char id[32];
      std::snprintf(id, sizeof(id), "%016x", 0x5b290000 + number);
      const std::size_t front = second_ready ? number % 2 : 0;
      const int fd = ConnectTo(fronts[front]->front());
      if (fd < 0) {
        return 0;
      }
      connection to(fd);
      record("program p%02d sends turn %s to front-%zu", program, id,
             front + 1);
      const answer out = Exchange(
          to,
          std::string("POST /lohu930/4b HTTP/1.1\r\nHost: ") + kHost +
              "\r\nRequest-Id: " + id + "\r\nProgram-Id: p" +
              std::to_string(program) + "\r\nSession-Id: s" +
              std::to_string(program) +
              "\r\nFinish-Ms: 30000\r\nToken-Budget: " +
              std::to_string(kBudget) + "\r\nModel: m\r\nToken-Count: 1840," +
              std::to_string(kMostTokens) +
              "\r\nPrompt-Prefix: 5c1e07a2:1840\r\nDeadline-Ms: 3000\r\n"
              "X-Api-Key: " +
              kKey + "\r\nContent-Length: 8\r\n\r\na prompt",
          3500);
      close(fd);
      const int events = CountEvents(out.body);
      if (out.status == 200) {
        handed[static_cast<std::size_t>(program)] += events * kTokensPerEvent;
      }
      record("program p%02d got %s: status %d, %d events, %s; %ld tokens of %d",
             program, id, out.status, events,
             out.complete ? "complete" : "broken off",
             handed[static_cast<std::size_t>(program)], kBudget);
      return out.status;
    };
    std::vector<std::thread> programs;
    for (int i = 0; i < kPrograms; ++i) {
      programs.emplace_back([&, i] {
        Sleep(20 * i);
        // Short turns, one after the other, while the machine is added. Then
        // the program waits for its tools.
        while (!pausing) {
          turn(i);
          Sleep(300);
        }
        while (pausing) {
          Sleep(50);
        }
        // Then it loops until its budget is spent; after a 402 it sends a turn
        // twice more.
        while (!stop && spent[static_cast<std::size_t>(i)] < 3) {
          const int status = turn(i);
          if (status == 402) {
            ++spent[static_cast<std::size_t>(i)];
          }
          Sleep(status == 200 ? 50 : 400);
        }
      });
    }
    Sleep(1500);
    record("front-2 is added");
    fronts[1]->Start();
    second_ready = fronts[1]->AwaitReady(8000);
    lossy_since = Now();
    record("front-2 is ready");
    while (given.trouble && down_since < 0 && Now() - lossy_since < 4000) {
      Sleep(5);
    }
    Sleep(700);
    pausing = true;
    record("the programs wait for their tools");
    Sleep(kOutageMs + 2500);
    events_of_turn = kMostEvents;
    record("the programs go on");
    pausing = false;
    Sleep(1500);
    record("front-2 is stopped for good (SIGTERM)");
    fronts[1]->Signal(SIGTERM);
    second_ready = false;
    const long end = Now() + 40000;
    for (bool all = false; !all && Now() < end; Sleep(100)) {
      all = true;
      for (const int count : spent) {
        all = all && count >= 3;
      }
    }
    stop = true;
    for (std::thread& next : programs) {
      next.join();
    }
    int over = 0;
    long most = 0;
    long sum = 0;
    for (int i = 0; i < kPrograms; ++i) {
      const long tokens = handed[static_cast<std::size_t>(i)];
      most = std::max(most, tokens);
      sum += tokens;
      const bool broken = tokens > kBudget + kMostTokens;
      over += broken ? 1 : 0;
      record("%sprogram p%02d was handed %ld tokens; budget %d, one turn %d",
             broken ? "RULE BROKEN: " : "", i, tokens, kBudget, kMostTokens);
    }
    std::printf("programs over budget %d of %d, most %ld of %d + %d\n", over,
                kPrograms, most, kBudget, kMostTokens);
    exit_code = over > 0 ? 1 : sum > 0 ? 0 : 2;
  } else {
    record("the gateway did not become ready");
  }
  done = true;
  beats.join();
  for (const auto& next : fronts) {
    next->Kill();
  }
  std::fflush(stdout);
  _exit(exit_code);
}
