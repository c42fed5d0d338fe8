#ifndef GENTIAN_GATEWAY_EXPECTED_COMPLETION_H_
#define GENTIAN_GATEWAY_EXPECTED_COMPLETION_H_

#include "gentian_gateway/target_table.h"

namespace gentian {

/** What is known in advance of the work of a request. */
struct request_work {
  /** Units of work; 0 for those of a usual request. */
  double units = 0;
};

/** The mean pace of a host over a time.

    @param pace    that was reported
    @param age     of the report when the time begins
    @param length  of the time; 0 for the pace at its beginning */
double MeanPace(double pace, duration age, duration length);

/** The pace of a target's host now. A report loses its weight with age, so that
    the pace returns to 1, the usual pace. */
double PaceNow(const known_target& target, steady_time now);

/** Requests that a target is expected to hold now: those that it reported,
    towards the usual number as the report ages, and those that this daemon has
    sent since. */
double RequestsAhead(const known_target& target,
                     const service_performance& service,
                     steady_time now);

/** The usual time of a request at a target. */
duration UsualTime(const known_target& target,
                   const service_performance& service,
                   const request_work& work);

/** Time from now until a target is expected to have completed a request: the
    work ahead of it, divided by the target's slots, and its own, at the pace of
    the target. Charges for other costs of a target are added to it. */
duration ExpectedCompletion(const known_target& target,
                            const service_performance& service,
                            const request_work& work,
                            steady_time now);

/** Requests a second that a target serves at the usual pace. */
double CapacityOf(const known_target& target,
                  const service_performance& service);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_EXPECTED_COMPLETION_H_
