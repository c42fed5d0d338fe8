#include "gentian_gateway_daemon/message_time.h"

#include <algorithm>

namespace gentian {

milliseconds ReadMilliseconds(const json& message,
                              const char* name,
                              milliseconds most) {
  return std::clamp(milliseconds(message.at(name).get<milliseconds::rep>()),
                    milliseconds(0), most);
}

}  // namespace gentian
