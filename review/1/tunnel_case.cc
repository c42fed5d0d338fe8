// Case: a gateway that is cut off from the engines sends through another gateway,
// which is killed while streams run.
#include "../support/fleet.h"

using namespace review;

namespace {

constexpr int kEvents = 10;
constexpr long kEventGapMs = 120;
constexpr const char* kHost = "svetlini.example";
constexpr const char* kKey = "key-of-team-a";

/** An engine. Its answers have neither a length nor chunks and end with their
    channel. */
class engine {
 public:
  engine(std::string id, std::string address, recorder& record)
      : id_(std::move(id)),
        record_(record),
        server_(std::move(address), [this](int fd) { Run(fd); }) {}

  const std::string& id() const { return id_; }
  const std::string& address() const { return server_.address(); }

 private:
  void Run(int fd) {
    connection from(fd);
    message call;
    if (!ReadRequest(from, call)) {
      return;
    }
    const std::string request = Find(call.fields, "Request-Id");
    if (Find(call.fields, "Expect-Instance") != id_) {
      SendAll(fd,
              "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    const std::string last = Find(call.fields, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    record_("engine %s runs %s from event %d", id_.c_str(), request.c_str(),
            first);
    if (!SendAll(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + request +
                         "\r\nResponse-Seal: 3e1b.07." + request +
                         "\r\nContent-Type: text/event-stream\r\n"
                         "Connection: close\r\n\r\n")) {
      return;
    }
    for (int i = first; i <= kEvents; ++i) {
      Sleep(kEventGapMs);
      pollfd gone{fd, POLLIN, 0};
      if (poll(&gone, 1, 0) > 0) {
        record_("engine %s drops %s: its channel has closed", id_.c_str(),
                request.c_str());
        return;
      }
      if (!SendAll(fd, "id: " + std::to_string(i) + "\ndata: piece " +
                           std::to_string(i) + " of " + request + "\n\n")) {
        return;
      }
    }
    record_("engine %s has answered %s with %d events", id_.c_str(),
            request.c_str(), kEvents);
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

  const std::vector<std::string> ips = {"127.0.0.11", "127.0.0.12"};
  const std::vector<std::string> zones = {"trakia", "kapana"};
  std::vector<std::unique_ptr<engine>> engines;
  for (int i = 1; i <= 2; ++i) {
    const std::string ip = "127.0.0.2" + std::to_string(i);
    engines.push_back(std::make_unique<engine>(
        "i-engine" + std::to_string(i),
        ip + ":" + std::to_string(FreePort(ip)), record));
  }
  // The path from each gateway to each engine.
  std::map<std::pair<std::string, std::string>, std::unique_ptr<path_link>> paths;
  for (const char* host : {"front-1", "front-2"}) {
    for (const auto& next : engines) {
      paths[{host, "servers/" + next->id()}] = std::make_unique<path_link>(
          "127.0.0.1:" + std::to_string(FreePort("127.0.0.1")),
          next->address());
    }
  }

  platform store;
  store.SetView([&](const std::string& host, const std::string& key,
                    const std::string& value) {
    const auto found = paths.find({host, key});
    if (found == paths.end()) {
      return value;
    }
    json entry = json::parse(value);
    entry["address"] = found->second->address();
    return entry.dump();
  });
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
                    {"resumable", true}}}},
                 {"services",
                  {{{"name", "agents"},
                    {"health_path", "/health"},
                    {"max_conns", 180},
                    {"engine", {{"tokens_per_event", 8}}}}}},
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

