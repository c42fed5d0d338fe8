#ifndef GENTIAN_DAEMON_DAEMON_METRICS_H_
#define GENTIAN_DAEMON_DAEMON_METRICS_H_

#include <map>
#include <string>

#include "gentian_daemon/latency_distribution.h"
#include "gentian_decisions/gentian_decisions.h"

namespace gentian {

/** Latencies and gauges of a daemon, and the page that shows them together
    with the counters of its node. Used from one strand.
*/
class daemon_metrics {
 public:
  /** Adds a latency sample, for example of "model_call". */
  void AddLatency(const std::string& operation, duration value);

  /** Sets a value that can go up and down, for example "engines". */
  void SetGauge(const std::string& name, double value);

  /** The metrics page in the Prometheus text format. */
  std::string ToPrometheus(const counter_set& counters) const;

 private:
  std::map<std::string, latency_distribution> latencies_;
  std::map<std::string, double> gauges_;
};

/** Creates the counter of every refusal reason and retry reason at zero, so
    that a rate over them is defined before the first one happens.
*/
void DeclareReasons(counter_set& counters);

/** The stable name of a target failure, as used in `retried.<name>`. */
const char* NameOf(target_failure failure);

}  // namespace gentian

#endif  // GENTIAN_DAEMON_DAEMON_METRICS_H_
