#ifndef TESTS_FAULT_MATRIX_WORLD_LOG_H_
#define TESTS_FAULT_MATRIX_WORLD_LOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gentian_decisions/gentian_decisions.h"

namespace gentian::fault_matrix {

/** One run of a call at a target, as the target sees it. */
struct execution {
  steady_time start;
  steady_time end;
  target_id target;
  std::string path;
  /** `<session tag>/<step>`, as the caller wrote it into the body. */
  std::string marker;
  session_id session;
  std::string idempotency_key;
  std::uint64_t generated_tokens = 0;
  bool leaving = false;
  /** Everything that the target was sent. */
  std::string sent;
};

/** One request of a caller with a marker. */
struct submission {
  steady_time at;
  std::string marker;
  std::string team;
  bool repeatable = false;
};

/** A final answer or an error that a caller received. */
struct conclusion {
  steady_time at;
  std::string marker;
  bool answered = false;
  error failure;
  /** Text of the answer. */
  std::string text;
  /** Text that the caller expects. */
  std::string expected;
  /** Streamed parts by event id. */
  std::map<std::uint64_t, std::string> events;
};

/** A session as its caller knows it. */
struct known_session {
  std::string tag;
  std::string team;
  bool ended = false;
  bool finished = false;
  /** Nothing more was expected because its key had been withdrawn. */
  bool key_withdrawn = false;
  std::uint64_t call_limit = 0;
  /** The reason if the caller gave up. */
  std::string trouble;
};

/** A history that a caller has read. */
struct read_back {
  std::string tag;
  std::string text;
  /** Markers of calls that were answered before, in order. */
  std::vector<std::string> answered;
};

/** A heartbeat's statement of the version in force. */
struct version_seen {
  steady_time at;
  incarnation daemon;
  int process = 0;
  std::uint64_t version = 0;
};

/** Everything that the outside of the system has observed in one run. */
struct world_log {
  std::vector<execution> executions;
  std::vector<submission> submissions;
  std::vector<conclusion> conclusions;
  std::map<std::string, known_session> sessions;
  std::vector<read_back> histories;
  std::vector<version_seen> versions;
  /** Versions that an operator was told are accepted, and when. */
  std::map<std::uint64_t, steady_time> accepted;
  /** Two operators were told that the same version is theirs. */
  int doubly_accepted = 0;
  /** Team and time at which an operator's withdrawal was given. */
  std::map<std::string, steady_time> withdrawn;
  /** Answers to requests with a withdrawn key, sent 5 s after it. */
  int served_after_withdrawal = 0;
  /** Requests that were cut off by a planned stop. */
  std::vector<std::string> cut_off;
  /** Planned stops that were started and completed. */
  int stops_started = 0;
  int stops_completed = 0;
  /** Times at which targets were announced as leaving. */
  std::map<target_id, steady_time> leaving;
  /** Sessions whose cache an engine still holds at the end. */
  std::map<target_id, std::set<std::string>> held;
  /** Another team's session was served. */
  int foreign_served = 0;
  /** Messages that could not be decoded. */
  int undecodable = 0;
  steady_time begin;
  steady_time end;
  /** All faults are over at this time. */
  steady_time healed;
};

}  // namespace gentian::fault_matrix

#endif  // TESTS_FAULT_MATRIX_WORLD_LOG_H_
