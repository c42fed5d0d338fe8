#include "gentian_gateway/cold_period.h"

#include <algorithm>
#include <cmath>

namespace gentian {

namespace {

// Time after the cold time in which the rate doubles each second.
constexpr milliseconds kRampTime{2'000};
// Bounds a time that no configuration bounds yet, so that it can be added to a
// time of the clock.
constexpr milliseconds kMostTime{3'600'000};

}  // namespace

bool cold_period::OnRecord(milliseconds left, steady_time read_at) {
  return Learn(record_, left, read_at);
}

bool cold_period::OnAnswer(milliseconds left, steady_time answered_at) {
  return Learn(answer_, left, answered_at);
}

bool cold_period::Learn(std::optional<statement>& known,
                        milliseconds left,
                        steady_time at) const {
  const bool is_malformed = IsMalformed(left);
  if (is_malformed && known && IsMalformed(known->left)) {
    return false;
  }
  // A target that was already warm keeps the end of its cold time, from which
  // the rate rises.
  if (is_malformed || left.count() > 0 || (known && EndOf(*known) > at)) {
    known = {left, at};
  } else if (known && IsMalformed(known->left)) {
    // A later malformed value begins a new cold time.
    known = {milliseconds(0), EndOf(*known)};
  }
  return !is_malformed;
}

bool cold_period::IsMalformed(milliseconds left) const {
  return left.count() < 0 || left == milliseconds::max() ||
         (limit_.IsSet() && left > limit_.max_time);
}

steady_time cold_period::EndOf(const statement& known) const {
  return known.at + (IsMalformed(known.left) ? limit_.max_time
                                             : std::min(known.left, kMostTime));
}

std::optional<steady_time> cold_period::End() const {
  std::optional<steady_time> end;
  for (const std::optional<statement>* known : {&record_, &answer_}) {
    if (known->has_value()) {
      end = std::max(end.value_or(steady_time::min()), EndOf(**known));
    }
  }
  return end;
}

std::optional<double> cold_period::Rate(steady_time now) const {
  if (!limit_.IsSet()) {
    return std::nullopt;
  }
  const std::optional<steady_time> end = End();
  if (!end || now >= *end + kRampTime) {
    return std::nullopt;
  }
  return now <= *end ? limit_.rate
                     : limit_.rate * std::exp2(ToSeconds(now - *end));
}

duration cold_period::TimeLeft(steady_time now) const {
  const std::optional<steady_time> end = End();
  return limit_.IsSet() && end ? std::max(duration(0), *end - now)
                               : duration(0);
}

}  // namespace gentian
