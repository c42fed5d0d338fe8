// Tests answers of servers in trouble that must not count as whole, directly
// and through a tunnel.
#include <criterion/criterion.h>

#include <atomic>
#include <boost/beast/http/error.hpp>
#include <future>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gentian_net/message_parser.h"
#include "support/early_server.h"
#include "support/raw_server.h"
#include "support/synchronous_http.h"

using namespace gentian;
using gentian::testing::early_server;
using gentian::testing::Fetch;
using gentian::testing::IsResetReported;
using gentian::testing::raw_server;
using gentian::testing::Receive;
using gentian::testing::received_answer;
using gentian::testing::WaitFor;

namespace {

// More than the buffers of a connection hold, so that the upload can't end.
constexpr std::size_t kUpload = 32 * 1024 * 1024;
constexpr const char* kOpenEnded = "HTTP/1.1 200 OK\r\n\r\n";

enum class path { direct, tunnel };

/** A client that uploads to a server which answers early. */
class uploading_client {
 public:
  explicit uploading_client(early_server::script answer)
      : server(std::move(answer)), tunnels(pool, [this](const std::string&) {
          return result<std::string>(server.address());
        }) {
    cr_assert(!Failed(tunnels.Listen("127.0.0.1:0")));
  }
  ~uploading_client() {
    pool.Stop();
    server.Stop();
  }

  /** @param on_part  runs when a part of the body has come */
  received_answer Upload(path way, std::function<void()> on_part = nullptr) {
    http_client_request request;
    request.address = server.address();
    if (way == path::tunnel) {
      request.tunnel = tunnels.address();
      request.tunnel_name = "s";
    }
    request.method = "POST";
    request.shared_body = body_;
    request.deadline = milliseconds(20'000);
    request.confirm_end = true;
    received_answer got =
        Receive(client, std::move(request), std::move(on_part));
    cr_assert(got.is_whole || got.failure == http_failure::broken);
    return got;
  }

  io_pool pool{2};
  early_server server;
  tunnel_server tunnels;
  http_client client{pool};

 private:
  const std::shared_ptr<const std::string> body_ =
      std::make_shared<const std::string>(kUpload, 'x');
};

/** The failure of a request to a server that sends these bytes and then
    nothing. */
std::optional<http_failure> FailureOf(const std::string& answer) {
  std::promise<void> has_failed;
  raw_server server([&](const raw_server::sender& send) {
    send(answer);
    has_failed.get_future().wait();
  });
  io_pool pool(1);
  std::optional<http_failure> failure;
  {
    http_client client(pool);
    http_client_request request;
    request.address = server.address();
    request.deadline = milliseconds(500);
    failure = Fetch(client, request).failure;
  }
  pool.Stop();
  has_failed.set_value();
  return failure;
}

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) {
    text += part;
  }
  return text;
}

std::string Printable(const std::string& text) {
  return json(text).dump(-1, ' ', true, json::error_handler_t::replace);
}

}  // namespace

// Guards against a part of an answer that counts as whole: it has no length,
// and its connection is reset while the request is still being written. Without
// a tunnel, the write is told of the reset before the next read begins.
Test(broken_answer, a_reset_during_the_upload_is_no_end, .timeout = 120) {
  for (const path way : {path::direct, path::tunnel}) {
    std::atomic<int> sender{-1};
    std::promise<void> has_part;
    std::promise<void> is_reset;
    uploading_client subject(
        [&](const std::string&, early_server::connection& caller) {
          caller.Send(kOpenEnded);
          sender = caller.AwaitBlockedSender();
          caller.Send("part");
          has_part.get_future().wait();
          caller.Reset();
          is_reset.set_value();
        });
    const received_answer got = subject.Upload(way, [&] {
      has_part.set_value();
      is_reset.get_future().wait();
      if (way == path::direct) {
        cr_assert(WaitFor([&sender] { return IsResetReported(sender); }));
      }
    });
    cr_assert(got.body == "part");
    cr_assert(!got.is_whole, "%s",
              way == path::direct ? "direct" : "through a tunnel");
  }
}

// Guards against an early answer that is refused although its server ended it
// in order and goes on to read the request, or doesn't.
Test(broken_answer, an_early_answer_in_order_is_whole, .timeout = 120) {
  for (const path way : {path::direct, path::tunnel}) {
    for (const bool reads_on : {true, false}) {
      uploading_client subject(
          [reads_on](const std::string&, early_server::connection& caller) {
            caller.AwaitBlockedSender();
            caller.Send(std::string(kOpenEnded) + "all");
            caller.EndSending();
            if (reads_on) {
              caller.ReadRest();
            }
          });
      const received_answer got = subject.Upload(way);
      cr_assert(got.is_whole && got.body == "all", "%s, %s",
                way == path::direct ? "direct" : "through a tunnel",
                reads_on ? "read on" : "not read on");
    }
  }
}

