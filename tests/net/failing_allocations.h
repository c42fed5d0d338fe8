#ifndef TESTS_NET_FAILING_ALLOCATIONS_H_
#define TESTS_NET_FAILING_ALLOCATIONS_H_

namespace gentian::testing {

/** Makes the next allocations of this thread fail. */
void FailNextAllocations(int count);

}  // namespace gentian::testing

#endif  // TESTS_NET_FAILING_ALLOCATIONS_H_
