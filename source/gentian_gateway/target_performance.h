#ifndef GENTIAN_GATEWAY_TARGET_PERFORMANCE_H_
#define GENTIAN_GATEWAY_TARGET_PERFORMANCE_H_

#include "gentian_core/gentian_core.h"

namespace gentian {

/** What this daemon has learned of one start of a target: the time that its
    work usually takes, and how many requests it usually holds.

    Work is counted in units: the events of a stream, or one whole request of a
    plain service.
*/
class target_performance {
 public:
  /** Adds a measurement.

      @param unit_time  time of one unit of work, at the usual pace */
  void AddUnitTime(duration unit_time);

  /** Adds the number of requests that the target reported. */
  void AddRequests(int requests);

  /** The usual time of one unit. A target with few samples counts as one of
      average speed.

      @param median  of the targets of its service; 0 if it is not known */
  duration UnitTime(duration median) const;

  /** True if there are enough samples to tell the target's speed. */
  bool IsLearned() const;

  /** Requests that it usually holds.

      @param mean  of the targets of its service */
  double UsualRequests(double mean) const;

 private:
  int unit_samples_ = 0;
  double unit_s_ = 0;
  int request_samples_ = 0;
  double requests_ = 0;
};

/** The work of one request that a target has completed. */
struct work_sample {
  duration taken{};
  /** Events of a stream, or 1 for a whole request of a plain service. */
  double units = 1;
  /** `taken` includes the time that the request waited for a slot. */
  bool includes_wait = true;
};

/** What this daemon has learned of the targets of one service together. */
struct service_performance {
  /** A target reports its pace. Only then targets are chosen by the expected
      completion. */
  bool reports_pace = false;
  /** Median time of one unit of work; 0 if no target's is known. */
  duration median_unit_time{0};
  /** Units of a usual request. */
  double units_per_request = 0;
  /** Requests that a target usually holds, for each of its slots. */
  double requests_per_slot = 0;
  /** Most requests a second that one target can serve. */
  double greatest_capacity = 0;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_TARGET_PERFORMANCE_H_
