#include "gentian_net/http_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "gentian_net/message_parser.h"

namespace gentian::detail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// Most requests fit into one read; most connections have none in progress.
constexpr std::size_t kFirstReadSize = 2 * 1024;
constexpr std::size_t kReadSize = 16 * 1024;
// Input beyond the current request that is read to notice a lost caller.
constexpr std::size_t kMaxReadAhead = 64 * 1024;
constexpr std::chrono::seconds kCommentInterval{1};
// Time for a caller to read an error while it is still sending its request.
constexpr std::chrono::seconds kLinger{2};
// Time for a request to arrive that crosses the end of an idle connection: its
// caller then reads an end instead of a reset.
constexpr milliseconds kIdleLinger{200};
// Time without input before an idle connection is closed.
constexpr milliseconds kQuietTime{20};
constexpr steady_time::duration kNotIdle = steady_time::duration::min();
constexpr milliseconds kNoMemoryRetryAfter{1'000};
// Status of a request whose header or trailers are too large (RFC 6585).
constexpr int kHeaderTooLarge = 431;

error NoMemory() {
  return error{error_kind::overloaded,
               "too many large requests are being received",
               "send the request again later", call_outcome::not_run,
               kNoMemoryRetryAfter};
}

error TooLarge(const std::string& what, std::size_t limit) {
  return error{error_kind::too_large, "the request " + what + " is too large",
               "send at most " + std::to_string(limit) + " bytes"};
}

// The request without its body.
http_request HeaderOf(const message_parser<true>& parser) {
  http_request request;
  request.method = parser.method();
  request.target = parser.target();
  request.headers = parser.Headers();
  return request;
}

class connection : public http_connection,
                   public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<byte_stream> stream,
             std::shared_ptr<const connection_environment> environment,
             std::function<void()> on_closed)
      : stream_(std::move(stream)),
        environment_(std::move(environment)),
        limits_(std::atomic_load(&environment_->limits)),
        on_closed_(std::move(on_closed)),
        receive_timer_(stream_->executor()),
        send_timer_(stream_->executor()),
        comment_timer_(stream_->executor()) {}

  void Start() override {
    input_memory_.emplace(environment_->memory, [weak = weak_from_this()] {
      if (const auto me = weak.lock()) {
        me->Post([](connection& self) { self.RefuseWithoutMemory(); });
      }
    });
    ahead_memory_.emplace(environment_->memory, [weak = weak_from_this()] {
      if (const auto me = weak.lock()) {
        me->Post([](connection& self) { self.DropInput(); });
      }
    });
    output_memory_.emplace(environment_->memory, [weak = weak_from_this()] {
      if (const auto me = weak.lock()) {
        me->Post([](connection& self) { self.Close(); });
      }
    });
    Post([](connection& self) {
      self.ArmReceiveTimer(self.limits().receive_deadline);
      self.stream_->Handshake(
          true, [me = self.shared_from_this()](error_code failure) {
            if (failure) {
              me->Close();
              return;
            }
            if (me->draining_ && !me->refusal_ && me->IsIdle()) {
              me->CloseIfQuiet();
            } else {
              me->ArmReceiveTimer(me->refusal_ ? kLinger
                                               : me->limits().idle_deadline);
            }
            me->SetIdle(true);
            me->Read();
          });
    });
  }

  void RefuseAll(const error& reason) override { refusal_ = reason; }

  std::optional<steady_time> idle_since() const override {
    const steady_time::duration since{idle_since_.load()};
    if (since == kNotIdle) {
      return std::nullopt;
    }
    return steady_time(since);
  }

  void CloseIfIdle() override {
    SetIdle(false);
    Post([](connection& self) {
      if (self.IsIdle()) {
        self.CloseIfQuiet();
      }
    });
  }

  void Drain() override {
    Post([](connection& self) {
      self.draining_ = true;
      if (self.IsIdle()) {
        self.CloseIfQuiet();
      }
    });
  }

  // An answer names its request, which is known once the header has come.
  // Without an answer, a caller knows that its request was not read.
  void EndReceiving(const error& reason) override {
    Post([reason](connection& self) {
      self.draining_ = true;
      if (self.answering_ || self.discarding_ || self.closed_) {
        return;
      }
      if (self.parser_ && self.parser_->is_header_done()) {
        self.RefuseRequest(reason);
      } else {
        self.CloseInOrder(kLinger);
      }
    });
  }

  void Stop() override {
    Post([](connection& self) { self.Close(); });
  }

  // Runs a step of the answer to one exchange; steps that come after the
  // answer's end or for an earlier exchange are dropped.
  template <typename Step>
  void PostAnswer(std::uint64_t serial, Step step) {
    Post([serial, step = std::move(step)](connection& self) mutable {
      if (self.answering_ && !self.answer_ended_ && serial == self.serial_) {
        step(self);
      }
    });
  }

  void SendWhole(const http_response& answer) {
    http::response<http::empty_body> message(
        static_cast<http::status>(answer.status), 11);
    AddHeaders(message, answer.headers);
    message.content_length(answer.body.size());
    std::ostringstream header;
    header << message.base();
    std::string text = header.str();
    text.reserve(text.size() + answer.body.size());
    text += answer.body;
    answer_ended_ = true;
    Queue(std::move(text));
  }

  void SendStreamHeader(const http_headers& headers, bool events) {
    http::response<http::empty_body> message(http::status::ok, 11);
    AddHeaders(message, headers);
    if (events) {
      message.set(http::field::content_type, "text/event-stream");
      message.set(http::field::cache_control, "no-store");
    }
    message.chunked(true);
    std::ostringstream text;
    text << message.base();
    Queue(text.str());
    last_sent_ = std::chrono::steady_clock::now();
    if (events) {
      ArmCommentTimer();
    }
  }

  void SendChunk(std::string_view text) {
    last_sent_ = std::chrono::steady_clock::now();
    Queue(beast::buffers_to_string(
        http::make_chunk(asio::const_buffer(text.data(), text.size()))));
  }

  void EndStream() {
    comment_timer_.cancel();
    answer_ended_ = true;
    Queue(beast::buffers_to_string(http::make_chunk_last()));
  }

  void SetDisconnectHandler(std::uint64_t serial,
                            std::function<void()> handler) {
    Post([serial, handler = std::move(handler)](connection& self) mutable {
      if (serial != self.serial_) {
        return;
      }
      if (self.closed_ && !self.answer_ended_) {
        handler();
      } else if (!self.answer_ended_) {
        self.on_disconnect_ = std::move(handler);
      }
    });
  }

  // What was sent before comes to the peer.
  void CloseAfterOutput() {
    closes_after_output_ = true;
    if (!writing_) {
      Close();
    }
  }

  void Close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    SetIdle(false);
    UpdateBusy();
    input_memory_->Resize(0);
    ahead_memory_->Resize(0);
    output_memory_->Resize(0);
    receive_timer_.cancel();
    send_timer_.cancel();
    comment_timer_.cancel();
    stream_->Close();
    // Moved out first: the handlers may hold the last reference to others.
    auto on_disconnect = std::move(on_disconnect_);
    on_disconnect_ = nullptr;
    if (answering_ && !answer_ended_ && on_disconnect) {
      on_disconnect();
    }
    auto on_closed = std::move(on_closed_);
    on_closed_ = nullptr;
    on_closed();
  }

 private:
  bool IsIdle() const {
    return !answering_ && !discarding_ && !closed_ && !parser_ &&
           input_.empty();
  }

  // A request may have come that is not read yet, or whose read has not been
  // handled: after a suspension of the process, or as the caller sends it now.
  void CloseIfQuiet() {
    is_closing_if_quiet_ = true;
    ArmReceiveTimer(kQuietTime);
  }

  void SetIdle(bool is_idle) {
    idle_since_ =
        is_idle && !refusal_
            ? std::chrono::steady_clock::now().time_since_epoch().count()
            : kNotIdle.count();
  }

  void OnReceiveTimeout() {
    if (refusal_ && !answering_ && !discarding_) {
      RefuseRequest(*refusal_);
    } else if (!IsIdle()) {
      Close();
    } else if (!is_closing_if_quiet_) {
      CloseIfQuiet();
    } else if (stream_->HasInput()) {
      ArmReceiveTimer(limits().header_deadline);
    } else {
      CloseInOrder(kIdleLinger);
    }
  }

  // The caller reads the end; what it still sends has no reader.
  void CloseInOrder(milliseconds linger) {
    discarding_ = true;
    SetIdle(false);
    stream_->ShutdownSend();
    ArmReceiveTimer(linger);
    Read();
  }

  void UpdateBusy() {
    const bool is_busy = !closed_ && answering_;
    if (is_busy != is_busy_) {
      is_busy_ = is_busy;
      if (is_busy) {
        ++environment_->busy;
      } else {
        --environment_->busy;
      }
    }
  }

  bool IsClosing() const { return draining_ || environment_->closing; }

  const http_server_limits& limits() const { return *limits_; }

  // Limits that change take effect with the next request or idle time.
  void TakeLimits() { limits_ = std::atomic_load(&environment_->limits); }

  template <typename Step>
  void Post(Step step) {
    asio::post(stream_->executor(),
               [me = shared_from_this(), step = std::move(step)]() mutable {
                 step(*me);
               });
  }

  void ArmReceiveTimer(milliseconds limit) {
    const std::uint64_t serial = ++receive_timer_serial_;
    receive_timer_.expires_after(limit);
    receive_timer_.async_wait(
        [me = shared_from_this(), serial](error_code failure) {
          // A wait that was replaced may already have ended.
          if (!failure && serial == me->receive_timer_serial_) {
            me->OnReceiveTimeout();
          }
        });
  }

  // A body comes in large parts, unless its sender waits.
  std::size_t NextReadSize() const {
    return parser_ && header_done_ && filled_space_ ? kReadSize
                                                    : kFirstReadSize;
  }

  // Of the request that is being received.
  std::size_t HeldBytes() const {
    const std::size_t space = NextReadSize();
    return input_.capacity() + (space > kFirstReadSize ? space : 0) +
           (parser_ ? parser_->HeldBytes() : 0);
  }

  void Read() {
    if (reading_ || closed_) {
      return;
    }
    reading_ = true;
    const std::size_t size = NextReadSize();
    if (space_.size() != size) {
      space_ = std::vector<char>(size);
    }
    stream_->ReadSome(
        asio::buffer(space_),
        [me = shared_from_this()](error_code failure, std::size_t size) {
          me->reading_ = false;
          me->OnRead(failure, size);
        });
  }

  void OnRead(error_code failure, std::size_t size) {
    if (failure) {
      Close();
      return;
    }
    if (discarding_) {
      Read();
      return;
    }
    if (drops_input_) {
      return;
    }
    filled_space_ = size == space_.size();
    input_.append(space_.data(), size);
    Parse();
  }

  void Parse() {
    if (answering_) {
      if (!ahead_memory_->Resize(input_.capacity())) {
        DropInput();
      }
      if (input_.size() < kMaxReadAhead && !drops_input_) {
        Read();
      }
      return;
    }
    if (!parser_ && !input_.empty()) {
      TakeLimits();
      parser_.emplace(limits().max_header_bytes, limits().max_body_bytes);
      sent_continue_ = false;
      header_done_ = false;
      is_closing_if_quiet_ = false;
      SetIdle(false);
      ArmReceiveTimer(refusal_ ? kLinger : limits().header_deadline);
    }
    error_code failure;
    if (parser_ && !input_.empty() && !parser_->is_done()) {
      parser_->Feed(input_, failure);
    }
    if (parser_ && parser_->is_header_done() && !header_done_) {
      header_done_ = true;
      ArmReceiveTimer(limits().receive_deadline);
    }
    const bool fits = !parser_ || input_memory_->Resize(HeldBytes());
    if (!fits) {
      RefuseWithoutMemory();
    } else if (refusal_ && header_done_) {
      RefuseRequest(*refusal_);
    } else if (failure && failure != http::error::need_more) {
      RefuseInput(failure);
    } else if (parser_ && parser_->is_done()) {
      BeginExchange();
    } else {
      SendContinueIfExpected();
      Read();
    }
  }

  void SendContinueIfExpected() {
    if (!parser_ || !parser_->is_header_done() || sent_continue_ ||
        parser_->Find("Expect") != "100-continue") {
      return;
    }
    sent_continue_ = true;
    Queue("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void RefuseWithoutMemory() {
    // A request that was read meanwhile runs.
    if (!answering_ && !discarding_ && !closed_) {
      RefuseRequest(NoMemory());
    }
  }

  // The requests that wait for the answer in progress are dropped, and the
  // connection closes after that answer.
  void DropInput() {
    if (answering_ && !closed_) {
      input_ = std::string();
      ahead_memory_->Resize(0);
      drops_input_ = true;
      keep_alive_ = false;
    }
  }

  void RefuseInput(error_code failure) {
    error reason{error_kind::malformed_request,
                 "the request is not valid HTTP/1.1: " + failure.message(),
                 "use an HTTP/1.1 client"};
    if (failure == http::error::header_limit) {
      reason = TooLarge(header_done_ ? "trailer" : "header",
                        limits().max_header_bytes);
    } else if (failure == http::error::body_limit) {
      reason = TooLarge("body", limits().max_body_bytes);
    }
    RefuseRequest(reason, failure == http::error::header_limit
                              ? std::optional<int>(kHeaderTooLarge)
                              : std::nullopt);
  }

  // Answers a request that has not been read to its end.
  void RefuseRequest(const error& reason, std::optional<int> status = {}) {
    http_request begin;
    if (parser_ && parser_->is_header_done()) {
      begin = HeaderOf(*parser_);
    }
    parser_.reset();
    input_ = std::string();
    input_memory_->Resize(0);
    keep_alive_ = false;
    answering_ = true;
    answer_ended_ = false;
    ++serial_;
    UpdateBusy();
    http_response answer = environment_->make_refusal(begin, reason);
    answer.status = status.value_or(answer.status);
    SendWhole(answer);
  }

  void BeginExchange();

  void FinishExchange() {
    answering_ = false;
    input_memory_->Resize(0);
    ahead_memory_->Resize(0);
    on_disconnect_ = nullptr;
    UpdateBusy();
    if (has_announced_close_ || drops_input_) {
      CloseInOrder(kLinger);
      return;
    }
    TakeLimits();
    // A caller that was not told may have sent the next request.
    is_closing_if_quiet_ = draining_;
    ArmReceiveTimer(draining_ ? kQuietTime : limits().idle_deadline);
    SetIdle(input_.empty());
    Parse();
  }

  template <typename Message>
  void AddHeaders(Message& message, const http_headers& headers) {
    for (const auto& [name, value] : headers.fields()) {
      message.insert(name, value);
    }
    has_announced_close_ = !keep_alive_ || IsClosing();
    message.keep_alive(!has_announced_close_);
  }

  void ArmCommentTimer() {
    comment_timer_.expires_after(kCommentInterval);
    comment_timer_.async_wait([me = shared_from_this()](error_code failure) {
      if (failure || me->closed_ || me->answer_ended_) {
        return;
      }
      const auto quiet = std::chrono::steady_clock::now() - me->last_sent_;
      if (quiet >= kCommentInterval) {
        me->SendChunk(kStreamComment);
      }
      me->ArmCommentTimer();
    });
  }

  void Queue(std::string text) {
    unsent_bytes_ += text.size();
    output_.push_back(std::move(text));
    if ((unsent_bytes_ > limits().max_unsent_bytes && output_.size() > 1) ||
        !output_memory_->Resize(unsent_bytes_)) {
      Close();
      return;
    }
    if (!writing_) {
      WriteNext();
    }
  }

  void WriteNext() {
    if (closed_) {
      return;
    }
    if (output_.empty() && closes_after_output_) {
      Close();
      return;
    }
    if (output_.empty()) {
      if (answering_ && answer_ended_) {
        FinishExchange();
      }
      return;
    }
    writing_ = true;
    send_timer_.expires_after(limits().send_deadline);
    send_timer_.async_wait([me = shared_from_this()](error_code failure) {
      if (!failure) {
        me->Close();
      }
    });
    stream_->Write(
        asio::buffer(output_.front()),
        [me = shared_from_this()](error_code failure, std::size_t size) {
          me->writing_ = false;
          me->send_timer_.cancel();
          if (failure) {
            me->Close();
            return;
          }
          me->unsent_bytes_ -= size;
          me->output_.pop_front();
          me->output_memory_->Resize(me->unsent_bytes_);
          me->WriteNext();
        });
  }

  std::shared_ptr<byte_stream> stream_;
  std::shared_ptr<const connection_environment> environment_;
  std::shared_ptr<const http_server_limits> limits_;
  std::function<void()> on_closed_;
  asio::steady_timer receive_timer_;
  asio::steady_timer send_timer_;
  asio::steady_timer comment_timer_;
  std::vector<char> space_;
  std::string input_;
  std::optional<message_parser<true>> parser_;
  /** Of the request that is being received, or answered. */
  std::optional<memory_budget::holding> input_memory_;
  /** Of the input behind the request that is being answered. */
  std::optional<memory_budget::holding> ahead_memory_;
  std::optional<memory_budget::holding> output_memory_;
  std::deque<std::string> output_;
  std::size_t unsent_bytes_ = 0;
  std::chrono::steady_clock::time_point last_sent_{};
  std::function<void()> on_disconnect_;
  std::uint64_t serial_ = 0;
  /** Why no request is taken on this connection. */
  std::optional<error> refusal_;
  /** Read by other threads. */
  std::atomic<steady_time::rep> idle_since_{kNotIdle.count()};
  bool reading_ = false;
  /** The last read was as large as the space for it. */
  bool filled_space_ = false;
  bool writing_ = false;
  bool closes_after_output_ = false;
  bool header_done_ = false;
  bool sent_continue_ = false;
  std::uint64_t receive_timer_serial_ = 0;
  bool answering_ = false;
  bool answer_ended_ = false;
  bool keep_alive_ = true;
  /** The header of the answer says that the connection closes. */
  bool has_announced_close_ = false;
  /** It is idle, and closes unless input comes soon. */
  bool is_closing_if_quiet_ = false;
  bool is_busy_ = false;
  bool draining_ = false;
  bool discarding_ = false;
  /** Input behind the request that is being answered was dropped. */
  bool drops_input_ = false;
  bool closed_ = false;
};

