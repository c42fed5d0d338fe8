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

/** An operator's request to drain a host before it is removed. */
struct host_drain_request {
  std::string host;
  /** Key that the progress is written to. */
  std::string status_key;
};

/** A caller's question which gateways it may connect to. */
struct directory_query {
  /** Value of the Host header that the caller is going to send. */
  std::string host;
  std::string region;
  std::string failure_domain;
};

/** Translates between the gateway and the names and formats of one platform.
    Makes no decisions. */
class gateway_protocol {
 public:
  virtual ~gateway_protocol() = default;

  /** Decodes a caller's request; nothing if it is malformed. */
  virtual std::optional<caller_call> DecodeCall(
      const http_request& request) const = 0;

  /** The headers of a request as they are sent to a target. */
  virtual http_headers TargetHeaders(const http_request& request,
                                     const target_call& call) const = 0;

  virtual target_answer DecodeAnswer(int status,
                                     const http_headers& headers) const = 0;

  /** The headers of a target's response that are forwarded to the caller. */
  virtual http_headers AnswerHeaders(const http_headers& headers) const = 0;

  virtual http_response Refuse(const refusal& answer,
                               const std::string& request_id) const = 0;

  /** Key of the operator's configuration. */
  virtual std::string ConfigurationPrefix() const = 0;
  /** Finds the configuration in a listing of ConfigurationPrefix. */
  virtual result<shared_configuration> DecodeConfiguration(
      const kv_entry& entry) const = 0;
  virtual bool IsConfiguration(const kv_entry& entry) const = 0;

  /** Key prefix of the operator's drain requests. */
  virtual std::string DrainRequestsPrefix() const = 0;
  /** Decodes a drain request; nothing if the entry is not one. */
  virtual std::optional<host_drain_request> DecodeDrainRequest(
      const kv_entry& entry) const = 0;
  /** Encodes the progress of a drain request. */
  virtual std::string DrainStatus(bool completed) const = 0;

  /** The failure domain that an operator has evacuated; nothing if the entry of
      ConfigurationPrefix is no evacuation. */
  virtual std::optional<std::string> DecodeEvacuation(
      const kv_entry& entry) const = 0;

  virtual std::string TargetsPrefix() const = 0;
  /** Decodes an entry of TargetsPrefix. Any program may have written it; one
      that names no target to use gives the reason. */
  virtual result<target_record> DecodeTarget(const kv_entry& entry) const = 0;

  /** Paths of the readiness check and of the directory of daemon addresses. */
  virtual std::string ReadinessPath() const = 0;
  virtual std::string DirectoryPath() const = 0;
  virtual directory_query DecodeDirectoryQuery(
      const http_request& request) const = 0;
  /** The directory response: where callers may connect, and for how long they
      may cache it. */
  virtual http_response DirectoryAnswer(
      const std::vector<std::string>& addresses,
      milliseconds lifetime) const = 0;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_GATEWAY_PROTOCOL_H_
