#ifndef GENTIAN_GATEWAY_REQUEST_FINGERPRINT_H_
#define GENTIAN_GATEWAY_REQUEST_FINGERPRINT_H_

#include <string>

namespace gentian {

/** Identifies a request whatever its request ID: what is sent again, to any
    gateway, has the same fingerprints. 16 hexadecimal digits each. */
struct request_fingerprint {
  /** Method, path with query, team and body. */
  std::string content;
  /** The same without the body: bodies may differ by what a program has added
      to its prompt. Equal to `content` for requests without a body, and without
      a team, as callers can't be told apart there. */
  std::string origin;
};

/** @param target  path and query
    @param team    empty on routes that need no key */
request_fingerprint FingerprintOf(const std::string& method,
                                  const std::string& target,
                                  const std::string& team,
                                  const std::string& body);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_REQUEST_FINGERPRINT_H_
