#include "gentian_net/http_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <sstream>
#include <utility>

#include "gentian_net/connection_cache.h"
#include "gentian_net/ip_endpoint.h"
#include "gentian_net/message_parser.h"
#include "gentian_net/server_probe.h"
#include "gentian_net/tunnel_frames.h"
#include "gentian_net/tunnel_server.h"

namespace gentian {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using detail::byte_stream;
using detail::kFramedTunnelRequest;
using detail::kMaxTunnelLine;
using detail::kTunnelOpen;
using detail::kTunnelUnreachable;
using detail::kUnframedTunnelRequest;

struct http_client::state {
  explicit state(io_pool& pool)
      : context(pool.context()), memory(pool.message_memory()) {}

  std::shared_ptr<byte_stream> NewStream() {
    return detail::MakeByteStream(
        asio::ip::tcp::socket(asio::make_strand(context)),
        tls ? tls->current() : nullptr);
  }

  asio::io_context& context;
  memory_budget& memory;
  std::shared_ptr<tls_context> tls;
  detail::connection_cache cache;
};

namespace {

constexpr std::size_t kReadSize = 16 * 1024;
// Answers to other requests on one connection before it counts as broken.
constexpr int kMaxForeignAnswers = 4;
// Bounds of one of them.
constexpr std::size_t kMaxForeignBytes = 1024 * 1024;
constexpr milliseconds kForeignLimit{500};
// Bounds of the rest of an answer that is read only to keep its connection.
constexpr std::size_t kMaxDiscardedBytes = 64 * 1024;
constexpr milliseconds kDiscardLimit{250};
// Interim answers (1xx) to one request before it counts as broken.
constexpr int kMaxInterimAnswers = 16;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
// Larger bodies are written without a copy, after the header.
constexpr std::size_t kMaxJoinedBody = 16 * 1024;

const std::string& BodyOf(const http_client_request& request) {
  return request.shared_body ? *request.shared_body : request.body;
}

// The header of a request, and its body unless that is written by itself.
std::string RequestText(const http_client_request& request) {
  http::request<http::empty_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(http::field::host, request.address);
  for (const auto& [name, value] : request.headers.fields()) {
    if (beast::iequals(name, "Host")) {
      message.set(http::field::host, value);
    } else {
      message.insert(name, value);
    }
  }
  message.keep_alive(request.reuse_connection);
  const std::string& body = BodyOf(request);
  if (body.empty()) {
    message.prepare_payload();
  } else {
    message.content_length(body.size());
  }
  std::ostringstream text;
  text << message;
  if (body.size() <= kMaxJoinedBody) {
    text << body;
  }
  return text.str();
}

template <typename State>
class client_call : public http_call,
                    public std::enable_shared_from_this<client_call<State>> {
 public:
  /** @param deadline     when the request fails
      @param sent_before  it was sent on another connection already */
  client_call(std::shared_ptr<State> owner,
              http_client_request request,
              http_client_handlers handlers,
              steady_time deadline,
              bool sent_before)
      : owner_(std::move(owner)),
        request_(std::move(request)),
        handlers_(std::move(handlers)),
        deadline_(deadline),
        sent_before_(sent_before) {}

  void Start() {
    const auto endpoint = ParseEndpoint(
        request_.tunnel.empty() ? request_.address : request_.tunnel);
    if (!Failed(endpoint)) {
      endpoint_ = ValueOf(endpoint);
    }
    text_ = RequestText(request_);
    if (request_.reuse_connection) {
      stream_ = owner_->cache.Take(CacheKey());
    }
    reused_ = stream_ != nullptr;
    if (!stream_) {
      stream_ = owner_->NewStream();
    }
    memory_.emplace(owner_->memory, [weak = this->weak_from_this()] {
      if (const auto me = weak.lock()) {
        asio::post(me->stream_->executor(), [me] { me->FailWithoutMemory(); });
      }
    });
    deadline_timer_.emplace(stream_->executor());
    silence_timer_.emplace(stream_->executor());
    asio::post(stream_->executor(),
               [me = this->shared_from_this()] { me->StartOnStrand(); });
  }

  void CloseAfterAnswer() override {
    if (again_) {
      again_->CloseAfterAnswer();
      return;
    }
    keeps_connection_ = false;
    if (ended_) {
      // It is kept already; a closed one is not taken for another request.
      stream_->Close();
    }
  }

  void Discard() override {
    if (again_) {
      again_->Discard();
      return;
    }
    is_discarded_ = true;
    ArmDeadlineTimer(
        std::min(deadline_, std::chrono::steady_clock::now() + kDiscardLimit));
  }

  void Cancel() override {
    asio::post(stream_->executor(), [me = this->shared_from_this()] {
      if (me->again_) {
        me->again_->Cancel();
      } else if (!me->ended_) {
        me->End();
        me->stream_->Close();
      }
    });
  }

 private:
  void StartOnStrand() {
    if (ended_) {
      return;
    }
    if (!endpoint_) {
      Fail(http_failure::not_sent, "the address is not valid");
      return;
    }
    ArmDeadlineTimer(deadline_);
    if (reused_) {
      SendRequest();
    } else {
      Connect();
    }
  }

  void ArmDeadlineTimer(steady_time deadline) {
    deadline_timer_->expires_at(deadline);
    deadline_timer_->async_wait(
        [me = this->shared_from_this()](error_code failure) {
          if (!failure) {
            me->Fail(me->sent_ || me->sent_before_ ? http_failure::deadline
                                                   : http_failure::not_sent,
                     "the deadline passed");
          }
        });
  }

  void Connect() {
    if (request_.connect_limit.count() > 0) {
      silence_timer_->expires_after(request_.connect_limit);
      silence_timer_->async_wait(
          [me = this->shared_from_this()](error_code failure) {
            if (!failure && !me->sent_) {
              me->Fail(me->Unsent(), "the connection took too long");
            }
          });
    }
    stream_->Connect(*endpoint_,
                     [me = this->shared_from_this()](error_code failure) {
                       if (me->FailedBeforeSending(failure)) {
                         return;
                       }
                       me->Handshake();
                     });
  }

  void Handshake() {
    stream_->Handshake(false,
                       [me = this->shared_from_this()](error_code failure) {
                         if (me->FailedBeforeSending(failure)) {
                           return;
                         }
                         if (me->request_.tunnel.empty()) {
                           me->SendRequest();
                         } else {
                           me->OpenTunnel();
                         }
                       });
  }

  void OpenTunnel() {
    tunnel_line_ =
        (IsFramed() ? kFramedTunnelRequest : kUnframedTunnelRequest) +
        request_.tunnel_name + "\n";
    stream_->Write(
        asio::buffer(tunnel_line_),
        [me = this->shared_from_this()](error_code failure, std::size_t) {
          if (!me->FailedBeforeSending(failure)) {
            me->tunnel_line_.clear();
            me->ReadTunnelLine();
          }
        });
  }

  void ReadTunnelLine() {
    stream_->ReadSome(
        asio::buffer(space_),
        [me = this->shared_from_this()](error_code failure, std::size_t size) {
          if (!me->FailedBeforeSending(failure)) {
            me->OnTunnelLine(size);
          }
        });
  }

  void OnTunnelLine(std::size_t size) {
    tunnel_line_.append(space_.data(), size);
    if (tunnel_line_ == kTunnelOpen) {
      SendRequest();
    } else if (tunnel_line_.find('\n') == std::string::npos &&
               tunnel_line_.size() < kMaxTunnelLine) {
      ReadTunnelLine();
    } else {
      Fail(tunnel_line_ == kTunnelUnreachable ? http_failure::not_sent
                                              : http_failure::no_tunnel,
           "the tunnel was not opened: " + tunnel_line_);
    }
  }

  // How a failure counts before the request is sent.
  http_failure Unsent() const {
    return request_.tunnel.empty() ? http_failure::not_sent
                                   : http_failure::no_tunnel;
  }

  bool IsFramed() const {
    return !request_.tunnel.empty() && !request_.is_tunnel_unframed;
  }

  std::string CacheKey() const {
    return request_.address + " " + request_.tunnel +
           (IsFramed() ? " framed" : "");
  }

  bool FailedBeforeSending(error_code failure) {
    if (failure && !ended_) {
      Fail(Unsent(), failure.message());
    }
    return ended_;
  }

  void SendRequest() {
    if (!reused_ && handlers_.is_wanted && !handlers_.is_wanted()) {
      Fail(http_failure::not_wanted, "the connection took too long");
      return;
    }
    sent_ = true;
    StartAnswer();
    silence_timer_->cancel();
    ArmSilenceTimer();
    stream_->Write(asio::buffer(text_), [me = this->shared_from_this()](
                                            error_code failure, std::size_t) {
      const std::string& body = BodyOf(me->request_);
      if (failure || me->ended_ || body.size() <= kMaxJoinedBody) {
        me->OnWritten(failure);
        return;
      }
      me->stream_->Write(asio::buffer(body),
                         [me](error_code body_failure, std::size_t) {
                           me->OnWritten(body_failure);
                         });
    });
    Read();
  }

  void StartAnswer() {
    parser_.emplace(request_.max_header_bytes, request_.max_body_bytes);
    if (request_.method == "HEAD") {
      parser_->skip(true);
    }
    header_read_ = false;
    header_bytes_ = 0;
    is_foreign_ = false;
  }

  // A server may answer and close before it has read everything, so a failed
  // write is reported by the read.
  void OnWritten(error_code failure) { written_ = !failure; }

  void ArmSilenceTimer() {
    if (request_.silence.count() == 0) {
      return;
    }
    silence_timer_->expires_after(request_.silence);
    silence_timer_->async_wait(
        [me = this->shared_from_this()](error_code failure) {
          if (!failure) {
            me->Fail(http_failure::silent, "no byte came for too long");
          }
        });
  }

  void Read() {
    if (frames_.HasEnded()) {
      asio::post(stream_->executor(), [me = this->shared_from_this()] {
        if (!me->ended_) {
          me->OnReadFailed(asio::error::eof);
        }
      });
      return;
    }
    stream_->ReadSome(
        asio::buffer(space_),
        [me = this->shared_from_this()](error_code failure, std::size_t size) {
          if (!me->ended_) {
            me->OnRead(failure, size);
          }
        });
  }

  void OnRead(error_code failure, std::size_t size) {
    if (failure) {
      OnReadFailed(failure);
      return;
    }
    ArmSilenceTimer();
    const std::string_view bytes(space_.data(), size);
    if (IsFramed()) {
      input_ += frames_.Feed(bytes);
    } else {
      input_ += bytes;
    }
    Parse();
  }

  void Parse() {
    error_code parse_failure;
    parser_->Feed(input_, parse_failure);
    if (parse_failure && parse_failure != http::error::need_more) {
      Fail(http_failure::broken, parse_failure.message());
      return;
    }
    Deliver();
  }

  // True if the server, and not only a tunnel to it, has closed in order.
  bool IsServerEnd(error_code failure) const {
    return failure == asio::error::eof &&
           (request_.tunnel.empty() || frames_.HasEnded());
  }

  void OnReadFailed(error_code failure) {
    error_code finish_failure;
    if (parser_->is_header_done() && IsServerEnd(failure)) {
      // An answer without a length ends with the connection.
      parser_->put_eof(finish_failure);
      if (!finish_failure && parser_->is_done()) {
        ends_with_connection_ = true;
        Deliver();
        return;
      }
    }
    if (reused_ && request_.method == "GET" && !request_.send_once &&
        !parser_->got_some()) {
      RetryOnNewConnection();
      return;
    }
    Fail(http_failure::broken, failure.message());
  }

  void RetryOnNewConnection() {
    // The timers stay on the strand of the old connection; a fresh call keeps
    // everything on one strand.
    End();
    stream_->Close();
    request_.reuse_connection = false;
    again_ = std::make_shared<client_call>(owner_, request_, handlers_,
                                           deadline_, true);
    again_->Start();
  }

  void Deliver() {
    if (!parser_->is_header_done()) {
      if (CountMemory()) {
        Read();
      } else {
        FailWithoutMemory();
      }
      return;
    }
    if (parser_->status() == kSwitchingProtocols) {
      // No request asks for it.
      Fail(http_failure::broken, "the server switched protocols");
      return;
    }
    if (parser_->status() < kFirstFinalStatus) {
      AwaitAnswerAfterInterim();
      return;
    }
    if (!header_read_) {
      header_read_ = true;
      header_bytes_ = parser_->HeaderCost();
      if (!CountMemory()) {
        FailWithoutMemory();
        return;
      }
      DeliverHeader();
    }
    std::string& body = parser_->body();
    if (!body.empty() && !ended_) {
      const std::string part = std::move(body);
      body.clear();
      if (is_discarded_ || is_foreign_) {
        discarded_bytes_ += part.size();
      } else if (handlers_.on_body) {
        handlers_.on_body(part);
      }
    }
    if (!ended_ && !CountMemory()) {
      FailWithoutMemory();
    }
    if (!ended_ && discarded_bytes_ >
                       (is_foreign_ ? kMaxForeignBytes : kMaxDiscardedBytes)) {
      Fail(http_failure::broken, "the answer is too long");
    }
    if (ended_) {
      return;
    }
    if (!parser_->is_done()) {
      Read();
      return;
    }
    if (is_foreign_) {
      AwaitNextAnswer();
    } else if (ends_with_connection_ && request_.confirm_end &&
               request_.tunnel.empty() && !is_discarded_) {
      ConfirmEnd();
    } else {
      Complete();
    }
  }

  // False if the answer has to be given up.
  bool CountMemory() {
    const std::size_t received = handlers_.held ? handlers_.held() : 0;
    return memory_->Resize(input_.capacity() + parser_->HeldBytes() +
                           header_bytes_ + received);
  }

  // The new connection serves the next request.
  void ConfirmEnd() {
    keeps_connection_ = false;
    stream_->Close();
    silence_timer_->cancel();
    detail::ProbeServer(
        stream_->executor(), *endpoint_,
        [me = this->shared_from_this()](detail::server_state state,
                                        std::shared_ptr<byte_stream> next) {
          me->OnEndConfirmed(state, std::move(next));
        });
  }

  void OnEndConfirmed(detail::server_state state,
                      std::shared_ptr<byte_stream> next) {
    if (ended_) {
      return;
    }
    if (state == detail::server_state::ended) {
      Fail(http_failure::broken, "the server ended with its answer");
      return;
    }
    if (next && request_.reuse_connection && !owner_->tls) {
      owner_->cache.Put(CacheKey(), std::move(next));
    }
    Complete();
  }

  void AwaitAnswerAfterInterim() {
    if (++interim_answers_ > kMaxInterimAnswers) {
      Fail(http_failure::broken, "too many interim answers came");
      return;
    }
    StartAnswer();
    if (input_.empty()) {
      Read();
    } else {
      Parse();
    }
  }

  void AwaitNextAnswer() {
    if (++foreign_answers_ > kMaxForeignAnswers) {
      Fail(http_failure::broken, "answers to other requests came");
      return;
    }
    StartAnswer();
    discarded_bytes_ = 0;
    ArmDeadlineTimer(deadline_);
    if (input_.empty()) {
      Read();
    } else {
      Parse();
    }
  }

  void DeliverHeader() {
    const http_headers headers = parser_->Headers();
    const int status = parser_->status();
    const bool is_first = !reused_ && foreign_answers_ == 0;
    is_foreign_ =
        handlers_.is_own && !handlers_.is_own(status, headers, is_first);
    if (is_foreign_) {
      ArmDeadlineTimer(std::min(
          deadline_, std::chrono::steady_clock::now() + kForeignLimit));
    }
    if (handlers_.on_header && !is_foreign_) {
      handlers_.on_header(status, headers);
    }
  }

  void Complete() {
    End();
    // Kept before on_end runs, so that the next request finds it. After an
    // answer that came before the whole request was written, the server still
    // reads the rest of that request.
    if (request_.reuse_connection && parser_->keep_alive() &&
        keeps_connection_ && input_.empty() && written_ &&
        foreign_answers_ == 0 && !frames_.HasEnded() &&
        frames_.IsBetweenFrames()) {
      owner_->cache.Put(CacheKey(), stream_,
                        detail::KeepAliveTime(parser_->Find("Keep-Alive")));
    } else {
      stream_->Close();
    }
    if (!is_discarded_) {
      handlers_.on_end();
    }
  }

  void FailWithoutMemory() {
    Fail(http_failure::no_memory, "the answer takes too much memory");
  }

  void Fail(http_failure failure, const std::string& message) {
    if (ended_) {
      return;
    }
    End();
    stream_->Close();
    if (is_discarded_) {
      return;
    }
    // The server may have run what was sent on the other connection.
    const bool was_sent = (failure == http_failure::not_sent ||
                           failure == http_failure::not_wanted ||
                           failure == http_failure::no_tunnel) &&
                          sent_before_;
    handlers_.on_failure(was_sent ? http_failure::broken : failure, message);
  }

  void End() {
    ended_ = true;
    memory_->Resize(0);
    deadline_timer_->cancel();
    silence_timer_->cancel();
  }

  std::shared_ptr<State> owner_;
  http_client_request request_;
  http_client_handlers handlers_;
  steady_time deadline_;
  bool sent_before_;
  /** The same request on a new connection. */
  std::shared_ptr<client_call> again_;
  std::optional<asio::ip::tcp::endpoint> endpoint_;
  std::string text_;
  std::string tunnel_line_;
  std::shared_ptr<byte_stream> stream_;
  std::optional<memory_budget::holding> memory_;
  std::optional<asio::steady_timer> deadline_timer_;
  std::optional<asio::steady_timer> silence_timer_;
  std::array<char, kReadSize> space_{};
  std::string input_;
  /** Used for a tunnel whose server sends frames. */
  detail::tunnel_frame_reader frames_;
  std::optional<detail::message_parser<false>> parser_;
  bool reused_ = false;
  bool sent_ = false;
  bool written_ = false;
  bool keeps_connection_ = true;
  bool ends_with_connection_ = false;
  bool header_read_ = false;
  /** Memory of the fields of the header. */
  std::size_t header_bytes_ = 0;
  /** The answer that is being read belongs to another request. */
  bool is_foreign_ = false;
  int foreign_answers_ = 0;
  int interim_answers_ = 0;
  /** The caller takes no more of the answer. */
  bool is_discarded_ = false;
  /** Of an answer whose body nobody takes. */
  std::size_t discarded_bytes_ = 0;
  bool ended_ = false;
};

}  // namespace

http_client::http_client(io_pool& pool, std::shared_ptr<tls_context> tls)
    : state_(std::make_shared<state>(pool)) {
  state_->tls = std::move(tls);
}

http_client::~http_client() {
  state_->cache.Clear();
}

std::shared_ptr<http_call> http_client::Send(http_client_request request,
                                             http_client_handlers handlers) {
  const steady_time deadline =
      std::chrono::steady_clock::now() + request.deadline;
  auto call = std::make_shared<client_call<state>>(
      state_, std::move(request), std::move(handlers), deadline, false);
  call->Start();
  return call;
}

std::shared_ptr<http_call> http_client::Fetch(
    http_client_request request,
    std::function<void(http_response)> on_answer,
    std::function<void(http_failure, const std::string&)> on_failure) {
  auto answer = std::make_shared<http_response>();
  http_client_handlers handlers;
  handlers.on_header = [answer](int status, const http_headers& headers) {
    answer->status = status;
    answer->headers = headers;
  };
  handlers.on_body = [answer](std::string_view bytes) {
    answer->body += bytes;
  };
  handlers.held = [answer] { return answer->body.capacity(); };
  handlers.on_end = [answer, on_answer = std::move(on_answer)] {
    on_answer(std::move(*answer));
  };
  handlers.on_failure = std::move(on_failure);
  return Send(std::move(request), std::move(handlers));
}

}  // namespace gentian
