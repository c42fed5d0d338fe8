// Tests the bound of what a process holds of its peers' messages.
#include <criterion/criterion.h>

#include <atomic>
#include <memory>
#include <vector>

#include "support/loopback_server.h"
#include "support/raw_connection.h"
#include "support/raw_server.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

using holding = memory_budget::holding;

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

}  // namespace

// Guards against a peer that sends much and takes the place of all others.
Test(memory_budget, the_largest_holding_is_taken_back) {
  memory_budget budget(kMegabyte);
  int taken_back = 0;
  holding large(budget, [&taken_back] { ++taken_back; });
  holding small(budget, [] { cr_assert(false, "the small one was taken"); });
  cr_assert(large.Resize(kMegabyte * 3 / 4));
  cr_assert(small.Resize(kMegabyte / 4));
  cr_assert(small.Resize(kMegabyte / 4 + 1));
  cr_assert(taken_back == 1);
  cr_assert(budget.used() == kMegabyte / 4 + 1);
  cr_assert(!large.Resize(kMegabyte));
  cr_assert(!small.Resize(kMegabyte + 1), "larger than everything");
  cr_assert(budget.used() == 0 && budget.taken_back() == 2);
}

// Guards against a request that is cut off while a target works on it.
Test(memory_budget, what_is_kept_is_not_taken_back) {
  memory_budget budget(kMegabyte);
  holding kept(budget, [] { cr_assert(false, "it was taken back"); });
  holding next(budget, [] { cr_assert(false, "the growing one is told"); });
  cr_assert(kept.Resize(kMegabyte * 3 / 4));
  kept.Keep();
  cr_assert(!next.Resize(kMegabyte / 2));
  cr_assert(next.Resize(memory_budget::kUncountedBytes));
  cr_assert(kept.Resize(0));
  cr_assert(next.Resize(kMegabyte / 2));
}

// Guards against bytes that stay in the account of a message that has ended.
Test(memory_budget, ended_holdings_give_their_bytes_back) {
  memory_budget budget(kMegabyte);
  for (int i = 0; i < 3; ++i) {
    holding next(budget, nullptr);
    cr_assert(next.Resize(kMegabyte));
    cr_assert(budget.used() == kMegabyte);
  }
  cr_assert(budget.used() == 0);
}

// Guards against callers that fill the memory with requests that they never
// finish: beside them, others must be served.
Test(memory_budget, unfinished_requests_leave_room, .timeout = 60) {
  constexpr std::size_t kBody = kMegabyte;
  constexpr int kCallers = 24;
  io_pool pool(1);
  pool.message_memory().SetCapacity(4 * kMegabyte);
  {
    http_server server(
        pool, [](const std::shared_ptr<http_exchange>& exchange) {
          http_response answer;
          answer.body = std::to_string(exchange->request().body.size());
          exchange->Respond(answer);
        });
    cr_assert(!Failed(server.Listen("127.0.0.1:0")));
    std::vector<std::unique_ptr<raw_connection>> callers;
    const std::string most(kBody - 1, 'x');
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<raw_connection>(server.address()));
      callers.back()->Write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                            std::to_string(kBody) + "\r\n\r\n" + most);
    }
    cr_assert(
        WaitFor([&pool] { return pool.message_memory().taken_back() > 0; }));
    cr_assert(pool.message_memory().used() <= 4 * kMegabyte);
    http_client client(pool);
    for (const std::size_t size : {kMegabyte / 64, kMegabyte / 2}) {
      const http_outcome outcome = Fetch(
          client, PostRequest(server.address(), "/", std::string(size, 'y')));
      cr_assert(outcome.response.body == std::to_string(size), "%zu: %d", size,
                outcome.response.status);
    }
  }
  pool.Stop();
}

// Guards against a server whose answer has no end and takes the memory for the
// answers of others.
Test(memory_budget, an_endless_answer_is_given_up, .timeout = 60) {
  io_pool pool(1);
  pool.message_memory().SetCapacity(4 * kMegabyte);
  {
    http_server sound(pool, [](const std::shared_ptr<http_exchange>& exchange) {
      http_response answer;
      answer.body = std::string(kMegabyte / 2, 'x');
      exchange->Respond(answer);
    });
    cr_assert(!Failed(sound.Listen("127.0.0.1:0")));
    std::atomic<std::size_t> sent{0};
    raw_server endless([&sent](const raw_server::sender& send) {
      const std::string part(64 * 1024, 'x');
      send("HTTP/1.1 200 OK\r\n\r\n");
      while (send(part)) {
        sent += part.size();
      }
    });
    http_client client(pool);
    http_client_request request;
    request.address = endless.address();
    cr_assert(Fetch(client, request).failure == http_failure::no_memory);
    cr_assert(sent < 16 * kMegabyte);
    request.address = sound.address();
    cr_assert(Fetch(client, request).response.body.size() == kMegabyte / 2);
  }
  pool.Stop();
}

// Guards against many answers that each stay below the bounds of a message, and
// fill the memory of the process together.
Test(memory_budget, unfinished_headers_are_counted, .timeout = 60) {
  constexpr int kCalls = 150;
  const std::string part = "HTTP/1.1 200 OK\r\nA: " + std::string(60'000, 'x');
  io_pool pool(1);
  pool.message_memory().SetCapacity(4 * kMegabyte);
  {
    loopback_server endless([&part](int peer) {
      ::send(peer, part.data(), part.size(), MSG_NOSIGNAL);
      char byte = 0;
      while (::recv(peer, &byte, 1, 0) > 0) {
      }
    });
    http_server sound(pool, [](const std::shared_ptr<http_exchange>& exchange) {
      exchange->Respond(http_response());
    });
    cr_assert(!Failed(sound.Listen("127.0.0.1:0")));
    http_client client(pool);
    std::atomic<int> given_up{0};
    std::vector<std::shared_ptr<http_call>> calls;
    for (int i = 0; i < kCalls; ++i) {
      http_client_request request;
      request.address = endless.address();
      calls.push_back(client.Fetch(
          request, [](const http_response&) {},
          [&given_up](http_failure failure, const std::string&) {
            given_up += failure == http_failure::no_memory ? 1 : 0;
          }));
    }
    // Of 9 MB of headers, 4 MB fit.
    cr_assert(WaitFor([&given_up] { return given_up > kCalls / 2; }),
              "%d of %d", given_up.load(), kCalls);
    cr_assert(pool.message_memory().used() <= 4 * kMegabyte);
    http_client_request request;
    request.address = sound.address();
    cr_assert(Fetch(client, request).response.status == 200);
    for (const auto& call : calls) {
      call->Cancel();
    }
  }
  pool.Stop();
}

// Guards against a header of many short fields, which take many times their
// text.
Test(memory_budget, the_fields_of_a_header_are_counted, .timeout = 60) {
  std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n";
  while (text.size() < 60'000) {
    text += "a:\r\n";
  }
  text += "\r\n";
  io_pool pool(1);
  pool.message_memory().SetCapacity(kMegabyte);
  {
    loopback_server server([&text](int peer) {
      ::send(peer, text.data(), text.size(), MSG_NOSIGNAL);
      char byte = 0;
      while (::recv(peer, &byte, 1, 0) > 0) {
      }
    });
    http_client client(pool);
    http_client_request request;
    request.address = server.address();
    cr_assert(Fetch(client, request).failure == http_failure::no_memory);
  }
  pool.Stop();
}
