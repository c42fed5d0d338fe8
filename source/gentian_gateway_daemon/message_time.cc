#include "gentian_gateway_daemon/message_time.h"

#include <algorithm>

namespace gentian {

milliseconds ReadMilliseconds(const json& message,
                              const char* name,
                              milliseconds most) {
  // Clamped before it is converted: a whole number can't hold each double.
  const double value = message.at(name).get<double>();
  return milliseconds(static_cast<milliseconds::rep>(
      std::clamp(value, 0.0, static_cast<double>(most.count()))));
}

milliseconds UnixTimeNow() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace gentian
