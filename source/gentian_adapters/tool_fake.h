#ifndef GENTIAN_ADAPTERS_TOOL_FAKE_H_
#define GENTIAN_ADAPTERS_TOOL_FAKE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "gentian_adapters/request_recorder.h"
#include "gentian_net/http_server.h"

namespace gentian {

/** A tool service in memory. It executes whatever it is sent, also twice, so
    that tests can count executions. Thread-safe.

    The body `{"delay_ms": N}` delays the answer; `{"reject": true}` is
    rejected before execution.
*/
class tool_fake {
 public:
  explicit tool_fake(io_pool& pool) : pool_(pool) {}

  /** Answers one request; the handler of an http_server. `GET /executions`
      shows how often each idempotency key was executed.
  */
  void Serve(const std::shared_ptr<http_exchange>& exchange);

  /** Executions with an idempotency key. */
  std::uint64_t Executions(const std::string& key) const;

  /** Executions with any key. */
  std::uint64_t TotalExecutions() const;

  /** True if some request carried the text in its target, headers or body. */
  bool HasSeen(const std::string& text) const;

 private:
  void Execute(const std::shared_ptr<http_exchange>& exchange);
  json Report() const;

  io_pool& pool_;
  mutable std::mutex mutex_;
  std::uint64_t total_ = 0;
  std::map<std::string, std::uint64_t> by_key_;
  request_recorder seen_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_TOOL_FAKE_H_
