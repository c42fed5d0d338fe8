#ifndef GENTIAN_DAEMON_CREDENTIAL_FILTER_H_
#define GENTIAN_DAEMON_CREDENTIAL_FILTER_H_

#include <string>

#include "gentian_net/http_message.h"

namespace gentian {

/** What remains of a request once every key has been taken out. */
struct filtered_request {
  /** The key that the caller presented, empty if none. */
  std::string key;
  /** Path and query without parameters that carry a key. */
  std::string target;
  /** Without Authorization, X-Api-Key and cookies. */
  http_headers headers;
  /** Null if the request has no body. */
  json body;
};

/** Takes keys out of a request: credential headers, cookies, query parameters
    and body fields, and the presented key wherever else it occurs.

    Only `Authorization: Bearer` and `X-Api-Key` authenticate. Keys in other
    places are removed all the same, because targets may log them.
*/
result<filtered_request> FilterCredentials(const http_request& request);

/** Decodes %XX in a URL part. */
std::string PercentDecode(const std::string& text);

}  // namespace gentian

#endif  // GENTIAN_DAEMON_CREDENTIAL_FILTER_H_
