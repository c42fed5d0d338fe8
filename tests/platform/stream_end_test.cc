// Tests how a stream ends: with a length, with chunks or with its connection,
// whole or broken off, and what comes after a part of it.
#include <criterion/criterion.h>

#include <atomic>
#include <functional>
#include <future>
#include <vector>

#include "platform/gateway_fixture.h"
#include "support/scripted_target.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::gateway_fixture;
using gentian::testing::Receive;
using gentian::testing::scripted_target;
using gentian::testing::WaitFor;

using step = scripted_target::step;
using ending = scripted_target::ending;
using answer = gentian::testing::received_answer;

namespace {

constexpr const char* kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr const char* kRest = "id: 2\ndata: b\n\n";

enum class framing { length, chunks, connection };

std::string Head(const std::string& request,
                 const std::string& status = "200",
                 bool is_signed = true,
                 const char* type = "text/event-stream") {
  return "HTTP/1.1 " + status + " x\r\nRequest-Id: " +
         scripted_target::FieldOf(request, "Request-Id") + "\r\n" +
         (is_signed ? "Response-Seal: seal\r\n" : "") +
         "Content-Type: " + type + "\r\n";
}

step Stream(const std::string& request, const std::string& text, framing form) {
  switch (form) {
    case framing::length:
      return {Head(request) + "Content-Length: " + std::to_string(text.size()) +
              "\r\n\r\n" + text};
    case framing::chunks: {
      std::string chunks = Head(request) + "Transfer-Encoding: chunked\r\n\r\n";
      for (const char next : text) {
        chunks += std::string("1\r\n") + next + "\r\n";
      }
      return {chunks + "0\r\n\r\n"};
    }
    case framing::connection:
      return {Head(request) + "\r\n" + text, ending::close};
  }
  return {};
}

/** A gateway whose only target for the service "s" is a scripted one. */
class stream_ends {
 public:
  explicit stream_ends(scripted_target::script answers)
      : target(std::move(answers)),
        gateway([](const std::shared_ptr<http_exchange>& exchange, int) {
          fake_target::RespondSealed(exchange, "");
        }) {
    gateway.store.Remove("servers/i-1");
    gateway.RegisterTarget("scripted", target.address(), "v1");
    cr_assert(WaitFor([this] {
      const answer got = Send("warm-" + std::to_string(++warm_));
      return got.status == 200 && !got.body.empty();
    }));
  }
  ~stream_ends() { target.Stop(); }

  /** @param last_event  of the stream that is resumed; empty if none is */
  answer Send(const std::string& id,
              const std::string& last_event = {},
              const std::string& path = "/turn/x") {
    http_client_request request = gateway.Request(path);
    request.headers = http_headers();
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", id);
    request.headers.Add("X-Api-Key", "k");
    request.headers.Add("Deadline-Ms", "2000");
    if (!last_event.empty()) {
      request.headers.Add("Last-Event-Id", last_event);
    }
    return Receive(gateway.client, std::move(request));
  }

  static bool IsWarm(const std::string& request) {
    return scripted_target::FieldOf(request, "Request-Id").rfind("warm", 0) ==
           0;
  }

  scripted_target target;
  gateway_fixture gateway;

 private:
  int warm_ = 0;
};

}  // namespace

// Guards against a part of an event that reaches the caller, and against a
// stream that looks complete: cut at each byte, however it is framed.
Test(stream_ends, a_stream_that_ends_inside_an_event_goes_on, .timeout = 120) {
  const std::string events = kEvents;
  const std::size_t first = events.find("id: 2");
  for (const framing form :
       {framing::length, framing::chunks, framing::connection}) {
    std::atomic<std::size_t> cut{0};
    stream_ends subject([&](const std::string& request, int) {
      if (stream_ends::IsWarm(request)) {
        return Stream(request, kEvents, framing::length);
      }
      if (scripted_target::FieldOf(request, "Last-Event-Id") == "1") {
        return Stream(request, kRest, form);
      }
      return Stream(request, events.substr(0, cut), form);
    });
    for (std::size_t size = first + 1; size < events.size(); ++size) {
      cut = size;
      const answer got = subject.Send("r" + std::to_string(size));
      cr_assert(got.is_whole && got.body == events, "%zu: %s", size,
                got.body.c_str());
    }
    cut = events.size();
    const answer whole = subject.Send("whole");
    cr_assert(whole.is_whole && whole.body == events);
  }
}

