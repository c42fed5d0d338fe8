#include "gentian_adapters/etcd_watch.h"

#include <algorithm>
#include <memory>
#include <mutex>
#include <utility>

#include "gentian_adapters/etcd_codec.h"

namespace gentian {

namespace {

using status = kv_answer::status;

class watch_stream : public std::enable_shared_from_this<watch_stream> {
 public:
  watch_stream(const kv_watch& operation,
               key_value_store::answer_handler handler)
      : operation_(operation), handler_(std::move(handler)) {}

  void Start(http_client& client,
             const std::string& address,
             milliseconds deadline) {
    http_client_request request;
    request.address = address;
    request.method = "POST";
    request.target = "/v3/watch";
    request.headers.Add("Content-Type", "application/json");
    request.body =
        json{{"create_request",
              {{"key", EncodeBase64(operation_.prefix)},
               {"range_end", EncodeBase64(EndOfPrefix(operation_.prefix))},
               {"start_revision",
                std::to_string(operation_.after_revision + 1)}}}}
            .dump();
    request.deadline = deadline;
    http_client_handlers handlers;
    const auto me = shared_from_this();
    handlers.on_body = [me](std::string_view bytes) { me->Take(bytes); };
    handlers.on_end = [me] { me->Answer(Outcome(status::no_answer)); };
    handlers.on_failure = [me](http_failure failure, const std::string&) {
      me->Answer(Outcome(failure == http_failure::not_sent
                             ? status::not_sent
                             : status::no_answer));
    };
    auto call = client.Send(std::move(request), std::move(handlers));
    const std::lock_guard<std::mutex> lock(mutex_);
    call_ = std::move(call);
    if (!handler_) {
      call_->Cancel();
    }
  }

  void EndWait() {
    kv_answer answer = Outcome(status::ok);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (!created_) {
        // The service has not even confirmed the watch.
        answer.outcome = status::no_answer;
      }
    }
    answer.revision = operation_.after_revision;
    Answer(std::move(answer));
  }

 private:
  static kv_answer Outcome(status outcome) {
    kv_answer answer;
    answer.outcome = outcome;
    return answer;
  }

  // The stream is a sequence of JSON objects, one a line.
  void Take(std::string_view bytes) {
    // A long line comes in many parts.
    std::size_t end = bytes.find('\n');
    if (end != std::string_view::npos) {
      end += pending_.size();
    }
    pending_ += bytes;
    std::size_t start = 0;
    while (end != std::string::npos) {
      TakeLine(pending_.substr(start, end - start));
      start = end + 1;
      end = pending_.find('\n', start);
    }
    pending_.erase(0, start);
  }

  void TakeLine(const std::string& line) {
    try {
      TakeMessage(ParseEtcdMessage(line));
    } catch (const json::exception&) {
      Answer(Outcome(status::no_answer));
    }
  }

  void TakeMessage(const json& message) {
    if (!message.is_object() || !message.contains("result") ||
        !message["result"].is_object()) {
      Answer(Outcome(status::no_answer));
      return;
    }
    const json& body = message["result"];
    if (body.value("created", false)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      created_ = true;
    }
    if (ReadEtcdNumber(body, "compact_revision") > 0) {
      Answer(Outcome(status::compacted));
    } else if (body.contains("events") && body["events"].is_array() &&
               !body["events"].empty()) {
      TakeEvents(body);
    }
  }

  void TakeEvents(const json& body) {
    kv_answer answer = Outcome(status::ok);
    answer.revision = operation_.after_revision;
    for (const json& change : body["events"]) {
      if (!change.is_object() || !change.contains("kv")) {
        continue;
      }
      kv_entry entry = ReadEtcdEntry(change["kv"]);
      answer.revision = std::max(answer.revision, entry.version);
      if (change.value("type", "PUT") == "DELETE") {
        answer.deleted.push_back(std::move(entry.key));
      } else {
        answer.entries.push_back(std::move(entry));
      }
    }
    Answer(std::move(answer));
  }

  void Answer(kv_answer answer) {
    key_value_store::answer_handler handler;
    std::shared_ptr<http_call> call;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      handler = std::move(handler_);
      handler_ = nullptr;
      call = call_;
    }
    if (call) {
      call->Cancel();
    }
    if (handler) {
      handler(std::move(answer));
    }
  }

  kv_watch operation_;
  std::string pending_;
  std::mutex mutex_;
  key_value_store::answer_handler handler_;
  std::shared_ptr<http_call> call_;
  bool created_ = false;
};

}  // namespace

void StartEtcdWatch(io_pool& pool,
                    http_client& client,
                    const std::string& address,
                    const kv_watch& operation,
                    milliseconds deadline,
                    key_value_store::answer_handler handler) {
  auto stream = std::make_shared<watch_stream>(operation, std::move(handler));
  stream->Start(client, address, deadline);
  pool.After(operation.wait, [weak = std::weak_ptr<watch_stream>(stream)] {
    if (const auto me = weak.lock()) {
      me->EndWait();
    }
  });
}

}  // namespace gentian
