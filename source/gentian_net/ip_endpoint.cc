#include "gentian_net/ip_endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace gentian {

namespace {

error InvalidEndpoint(const std::string& text) {
  return error{error_kind::invalid_settings,
               "'" + text + "' is not an IP address with a port",
               "write it as 127.0.0.1:8080 or [::1]:8080"};
}

}  // namespace

result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return InvalidEndpoint(text);
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return InvalidEndpoint(text);
  }
  boost::system::error_code failure;
  const auto address = boost::asio::ip::make_address(host, failure);
  if (failure) {
    return InvalidEndpoint(text);
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

result<success> BindAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                             const std::string& address) {
  using boost::asio::ip::tcp;
  const auto endpoint = ParseEndpoint(address);
  if (Failed(endpoint)) {
    return ErrorOf(endpoint);
  }
  boost::system::error_code failure;
  acceptor.open(ValueOf(endpoint).protocol(), failure);
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) {
    // Connections that are accepted have it, too.
    boost::system::error_code ignored;
    acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferSize),
        ignored);
    acceptor.bind(ValueOf(endpoint), failure);
  }
  if (!failure) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    // It can be bound again later.
    boost::system::error_code ignored;
    acceptor.close(ignored);
    return error{
        error_kind::unavailable,
        "cannot listen on " + address + ": " + failure.message(),
        "end the process that has it, or choose an address of this host "
        "and a port that is free"};
  }
  return success{};
}

}  // namespace gentian
