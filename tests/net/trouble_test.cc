// Tests the HTTP client against servers in trouble, and the server against
// handlers that fail.
#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <stdexcept>

#include "support/raw_server.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

constexpr std::size_t kPart = 64 * 1024;

http_client_request RequestTo(const raw_server& server) {
  http_client_request request;
  request.address = server.address();
  request.deadline = milliseconds(20'000);
  request.reuse_connection = true;
  return request;
}

}  // namespace

// Guards against a header without end, which fills the memory until the
// caller's deadline.
Test(http_trouble, a_header_without_end_is_cut_off, .timeout = 60) {
  std::atomic<std::size_t> sent{0};
  raw_server server([&sent](const raw_server::sender& send) {
    send("HTTP/1.1 200 OK\r\n");
    const std::string line = "X-Filler: " + std::string(1'000, 'x') + "\r\n";
    while (send(line)) {
      sent += line.size();
    }
  });
  io_pool pool(1);
  {
    http_client client(pool);
    const http_outcome outcome = Fetch(client, RequestTo(server));
    cr_assert(outcome.failure == http_failure::broken);
  }
  pool.Stop();
  // What the sockets buffer comes on top of the limit.
  cr_assert(sent < 16 * 1024 * 1024);
}

// Guards against a line without end where the parser waits for a whole one:
// the size of a chunk, its extension, a trailer.
Test(http_trouble, a_line_without_end_is_cut_off, .timeout = 60) {
  for (const char* begin :
       {"000000000000", "10;extension=", "0\r\nTrailer: "}) {
    std::atomic<std::size_t> sent{0};
    raw_server server([&](const raw_server::sender& send) {
      send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      send(begin);
      const std::string part(kPart, '0');
      while (send(part)) {
        sent += part.size();
      }
    });
    io_pool pool(1);
    {
      http_client client(pool);
      http_client_request request = RequestTo(server);
      request.deadline = milliseconds(3'000);
      const http_outcome outcome = Fetch(client, request);
      cr_assert(outcome.failure == http_failure::broken, "%s", begin);
    }
    pool.Stop();
    cr_assert(sent < 16 * 1024 * 1024, "%s: %zu", begin, sent.load());
  }
}

// Guards against a body without end, with and without a framing.
Test(http_trouble, a_body_without_end_is_cut_off, .timeout = 120) {
  for (const char* header :
       {"HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"}) {
    const bool chunked =
        std::string(header).find("chunked") != std::string::npos;
    std::atomic<std::size_t> sent{0};
    raw_server server([&](const raw_server::sender& send) {
      send(header);
      const std::string part = (chunked ? "10000\r\n" : "") +
                               std::string(kPart, 'x') +
                               (chunked ? "\r\n" : "");
      while (send(part)) {
        sent += part.size();
      }
    });
    io_pool pool(1);
    {
      http_client client(pool);
      http_client_request request = RequestTo(server);
      request.max_body_bytes = 4 * kPart;
      const http_outcome outcome = Fetch(client, request);
      cr_assert(outcome.failure == http_failure::broken, "%s", header);
    }
    pool.Stop();
    cr_assert(sent < 64 * 1024 * 1024);
  }
}

// Guards against the next caller on a connection getting the second copy of an
// answer, which the server sent with or right after the first one.
Test(http_trouble,
     a_connection_with_a_second_answer_is_not_used_again,
     .timeout = 60) {
  std::promise<void> answered;
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
  raw_server server([&](const raw_server::sender& send) {
    send(answer);
    answered.get_future().wait();
    send(answer);
    std::this_thread::sleep_for(milliseconds(300));
  });
  io_pool pool(1);
  {
    http_client client(pool);
    cr_assert(Fetch(client, RequestTo(server)).response.body == "1");
    answered.set_value();
    std::this_thread::sleep_for(milliseconds(100));
    // The server takes no other connection, so that this one fails rather than
    // read the late copy.
    http_client_request next = RequestTo(server);
    next.deadline = milliseconds(500);
    const http_outcome outcome = Fetch(client, next);
    cr_assert(outcome.failure.has_value());
  }
  pool.Stop();
}

// Guards against an exception in the handling of one request that ends the
// process, or leaves that request's caller waiting.
Test(http_trouble, an_exception_ends_one_request_alone, .timeout = 60) {
  std::atomic<int> exceptions{0};
  io_pool pool(1, [&exceptions](const std::string& message) {
    cr_assert(message == "unexpected");
    ++exceptions;
  });
  http_server server(pool, [](const std::shared_ptr<http_exchange>& exchange) {
    if (exchange->request().Path() == "/throws") {
      throw std::runtime_error("unexpected");
    }
    exchange->Respond({200, http_headers(), "fine"});
  });
  cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  http_client client(pool);
  http_client_request request;
  request.address = server.address();
  request.target = "/throws";
  request.deadline = milliseconds(5'000);
  const auto began = std::chrono::steady_clock::now();
  cr_assert(Fetch(client, request).failure == http_failure::broken);
  cr_assert(std::chrono::steady_clock::now() - began < milliseconds(2'000));
  cr_assert(exceptions == 1);
  request.target = "/";
  cr_assert(Fetch(client, request).response.body == "fine");
  server.Stop();
  pool.Stop();
}
