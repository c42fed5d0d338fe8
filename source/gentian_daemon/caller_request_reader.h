#ifndef GENTIAN_DAEMON_CALLER_REQUEST_READER_H_
#define GENTIAN_DAEMON_CALLER_REQUEST_READER_H_

#include <string>

#include "gentian_decisions/caller_operation.h"
#include "gentian_net/http_message.h"

namespace gentian {

/** A caller's HTTP request in typed form. */
struct parsed_request {
  std::string key;
  caller_operation operation;
  /** True if the answer goes out as server-sent events. */
  bool streams = false;
  /** Position of the call in its session; 0 if it is not known yet. */
  std::uint64_t call = 0;
};

/** Reads a request of the callers' interface (design page, section 6). */
result<parsed_request> ReadCallerRequest(const http_request& request);

}  // namespace gentian

#endif  // GENTIAN_DAEMON_CALLER_REQUEST_READER_H_
