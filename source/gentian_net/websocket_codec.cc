#include "gentian_net/websocket_codec.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace gentian::detail {

namespace {

// A copy of the sessions of a shard is the largest message.
constexpr std::size_t kMaxMessageBytes = 64 * 1024 * 1024;
// Of an end that has not proven who it is.
constexpr std::size_t kMaxFirstBytes = 4 * 1024;

// websocketpp's byte-oriented transport: the socket, its strand and its timers
// stay with the owner, as for HTTP.
using server_endpoint = websocketpp::server<websocketpp::config::core>;
using client_endpoint = websocketpp::client<websocketpp::config::core_client>;

template <typename Endpoint>
class codec : public websocket_codec {
 public:
  using connection_ptr = typename Endpoint::connection_ptr;
  using message_ptr = typename Endpoint::message_ptr;

  codec(const std::string& address, handlers events)
      : events_(std::move(events)) {
    endpoint_.clear_access_channels(websocketpp::log::alevel::all);
    endpoint_.clear_error_channels(websocketpp::log::elevel::all);
    endpoint_.set_max_message_size(kMaxFirstBytes);
    if constexpr (std::is_same_v<Endpoint, client_endpoint>) {
      websocketpp::lib::error_code failure;
      connection_ = endpoint_.get_connection("ws://" + address + "/", failure);
    } else {
      connection_ = endpoint_.get_connection();
    }
    SetHandlers();
  }

  ~codec() override {
    // Handlers refer to this object.
    connection_->set_write_handler(nullptr);
    connection_->set_open_handler(nullptr);
    connection_->set_message_handler(nullptr);
    connection_->set_close_handler(nullptr);
    connection_->set_fail_handler(nullptr);
    connection_->fatal_error();
  }

  void Start() override {
    if constexpr (std::is_same_v<Endpoint, client_endpoint>) {
      endpoint_.connect(connection_);
    } else {
      connection_->start();
    }
  }

  void Feed(std::string_view bytes) override {
    connection_->read_all(bytes.data(), bytes.size());
  }

  void Send(bool binary, std::string_view message) override {
    // A message on a closing connection is dropped; on_close follows.
    websocketpp::lib::error_code ignored =
        connection_->send(message.data(), message.size(),
                          binary ? websocketpp::frame::opcode::binary
                                 : websocketpp::frame::opcode::text);
    static_cast<void>(ignored);
  }

  void TakeLongMessages() override {
    connection_->set_max_message_size(kMaxMessageBytes);
  }

  void SendPing() override {
    websocketpp::lib::error_code ignored;
    connection_->ping("", ignored);
  }

 private:
  void SetHandlers() {
    using websocketpp::connection_hdl;
    connection_->set_write_handler(
        [this](const connection_hdl&, const char* bytes, std::size_t size) {
          events_.write(std::string_view(bytes, size));
          return websocketpp::lib::error_code();
        });
    connection_->set_open_handler(
        [this](const connection_hdl&) { events_.on_open(); });
    connection_->set_message_handler(
        [this](const connection_hdl&, const message_ptr& message) {
          events_.on_message(
              message->get_opcode() == websocketpp::frame::opcode::binary,
              message->get_payload());
        });
    connection_->set_close_handler(
        [this](const connection_hdl&) { events_.on_close(); });
    connection_->set_fail_handler(
        [this](const connection_hdl&) { events_.on_close(); });
  }

  handlers events_;
  Endpoint endpoint_;
  connection_ptr connection_;
};

}  // namespace

std::unique_ptr<websocket_codec> MakeWebsocketClient(
    const std::string& address,
    websocket_codec::handlers events) {
  return std::make_unique<codec<client_endpoint>>(address, std::move(events));
}

std::unique_ptr<websocket_codec> MakeWebsocketServer(
    websocket_codec::handlers events) {
  return std::make_unique<codec<server_endpoint>>("", std::move(events));
}

}  // namespace gentian::detail