// Guards against the same reset where the framing shows that more was to come.
Test(broken_answer, a_reset_inside_a_framed_answer_is_no_end, .timeout = 120) {
  for (const path way : {path::direct, path::tunnel}) {
    for (const char* head : {"Content-Length: 5\r\n\r\npart",
                             "Transfer-Encoding: chunked\r\n\r\n4\r\npart"}) {
      std::promise<void> part;
      uploading_client subject(
          [&](const std::string&, early_server::connection& caller) {
            caller.Send(std::string("HTTP/1.1 200 OK\r\n") + head);
            part.get_future().wait();
            caller.Reset();
          });
      cr_assert(!subject.Upload(way, [&part] { part.set_value(); }).is_whole);
    }
  }
}

// Guards against an answer with a status that HTTP doesn't have, and against a
// caller who waits until the deadline for another one to follow.
Test(broken_answer, a_status_that_is_none_is_no_answer, .timeout = 60) {
  for (const char* status :
       {"000", "001", "050", "099", "101", "600", "700", "999"}) {
    for (const char* rest : {"\r\n\r\n", " x\r\nContent-Length: 2\r\n\r\nno"}) {
      const auto failure = FailureOf(std::string("HTTP/1.1 ") + status + rest);
      cr_assert(failure == http_failure::broken, "%s%s", status, rest);
    }
  }
}

// Guards against an answer that is refused because an interim one comes first,
// and against an interim answer that counts as the final one.
Test(broken_answer, an_interim_answer_is_followed_by_another, .timeout = 60) {
  for (const std::string status : {"100", "102", "199"}) {
    const std::string interim = "HTTP/1.1 " + status + " x\r\n\r\n";
    cr_assert(FailureOf(interim) == http_failure::deadline, "%s",
              status.c_str());
    cr_assert(
        !FailureOf(interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
  }
}

// Guards against a field that is passed on under another name, or whose loss
// changes the body: its name holds a blank or a control byte.
Test(broken_answer, a_name_with_a_blank_is_no_field, .timeout = 120) {
  using namespace std::string_literals;
  const std::vector<std::string> fields = {"Content-Length : 2",
                                           "Content-Length\t: 2",
                                           "Content Length: 2",
                                           "Content\tLength: 2",
                                           "Content\0Length: 2"s,
                                           "Content\x01Length: 2",
                                           "Con\x1ftent: 2",
                                           "Content-Length\x7f: 2",
                                           "Content\rLength: 2",
                                           "\vContent-Length: 2",
                                           ": 2",
                                           " Content-Length: 2",
                                           "\tContent-Length: 2"};
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nno\r\n0\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string sound = "X-Sound: 1\r\n";
  const std::string body = "\r\nno";
  for (const std::string& field : fields) {
    const std::string line = field + "\r\n";
    const std::vector<std::string> answers = {
        Join({ok, line, body}),
        Join({ok, sound, line, body}),
        Join({ok, line, sound, body}),
        Join({ok, length, line, body}),
        Join({"HTTP/1.1 100 Continue\r\n", sound, line, "\r\n", ok, length,
              body}),
        Join({chunks, line, "\r\n"}),
        Join({chunks, sound, line, "\r\n"})};
    for (const std::string& answer : answers) {
      cr_assert(FailureOf(answer) == http_failure::broken, "%s",
                Printable(answer).c_str());
    }
  }
}

// Guards against a folded line that is accepted because its answer comes in
// parts.
Test(broken_answer, a_folded_line_is_refused_at_every_cut, .timeout = 60) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nX-Sound: 1\r\n Content-Length: 2\r\n\r\n";
  constexpr std::size_t kMaxBytes = 64 * 1024;
  for (std::size_t cut = 1; cut < answer.size(); ++cut) {
    detail::message_parser<false> parser(kMaxBytes, kMaxBytes);
    std::string input = answer.substr(0, cut);
    boost::system::error_code failure;
    parser.Feed(input, failure);
    if (failure == boost::beast::http::error::need_more) {
      input += answer.substr(cut);
      parser.Feed(input, failure);
    }
    cr_assert(failure == boost::beast::http::error::bad_obs_fold, "%zu: %s",
              cut, failure.message().c_str());
  }
}
