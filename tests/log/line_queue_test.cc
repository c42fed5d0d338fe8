#include "gentian_log/line_queue.h"

#include <criterion/criterion.h>

using namespace gentian;
using importance = line_queue::importance;

// Guards against failures that go unlogged because lines of successful requests
// fill the queue.
Test(line_queue, keeps_room_for_essential_lines) {
  line_queue queue(10);
  cr_assert(queue.Add("12345", importance::routine));
  cr_assert(!queue.Add("6", importance::routine));
  cr_assert(queue.Add("67890", importance::essential));
  cr_assert(queue.TakeAll() == "1234567890");
}

// Guards against unbounded memory while the reader is stopped, and against
// dropped lines that aren't counted.
Test(line_queue, counts_lines_beyond_its_bound) {
  line_queue queue(4);
  cr_assert(queue.Add("1234", importance::essential));
  cr_assert(!queue.Add("5", importance::essential));
  cr_assert(!queue.Add("6", importance::routine));
  cr_assert(queue.dropped() == 2);
  queue.TakeAll();
  cr_assert(queue.empty());
  cr_assert(queue.Add("7", importance::routine));
}
