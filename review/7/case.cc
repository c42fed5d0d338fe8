// The token budget of a program over two rolling restarts, each followed by an
// outage of the platform's store.

#include <cstdio>

#include "stand-ins-2/platform.h"

using namespace review;

namespace {

constexpr int kTokensPerEvent = 35;
constexpr int kEventsOfTurn = 10;
constexpr int kMostOfTurn = kTokensPerEvent * kEventsOfTurn;
constexpr int kTurnsInBudget = 4;
constexpr int kBudget = kTurnsInBudget * kMostOfTurn;
constexpr long long kOutageMs = 3'000;
// Between a rolling restart and the outage that follows it.
constexpr long long kCalmMs = 9'000;

// An engine that streams the most that a turn may generate.
class engine {
 public:
  engine(metadata_store& store, const std::string& id, const std::string& zone)
      : id_(id),
        server_("127.0.0.1:" + std::to_string(FreePort()),
                [this](int socket, const message& request) {
                  return Serve(socket, request);
                }),
        entry_(store, id,
               {{"service", "models"},
                {"address", server_.address()},
                {"zone", zone},
                {"version", "v1"},
                {"slots", 16},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"born", UnixMs()}}) {
    entry_.Write();
  }

 private:
  bool Serve(int socket, const message& request) {
    const std::string id = request.Header("Request-Id");
    const std::string echo = "Request-Id: " + id + "\r\n";
    if (request.Header("Expect-Instance") != id_) {
      return SendAll(socket, Answer(421, echo + "Not-Run: 1\r\n", ""));
    }
    Record().Line("engine " + id_ + ": runs " + id);
    if (!SendAll(socket, "HTTP/1.1 200 OK\r\n" + echo + "Response-Seal: seal." +
                             id +
                             "\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int i = 1; i <= kEventsOfTurn; ++i) {
      Sleep(15);
      if (!SendAll(socket, Chunk("id: " + std::to_string(i) +
                                 "\ndata: piece-" + std::to_string(i) +
                                 "\n\n"))) {
        return false;
      }
    }
    return SendAll(socket, "0\r\n\r\n");
  }

  std::string id_;
  server server_;
  engine_entry entry_;
};

struct turn {
  int status = 0;
  int tokens = 0;
};

turn SendTurn(const system_process& gateway, int number) {
  const std::string id = "turn-" + std::to_string(number);
  const message answer =
      Call(gateway.front(), "POST", "/agents/t",
           {"Host: passes.example", "Request-Id: " + id,
            "X-Api-Key: key-of-team", "Program-Id: program-1",
            "Session-Id: line-1", "Finish-Ms: 60000", "Deadline-Ms: 3000",
            "Token-Budget: " + std::to_string(kBudget),
            "Token-Count: 1000," + std::to_string(kMostOfTurn)},
           "the whole prompt", ms(3'500));
  turn out;
  out.status = answer.status;
  if (answer.status == 200) {
    std::size_t at = 0;
    while ((at = answer.body.find("data: piece-", at)) != std::string::npos) {
      out.tokens += kTokensPerEvent;
      ++at;
    }
  }
  Record().Line(id + " through " + gateway.name() + ": status " +
                std::to_string(out.status) + ", " +
                std::to_string(out.tokens) + " tokens" +
                (answer.status == 200 ? "" : ", " + answer.body));
  return out;
}

int Run() {
  const bool trouble = HasTrouble();
  scratch_folder folder;
  metadata_store store;
  store.Put("op/config",
            {{"version", 7},
             {"routes",
              {{{"name", "agents"},
                {"host", "passes.example"},
                {"prefix", "/agents/"},
                {"kind", "streaming"},
                {"timeout_ms", 3000},
                {"target_latency_ms", 200},
                {"priority", 0},
                {"service", "models"},
                {"attempts", 1},
                {"retain_kv", false},
                {"retain_s", 60.0},
                {"public", false},
                {"sticky", true},
                {"resumable", true},
                {"gap_aim_ms", 250}}}},
             {"services",
              {{{"name", "models"},
                {"health_path", "/health"},
                {"max_conns", 170},
                {"protocol", "h1"},
                {"tls", false},
                {"engine",
                 {{"slots", 16},
                  {"kv_capacity", 444000},
                  {"tokens_per_event", kTokensPerEvent},
                  {"most", 12}}}}}},
             {"limits",
              {{"max_header_bytes", 16384},
               {"max_body_bytes", 4194304},
               {"header_timeout_ms", 3000},
               {"idle_timeout_ms", 15000}}},
             {"tenants",
              {{{"name", "team"},
                {"api_keys", {"key-of-team"}},
                {"priority", 1},
                {"rate_per_s", 242},
                {"burst", 242}}}}});
  engine first(store, "engine-a", "valley");
  engine second(store, "engine-b", "midway");

  std::vector<std::unique_ptr<system_process>> gateways;
  for (const char* zone : {"valley", "midway", "summit"}) {
    gateways.push_back(std::make_unique<system_process>(
        "front-" + std::string(zone) + "-1", "gateway", zone, folder.path(),
        store.address()));
    gateways.back()->Start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady(15'000)) {
      std::fprintf(stderr, "%s does not become ready\n",
                   gateway->name().c_str());
      return 2;
    }
  }
  Sleep(kCalmMs);

  int tokens = 0;
  int number = 0;
  for (int i = 0; i < kTurnsInBudget; ++i) {
    const turn done = SendTurn(*gateways[i % gateways.size()], ++number);
    tokens += done.tokens;
    if (done.tokens != kMostOfTurn) {
      std::fprintf(stderr, "turn %d of the budget was not served\n", number);
      return 2;
    }
    Sleep(300);
  }
  // The program loops without end: it goes on, sends a refused turn twice more,
  // is stopped, and returns within retain_s.
  for (int round = 0; round < 2; ++round) {
    if (trouble) {
      for (const auto& gateway : gateways) {
        gateway->Terminate();
        gateway->Start();
        if (!gateway->AwaitReady(15'000)) {
          return 2;
        }
      }
      Sleep(kCalmMs);
      store.SetDown(true);
      Sleep(300);
    } else {
      Sleep(kCalmMs);
    }
    const system_process& gateway = *gateways[round % gateways.size()];
    tokens += SendTurn(gateway, ++number).tokens;
    if (trouble) {
      Sleep(kOutageMs - 300);
      store.SetDown(false);
      Sleep(3'000);
    }
    if (round == 0) {
      for (int i = 0; i < 3; ++i) {
        const turn more = SendTurn(gateway, ++number);
        tokens += more.tokens;
        if (more.status != 402) {
          std::fprintf(stderr, "a turn beyond the budget in calm: status %d\n",
                       more.status);
        }
        Sleep(250);
      }
    }
  }
  const int allowed = kBudget + kMostOfTurn;
  const std::string verdict =
      "tokens handed to the program: " + std::to_string(tokens) +
      "; Token-Budget + the most of one turn: " + std::to_string(allowed);
  Record().Line(verdict);
  std::printf("%s\n", verdict.c_str());
  return tokens > allowed ? 1 : 0;
}

}  // namespace

int main(int, char** arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  Record().Open(arguments[1]);
  try {
    return Run();
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "cannot run: %s\n", failure.what());
    return 2;
  }
}
