#ifndef GENTIAN_GATEWAY_REQUEST_FINGERPRINT_H_
#define GENTIAN_GATEWAY_REQUEST_FINGERPRINT_H_

#include <string>

namespace gentian {

/** Identifies what a request asks for, whatever its request ID: a caller that
    sends the same again, to any gateway, sends the same fingerprint.

    @param target  path and query
    @param team    empty on routes that need no key
    @returns       16 hexadecimal digits */
std::string RequestFingerprint(const std::string& method,
                               const std::string& target,
                               const std::string& team,
                               const std::string& body);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_REQUEST_FINGERPRINT_H_
