#ifndef GENTIAN_GATEWAY_DAEMON_CALLER_CALL_H_
#define GENTIAN_GATEWAY_DAEMON_CALLER_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** The part of a prompt that requests of several programs have in common. */
struct shared_prompt {
  /** Empty if the request names no shared part. */
  std::string id;
  std::int64_t tokens = 0;
};

/** The decoded metadata of a caller's request. */
struct caller_call {
  std::string request_id;
  std::string host;
  std::string path;
  /** The key as sent; empty if there is none. Never logged. */
  std::string key;
  /** Time until the caller's deadline. */
  std::optional<milliseconds> time_left;
  /** The program that the request belongs to; empty if it has none. */
  std::string program;
  /** Tokens that all turns of the program may generate; nothing if the request
      is not a turn. */
  std::optional<std::int64_t> token_budget;
  /** Tokens that this request generates at most. */
  std::int64_t max_output_tokens = 0;
  /** Tokens of the prompt; 0 if the request doesn't say. */
  std::int64_t prompt_tokens = 0;
  shared_prompt prompt;
  /** Time until the whole program should be finished. */
  std::optional<milliseconds> finish_within;
  /** Request ID of the turn that this one continues from; empty if there is
      none. */
  std::string previous_turn;
  /** Names the object that the request concerns; empty if it names none. */
  std::string object;
  /** Identifier of the last event that the caller got of a resumed stream. */
  std::string last_event_id;
  /** Request ID of the attempt that brought the first event of a resumed
      stream; empty if the caller names none. */
  std::string resumed_request;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_CALLER_CALL_H_
