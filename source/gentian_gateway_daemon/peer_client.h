#ifndef GENTIAN_GATEWAY_DAEMON_PEER_CLIENT_H_
#define GENTIAN_GATEWAY_DAEMON_PEER_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gentian_net/gentian_net.h"

namespace gentian {

/** Sends requests to other daemons, and remembers which did not answer. */
class peer_client {
 public:
  /** Time for which a daemon that did not answer is not asked. The members'
      list drops it if it is gone. */
  static constexpr milliseconds kAvoidedFor{2'000};

  /** Times for one request. */
  struct limits {
    milliseconds deadline;
    milliseconds connect_limit;
  };

  peer_client(http_client& client, limits times)
      : client_(client), times_(times) {}

  /** Posts a JSON body.

      @param address  `ip:port`
      @returns        to cancel it */
  std::shared_ptr<http_call> Post(
      const std::string& address,
      const char* path,
      const json& body,
      std::function<void(http_response)> on_answer,
      std::function<void(http_failure, const std::string&)> on_failure);

  /** Notes that a daemon did not answer. */
  void Avoid(const std::string& address);

  bool IsAvoided(const std::string& address) const;

 private:
  http_client& client_;
  limits times_;
  std::map<std::string, steady_time> avoided_until_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_PEER_CLIENT_H_
