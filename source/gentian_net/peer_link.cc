#include "gentian_net/peer_link.h"

#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <utility>

#include "gentian_net/ip_endpoint.h"
#include "gentian_net/link_authenticator.h"
#include "gentian_net/websocket_codec.h"

namespace gentian::detail {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadSize = 64 * 1024;

class link : public peer_link, public std::enable_shared_from_this<link> {
 public:
  link(std::shared_ptr<byte_stream> stream,
       const peer_link_options& options,
       std::string peer_name,
       std::string address,
       handlers events)
      : stream_(std::move(stream)),
        options_(options),
        peer_name_(std::move(peer_name)),
        address_(std::move(address)),
        events_(std::move(events)),
        authenticator_(options.cluster_key, options.name),
        timer_(stream_->executor()) {}

  void Start() override {
    Post([](link& self) { self.StartOnStrand(); });
  }

  bool Send(std::string message) override {
    const std::size_t size = message.size();
    if (queued_bytes_.fetch_add(size) + size > options_.max_queued_bytes) {
      queued_bytes_.fetch_sub(size);
      return false;
    }
    Post([message = std::move(message)](link& self) mutable {
      self.waiting_.push_back(std::move(message));
      self.last_message_ = std::chrono::steady_clock::now();
      self.SendWaiting();
    });
    return true;
  }

  void Stop() override {
    Post([](link& self) { self.Close(""); });
  }

 private:
  // Messages of the handshake that this end still expects.
  enum class phase { hello, challenge, proof, open };

  bool IsClient() const { return !address_.empty(); }

  template <typename Step>
  void Post(Step step) {
    asio::post(stream_->executor(),
               [me = shared_from_this(), step = std::move(step)]() mutable {
                 if (!me->closed_) {
                   step(*me);
                 }
               });
  }

  void StartOnStrand() {
    last_byte_ = std::chrono::steady_clock::now();
    last_message_ = last_byte_;
    ArmTimer();
    if (!IsClient()) {
      OpenCodec();
      return;
    }
    const auto endpoint = ParseEndpoint(address_);
    if (Failed(endpoint)) {
      Close(ErrorOf(endpoint).message);
      return;
    }
    stream_->Connect(ValueOf(endpoint),
                     [me = shared_from_this()](error_code failure) {
                       if (failure) {
                         me->Close("cannot connect: " + failure.message());
                       } else if (!me->closed_) {
                         me->OpenCodec();
                       }
                     });
  }

  void OpenCodec() {
    websocket_codec::handlers events;
    events.write = [this](std::string_view bytes) { Write(bytes); };
    events.on_open = [this] { OnOpen(); };
    events.on_message = [this](bool binary, const std::string& message) {
      OnMessage(binary, message);
    };
    events.on_close = [this] { close_reason_ = "closed by the other end"; };
    phase_ = IsClient() ? phase::challenge : phase::hello;
    codec_ = IsClient() ? MakeWebsocketClient(address_, std::move(events))
                        : MakeWebsocketServer(std::move(events));
    codec_->Start();
    Read();
  }

  void OnOpen() {
    if (IsClient()) {
      codec_->Send(false, authenticator_.Hello());
    }
  }

  void OnMessage(bool binary, const std::string& message) {
    if (binary) {
      // Only the end that was connected to takes messages, and only once the
      // other end has proven that it holds the key.
      if (phase_ == phase::open && !IsClient()) {
        last_message_ = std::chrono::steady_clock::now();
        events_.on_message(authenticator_.peer(), message);
      } else {
        close_reason_ = "a message came before the handshake";
      }
      return;
    }
    switch (phase_) {
      case phase::hello:
        Continue(authenticator_.AnswerHello(message), phase::proof);
        break;
      case phase::challenge:
        Continue(authenticator_.AnswerChallenge(message, peer_name_),
                 phase::open);
        break;
      case phase::proof:
        CheckProof(message);
        break;
      case phase::open:
        break;
    }
  }

