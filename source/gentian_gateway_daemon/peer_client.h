#ifndef GENTIAN_GATEWAY_DAEMON_PEER_CLIENT_H_
#define GENTIAN_GATEWAY_DAEMON_PEER_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gentian_net/gentian_net.h"

namespace gentian {

/** Sends requests to other daemons and remembers which are unreachable. */
class peer_client {
 public:
  /** How long an unreachable daemon is avoided. A daemon that has failed leaves
      the member list by itself. */
  static constexpr milliseconds kAvoidDuration{2'000};

  /** Bounds one request. */
  struct timeouts {
    milliseconds request;
    milliseconds connect;
    /** Longest time without a byte of the answer; 0 for no such limit. */
    milliseconds silence{0};
  };

  peer_client(http_client& client, timeouts times)
      : client_(client), timeouts_(times) {}

  /** Posts a body.

      @param address  `ip:port`
      @returns        handle to cancel the request */
  std::shared_ptr<http_call> Post(
      const std::string& address,
      const char* path,
      std::string body,
      std::function<void(http_response)> on_answer,
      std::function<void(http_failure, const std::string&)> on_failure);

  /** Posts a JSON body. */
  std::shared_ptr<http_call> Post(
      const std::string& address,
      const char* path,
      const json& body,
      std::function<void(http_response)> on_answer,
      std::function<void(http_failure, const std::string&)> on_failure);

  /** Avoids a daemon for kAvoidDuration. */
  void Avoid(const std::string& address);

  bool IsAvoided(const std::string& address) const;

 private:
  http_client& client_;
  timeouts timeouts_;
  std::map<std::string, steady_time> avoided_until_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_PEER_CLIENT_H_
