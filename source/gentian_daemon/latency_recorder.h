#ifndef GENTIAN_DAEMON_LATENCY_RECORDER_H_
#define GENTIAN_DAEMON_LATENCY_RECORDER_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "gentian_daemon/daemon_metrics.h"

namespace gentian {

/** Measures callers' requests from their arrival to the first event and to the
    end of the answer, and counts requests that are refused before they reach
    the node. Thread-safe.
*/
class latency_recorder {
 public:
  /** A request arrived, or its caller is gone. Other events are ignored. */
  void Observe(const event& input, steady_time now);

  /** A part of an answer is sent. */
  void Observe(const reply_to_caller& reply, steady_time now);

  /** A request was refused without asking the node. */
  void CountRefusal(error_kind kind);

  /** A request was refused before it had come as a whole.

      @param counter  name of what is counted */
  void CountUnread(const std::string& counter);

  /** The metrics page.

      @param node_counters  counters of the node
      @param gauges         values that can go up and down, by name
  */
  std::string ToPrometheus(const counter_set& node_counters,
                           const std::map<std::string, double>& gauges);

 private:
  struct open_request {
    std::string operation;
    steady_time since;
    bool has_events = false;
  };

  std::mutex mutex_;
  daemon_metrics metrics_;
  counter_set refusals_;
  std::unordered_map<request_id, open_request> open_;
};

}  // namespace gentian

#endif  // GENTIAN_DAEMON_LATENCY_RECORDER_H_
