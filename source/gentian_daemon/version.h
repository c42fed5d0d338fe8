#ifndef GENTIAN_DAEMON_VERSION_H_
#define GENTIAN_DAEMON_VERSION_H_

#include <string>

namespace gentian {

/** The version of this build, for example "0.1.0". */
std::string Version();

}  // namespace gentian

#endif  // GENTIAN_DAEMON_VERSION_H_
