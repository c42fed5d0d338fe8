#ifndef GENTIAN_ADAPTERS_HOST_LIST_FAKE_H_
#define GENTIAN_ADAPTERS_HOST_LIST_FAKE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "gentian_adapters/host_list.h"
#include "gentian_net/http_server.h"

namespace gentian {

/** A host list in memory, also servable over HTTP. Thread-safe. */
class host_list_fake : public host_list {
 public:
  /** Adds a host or changes its state. */
  void Set(const std::string& name, bool leaving);

  void Read(answer_handler handler) override;

  /** Answers `GET /hosts`, and `PUT /hosts/NAME` with a state for tests. */
  void Serve(const std::shared_ptr<http_exchange>& exchange);

 private:
  std::mutex mutex_;
  std::map<std::string, bool> leaving_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_HOST_LIST_FAKE_H_
