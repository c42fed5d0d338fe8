#ifndef GENTIAN_ADAPTERS_HOST_LIST_H_
#define GENTIAN_ADAPTERS_HOST_LIST_H_

#include <functional>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_decisions/target_report.h"

namespace gentian {

/** The platform's list of live and leaving hosts. */
class host_list {
 public:
  /** Receives the list, or why it could not be read. */
  using answer_handler =
      std::function<void(result<std::vector<host_list_entry>>)>;

  virtual ~host_list() = default;

  /** Reads the list. The handler runs exactly once. */
  virtual void Read(answer_handler handler) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_HOST_LIST_H_
