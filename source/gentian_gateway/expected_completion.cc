#include "gentian_gateway/expected_completion.h"

#include <algorithm>
#include <cmath>

namespace gentian {

namespace {

// The pace changes several times a second. A change each 0.6 s leaves a report
// true for 0.3 s on average.
constexpr milliseconds kPaceRetention{300};
// Time constant with which the number of requests returns to the usual one, in
// times of a request, and its least value.
constexpr double kRequestRetention = 2;
constexpr milliseconds kMinRequestRetention{200};
// While no request of the service has ended.
constexpr milliseconds kUnknownTime{100};

double Weight(duration age, duration retention) {
  return age.count() <= 0 ? 1.0
                          : std::exp(-ToSeconds(age) / ToSeconds(retention));
}

}  // namespace

double MeanPace(double pace, duration age, duration length) {
  const double weight = Weight(age, kPaceRetention);
  const double times = ToSeconds(length) / ToSeconds(kPaceRetention);
  const double mean = times > 0 ? -std::expm1(-times) / times : 1;
  return 1 + (pace - 1) * weight * mean;
}

double PaceNow(const known_target& target, steady_time now) {
  return target.load && target.load->pace
             ? MeanPace(*target.load->pace, now - target.load->at, duration(0))
             : 1;
}

duration UsualTime(const known_target& target,
                   const service_performance& service,
                   const request_work& work) {
  const duration unit = target.performance.UnitTime(service.median_unit_time);
  const double units = work.units > 0 ? work.units : service.units_per_request;
  const duration time = FromSeconds(ToSeconds(unit) * units);
  return time.count() > 0 ? time : duration(kUnknownTime);
}

double RequestsAhead(const known_target& target,
                     const service_performance& service,
                     steady_time now) {
  const double usual = target.performance.UsualRequests(
      service.requests_per_slot * std::max(1, target.record.slots));
  double requests = usual;
  if (target.load) {
    const double reported = target.load->running + target.load->waiting;
    const duration usual_time = UsualTime(target, service, {});
    const duration retention = std::max<duration>(
        kMinRequestRetention,
        FromSeconds(kRequestRetention * ToSeconds(usual_time)));
    const double weight = Weight(now - target.load->at, retention);
    requests =
        usual + (reported - usual) * weight + target.sent_since_report * weight;
  }
  return std::max<double>(requests, target.open_requests);
}

duration ExpectedCompletion(const known_target& target,
                            const service_performance& service,
                            const request_work& work,
                            steady_time now) {
  const double usual = ToSeconds(UsualTime(target, service, {}));
  const double own = ToSeconds(UsualTime(target, service, work));
  const double ahead = RequestsAhead(target, service, now) /
                       std::max(1, target.record.slots) * usual;
  const duration time = FromSeconds(ahead + own);
  if (!target.load || !target.load->pace) {
    return time;
  }
  return FromSeconds(ToSeconds(time) *
                     MeanPace(*target.load->pace, now - target.load->at, time));
}

double CapacityOf(const known_target& target,
                  const service_performance& service) {
  return std::max(1, target.record.slots) /
         ToSeconds(UsualTime(target, service, {}));
}

}  // namespace gentian
