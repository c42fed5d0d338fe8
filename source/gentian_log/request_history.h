#ifndef GENTIAN_LOG_REQUEST_HISTORY_H_
#define GENTIAN_LOG_REQUEST_HISTORY_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Timeline of one request or program, assembled from the logs of several
    processes, with the host events that may have affected it (changes of
    members, of targets or of the connection to the key-value service).
*/
class request_history {
 public:
  /** One log line. */
  struct step {
    /** Time since the Unix epoch. */
    milliseconds at{0};
    std::string host;
    std::string message;
    /** Whether the line names the request or program, or is a host event. */
    bool names_id = false;
    /** The remaining fields of the line, without null, empty and -1 values. */
    json fields;
  };

  /** @param id  request id or program id as it appears in the log */
  explicit request_history(std::string id) : id_(std::move(id)) {}

  /** Reads the log of one or more processes. Skips text before the JSON object
      of a line, such as a prefix that a log collector adds; counts lines
      without an object as unreadable. */
  void Read(std::istream& lines);

  /** Lines that name the id, and events of the hosts and targets involved, from
      10 s before the first of these lines to 2 s after the last, in time order.
      Empty if no line names the id. */
  std::vector<step> Steps() const;

  /** Outcome of the request that ended last; empty if none has ended. */
  std::string Outcome() const;

  /** Explains an outcome for an operator: whether the request may have run, and
      where to look next. Empty for an unknown outcome. */
  static std::string MeaningOf(const std::string& outcome);

  /** Number of non-empty lines that are not JSON objects with a time. */
  std::size_t unreadable() const { return unreadable_; }

 private:
  std::string id_;
  std::vector<step> matching_;
  std::vector<step> host_events_;
  std::size_t unreadable_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_REQUEST_HISTORY_H_
