#include "gentian_net/connection_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <utility>

#include "gentian_net/ip_endpoint.h"

namespace gentian {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

struct probe {
  explicit probe(const asio::strand<asio::io_context::executor_type>& strand)
      : socket(strand), timer(strand) {}

  void Finish(bool connected) {
    error_code ignored;
    timer.cancel();
    socket.close(ignored);
    if (const auto once = std::exchange(handler, nullptr)) {
      once(connected);
    }
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::function<void(bool)> handler;
};

}  // namespace

void ProbeConnection(io_pool& pool,
                     const std::string& address,
                     milliseconds limit,
                     std::function<void(bool)> handler) {
  const auto strand = asio::make_strand(pool.context());
  const auto subject = std::make_shared<probe>(strand);
  subject->handler = std::move(handler);
  const auto endpoint = ParseEndpoint(address);
  asio::post(strand, [subject, endpoint, limit] {
    if (Failed(endpoint)) {
      subject->Finish(false);
      return;
    }
    subject->timer.expires_after(limit);
    subject->timer.async_wait([subject](error_code failure) {
      if (!failure) {
        subject->Finish(false);
      }
    });
    subject->socket.async_connect(
        ValueOf(endpoint),
        [subject](error_code failure) { subject->Finish(!failure); });
  });
}

}  // namespace gentian
