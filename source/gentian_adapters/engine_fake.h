#ifndef GENTIAN_ADAPTERS_ENGINE_FAKE_H_
#define GENTIAN_ADAPTERS_ENGINE_FAKE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "gentian_net/http_server.h"

namespace gentian {

/** Behaviour of a fake engine. */
struct engine_fake_options {
  std::string name = "engine";
  /** Calls that generate at once; others wait in the order of arrival. */
  std::size_t slots = 8;
  /** Time for one token of every running call. */
  milliseconds token_interval{10};
  std::uint64_t cache_tokens = 100'000;
  /** Refuses control requests with an old fencing token. */
  bool checks_fencing = true;
};

/** A model engine in memory: batches, caches prefixes, streams, resumes and
    cancels. It speaks the engine protocol of the design page, section 6.1.

    One word counts as one token. The answer repeats the last message; a
    prompt that contains `words=N` gets N words.
*/
class engine_fake {
 public:
  engine_fake(io_pool& pool, const engine_fake_options& options);
  ~engine_fake();
  engine_fake(const engine_fake&) = delete;
  engine_fake& operator=(const engine_fake&) = delete;

  /** Answers one request; the handler of an http_server. */
  void Serve(const std::shared_ptr<http_exchange>& exchange);

  /** Calls that were started, resumed ones not counted again. */
  std::uint64_t started() const;

  /** True if some request carried the text in its target, headers or body. */
  bool HasSeen(const std::string& text) const;

 private:
  struct state;
  std::shared_ptr<state> state_;
  std::unique_ptr<periodic_timer> timer_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_ENGINE_FAKE_H_
