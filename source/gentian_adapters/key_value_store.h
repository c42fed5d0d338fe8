#ifndef GENTIAN_ADAPTERS_KEY_VALUE_STORE_H_
#define GENTIAN_ADAPTERS_KEY_VALUE_STORE_H_

#include <functional>

#include "gentian_decisions/kv_operation.h"

namespace gentian {

/** The platform's key-value service. */
class key_value_store {
 public:
  /** Receives the answer of one call. */
  using answer_handler = std::function<void(kv_answer)>;

  virtual ~key_value_store() = default;

  /** Starts a call. The handler runs exactly once, also when no answer comes
      before the deadline (kv_answer::status::no_answer).
  */
  virtual void Call(const kv_operation& operation,
                    milliseconds deadline,
                    answer_handler handler) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_KEY_VALUE_STORE_H_
