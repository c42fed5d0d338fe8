#include <criterion/criterion.h>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

// Guards against an event that is passed on before it is complete, and against
// bytes that are changed on the way.
Test(event_splitter, passes_whole_events_on_byte_for_byte) {
  const std::string stream =
      "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\n\n: note\n\n";
  for (std::size_t size = 1; size < stream.size(); ++size) {
    event_splitter splitter;
    std::string passed;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      passed += splitter.Feed(stream.substr(at, size)).bytes;
    }
    cr_assert(passed == stream);
    cr_assert(splitter.partial_event().empty());
    cr_assert(splitter.last_id() == "2");
  }
}

// Guards against a corrupted stream: the partial event of a broken stream was
// sent before the events of the run that resumed it.
Test(event_splitter, drops_a_partial_event_before_a_stream_goes_on) {
  event_splitter splitter;
  std::string passed = splitter.Feed("id: 1\ndata: a\n\nid: 2\nda").bytes;
  splitter.DiscardPartialEvent();
  passed += splitter.Feed("id: 2\ndata: b\n\n").bytes;
  cr_assert(passed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against an identifier that is taken from an incomplete event.
Test(event_splitter, resumes_after_the_last_complete_event) {
  event_splitter splitter;
  splitter.Feed("id: 7\r\ndata: a\r\n\r\nid: 8\r\n");
  cr_assert(splitter.last_id() == "7");
}

// Guards against bytes without end that are no events and fill the memory.
Test(event_splitter, notices_an_event_without_end) {
  event_splitter subject;
  const std::string part(64 * 1024, 'x');
  std::size_t fed = 0;
  while (!subject.IsOverflowing()) {
    cr_assert(subject.Feed(part).events == 0);
    fed += part.size();
    cr_assert(fed <= event_splitter::kMaxEventBytes + part.size());
  }
  subject.DiscardPartialEvent();
  cr_assert(!subject.IsOverflowing());
}

// Guards against an event that comes twice, or out of order, because a target
// repeats it or begins its stream anew.
Test(event_splitter, notices_events_out_of_order) {
  const std::string first = "id: 1\ndata: a\n\n";
  const std::string second = "id: 2\ndata: b\n\n";
  const std::string third = "id: 10\ndata: c\n\n";
  event_splitter sound;
  cr_assert(sound.Feed(first + second + third).events == 3);
  cr_assert(!sound.IsOutOfOrder());
  const std::string both = first + second;
  for (const std::string& repeated : {first, second}) {
    event_splitter subject;
    std::string text = both;
    text += repeated;
    text += third;
    const event_splitter::chunk part = subject.Feed(text);
    cr_assert(part.bytes == both && part.events == 2);
    cr_assert(subject.IsOutOfOrder());
    // The stream goes on at another run.
    subject.DiscardPartialEvent();
    cr_assert(subject.Feed(third).bytes == third && !subject.IsOutOfOrder());
  }
  event_splitter resumed;
  resumed.SetLastId("2");
  cr_assert(resumed.Feed(first).events == 0 && resumed.IsOutOfOrder());
  event_splitter names;
  cr_assert(names.Feed("id: b\ndata: x\n\nid: a\ndata: x\n\n").events == 2);
  names.Feed("id: a\ndata: x\n\n");
  cr_assert(names.IsOutOfOrder());
}

// Guards against an event that comes twice because it had no identifier after
// which its stream could go on.
Test(event_splitter, tells_whether_a_stream_can_go_on) {
  event_splitter subject;
  cr_assert(subject.IsResumable());
  subject.Feed("id: 1\ndata: a\n\n");
  cr_assert(subject.IsResumable());
  subject.Feed(": comment\n\n");
  cr_assert(subject.IsResumable());
  for (const char* unnamed : {"data: b\n\n", "id:\ndata: b\n\n"}) {
    subject.Feed(unnamed);
    cr_assert(!subject.IsResumable());
    cr_assert(subject.last_id() == "1");
  }
  subject.Feed("id: 3\ndata: c\n\n");
  cr_assert(subject.IsResumable());
}