class connection_exchange : public http_exchange {
 public:
  connection_exchange(std::shared_ptr<connection> owner,
                      std::uint64_t serial,
                      http_request request)
      : owner_(std::move(owner)),
        serial_(serial),
        request_(std::move(request)) {}
  // An exchange that is dropped without an answer, for instance because its
  // handler threw an exception, must not leave the caller waiting.
  ~connection_exchange() override { CloseAfterOutput(); }
  connection_exchange(const connection_exchange&) = delete;
  connection_exchange& operator=(const connection_exchange&) = delete;

  const http_request& request() const override { return request_; }

  void Respond(http_response answer) override {
    owner_->PostAnswer(serial_, [answer = std::move(answer)](connection& self) {
      self.SendWhole(answer);
    });
  }

  void StartEvents(http_headers headers) override {
    owner_->PostAnswer(serial_,
                       [headers = std::move(headers)](connection& self) {
                         self.SendStreamHeader(headers, true);
                       });
  }

  void StartChunks(http_headers headers) override {
    owner_->PostAnswer(serial_,
                       [headers = std::move(headers)](connection& self) {
                         self.SendStreamHeader(headers, false);
                       });
  }

  void SendChunk(std::string text) override {
    owner_->PostAnswer(serial_, [text = std::move(text)](connection& self) {
      self.SendChunk(text);
    });
  }