// Guards against a reset that counts as the end of an answer without a length.
Test(stream_ends, a_reset_is_no_end, .timeout = 60) {
  std::atomic<int> sends{0};
  stream_ends subject([&](const std::string& request, int) {
    if (stream_ends::IsWarm(request)) {
      return Stream(request, kEvents, framing::length);
    }
    if (++sends == 1) {
      return step{Head(request) + "\r\n" + "id: 1\ndata: a\n\n", ending::reset};
    }
    return Stream(request, kRest, framing::connection);
  });
  const answer got = subject.Send("r1");
  cr_assert(got.is_whole && got.body == kEvents, "%s", got.body.c_str());
  cr_assert(sends == 2);
}

// Guards against an error of the next target in the middle of a stream, and
// against a stream that it ends as complete.
Test(stream_ends, an_error_after_a_part_is_not_passed_on, .timeout = 120) {
  const std::string text = "the target failed";
  const std::string length =
      "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
  const std::vector<std::function<step(const std::string&)>> errors = {
      [&](const std::string& r) { return step{Head(r, "500") + length}; },
      [&](const std::string& r) {
        return step{Head(r, "503", false) + "Not-Run: 1\r\n" + length};
      },
      [&](const std::string& r) {
        return step{Head(r, "200", false) + length};
      },
      [&](const std::string& r) {
        return step{Head(r, "200", true, "text/plain") + length};
      },
      [&](const std::string& r) { return step{Head(r, "421") + length}; },
      [&](const std::string&) {
        return step{text, ending::close};
      }};
  for (std::size_t i = 0; i < errors.size(); ++i) {
    stream_ends subject([&](const std::string& request, int) {
      if (stream_ends::IsWarm(request)) {
        return Stream(request, kEvents, framing::length);
      }
      if (!scripted_target::FieldOf(request, "Last-Event-Id").empty()) {
        return errors[i](request);
      }
      return step{Head(request) + "\r\n" + "id: 1\ndata: a\n\nid: 2\nda",
                  ending::close};
    });
    const answer got = subject.Send("r1");
    cr_assert(got.status == 200);
    cr_assert(got.body == "id: 1\ndata: a\n\n", "%zu: %s", i, got.body.c_str());
    cr_assert(!got.is_whole, "%zu", i);
  }
}

// Guards against a caller that gets a piece twice: the next target begins the
// stream anew, or repeats its last event.
Test(stream_ends, a_stream_that_goes_back_is_not_passed_on, .timeout = 120) {
  for (const char* back : {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                           "id: 1\ndata: again\n\n", "id: 0\ndata: 0\n\n"}) {
    for (const framing form :
         {framing::length, framing::chunks, framing::connection}) {
      stream_ends subject([&](const std::string& request, int) {
        if (stream_ends::IsWarm(request)) {
          return Stream(request, kEvents, framing::length);
        }
        if (!scripted_target::FieldOf(request, "Last-Event-Id").empty()) {
          return Stream(request, back, form);
        }
        return step{Head(request) + "\r\n" + "id: 1\ndata: a\n\nid: 2\nda",
                    ending::close};
      });
      const answer got = subject.Send("r1");
      cr_assert(got.status == 200);
      cr_assert(got.body == "id: 1\ndata: a\n\n", "%s: %s", back,
                got.body.c_str());
      cr_assert(!got.is_whole, "%s", back);
    }
  }
}