  std::vector<std::unique_ptr<machine>> fronts;
  for (int i = 0; i < 2; ++i) {
    const std::string name = "front-" + std::to_string(i + 1);
    const std::string address =
        "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"));
    store.Serve(name, address);
    fronts.push_back(std::make_unique<machine>(
        name, zones[static_cast<std::size_t>(i)],
        ips[static_cast<std::size_t>(i)],
        std::vector<std::string>{given.program, "gateway"}, address,
        given.folder));
  }
  std::vector<std::unique_ptr<machine>> stores;
  for (int i = 0; i < 3; ++i) {
    const std::string name = "store-" + std::to_string(i + 1);
    const std::string address =
        "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"));
    store.Serve(name, address);
    stores.push_back(std::make_unique<machine>(
        name, i == 0 ? "trakia" : i == 1 ? "kapana" : "maritsa",
        "127.0.0.3" + std::to_string(i + 1),
        std::vector<std::string>{given.program, "turn-store"}, address,
        given.folder));
  }
  for (const auto& next : stores) {
    next->Start();
  }
  for (const auto& next : fronts) {
    next->Start();
  }
  int exit_code = 2;
  std::atomic<int> whole{0}, broken{0}, refused{0}, mixed{0};
  if (fronts[0]->AwaitReady(15000) && fronts[1]->AwaitReady(15000)) {
    Sleep(3000);
    record("both gateways are ready");
    // Requesters at front-1: a stream each 80 ms.
    std::vector<std::thread> requesters;
    std::atomic<bool> sending{true};
    std::thread traffic([&] {
      for (int number = 1; sending; ++number) {
        requesters.emplace_back([&, number] {
          char id[32];
          std::snprintf(id, sizeof(id), "%016x", 0x9c410000 + number);
          const int fd = ConnectTo(fronts[0]->front());
          if (fd < 0) {
            return;
          }
          connection to(fd);
          record("requester sends %s to front-1", id);
          const std::string body = "a prompt";
          const answer out = Exchange(
              to,
              std::string("POST /lohu930/2f HTTP/1.1\r\nHost: ") + kHost +
                  "\r\nRequest-Id: " + id +
                  "\r\nModel: m\r\nToken-Count: 1460,80\r\n"
                  "Prompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n"
                  "Deadline-Ms: 3000\r\nX-Api-Key: " +
                  kKey + "\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body,
              3500);
          close(fd);
          const int events = CountEvents(out.body);
          const bool sealed = !Find(out.fields, "Response-Seal").empty();
          record("requester got %s: status %d, %d of %d events, %s, %s", id,
                 out.status, events, kEvents, sealed ? "sealed" : "no seal",
                 out.complete ? "complete" : "broken off");
          if (out.status != 200) {
            ++refused;
          } else if (!out.complete) {
            ++broken;
          } else if (events == kEvents) {
            ++whole;
          } else {
            ++mixed;
            record("RULE BROKEN: %s looks complete after %d of %d events", id,
                   events, kEvents);
          }
        });
        Sleep(80);
      }
    });
    Sleep(2500);
    if (given.trouble) {
      record("front-1 is cut off from the engines");
      for (const auto& [key, path] : paths) {
        if (key.first == "front-1") {
          path->Cut();
        }
      }
    }
    Sleep(4000);
    if (given.trouble) {
      record("front-2 is killed");
      fronts[1]->Kill();
      Sleep(1000);
      record("front-2 starts again");
      fronts[1]->Start(false);
      Sleep(500);
      record("front-1 reaches the engines again");
      for (const auto& [key, path] : paths) {
        if (key.first == "front-1") {
          path->Heal();
        }
      }
    } else {
      Sleep(1500);
    }
    Sleep(3000);
    sending = false;
    traffic.join();
    for (std::thread& next : requesters) {
      next.join();
    }
    record("whole %d, broken off %d, refused %d, looked complete too early %d",
           whole.load(), broken.load(), refused.load(), mixed.load());
    exit_code = whole == 0 ? 2 : mixed > 0 ? 1 : 0;
  } else {
    record("the gateways did not become ready");
  }
  std::printf("whole %d, broken off %d, refused %d, mixed %d -> exit %d\n",
              whole.load(), broken.load(), refused.load(), mixed.load(),
              exit_code);
  done = true;
  beats.join();
  for (const auto& next : fronts) {
    next->Kill();
  }
  for (const auto& next : stores) {
    next->Kill();
  }
  std::fflush(stdout);
  _exit(exit_code);
}
