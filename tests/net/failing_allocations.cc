#include "net/failing_allocations.h"

#include <cstdlib>
#include <new>

namespace {

thread_local int failing_allocations = 0;

}  // namespace

void gentian::testing::FailNextAllocations(int count) {
  failing_allocations = count;
}

void* operator new(std::size_t size) {
  if (failing_allocations > 0) {
    --failing_allocations;
    throw std::bad_alloc();
  }
  if (void* place = std::malloc(size)) {
    return place;
  }
  throw std::bad_alloc();
}

void operator delete(void* place) noexcept {
  std::free(place);
}

void operator delete(void* place, std::size_t /*size*/) noexcept {
  std::free(place);
}
