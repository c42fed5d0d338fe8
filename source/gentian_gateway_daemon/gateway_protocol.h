#ifndef GENTIAN_GATEWAY_DAEMON_GATEWAY_PROTOCOL_H_
#define GENTIAN_GATEWAY_DAEMON_GATEWAY_PROTOCOL_H_

#include <optional>
#include <string>
#include <vector>

#include "gentian_decisions/kv_operation.h"
#include "gentian_gateway/gentian_gateway.h"
#include "gentian_gateway_daemon/caller_call.h"
#include "gentian_gateway_daemon/refusal.h"
#include "gentian_gateway_daemon/target_answer.h"
#include "gentian_gateway_daemon/target_call.h"
#include "gentian_net/gentian_net.h"

namespace gentian {

/** An operator's request to empty a host before it is taken away. */
struct host_drain_request {
  std::string host;
  /** Key under which the progress is reported. */
  std::string status_key;
};

/** Translates between the gateway and one platform's names and formats.
    Decides nothing. */
class gateway_protocol {
 public:
  virtual ~gateway_protocol() = default;

  /** Reads a caller's request; nothing if it is malformed. */
  virtual std::optional<caller_call> DecodeCall(
      const http_request& request) const = 0;

  /** The header fields of a request as a target gets them. */
  virtual http_headers TargetHeaders(const http_request& request,
                                     const target_call& call) const = 0;

  virtual target_answer DecodeAnswer(int status,
                                     const http_headers& headers) const = 0;

  /** The header fields of a target's answer that are passed on. */
  virtual http_headers AnswerHeaders(const http_headers& headers) const = 0;

  virtual http_response Refuse(const refusal& answer,
                               const std::string& request_id) const = 0;

  /** Key of the operator's configuration. */
  virtual std::string ConfigurationPrefix() const = 0;
  /** Finds the configuration in a listing of ConfigurationPrefix. */
  virtual result<shared_configuration> DecodeConfiguration(
      const kv_entry& entry) const = 0;
  virtual bool IsConfiguration(const kv_entry& entry) const = 0;

  /** Reads an operator's request to empty a host; nothing if the entry of
      ConfigurationPrefix is not one. */
  virtual std::optional<host_drain_request> DecodeDrainRequest(
      const kv_entry& entry) const = 0;
  /** The progress of such a request. */
  virtual std::string DrainStatus(bool completed) const = 0;

  virtual std::string TargetsPrefix() const = 0;
  /** Reads one entry of TargetsPrefix; nothing if it names no target to use. */
  virtual std::optional<target_record> DecodeTarget(
      const kv_entry& entry) const = 0;

  /** Path of the readiness check and of the question for addresses. */
  virtual std::string ReadinessPath() const = 0;
  virtual std::string DirectoryPath() const = 0;
  /** The answer to a caller that asks where to connect. */
  virtual http_response DirectoryAnswer(
      const std::vector<std::string>& addresses,
      milliseconds lifetime) const = 0;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_GATEWAY_PROTOCOL_H_