// Guards against the same for a caller that resumes its stream itself.
Test(stream_ends, a_resumed_stream_does_not_begin_anew, .timeout = 60) {
  stream_ends subject([&](const std::string& request, int) {
    return Stream(request, kEvents, framing::length);
  });
  // The one version has to be known for as long as callers wait.
  cr_assert(WaitFor(
      [&] {
        const answer got = subject.Send("warm-resume", "1");
        return got.status != 503;
      },
      milliseconds(20'000)));
  const answer got = subject.Send("r1", "1");
  cr_assert(got.status == 502, "%d %s", got.status, got.body.c_str());
}

// Guards against a piece that comes twice because the event before it had no
// identifier.
Test(stream_ends, a_stream_without_identifiers_does_not_go_on, .timeout = 60) {
  std::atomic<int> sends{0};
  stream_ends subject([&](const std::string& request, int) {
    if (stream_ends::IsWarm(request)) {
      return Stream(request, kEvents, framing::length);
    }
    ++sends;
    return step{Head(request) + "\r\n" + "data: a\n\ndata", ending::close};
  });
  const answer got = subject.Send("r1");
  cr_assert(!got.is_whole && got.body == "data: a\n\n", "%s", got.body.c_str());
  cr_assert(sends == 1);
}

// Guards against an answer whose head breaks off and that reaches the caller as
// a whole one with an empty or short body: cut at each byte, in each framing,
// with an orderly end and with a reset.
Test(stream_ends, an_answer_cut_in_its_head_is_no_answer, .timeout = 300) {
  const std::string body = "answer";
  const std::vector<std::string> framings = {
      "Content-Length: 6\r\n\r\n" + body,
      "Transfer-Encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n",
      "Connection: close\r\n\r\n" + body};
  const auto whole = [](const std::string& request, const std::string& rest) {
    return Head(request, "200", true, "text/plain") + rest;
  };
  for (const ending end : {ending::close, ending::reset}) {
    for (const std::string& rest : framings) {
      std::atomic<std::size_t> cut{0};
      stream_ends subject([&](const std::string& request, int) {
        if (stream_ends::IsWarm(request)) {
          return Stream(request, kEvents, framing::length);
        }
        const std::string text = whole(request, rest);
        return step{text.substr(0, cut), end};
      });
      const std::string sample = whole("\r\nRequest-Id: c000\r\n", rest);
      const std::size_t head = sample.find("\r\n\r\n") + 4;
      const bool has_end = rest.find("close") == std::string::npos;
      const std::size_t last = has_end ? sample.size() - 1 : head - 1;
      // Resets are sent after a delay each.
      const std::size_t stride = end == ending::reset ? 5 : 1;
      for (std::size_t size = 0; size <= last; size += stride) {
        cut = size;
        // As long as the ID of the sample.
        const std::string id = "c" + std::to_string(100 + size);
        const answer got = subject.Send(id, "", "/once/" + id);
        cr_assert(got.status != 200 || !got.is_whole, "cut %zu: %d '%s'", size,
                  got.status, got.body.c_str());
        // The target has not ended because of the request.
        cr_assert(subject.Send("warm-" + id).status == 200);
      }
      cut = sample.size();
      const answer got = subject.Send("cend", "", "/once/cend");
      const bool is_reset = end == ending::reset && !has_end;
      cr_assert((got.status == 200 && got.body == body) != is_reset);
    }
  }
}

// Guards against a stream that ends early and looks complete: its answer has no
// length, and its target is killed between two events, which closes the
// connection in order.
Test(stream_ends, a_killed_target_does_not_end_a_stream, .timeout = 60) {
  std::atomic<bool> kills{false};
  const auto answers = [&](const std::string& request, int) {
    if (stream_ends::IsWarm(request)) {
      return Stream(request, kEvents, framing::length);
    }
    if (scripted_target::FieldOf(request, "Last-Event-Id") == "1") {
      return Stream(request, kRest, framing::connection);
    }
    return step{Head(request) + "\r\nid: 1\ndata: a\n\n",
                kills ? ending::killed : ending::close};
  };
  stream_ends subject(answers);
  const answer sound = subject.Send("r0");
  cr_assert(sound.is_whole && sound.body == "id: 1\ndata: a\n\n");
  scripted_target second(answers);
  subject.gateway.RegisterTarget("second", second.address(), "v1");
  cr_assert(WaitFor([&] {
    static int number = 0;
    return subject.Send("warm-" + std::to_string(++number) + "b").is_whole &&
           second.requests() > 0;
  }));
  kills = true;
  const answer got = subject.Send("r1");
  cr_assert(got.is_whole && got.body == kEvents, "%s", got.body.c_str());
  second.Stop();
}

// Guards against the same for an answer that is no stream.
Test(stream_ends, a_killed_target_does_not_end_an_answer, .timeout = 60) {
  std::atomic<bool> kills{false};
  stream_ends subject([&](const std::string& request, int) {
    if (stream_ends::IsWarm(request)) {
      return Stream(request, kEvents, framing::length);
    }
    return step{Head(request, "200", true, "text/plain") + "\r\npart",
                kills ? ending::killed : ending::close};
  });
  const answer sound = subject.Send("r0", "", "/once/x");
  cr_assert(sound.status == 200 && sound.body == "part");
  kills = true;
  cr_assert(subject.Send("r1", "", "/once/x").status == 502);
}
