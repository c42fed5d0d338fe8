// Tests turns that the system keeps: a gateway and turn stores with real HTTP
// and disks, between callers, a target and a fake metadata store.
#include <criterion/criterion.h>

#include <atomic>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>

#include "gentian_gateway_daemon/history_paths.h"
#include "platform/gateway_fixture.h"
#include "platform/store_process.h"
#include "support/raw_connection.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::http_outcome;
using gentian::testing::PostRequest;
using gentian::testing::raw_connection;
using gentian::testing::store_process;
using gentian::testing::WaitFor;

namespace {

namespace fs = std::filesystem;

/** A gateway, turn stores, and a target whose answer to a turn is two events
    with the text of the newest input. */
class kept_turns_fixture {
 public:
  explicit kept_turns_fixture(int stores)
      : gateway([this](const std::shared_ptr<http_exchange>& exchange, int) {
          AnswerTurn(exchange);
        }) {
    std::string name = (fs::temp_directory_path() / "stores-XXXXXX").string();
    cr_assert(::mkdtemp(name.data()) != nullptr);
    root = name;
    for (int i = 1; i <= stores; ++i) {
      StartStore(i, true);
    }
    cr_assert(WaitFor([this, stores] { return KnownStores() == stores; }));
    // A turn needs two stores; the gateway may know the first one only.
    cr_assert(WaitFor([this, stores] {
      static int number = 0;
      return stores < 2 ||
             !Turn("ready-" + std::to_string(++number), "", "").failure;
    }));
  }

  ~kept_turns_fixture() {
    stores.clear();
    fs::remove_all(root);
  }

  void StartStore(int number, bool first_start) {
    const std::string path = root + "/" + std::to_string(number);
    fs::create_directories(path);
    stores[number] = std::make_unique<store_process>(gateway.store, number,
                                                     path, first_start);
  }

  // Ends a store as a kill does, and loses its disk.
  void Wipe(int number) {
    stores.erase(number);
    fs::remove_all(root + "/" + std::to_string(number));
  }

  /** Turn stores that the gateway knows, as its log of changes tells. */
  int KnownStores() {
    http_client_request request =
        PostRequest(gateway.caller_address, "/kept/probe", "");
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", "probe");
    request.headers.Add("X-Api-Key", "k");
    request.headers.Add("Previous-Turn", "unknown");
    // An unknown turn is certain to be absent once all stores are known.
    const bool known = Fetch(gateway.client, request).response.status == 404;
    return known ? static_cast<int>(stores.size()) : 0;
  }

  http_client_request Request(const std::string& id,
                              const std::string& previous,
                              const std::string& input,
                              const std::string& key = "k") {
    http_client_request request =
        PostRequest(gateway.caller_address, "/kept/x", input);
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", id);
    request.headers.Add("X-Api-Key", key);
    request.headers.Add("Deadline-Ms", "3000");
    request.headers.Add("Program-Id", "p-" + key);
    if (!previous.empty()) {
      request.headers.Add("Previous-Turn", previous);
    }
    return request;
  }

  http_outcome Turn(const std::string& id,
                    const std::string& previous,
                    const std::string& input,
                    const std::string& key = "k") {
    return Fetch(gateway.client, Request(id, previous, input, key));
  }

  std::string PromptOf(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex);
    return prompts[id];
  }

  void AnswerTurn(const std::shared_ptr<http_exchange>& exchange) {
    const http_request& request = exchange->request();
    const std::string id = request.headers.Find("Request-Id");
    {
      const std::lock_guard<std::mutex> lock(mutex);
      prompts[id] = request.body;
    }
    http_headers headers = fake_target::SealedHeaders(*exchange);
    headers.Add("Content-Type", "text/event-stream");
    exchange->StartChunks(headers);
    exchange->SendChunk("id: 1\ndata: " + id + "\n\nid: 2\nda");
    exchange->SendChunk("ta: done\n\n");
    exchange->EndStream();
  }

  std::string root;
  std::mutex mutex;
  std::map<std::string, std::string> prompts;
  gateway_fixture gateway;
  std::map<int, std::unique_ptr<store_process>> stores;
};

}  // namespace

