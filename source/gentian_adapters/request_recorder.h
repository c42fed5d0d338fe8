#ifndef GENTIAN_ADAPTERS_REQUEST_RECORDER_H_
#define GENTIAN_ADAPTERS_REQUEST_RECORDER_H_

#include <string>
#include <vector>

#include "gentian_net/http_message.h"

namespace gentian {

/** Keeps the requests that a fake received, so that tests can check what
    reached it. Not thread-safe.
*/
class request_recorder {
 public:
  /** Keeps a request. Later ones are dropped once it is full. */
  void Add(const http_request& request);

  /** True if a request carried the text in its target, headers or body. */
  bool HasSeen(const std::string& text) const;

 private:
  std::vector<std::string> requests_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_REQUEST_RECORDER_H_
