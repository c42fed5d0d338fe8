// Tests the bound of the connections of a server.
#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gentian_net/connection_bounds.h"
#include "support/raw_connection.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

constexpr std::size_t kPlaces = 8;
constexpr int kManyCallers = 40;
constexpr milliseconds kLimit{5'000};
constexpr const char* kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* kPartOfRequest = "GET /x HTTP/1.1\r\nHo";

struct bounded_server {
  bounded_server() : server(pool, &Answer, Limits()) {
    cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  }
  ~bounded_server() {
    server.Stop();
    pool.Stop();
  }
  bounded_server(const bounded_server&) = delete;
  bounded_server& operator=(const bounded_server&) = delete;

  static void Answer(const std::shared_ptr<http_exchange>& exchange) {
    exchange->Respond(http_response{});
  }

  static http_server_limits Limits() {
    http_server_limits limits;
    limits.max_connections = kPlaces;
    return limits;
  }

  std::unique_ptr<raw_connection> Connect(const std::string& text) const {
    auto connection = std::make_unique<raw_connection>(server.address());
    connection->Write(text);
    return connection;
  }

  io_pool pool{1};
  http_server server;
};

bool IsRefusal(const std::string& answer) {
  return answer.rfind("HTTP/1.1 503", 0) == 0 &&
         answer.find("Retry-After: ") != std::string::npos &&
         answer.find("Connection: close") != std::string::npos;
}

}  // namespace

// Guards against callers that keep connections without using them and leave no
// place for others.
Test(connection_bound, idle_connections_make_place, .timeout = 30) {
  bounded_server subject;
  std::vector<std::unique_ptr<raw_connection>> idle;
  for (int i = 0; i < kManyCallers; ++i) {
    idle.push_back(subject.Connect(kRequest));
    const std::string answer = idle.back()->Read(kLimit);
    cr_assert(answer.rfind("HTTP/1.1 200", 0) == 0, "caller %d read '%s'", i,
              answer.c_str());
    cr_assert(WaitFor([&subject] {
      return subject.server.open_connections() < kPlaces - 1;
    }));
  }
  cr_assert(idle.front()->IsClosedWithin(kLimit));
  cr_assert(!idle.back()->IsClosedWithin(milliseconds(0)));
  cr_assert(subject.server.refused_connections_total() == 0);
}

// Guards against callers that are not answered, and against a request that is
// cut off, when all places are taken.
Test(connection_bound, callers_without_a_place_are_refused, .timeout = 30) {
  bounded_server subject;
  std::vector<std::unique_ptr<raw_connection>> busy;
  for (std::size_t i = 0; i < kPlaces - kPlaces / 4; ++i) {
    busy.push_back(subject.Connect(kPartOfRequest));
    cr_assert(WaitFor([&subject, &busy] {
      return subject.server.open_connections() == busy.size();
    }));
  }
  std::vector<std::unique_ptr<raw_connection>> refused;
  for (int i = 0; i < kManyCallers; ++i) {
    refused.push_back(subject.Connect(kRequest));
    const std::string answer = refused.back()->Read(kLimit);
    cr_assert(IsRefusal(answer), "caller %d read '%s'", i, answer.c_str());
  }
  cr_assert(subject.server.open_connections() <= kPlaces);
  cr_assert(subject.server.refused_connections_total() >= kManyCallers);
  for (const auto& next : busy) {
    next->Write("st: h\r\n\r\n");
    cr_assert(next->Read(kLimit).rfind("HTTP/1.1 200", 0) == 0);
  }
}

// Guards against bounds that add up to more than the host has.
Test(connection_bound, shares_fit_into_the_host) {
  constexpr std::size_t kMemory = 110 * 1024 * 1024;
  for (const std::size_t descriptors : {100, 1'000, 3'900, 20'000}) {
    const connection_bounds bounds = BoundConnections(descriptors, kMemory);
    // Each request of a caller may need a connection to a target.
    const std::size_t all = 2 * bounds.callers + bounds.peers +
                            2 * bounds.services + 2 * bounds.tunnels;
    cr_assert(all <= descriptors);
    cr_assert(all * memory_budget::kUncountedBytes <= kMemory / 2);
  }
  cr_assert(BoundConnections(1, 1).callers == 1);
}

// Guards against idle connections to servers that get no requests any more,
// which use up the descriptors of a process (review/3).
Test(connection_bound,
     connections_to_former_servers_are_closed,
     .timeout = 30) {
  constexpr milliseconds kIdle{4'100};
  bounded_server former;
  bounded_server next;
  http_client client(next.pool);
  const auto fetch = [&client](const bounded_server& server) {
    http_client_request request;
    request.address = server.server.address();
    request.reuse_connection = true;
    cr_assert(Fetch(client, request).response.status == 200);
  };
  fetch(former);
  cr_assert(former.server.open_connections() == 1);
  std::this_thread::sleep_for(kIdle);
  fetch(next);
  cr_assert(
      WaitFor([&former] { return former.server.open_connections() == 0; }));
}
