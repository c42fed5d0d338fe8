#ifndef GENTIAN_LOG_REQUEST_HISTORY_H_
#define GENTIAN_LOG_REQUEST_HISTORY_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What the processes logged of one request or program, in time order, and what
    they believed meanwhile.
*/
class request_history {
 public:
  /** One log line. */
  struct step {
    /** Since the epoch. */
    milliseconds at{0};
    std::string host;
    std::string message;
    /** The line names the request or program; otherwise it tells what its host
        believed at that time. */
    bool names_id = false;
    /** The other fields of the line, without those that say nothing. */
    json fields;
  };

  /** @param id  of a request or a program, as the log names it */
  explicit request_history(std::string id) : id_(std::move(id)) {}

  /** Reads lines of one or more processes. Text before the JSON object of a
     line and lines without one are passed over. */
  void Read(std::istream& lines);

  /** The steps in time order: those that name the id, and those of the hosts
     and targets involved from shortly before the first to shortly after the
     last of them. Empty if no line names the id. */
  std::vector<step> Steps() const;

  /** The outcome of the last request that ended; empty if none did. */
  std::string Outcome() const;

  /** What an outcome means for the caller, and where to look next. */
  static std::string MeaningOf(const std::string& outcome);

  /** Lines that were read but are not JSON objects of this log. */
  std::size_t unreadable() const { return unreadable_; }

 private:
  std::string id_;
  std::vector<step> matching_;
  std::vector<step> host_events_;
  std::size_t unreadable_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_LOG_REQUEST_HISTORY_H_
