// Programs with sub-agents, whose turns all end whole. Between two rounds of
// turns, a gateway is added (`add`), or all gateways are killed and are back
// within a second (`kill`).

#include <cstdio>

#include "stand-ins-2/platform.h"

using namespace review;

namespace {

constexpr int kTokensPerEvent = 35;
constexpr int kEventsOfTurn = 4;
constexpr int kUsedByTurn = kTokensPerEvent * kEventsOfTurn;
// The example of the page PROTOCOL.
constexpr int kMostOfTurn = 560;
constexpr int kBudget = 4'480;
constexpr int kPrograms = 36;
// Lines of turns that run in parallel.
constexpr int kLines = 4;
// Between the return of the gateways and the next turns. They are in touch
// again after stable_window_ms, 3 s.
constexpr long long kCalmMs = 8'000;

// An engine.
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
      Sleep(50);
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

int SendTurn(const system_process& gateway, int program, int line, int number) {
  const std::string name = "program-" + std::to_string(program);
  const std::string id = name + "-line-" + std::to_string(line) + "-turn-" +
                         std::to_string(number);
  const message answer =
      Call(gateway.front(), "POST", "/agents/t",
           {"Host: passes.example", "Request-Id: " + id,
            "X-Api-Key: key-of-team", "Program-Id: " + name,
            "Session-Id: line-" + std::to_string(line), "Finish-Ms: 60000", "Deadline-Ms: 3000",
            "Token-Budget: " + std::to_string(kBudget),
            "Token-Count: 1840," + std::to_string(kMostOfTurn)},
           "the whole prompt", ms(3'500));
  Record().Line(id + " through " + gateway.name() + ": status " +
                std::to_string(answer.status) +
                (answer.is_whole ? ", whole" : ", broken off") +
                (answer.status == 200 ? "" : ", " + answer.body));
  return answer.is_whole ? answer.status : 0;
}

int Run(const std::string& trouble) {
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

  int requests = 0;
  int denied = 0;
  std::vector<int> used(kPrograms, 0);
  for (int round = 1; round <= 2; ++round) {
    for (int i = 0; i < kPrograms; ++i) {
      std::vector<int> status(kLines, 0);
      std::vector<std::thread> lines;
      for (int line = 0; line < kLines; ++line) {
        lines.emplace_back([&, line] {
          const auto at = static_cast<std::size_t>(i + line);
          status[line] =
              SendTurn(*gateways[at % gateways.size()], i, line, round);
        });
      }
      for (std::thread& line : lines) {
        line.join();
      }
      const int used_before = used[i];
      for (const int next : status) {
        ++requests;
        // All turns of the round at their most.
        if (next == 402 && used_before + kLines * kMostOfTurn <= kBudget) {
          ++denied;
          Record().Line("program-" + std::to_string(i) +
                        ": 402, though its turns, all ended whole, used " +
                        std::to_string(used_before) + " of " +
                        std::to_string(kBudget) + " tokens before");
        }
        used[i] += next == 200 ? kUsedByTurn : 0;
      }
    }
    if (round == 2) {
      break;
    }
    // Longer than settle_ms.
    Sleep(3'000);
    if (trouble == "add") {
      gateways.push_back(std::make_unique<system_process>(
          "front-valley-2", "gateway", "valley", folder.path(),
          store.address()));
      gateways.back()->Start();
      if (!gateways.back()->AwaitReady(15'000)) {
        return 2;
      }
    } else if (trouble == "kill") {
      for (const auto& gateway : gateways) {
        gateway->Kill();
      }
      Sleep(700);
      for (const auto& gateway : gateways) {
        gateway->Start();
      }
      for (const auto& gateway : gateways) {
        if (!gateway->AwaitReady(15'000)) {
          return 2;
        }
      }
    }
    Sleep(kCalmMs);
  }
  const double allowed = 5 + requests / 500.0;
  const std::string verdict =
      "disruption: " + trouble + "; requests: " + std::to_string(requests) +
      ", ended with 402 though the budget holds the turn: " +
      std::to_string(denied) + ", allowed " + std::to_string(allowed);
  Record().Line(verdict);
  std::printf("%s\n", verdict.c_str());
  return denied > allowed ? 1 : 0;
}

}  // namespace

int main(int, char** arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  Record().Open(arguments[1]);
  try {
    return Run(arguments[2]);
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "cannot run: %s\n", failure.what());
    return 2;
  }
}