  void Continue(const result<std::string>& answer, phase next) {
    if (Failed(answer)) {
      close_reason_ = ErrorOf(answer).message;
      return;
    }
    codec_->Send(false, ValueOf(answer));
    phase_ = next;
    SendWaiting();
  }

  void CheckProof(const std::string& message) {
    const result<success> checked = authenticator_.CheckProof(message);
    if (Failed(checked)) {
      close_reason_ = ErrorOf(checked).message;
      return;
    }
    phase_ = phase::open;
    codec_->TakeLongMessages();
  }

  void SendWaiting() {
    while (phase_ == phase::open && !waiting_.empty()) {
      codec_->Send(true, waiting_.front());
      queued_bytes_.fetch_sub(waiting_.front().size());
      waiting_.pop_front();
    }
  }

  void Read() {
    stream_->ReadSome(
        asio::buffer(space_),
        [me = shared_from_this()](error_code failure, std::size_t size) {
          if (failure) {
            me->Close("connection lost: " + failure.message());
          } else if (!me->closed_) {
            me->OnRead(size);
          }
        });
  }

  void OnRead(std::size_t size) {
    last_byte_ = std::chrono::steady_clock::now();
    codec_->Feed(std::string_view(space_.data(), size));
    // The codec must not be destroyed within its own handlers.
    if (!close_reason_.empty()) {
      Close(close_reason_);
      return;
    }
    Read();
  }

  void Write(std::string_view bytes) {
    queued_bytes_.fetch_add(bytes.size());
    output_.emplace_back(bytes);
    if (!writing_) {
      WriteNext();
    }
  }

  void WriteNext() {
    if (output_.empty() || closed_) {
      return;
    }
    writing_ = true;
    stream_->Write(
        asio::buffer(output_.front()),
        [me = shared_from_this()](error_code failure, std::size_t size) {
          me->writing_ = false;
          me->queued_bytes_.fetch_sub(size);
          if (failure) {
            me->Close("connection lost: " + failure.message());
            return;
          }
          me->output_.pop_front();
          me->WriteNext();
        });
  }

  void ArmTimer() {
    timer_.expires_after(options_.heartbeat);
    timer_.async_wait([me = shared_from_this()](error_code failure) {
      if (!failure && !me->closed_) {
        me->OnTimer();
      }
    });
  }

  void OnTimer() {
    const auto now = std::chrono::steady_clock::now();
    if (now - last_byte_ > options_.silence) {
      Close("the link is silent");
      return;
    }
    if (IsClient() && now - last_message_ > options_.idle) {
      Close("");
      return;
    }
    if (phase_ == phase::open) {
      codec_->SendPing();
    }
    ArmTimer();
  }

  void Close(const std::string& reason) {
    if (closed_) {
      return;
    }
    closed_ = true;
    timer_.cancel();
    stream_->Close();
    const handlers events = std::move(events_);
    events.on_closed(reason);
  }

  std::shared_ptr<byte_stream> stream_;
  peer_link_options options_;
  std::string peer_name_;
  std::string address_;
  handlers events_;
  link_authenticator authenticator_;
  asio::steady_timer timer_;
  std::unique_ptr<websocket_codec> codec_;
  std::array<char, kReadSize> space_{};
  std::deque<std::string> waiting_;
  std::deque<std::string> output_;
  std::atomic<std::size_t> queued_bytes_{0};
  steady_time last_byte_;
  steady_time last_message_;
  std::string close_reason_;
  phase phase_ = phase::hello;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace

std::shared_ptr<peer_link> MakeOutgoingLink(std::shared_ptr<byte_stream> stream,
                                            const peer_link_options& options,
                                            const std::string& peer_name,
                                            const std::string& address,
                                            peer_link::handlers events) {
  return std::make_shared<link>(std::move(stream), options, peer_name, address,
                                std::move(events));
}

std::shared_ptr<peer_link> MakeIncomingLink(std::shared_ptr<byte_stream> stream,
                                            const peer_link_options& options,
                                            peer_link::handlers events) {
  return std::make_shared<link>(std::move(stream), options, "", "",
                                std::move(events));
}

}  // namespace gentian::detail