// Guards against an engine that sees a wrong history: the whole chain, to the
// byte, also of a branch.
Test(kept_turns,
     a_turn_continues_with_the_history_of_its_chain,
     .timeout = 60) {
  kept_turns_fixture subject(2);
  const http_outcome first = subject.Turn("r1", "", "one ");
  cr_assert(first.response.status == 200);
  cr_assert(first.response.body == "id: 1\ndata: r1\n\nid: 2\ndata: done\n\n");
  cr_assert(subject.PromptOf("r1") == "one ");
  cr_assert(subject.Turn("r2", "r1", "two ").response.status == 200);
  cr_assert(subject.PromptOf("r2") == "one r1\ndone\ntwo ");
  cr_assert(subject.Turn("r3", "r2", "three").response.status == 200);
  cr_assert(subject.PromptOf("r3") == "one r1\ndone\ntwo r2\ndone\nthree");
  cr_assert(subject.Turn("b2", "r1", "branch").response.status == 200);
  cr_assert(subject.PromptOf("b2") == "one r1\ndone\nbranch");
}

// Guards against a large prompt that arrives changed.
Test(kept_turns, long_histories_arrive_whole, .timeout = 60) {
  kept_turns_fixture subject(2);
  const std::string input(150'000, 'i');
  cr_assert(subject.Turn("r1", "", input).response.status == 200);
  cr_assert(subject.Turn("r2", "r1", input).response.status == 200);
  cr_assert(subject.PromptOf("r2") == input + "r1\ndone\n" + input);
}

// Guards against a team that learns of another team's turns.
Test(kept_turns, the_turns_of_another_team_do_not_exist, .timeout = 60) {
  kept_turns_fixture subject(2);
  cr_assert(subject.Turn("r1", "", "secret").response.status == 200);
  const http_response other = subject.Turn("x1", "r1", "", "k2").response;
  const http_response unknown = subject.Turn("x2", "r0", "", "k2").response;
  cr_assert(other.status == 404 && unknown.status == 404);
  cr_assert(other.body == unknown.body);
  cr_assert(subject.PromptOf("x1").empty() && subject.PromptOf("x2").empty());
}

// Guards against a turn that is declared unknown, and one that is refused,
// while one store is away.
Test(kept_turns, are_read_while_one_store_is_away, .timeout = 60) {
  kept_turns_fixture subject(2);
  cr_assert(subject.Turn("r1", "", "one ").response.status == 200);
  subject.stores.erase(1);
  cr_assert(subject.Turn("r2", "r1", "two").response.status != 404);
  cr_assert(subject.PromptOf("r2") == "one r1\ndone\ntwo");
  const http_response unknown = subject.Turn("x", "r0", "").response;
  cr_assert(unknown.status == 503);
  cr_assert(!unknown.headers.Find("Retry-After").empty());
}

// Guards against an answer that counts although a single loss could destroy it.
Test(kept_turns,
     an_answer_is_not_ended_before_enough_disks_hold_it,
     .timeout = 60) {
  kept_turns_fixture subject(2);
  subject.stores.erase(2);
  const http_outcome outcome = subject.Turn("r1", "", "one");
  cr_assert(outcome.failure && *outcome.failure == http_failure::broken,
            "status %d, failure %d, body %s", outcome.response.status,
            outcome.failure ? static_cast<int>(*outcome.failure) : -1,
            outcome.response.body.c_str());
  subject.StartStore(2, false);
  cr_assert(WaitFor([&subject] {
    static int number = 0;
    return !subject.Turn("again-" + std::to_string(++number), "", "one")
                .failure;
  }));
}

// Guards against a turn that is answered whole although one disk alone holds
// it: at the start of a fleet, a gateway may know the first store only.
Test(kept_turns, one_known_store_is_not_enough, .timeout = 60) {
  kept_turns_fixture subject(1);
  const http_outcome outcome = subject.Turn("r1", "", "one");
  cr_assert(outcome.failure && *outcome.failure == http_failure::broken,
            "status %d", outcome.response.status);
  subject.StartStore(2, true);
  cr_assert(WaitFor([&subject] {
    static int number = 0;
    return !subject.Turn("again-" + std::to_string(++number), "", "one")
                .failure;
  }));
}

// Guards against a turn that is lost when disks fail one after the other.
Test(kept_turns, a_wiped_store_gets_its_copies_back, .timeout = 120) {
  kept_turns_fixture subject(3);
  constexpr int kTurns = 20;
  for (int i = 0; i < kTurns; ++i) {
    const std::string number = std::to_string(i);
    const http_outcome outcome = subject.Turn("r" + number, "", number + " ");
    cr_assert(outcome.response.status == 200, "%d %s", outcome.response.status,
              outcome.response.body.c_str());
  }
  for (int wiped = 1; wiped <= 3; ++wiped) {
    subject.Wipe(wiped);
    subject.StartStore(wiped, false);
    // The store says so itself, and is certain of what does not exist.
    cr_assert(WaitFor([&] {
      return Fetch(subject.gateway.client,
                   PostRequest(subject.stores[wiped]->address, kReadChainPath,
                               EncodeKeys({{"t", "unknown"}})))
                 .response.status == 404;
    }));
  }
  for (int i = 0; i < kTurns; ++i) {
    const std::string number = std::to_string(i);
    const std::string id = "c" + number;
    cr_assert(WaitFor([&] {
      return subject.Turn(id, "r" + number, "+").response.status == 200;
    }));
    std::string expected = number;
    expected.append(" r").append(number).append("\ndone\n+");
    cr_assert(subject.PromptOf(id) == expected);
  }
}

// Guards against a host that is taken away with the only copy of a turn, and
// against a drain that never ends.
Test(kept_turns, a_drained_host_can_be_taken_away, .timeout = 120) {
  kept_turns_fixture subject(3);
  constexpr int kTurns = 10;
  for (int i = 0; i < kTurns; ++i) {
    cr_assert(subject.Turn("r" + std::to_string(i), "", "x ").response.status ==
              200);
  }
  subject.gateway.store.Put("op/retire/store-2", R"({"duration_s":10})");
  cr_assert(WaitFor([&subject] {
    return subject.gateway.store.Value("status/retire/store-2") ==
           R"({"state":"completed"})";
  }));
  cr_assert(subject.gateway.store.Value(DiskKey("store-2")).empty());
  subject.Wipe(2);
  // One more may be lost.
  subject.stores.erase(3);
  for (int i = 0; i < kTurns; ++i) {
    const std::string id = "c" + std::to_string(i);
    const http_outcome outcome = subject.Turn(id, "r" + std::to_string(i), "y");
    cr_assert(subject.PromptOf(id) == "x r" + std::to_string(i) + "\ndone\ny",
              "status %d, prompt %s", outcome.response.status,
              subject.PromptOf(id).c_str());
  }
}

// Guards against a malformed message that ends a store.
Test(kept_turns, a_store_refuses_malformed_messages, .timeout = 60) {
  kept_turns_fixture subject(2);
  const std::string address = subject.stores[1]->address;
  for (const char* path :
       {kStoreTurnPath, kReadChainPath, kReadJournalPath, kReadTurnsPath}) {
    for (const char* body : {"", "x", "\xff\xff\xff", "\xa1\x61\x61\x01"}) {
      const http_outcome outcome =
          Fetch(subject.gateway.client, PostRequest(address, path, body));
      cr_assert(outcome.response.status == 400, "%s: %d", path,
                outcome.response.status);
    }
  }
  cr_assert(subject.Turn("r1", "", "one").response.status == 200);
}

// Guards against a planned stop that cuts a request off which has come in part:
// its sender learns only that the connection broke.
Test(kept_turns, a_store_that_stops_answers_what_has_come, .timeout = 60) {
  kept_turns_fixture subject(2);
  const raw_connection sender(subject.stores[1]->address);
  sender.Write(std::string("POST ") + kStoreTurnPath +
               " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1");
  std::this_thread::sleep_for(milliseconds(100));
  std::atomic<bool> has_stopped{false};
  store_process& store = *subject.stores[1];
  store.pool.After(milliseconds(0), [&] {
    store.daemon->Stop([&has_stopped] { has_stopped = true; });
  });
  cr_assert(WaitFor([&has_stopped] { return has_stopped.load(); }));
  subject.stores.erase(1);
  const std::string answer = sender.Read(milliseconds(1'000));
  cr_assert(answer.rfind("HTTP/1.1 503", 0) == 0, "got '%s'", answer.c_str());
}

// Guards against a caller that is answered before the turn is kept: it asks
// again with the same ID and other content, which must not replace the turn.
Test(kept_turns,
     a_second_turn_with_the_same_id_changes_nothing,
     .timeout = 60) {
  kept_turns_fixture subject(2);
  cr_assert(subject.Turn("r1", "", "one ").response.status == 200);
  cr_assert(subject.Turn("r1", "", "other").failure);
  cr_assert(subject.Turn("r2", "r1", "two").response.status == 200);
  cr_assert(subject.PromptOf("r2") == "one r1\ndone\ntwo");
}
