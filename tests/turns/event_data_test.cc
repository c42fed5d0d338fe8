#include "gentian_turns/event_data.h"

#include <criterion/criterion.h>

using namespace gentian;

namespace {

std::string DataOf(std::string_view events) {
  std::string data;
  AppendEventData(events, data);
  return data;
}

}  // namespace

// Guards against a history that differs by a byte from what the engine sent.
Test(event_data, is_the_data_of_each_event_and_a_line_feed) {
  cr_assert(DataOf("id: 1\ndata: a b\n\nid: 2\ndata:c\n\n") == "a b\nc\n");
  cr_assert(DataOf("data:  two spaces \n\n") == " two spaces \n");
  cr_assert(DataOf("data: a\r\n\r\ndata: b\r\n\r\n") == "a\nb\n");
}

Test(event_data, lines_of_one_event_are_joined) {
  cr_assert(DataOf("data: a\ndata: b\n\n") == "a\nb\n");
  cr_assert(DataOf("data: a\ndata\n\n") == "a\n\n");
  cr_assert(DataOf("data:\n\n") == "\n");
}

Test(event_data, other_fields_and_comments_have_no_data) {
  cr_assert(DataOf(": keep-alive\n\nevent: x\nid: 4\n\n").empty());
  cr_assert(DataOf("database: x\n\n").empty());
  cr_assert(DataOf("weight-versions: 3\nid: 1\ndata: a\n\n") == "a\n");
}