  void SendEvent(const stream_event& event) override {
    owner_->PostAnswer(serial_, [text = FormatEvent(event)](connection& self) {
      self.SendChunk(text);
    });
  }

  void EndStream() override {
    owner_->PostAnswer(serial_, [](connection& self) { self.EndStream(); });
  }

  void Abort() override { CloseAfterOutput(); }

  void SetDisconnectHandler(std::function<void()> handler) override {
    owner_->SetDisconnectHandler(serial_, std::move(handler));
  }

 private:
  void CloseAfterOutput() {
    owner_->PostAnswer(serial_,
                       [](connection& self) { self.CloseAfterOutput(); });
  }

  std::shared_ptr<connection> owner_;
  std::uint64_t serial_;
  http_request request_;
};

void connection::BeginExchange() {
  receive_timer_.cancel();
  if (!input_memory_->Resize(parser_->HeaderCost() + parser_->body().size() +
                             environment_->body_cost(parser_->body()))) {
    RefuseWithoutMemory();
    return;
  }
  http_request request = HeaderOf(*parser_);
  request.body = std::move(parser_->body());
  keep_alive_ = parser_->keep_alive();
  parser_.reset();
  input_memory_->Keep();
  answering_ = true;
  answer_ended_ = false;
  ++serial_;
  UpdateBusy();
  auto exchange = std::make_shared<connection_exchange>(
      shared_from_this(), serial_, std::move(request));
  Parse();
  environment_->on_request(std::move(exchange));
}

}  // namespace

std::shared_ptr<http_connection> MakeHttpConnection(
    std::shared_ptr<byte_stream> stream,
    std::shared_ptr<const connection_environment> environment,
    std::function<void()> on_closed) {
  return std::make_shared<connection>(std::move(stream), std::move(environment),
                                      std::move(on_closed));
}

}  // namespace gentian::detail
