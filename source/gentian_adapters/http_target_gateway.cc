#include "gentian_adapters/http_target_gateway.h"

#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "gentian_adapters/target_stream.h"

namespace gentian {

namespace {

// Engines send a chunk or a comment at least once a second.
constexpr milliseconds kStreamSilence{2'000};
constexpr milliseconds kControlDeadline{5'000};
constexpr milliseconds kPollDeadline{1'000};

template <typename... Functions>
struct overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

http_client_request CallRequest(const dispatch_call& call) {
  http_client_request request;
  request.address = call.address;
  request.method = call.method;
  request.target = call.path;
  request.deadline = call.deadline;
  request.headers.Add("Content-Type", "application/json");
  if (call.stream) {
    request.headers.Add("Accept", "text/event-stream");
    request.silence = kStreamSilence;
  }
  if (!call.session.empty()) {
    request.headers.Add("X-Session", call.session.text());
  }
  if (call.fencing_token > 0) {
    request.headers.Add("X-Fencing-Token", std::to_string(call.fencing_token));
  }
  if (!call.idempotency_key.empty()) {
    request.headers.Add("Idempotency-Key", call.idempotency_key);
  }
  if (!call.resume_stream.empty()) {
    request.headers.Add("X-Resume-Stream", call.resume_stream);
    request.headers.Add("X-Resume-Offset", std::to_string(call.resume_offset));
  }
  if (call.method != "GET" && call.method != "HEAD") {
    request.body = call.body.dump();
  }
  return request;
}

json OrderBody(const target_order_body& body) {
  return std::visit(
      overloaded{
          [](const release_cache& order) {
            return json{{"order", "release_cache"}, {"session", order.session}};
          },
          [](const list_cache&) {
            return json{{"order", "list_cache"}};
          },
          [](const import_cache& order) {
            return json{{"order", "import_cache"},
                        {"session", order.session},
                        {"source", order.source},
                        {"source_address", order.source_address}};
          },
          [](const load_model& order) {
            return json{{"order", "load_model"},
                        {"model", order.model},
                        {"adapter", order.adapter}};
          },
          [](const change_role& order) {
            return json{{"order", "change_role"}, {"role", order.role}};
          }},
      body);
}

target_cache_listing ReadListing(const target_id& target, const json& body) {
  target_cache_listing listing;
  listing.target = target;
  listing.number = body.value("number", std::uint64_t{0});
  for (const json& row : body.value("holdings", json::array())) {
    listing.holdings.push_back(
        cache_holding{session_id(row.value("session", "")),
                      row.value("tokens", std::uint64_t{0})});
  }
  return listing;
}

constexpr int kOk = 200;
// Broken streams whose first part is kept for a resumption.
constexpr std::size_t kKeptStreams = 1'000;

}  // namespace

struct http_target_gateway::state
    : std::enable_shared_from_this<http_target_gateway::state> {
  state(io_pool& pool, std::shared_ptr<tls_context> tls)
      : client(pool, std::move(tls)) {}

  // Address of the target and stream id.
  using stream_name = std::pair<std::string, std::string>;

  struct running_call {
    std::string address;
    std::string stream;
    std::shared_ptr<http_call> call;
  };

  // Assembler for a dispatch. A resumed stream goes on with the one that has
  // the first part of the answer.
  std::shared_ptr<chat_assembler> AssemblerFor(const dispatch_call& call) {
    const auto found = assemblers.find({call.address, call.resume_stream});
    return found == assemblers.end() ? std::make_shared<chat_assembler>()
                                     : found->second;
  }

  // Notes the stream id of a call that a target accepted.
  void Accepted(dispatch_id id,
                const std::string& stream,
                const std::shared_ptr<chat_assembler>& assembler) {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = running.find(id);
    if (found != running.end() && !stream.empty()) {
      found->second.stream = stream;
      assemblers[{found->second.address, stream}] = assembler;
    }
  }

  // Removes a call; the assembler stays if the stream can be resumed.
  void Forget(dispatch_id id, bool finished) {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = running.find(id);
    if (found == running.end()) {
      return;
    }
    const stream_name name{found->second.address, found->second.stream};
    if (finished) {
      assemblers.erase(name);
    } else if (assemblers.count(name) > 0) {
      broken_streams.push_back(name);
      if (broken_streams.size() > kKeptStreams) {
        assemblers.erase(broken_streams.front());
        broken_streams.pop_front();
      }
    }
    running.erase(found);
  }

  void AnswerOrder(const order_target& order, const http_response& response) {
    target_order_answered answer;
    answer.id = order.id;
    answer.ok = response.status == kOk;
    const result<json> parsed = ParseJsonBody(response.body);
    answer.listing.target = order.target;
    if (answer.ok && std::holds_alternative<list_cache>(order.body)) {
      answer.ok = !Failed(parsed) && ValueOf(parsed).is_object();
      if (answer.ok) {
        answer.listing = ReadListing(order.target, ValueOf(parsed));
      }
    }
    if (!answer.ok) {
      answer.message = "status " + std::to_string(response.status);
    }
    sink(std::move(answer));
  }

  void FailOrder(order_id id, const std::string& message) {
    target_order_answered answer;
    answer.id = id;
    answer.message = message;
    sink(std::move(answer));
  }

  void TakeLoad(const target_id& target, const http_response& response) {
    const result<json> parsed = ParseJsonBody(response.body);
    if (response.status != kOk || Failed(parsed) ||
        !ValueOf(parsed).is_object()) {
      return;
    }
    const json& body = ValueOf(parsed);
    target_load load;
    load.target = target;
    load.age = milliseconds(body.value("age_ms", std::int64_t{0}));
    load.running = body.value("running", 0U);
    load.queued = body.value("queued", 0U);
    load.cached_tokens = body.value("cached_tokens", std::uint64_t{0});
    sink(load);
  }

  void TakeCacheEvents(const target_id& target, const http_response& response) {
    const result<json> parsed = ParseJsonBody(response.body);
    if (response.status != kOk || Failed(parsed) ||
        !ValueOf(parsed).is_array()) {
      return;
    }
    for (const json& row : ValueOf(parsed)) {
      target_cache_event change;
      change.target = target;
      change.number = row.value("number", std::uint64_t{0});
      change.kind = row.value("change", "") == "evicted"
                        ? target_cache_event::change::evicted
                        : target_cache_event::change::stored;
      change.session = session_id(row.value("session", ""));
      change.tokens = row.value("tokens", std::uint64_t{0});
      {
        const std::lock_guard<std::mutex> lock(mutex);
        cache_position[target] = change.number;
      }
      sink(change);
    }
  }

  std::shared_ptr<http_call> Get(
      const std::string& address,
      const std::string& path,
      std::function<void(const http_response&)> on_answer) {
    http_client_request request;
    request.address = address;
    request.target = path;
    request.deadline = kPollDeadline;
    request.reuse_connection = true;
    return client.Fetch(
        std::move(request),
        [on_answer = std::move(on_answer)](const http_response& response) {
          try {
            on_answer(response);
          } catch (const json::exception&) {
            // A report of an unexpected shape counts as no report.
            return;
          }
        },
        [](http_failure, const std::string&) {});
  }

  http_client client;
  event_sink sink;
  std::mutex mutex;
  std::map<dispatch_id, running_call> running;
  std::map<stream_name, std::shared_ptr<chat_assembler>> assemblers;
  // Streams that broke, oldest first; bounds `assemblers`.
  std::deque<stream_name> broken_streams;
  std::map<target_id, std::uint64_t> cache_position;
};

http_target_gateway::http_target_gateway(io_pool& pool,
                                         std::shared_ptr<tls_context> tls)
    : state_(std::make_shared<state>(pool, std::move(tls))) {}

http_target_gateway::~http_target_gateway() = default;

void http_target_gateway::SetSink(event_sink sink) {
  state_->sink = std::move(sink);
}

void http_target_gateway::Dispatch(const dispatch_call& call) {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  auto assembler = state_->AssemblerFor(call);
  auto stream = std::make_shared<target_stream>(call, assembler, state_->sink);
  http_client_handlers handlers;
  handlers.on_header = [stream, assembler, owner = state_, id = call.id](
                           int status, const http_headers& headers) {
    owner->Accepted(id, headers.Find("X-Stream-Id"), assembler);
    stream->OnHeader(status, headers);
  };
  handlers.on_body = [stream](std::string_view bytes) {
    stream->OnBody(bytes);
  };
  handlers.on_end = [stream, owner = state_, id = call.id] {
    owner->Forget(id, true);
    stream->OnEnd();
  };
  handlers.on_failure = [stream, owner = state_, id = call.id](
                            http_failure failure, const std::string& message) {
    owner->Forget(id, false);
    stream->OnFailure(failure, message);
  };
  auto running = state_->client.Send(CallRequest(call), std::move(handlers));
  state_->running[call.id] =
      state::running_call{call.address, call.resume_stream, std::move(running)};
}

void http_target_gateway::Cancel(dispatch_id id) {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  const auto found = state_->running.find(id);
  if (found == state_->running.end()) {
    return;
  }
  const state::running_call cancelled = found->second;
  state_->running.erase(found);
  state_->assemblers.erase({cancelled.address, cancelled.stream});
  cancelled.call->Cancel();
  if (cancelled.stream.empty()) {
    // Closing the connection cancels the call at the target.
    return;
  }
  http_client_request request;
  request.address = cancelled.address;
  request.method = "DELETE";
  request.target = "/v1/streams/" + cancelled.stream;
  request.deadline = kControlDeadline;
  state_->client.Fetch(
      std::move(request), [](const http_response&) {},
      [](http_failure, const std::string&) {});
}

void http_target_gateway::Order(const order_target& order) {
  http_client_request request;
  request.address = order.address;
  request.deadline = kControlDeadline;
  if (std::holds_alternative<list_cache>(order.body)) {
    request.target = "/cache";
  } else {
    request.method = "POST";
    request.target = "/control";
    request.headers.Add("Content-Type", "application/json");
    request.headers.Add("X-Fencing-Token", std::to_string(order.fencing_token));
    request.body = OrderBody(order.body).dump();
  }
  state_->client.Fetch(
      std::move(request),
      [owner = state_, order](const http_response& response) {
        try {
          owner->AnswerOrder(order, response);
        } catch (const json::exception&) {
          owner->FailOrder(order.id, "the answer has an unexpected shape");
        }
      },
      [owner = state_, id = order.id](http_failure,
                                      const std::string& message) {
        owner->FailOrder(id, message);
      });
}

void http_target_gateway::PollLoad(const target_id& target,
                                   const std::string& address) {
  state_->Get(address, "/load",
              [owner = state_, target](const http_response& response) {
                owner->TakeLoad(target, response);
              });
}

void http_target_gateway::PollCacheEvents(const target_id& target,
                                          const std::string& address) {
  std::uint64_t after = 0;
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    after = state_->cache_position[target];
  }
  state_->Get(address, "/cache/events?after=" + std::to_string(after),
              [owner = state_, target](const http_response& response) {
                owner->TakeCacheEvents(target, response);
              });
}

}  // namespace gentian
