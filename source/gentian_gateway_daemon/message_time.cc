#include "gentian_gateway_daemon/message_time.h"

#include <algorithm>

namespace gentian {

milliseconds ReadMilliseconds(const json& message,
                              const char* name,
                              milliseconds most) {
  return std::clamp(milliseconds(message.at(name).get<milliseconds::rep>()),
                    milliseconds(0), most);
}

milliseconds UnixTimeNow() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace gentian
