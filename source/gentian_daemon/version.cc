#include "gentian_daemon/version.h"

namespace gentian {

std::string Version() {
  return GENTIAN_VERSION;
}

}  // namespace gentian
