#ifndef TESTS_PLATFORM_STREAM_FIXTURE_H_
#define TESTS_PLATFORM_STREAM_FIXTURE_H_

#include <criterion/criterion.h>

#include <atomic>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/gateway_fleet.h"
#include "platform/store_process.h"
#include "support/raw_connection.h"

namespace gentian::testing {

/** A target whose streams have four events with the version of its software as
    data. It goes on after the last event that the request names. */
class stream_target {
 public:
  static constexpr int kEvents = 4;
  /** Answers a request in place of a stream; false to send the stream. */
  using override_handler =
      std::function<bool(const std::shared_ptr<http_exchange>&)>;

  stream_target(io_pool& pool, std::string version)
      : pool_(pool),
        version_(std::move(version)),
        server(pool,
               [this](const std::shared_ptr<http_exchange>& exchange, int) {
                 Run(exchange);
               }) {}

  /** Streams are broken off after this many events; 0 for whole streams. */
  void BreakAfter(int events) { break_after_ = events; }
  /** Streams stay open without another event after this many. */
  void HoldAfter(int events) {
    holds_ = true;
    break_after_ = events;
  }
  void SetOverride(override_handler handler) { override_ = std::move(handler); }

  int streams() const { return streams_; }
  const std::string& version() const { return version_; }

  /** The text of one event. */
  static std::string Event(int number, const std::string& version) {
    return "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
  }

  /** The text of a whole stream. */
  static std::string Whole(const std::string& version) {
    std::string text;
    for (int i = 1; i <= kEvents; ++i) {
      text += Event(i, version);
    }
    return text;
  }

 private:
  void Run(const std::shared_ptr<http_exchange>& exchange) {
    if (override_ && override_(exchange)) {
      return;
    }
    ++streams_;
    http_headers headers = fake_target::SealedHeaders(*exchange);
    headers.Add("Content-Type", "text/event-stream");
    exchange->StartChunks(headers);
    const std::string last = exchange->request().headers.Find("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const int break_after = break_after_;
    const int end = break_after > 0 ? std::min(kEvents, break_after) : kEvents;
    for (int i = first; i <= end; ++i) {
      exchange->SendChunk(Event(i, version_));
    }
    if (break_after == 0) {
      exchange->EndStream();
      return;
    }
    if (holds_) {
      held_.push_back(exchange);
      return;
    }
    // The chunks are sent only after the handler returns.
    constexpr milliseconds kSendTime{40};
    pool_.After(kSendTime, [exchange] { exchange->Abort(); });
  }

  io_pool& pool_;
  const std::string version_;
  std::atomic<int> break_after_{0};
  std::atomic<bool> holds_{false};
  std::vector<std::shared_ptr<http_exchange>> held_;
  override_handler override_;
  std::atomic<int> streams_{0};

 public:
  fake_target server;
};

/** Gateways, turn stores and stream targets of several software versions. */
class stream_fixture {
 public:
  explicit stream_fixture(std::size_t gateways = 1, int stores = 2)
      : fleet(gateways,
              [](const std::shared_ptr<http_exchange>& exchange, int) {
                fake_target::RespondSealed(exchange, "");
              }) {
    fleet.first.store.Remove("servers/i-1");
    std::string name =
        (std::filesystem::temp_directory_path() / "streams-XXXXXX").string();
    cr_assert(::mkdtemp(name.data()) != nullptr);
    root_ = name;
    for (int i = 1; i <= stores; ++i) {
      StartStore(i);
    }
    const std::string known =
        "turn_stores_accepting " + std::to_string(stores) + "\n";
    for (std::size_t i = 0; i < gateways; ++i) {
      cr_assert(WaitFor(
          [&] { return fleet.Metrics(i).find(known) != std::string::npos; }));
    }
  }

  ~stream_fixture() {
    fleet.StopPools();
    target_pool_.Stop();
    stores_.clear();
    std::filesystem::remove_all(root_);
  }

  void StartStore(int number) {
    const std::string path = root_ + "/" + std::to_string(number);
    std::filesystem::create_directories(path);
    stores_[number] =
        std::make_unique<store_process>(fleet.first.store, number, path, true);
  }
  void KillStore(int number) { stores_.erase(number); }

  stream_target& AddTarget(const std::string& id, const std::string& version) {
    targets_.push_back(std::make_unique<stream_target>(target_pool_, version));
    fleet.first.RegisterTarget(id, targets_.back()->server.address(), version);
    return *targets_.back();
  }

  http_client_request Request(std::size_t gateway, const std::string& id) {
    http_client_request request = fleet.Request(gateway, "/turn/x");
    request.headers = http_headers();
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", id);
    request.headers.Add("X-Api-Key", "k");
    request.headers.Add("Deadline-Ms", "2000");
    return request;
  }

  /** A request that resumes the stream of an earlier one. */
  http_client_request Resume(std::size_t gateway,
                             const std::string& id,
                             const std::string& resumes,
                             int last_event) {
    http_client_request request = Request(gateway, id);
    request.headers.Add("Last-Event-Id", std::to_string(last_event));
    request.headers.Add("Resumes", resumes);
    return request;
  }

  using answer = received_answer;

  answer Send(http_client_request request) {
    return Receive(fleet.first.client, std::move(request));
  }

  /** Waits until each gateway sends requests to stream targets. */
  void AwaitUse(std::size_t gateways = 1) {
    for (std::size_t i = 0; i < gateways; ++i) {
      cr_assert(WaitFor([&] {
        const std::string id = "use-" + std::to_string(++uses_);
        const answer got = Send(Request(i, id));
        return got.status == 200 && !got.body.empty();
      }));
    }
  }

 private:
  io_pool target_pool_{1};
  int uses_ = 0;
  std::string root_;

 public:
  gateway_fleet fleet;

 private:
  std::vector<std::unique_ptr<stream_target>> targets_;
  std::map<int, std::unique_ptr<store_process>> stores_;
};

}  // namespace gentian::testing

#endif  // TESTS_PLATFORM_STREAM_FIXTURE_H_
