// Tests that a process that waits for its pool goes on whatever happens there.
#include "gentian_app/pool_call.h"

#include <criterion/criterion.h>

#include <new>
#include <string>

using namespace gentian;

namespace {

struct unknown_failure {};

}  // namespace

Test(pool_call, returns_the_result) {
  io_pool pool(1);
  cr_assert(RunOnPool(pool, [] { return 3; }) == 3);
}

// Guards against a process that neither starts nor ends, because the pool's
// thread had no memory left to say why it failed.
Test(pool_call, passes_on_any_exception, .timeout = 10) {
  io_pool pool(1, [](const std::string& /*reason*/) {});
  cr_assert_throw(RunOnPool(pool, []() -> int { throw std::bad_alloc(); }),
                  std::bad_alloc);
  cr_assert_throw(RunOnPool(pool, []() -> int { throw unknown_failure(); }),
                  unknown_failure);
}
