#include "gentian_daemon/peer_exchange.h"

#include <cstdint>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr std::size_t kMinKeyBytes = 32;

peer_link_options LinkOptions(const host_id& host, const std::string& key) {
  peer_link_options options;
  options.name = host.text();
  options.cluster_key = key;
  return options;
}

void LogClosed(const std::string& peer, const std::string& reason) {
  Log(log_level::info, "link to a daemon closed",
      {{"peer", peer}, {"reason", reason}});
}

}  // namespace

peer_exchange::peer_exchange(io_pool& pool,
                             const host_id& host,
                             const std::string& cluster_key,
                             event_sink sink)
    : sink_(std::move(sink)),
      links_(
          pool,
          LinkOptions(host, cluster_key),
          [this](const std::string& from, const std::string& bytes) {
            Receive(from, bytes);
          },
          LogClosed) {}

result<success> peer_exchange::Bind(const std::string& address) {
  return links_.Bind(address);
}

void peer_exchange::SetAddresses(std::map<std::string, std::string> addresses) {
  links_.SetAddresses(std::move(addresses));
}

void peer_exchange::Send(const incarnation& self, const send_to_peer& message) {
  const json envelope{{"from", self},
                      {"message", EncodePeerMessage(message.message)}};
  const std::vector<std::uint8_t> bytes = json::to_cbor(envelope);
  // A message that can not be queued is lost like one on a broken link.
  links_.Send(message.to.text(), std::string(bytes.begin(), bytes.end()));
}

void peer_exchange::Receive(const std::string& from, const std::string& bytes) {
  const json envelope = json::from_cbor(bytes, true, false);
  if (!envelope.is_object() || !envelope.contains("from") ||
      !envelope.contains("message")) {
    LogClosed(from, "a message was not valid CBOR");
    return;
  }
  incarnation sender;
  try {
    sender = envelope["from"].get<incarnation>();
  } catch (const json::exception&) {
    sender = incarnation();
  }
  // A daemon speaks for itself only.
  if (sender.host.text() != from) {
    LogClosed(from, "a message names another sender");
    return;
  }
  result<peer_message> message = DecodePeerMessage(envelope["message"]);
  if (Failed(message)) {
    LogClosed(from, ErrorOf(message).message);
    return;
  }
  sink_(peer_received{sender, std::move(ValueOf(message))});
}

result<std::string> ReadClusterKey(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  std::string key = text.str();
  key.erase(key.find_last_not_of(" \t\r\n") + 1);
  if (!in || key.size() < kMinKeyBytes) {
    return error{error_kind::invalid_settings,
                 "the cluster key file is not readable or too short",
                 "write at least 32 random characters to it, the same on all "
                 "daemons"};
  }
  return key;
}

}  // namespace gentian
