#ifndef GENTIAN_GATEWAY_COLD_PERIOD_H_
#define GENTIAN_GATEWAY_COLD_PERIOD_H_

#include <optional>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/cold_limit.h"

namespace gentian {

/** Until when a target is cold, from its record and its answers, and the rate
    at which it takes requests meanwhile. After the cold time, the rate doubles
    each second for two seconds, and then there is no limit.

    Has no effect without the limit of a service.
*/
class cold_period {
 public:
  /** Sets the limit of the target's service. */
  void SetLimit(const cold_limit& limit) { limit_ = limit; }

  /** Learns what a new version of the target's record says.

      A value that is longer than the longest cold time counts as that time.
      Further values of that kind don't begin a new cold time.

      @param left     time for which the target stays cold; 0 if it is warm
      @param read_at  when the record was read
      @returns        false if the value is malformed */
  bool OnRecord(milliseconds left, steady_time read_at);

  /** As OnRecord, for an answer. The longer of both applies, since a record may
      have been written before the answer. */
  bool OnAnswer(milliseconds left, steady_time answered_at);

  /** Requests per second that the target takes from all gateways together;
      nothing for no limit. */
  std::optional<double> Rate(steady_time now) const;

  /** Time for which the target stays cold; 0 if it is warm. */
  duration TimeLeft(steady_time now) const;

  bool IsCold(steady_time now) const { return TimeLeft(now) > duration(0); }

  /** Time whose requests may be sent at once after a pause. */
  duration burst() const { return limit_.burst; }

 private:
  struct statement {
    milliseconds left{0};
    steady_time at;
  };

  bool Learn(std::optional<statement>& known,
             milliseconds left,
             steady_time at) const;
  bool IsMalformed(milliseconds left) const;
  steady_time EndOf(const statement& known) const;
  /** Nothing if the target was never said to be cold. */
  std::optional<steady_time> End() const;

  cold_limit limit_;
  std::optional<statement> record_;
  std::optional<statement> answer_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_COLD_PERIOD_H_
