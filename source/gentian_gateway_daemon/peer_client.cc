#include "gentian_gateway_daemon/peer_client.h"

#include <utility>

namespace gentian {

std::shared_ptr<http_call> peer_client::Post(
    const std::string& address,
    const char* path,
    std::string body,
    std::function<void(http_response)> on_answer,
    std::function<void(http_failure, const std::string&)> on_failure) {
  http_client_request request;
  request.address = address;
  request.method = "POST";
  request.target = path;
  request.body = std::move(body);
  request.deadline = timeouts_.request;
  request.connect_limit = timeouts_.connect;
  request.silence = timeouts_.silence;
  request.reuse_connection = true;
  return client_.Fetch(std::move(request), std::move(on_answer),
                       std::move(on_failure));
}

std::shared_ptr<http_call> peer_client::Post(
    const std::string& address,
    const char* path,
    const json& body,
    std::function<void(http_response)> on_answer,
    std::function<void(http_failure, const std::string&)> on_failure) {
  return Post(address, path, body.dump(), std::move(on_answer),
              std::move(on_failure));
}

void peer_client::Avoid(const std::string& address) {
  avoided_until_[address] = BootTimeNow() + kAvoidDuration;
}

bool peer_client::IsAvoided(const std::string& address) const {
  const auto found = avoided_until_.find(address);
  return found != avoided_until_.end() && BootTimeNow() < found->second;
}

}  // namespace gentian
