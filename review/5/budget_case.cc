// Case: a gateway is cut off from the platform's store for a moment, while it gives
// tokens of budgets back, because a gateway was added and owns their programs now.
#include "../support/fleet.h"

using namespace review;

namespace {

constexpr int kPrograms = 96;
constexpr int kTokensPerEvent = 8;
constexpr int kMostEvents = 10;
constexpr int kMostTokens = kTokensPerEvent * kMostEvents;
constexpr int kBudget = 16 * kMostTokens;
constexpr long kEventGapMs = 50;
constexpr long kCutMs = 1800;
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

  // The path from front-1 to the store.
  std::unique_ptr<path_link> path;
  // The others learn of the added machine when one of them lists the members next.
  std::atomic<bool> is_added{false};
  std::atomic<long> listed_at{-1};
  store.SetJudge([&](const std::string& host, const message& call) {
    if (is_added && listed_at < 0 && host != "front-1" && host != "front-2" &&
        call.second.rfind("/kv-range?prefix=gentianrun/members", 0) == 0) {
      listed_at = Now();
    }
    return treatment::answered;
  });

  std::vector<std::unique_ptr<machine>> fronts;
  // The third and the fourth read the store for the others, which follow them.
  const std::vector<std::pair<std::string, std::string>> hosts = {
      {"front-1", "trakia"},
      {"front-2", "trakia"},
      {"front-4", "kapana"},
      {"front-5", "maritsa"}};
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const std::string& name = hosts[i].first;
    std::string address = "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"));
    store.Serve(name, address);
    if (i == 0) {
      path = std::make_unique<path_link>(
          "127.0.0.1:" + std::to_string(FreePort("127.0.0.1")), address);
      address = path->address();
    }
    fronts.push_back(std::make_unique<machine>(
        name, hosts[i].second, "127.0.0.1" + std::to_string(i + 1),
        std::vector<std::string>{given.program, "gateway"}, address,
        given.folder));
  }
  for (const std::size_t i : {0, 2, 3}) {
    fronts[i]->Start();
  }
  int exit_code = 2;
  std::vector<long> handed(kPrograms, 0);
  std::vector<int> spent(kPrograms, 0);
  if (fronts[0]->AwaitReady(15000) && fronts[2]->AwaitReady(15000) &&
      fronts[3]->AwaitReady(15000)) {
    record("three gateways are ready");
    Sleep(7000);
    std::atomic<bool> second_ready{false}, pausing{false}, stop{false};
    std::atomic<int> next_turn{0};
    // Runs one turn; the status of its answer.
    const auto turn = [&](int program) {
      const int number = ++next_turn;
      char id[32];
      std::snprintf(id, sizeof(id), "%016x", 0x5b290000 + number);
      const std::size_t front =
          second_ready ? static_cast<std::size_t>(number % 4)
                       : std::size_t{0} + (number % 3 == 0   ? 0U
                                           : number % 3 == 1 ? 2U
                                                             : 3U);
      const int fd = ConnectTo(fronts[front]->front());
      if (fd < 0) {
        return 0;
      }
      connection to(fd);
      record("program p%02d sends turn %s to %s", program, id,
             fronts[front]->name().c_str());
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
        // Short turns, one after the other. Then the program waits for its tools,
        // while the machine is added.
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
    record("the programs wait for their tools");
    pausing = true;
    Sleep(300);
    record("front-2 is added");
    fronts[1]->Start();
    for (const long end = Now() + 8000; Now() < end; Sleep(2)) {
      if (!store.List("gentianrun/members/front-2").empty()) {
        break;
      }
    }
    is_added = true;
    record("front-2 has registered");
    for (const long end = Now() + 3000; Now() < end && listed_at < 0;) {
      Sleep(1);
    }
    if (given.trouble) {
      record("front-1 is cut off from the store for %ld ms", kCutMs);
      path->HoldUp();
      Sleep(kCutMs);
      path->Heal();
      record("front-1 reaches the store again");
    } else {
      Sleep(kCutMs);
    }
    second_ready = fronts[1]->AwaitReady(8000);
    Sleep(1500);
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
    std::printf("programs over budget %d of %d; most %ld of %d + %d\n", over,
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
