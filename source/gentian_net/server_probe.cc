#include "gentian_net/server_probe.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace gentian::detail {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Time to connect to a server that may have ended with its answer. Within a
// region, a connection or its refusal takes a few milliseconds.
constexpr milliseconds kProbeLimit{250};

}  // namespace

void ProbeServer(
    const asio::any_io_executor& executor,
    const asio::ip::tcp::endpoint& server,
    std::function<void(server_state, std::shared_ptr<byte_stream>)> on_done) {
  const auto connection =
      MakeByteStream(asio::ip::tcp::socket(executor), nullptr);
  const auto timer = std::make_shared<asio::steady_timer>(executor);
  timer->expires_after(kProbeLimit);
  timer->async_wait([connection](error_code failure) {
    if (!failure) {
      connection->Close();
    }
  });
  connection->Connect(server, [connection, timer, on_done = std::move(on_done)](
                                  error_code failure) {
    timer->cancel();
    if (!failure) {
      on_done(server_state::runs, connection);
    } else {
      on_done(failure == asio::error::connection_refused
                  ? server_state::ended
                  : server_state::unknown,
              nullptr);
    }
  });
}

}  // namespace gentian::detail
