#ifndef GENTIAN_BENCH_ENGINE_FAKE_H_
#define GENTIAN_BENCH_ENGINE_FAKE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <vector>

#include "gentian_decisions/gentian_decisions.h"
#include "virtual_clock.h"

namespace gentian::bench {

/** What a call asks of a target. */
struct target_work {
  session_id session;
  double prompt_tokens = 0;
  double generated_tokens = 0;
  /** Service time at a tool service. */
  double service_ms = 0;
};

/** A model engine with continuous batching and a prefix cache, or a tool
    service with a fixed service time.

    Prompts are computed one after the other; each generated token takes
    longer the more calls are in the batch, and longer while a prompt is being
    computed. Calls beyond the slots wait in order of arrival. The cache drops
    the least recently used sessions.
*/
class engine_fake {
 public:
  /** Called at the end of a call; `ok` is false if the engine was lost. */
  using completion = std::function<void(bool ok, const call_usage& usage)>;
  using cache_listener = std::function<void(const target_cache_event&)>;

  static constexpr double kPrefillTokensPerMs = 6;
  static constexpr double kDecodeMs = 18;
  static constexpr double kDecodeMsPerCall = 0.9;
  /** Part of the decoding speed left while a prompt is computed. */
  static constexpr double kDecodeDuringPrefill = 0.6;

  engine_fake(target_settings settings,
              bool is_tool,
              virtual_clock& clock,
              cache_listener listener)
      : settings_(std::move(settings)),
        is_tool_(is_tool),
        clock_(clock),
        listener_(std::move(listener)) {}

  /** Takes a call. */
  void Start(target_work work, completion done);

  /** Loses all calls and the cache and refuses calls until Recover. */
  void Lose();
  void Recover() { lost_ = false; }
  bool lost() const { return lost_; }

  /** The load at this moment. */
  target_load Load() const;

  /** Tokens that the cache holds for a session. */
  double Cached(const session_id& session) const;
  void ReleaseCache(const session_id& session);
  void StoreCache(const session_id& session, double tokens);
  target_cache_listing Listing() const;

  const target_settings& settings() const { return settings_; }

  /** Average part of the slots that was busy. */
  double Utilization() const;

 private:
  struct running {
    target_work work;
    completion done;
    double cached = 0;
    double prefill_left = 0;
    double decode_left = 0;
  };
  struct cached_prefix {
    double tokens = 0;
    std::list<session_id>::iterator position;
  };

  void Admit();
  void Advance();
  void Schedule();
  void Complete();
  double TokenMs(bool prefilling) const;
  void Notify(target_cache_event::change kind,
              const session_id& session,
              double tokens);
  void Evict();

  target_settings settings_;
  bool is_tool_;
  virtual_clock& clock_;
  cache_listener listener_;
  std::list<running> running_;
  std::deque<running> queue_;
  double updated_ms_ = 0;
  double busy_ms_ = 0;
  std::uint64_t wakeup_ = 0;
  bool lost_ = false;
  std::map<session_id, cached_prefix> cache_;
  std::list<session_id> least_recent_;
  double cache_used_ = 0;
  std::uint64_t event_number_ = 0;
};

}  // namespace gentian::bench

#endif  // GENTIAN_BENCH_ENGINE_FAKE_H_
