// Tests connections through a tunnel server, between real sockets.
#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <thread>

#include "support/loopback_server.h"
#include "support/raw_connection.h"
#include "support/scripted_target.h"
#include "support/scripted_tunnel.h"
#include "support/synchronous_http.h"

using namespace gentian;
using gentian::testing::Fetch;
using gentian::testing::http_outcome;
using gentian::testing::raw_connection;
using gentian::testing::scripted_target;
using gentian::testing::scripted_tunnel;
using gentian::testing::WaitFor;

using step = scripted_target::step;
using ending = scripted_target::ending;

namespace {

/** A client, a tunnel server, and a server under the name "s". */
class tunnel_fixture {
 public:
  explicit tunnel_fixture(scripted_target::script answers)
      : server(std::move(answers)),
        tunnels(pool, [this](const std::string& name) -> result<std::string> {
          if (name == "s") {
            return server.address();
          }
          if (name == "down") {
            return std::string("127.0.0.1:1");
          }
          return error{error_kind::unavailable, "unknown name", ""};
        }) {
    cr_assert(!Failed(tunnels.Listen("127.0.0.1:0")));
  }
  ~tunnel_fixture() {
    pool.Stop();
    server.Stop();
  }

  http_outcome Send(const std::string& name = "s") {
    http_client_request request;
    request.address = server.address();
    request.tunnel = tunnels.address();
    request.tunnel_name = name;
    request.reuse_connection = true;
    request.deadline = milliseconds(2'000);
    return Fetch(client, request);
  }

  io_pool pool{2};
  scripted_target server;
  tunnel_server tunnels;
  http_client client{pool};
};

std::string Whole(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

http_client_request RequestThrough(const scripted_tunnel& carrier) {
  http_client_request request;
  request.address = "127.0.0.1:1";
  request.tunnel = carrier.address();
  request.tunnel_name = "s";
  return request;
}

}  // namespace

// Guards against bytes that change on the way, and against a new connection for
// each request.
Test(tunnel, carries_requests_and_answers, .timeout = 60) {
  const std::string large(300'000, 'x');
  std::atomic<int> most{0};
  tunnel_fixture subject([&](const std::string&, int number) {
    most = number;
    return step{Whole(large)};
  });
  for (int i = 1; i <= 3; ++i) {
    const http_outcome outcome = subject.Send();
    cr_assert(!outcome.failure && outcome.response.body == large);
    cr_assert(most == i, "one connection");
  }
  cr_assert(subject.tunnels.tunnels() == 1);
}

// Guards against a request that counts as sent although nobody got it.
Test(tunnel, a_server_that_is_down_has_got_nothing, .timeout = 60) {
  tunnel_fixture subject([](const std::string&, int) { return step{""}; });
  cr_assert(subject.Send("down").failure == http_failure::not_sent);
  cr_assert(subject.Send("other").failure == http_failure::no_tunnel);
  http_client_request request;
  request.address = subject.server.address();
  request.tunnel = "127.0.0.1:1";
  request.tunnel_name = "s";
  cr_assert(Fetch(subject.client, request).failure == http_failure::no_tunnel);
}

// Guards against an answer without a length that looks complete because a reset
// became an orderly end on the way, and against the opposite.
Test(tunnel, passes_on_how_a_connection_ends, .timeout = 60) {
  const std::string open_ended = "HTTP/1.1 200 OK\r\n\r\nall";
  tunnel_fixture whole([&](const std::string&, int) {
    return step{open_ended, ending::close};
  });
  const http_outcome complete = whole.Send();
  cr_assert(!complete.failure && complete.response.body == "all");
  tunnel_fixture cut([&](const std::string&, int) {
    return step{open_ended, ending::reset};
  });
  cr_assert(cut.Send().failure == http_failure::broken);
}

// Guards against half an answer that looks whole: its server was killed, whose
// connections end in order. Over a direct connection, confirm_end tells.
Test(tunnel, the_end_of_a_server_ends_no_answer, .timeout = 60) {
  gentian::testing::loopback_server* listening = nullptr;
  gentian::testing::loopback_server server([&listening](int peer) {
    std::array<char, 4096> request{};
    const std::string half = "HTTP/1.1 200 OK\r\n\r\nhalf";
    if (::recv(peer, request.data(), request.size(), 0) > 0 &&
        ::send(peer, half.data(), half.size(), MSG_NOSIGNAL) > 0) {
      listening->StopListening();
      ::shutdown(peer, SHUT_RDWR);
    }
  });
  listening = &server;
  io_pool pool(2);
  {
    tunnel_server tunnels(pool, [&server](const std::string&) {
      return result<std::string>(server.address());
    });
    cr_assert(!Failed(tunnels.Listen("127.0.0.1:0")));
    http_client client(pool);
    http_client_request request;
    request.address = server.address();
    request.tunnel = tunnels.address();
    request.tunnel_name = "s";
    request.deadline = milliseconds(5'000);
    const http_outcome outcome = Fetch(client, request);
    cr_assert(outcome.failure == http_failure::broken, "got '%s' as whole",
              outcome.response.body.c_str());
    pool.Stop();
  }
}

// Guards against a target that works on for a caller who has left.
Test(tunnel, a_client_that_leaves_closes_the_server_side, .timeout = 60) {
  tunnel_fixture subject([](const std::string&, int) { return step{""}; });
  {
    const raw_connection client(subject.tunnels.address());
    client.Write("CONNECT s\n");
    cr_assert(client.Read(milliseconds(2'000)) == "OK\n");
    client.Write("GET / HTTP/1.1\r\n\r\n");
    cr_assert(WaitFor([&] { return subject.tunnels.busy_tunnels() == 1; }));
  }
  cr_assert(WaitFor([&] { return subject.tunnels.tunnels() == 0; }));
}

// Guards against a malformed line that holds a tunnel or ends the process.
Test(tunnel, malformed_requests_are_closed, .timeout = 60) {
  tunnel_fixture subject([](const std::string&, int) { return step{""}; });
  const std::vector<std::string> lines = {
      "GET / HTTP/1.1\r\n", "CONNECT s\nmore", std::string(2'000, 'x'), "\n",
      std::string("\xff\xfe\n")};
  for (const std::string& line : lines) {
    const raw_connection client(subject.tunnels.address());
    client.Write(line);
    cr_assert(client.IsClosedWithin(milliseconds(3'000)));
  }
  cr_assert(WaitFor([&] { return subject.tunnels.tunnels() == 0; }));
}

// Guards against an answer without a length that looks complete because the
// process that carries the tunnel is killed, which closes its sockets in order.
Test(tunnel, the_end_of_a_tunnel_ends_no_answer, .timeout = 120) {
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\nall";
  const std::string framed =
      scripted_tunnel::Frame(answer) + scripted_tunnel::EndMark();
  std::size_t cut = 0;
  bool split = false;
  const scripted_tunnel carrier([&](const std::string&, const std::string&) {
    if (!split) {
      return framed.substr(0, cut);
    }
    return scripted_tunnel::Frame(answer.substr(0, cut)) +
           scripted_tunnel::Frame(answer.substr(cut)) +
           scripted_tunnel::EndMark();
  });
  io_pool pool{1};
  http_client client{pool};
  http_client_request request = RequestThrough(carrier);
  for (cut = 0; cut < framed.size(); ++cut) {
    cr_assert(Fetch(client, request).failure == http_failure::broken, "%zu",
              cut);
  }
  cr_assert(Fetch(client, request).response.body == "all");
  split = true;
  for (cut = 1; cut < answer.size(); ++cut) {
    const http_outcome whole = Fetch(client, request);
    cr_assert(!whole.failure && whole.response.body == "all", "%zu", cut);
  }
  pool.Stop();
}

// Guards against a fleet of two builds in which an answer through a tunnel of
// the earlier one looks complete, or is refused although its length shows that
// it is.
Test(tunnel, without_frames_only_framed_answers_are_whole, .timeout = 60) {
  std::string answer;
  std::string line;
  const scripted_tunnel carrier(
      [&](const std::string& got, const std::string&) {
        line = got;
        return answer;
      });
  io_pool pool{1};
  http_client client{pool};
  http_client_request request = RequestThrough(carrier);
  request.is_tunnel_unframed = true;
  answer = Whole("all");
  cr_assert(Fetch(client, request).response.body == "all");
  cr_assert(line == "CONNECT s");
  answer =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nall\r\n0\r\n\r\n";
  cr_assert(Fetch(client, request).response.body == "all");
  answer = "HTTP/1.1 200 OK\r\n\r\nall";
  cr_assert(Fetch(client, request).failure == http_failure::broken);
  pool.Stop();
}

// Guards against frames that reach a client of the earlier build.
Test(tunnel, a_client_without_frames_gets_the_bytes_alone, .timeout = 60) {
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\nall";
  tunnel_fixture subject([&](const std::string&, int) {
    return step{answer, ending::close};
  });
  const raw_connection client(subject.tunnels.address());
  client.Write("CONNECT s\n");
  cr_assert(client.Read(milliseconds(2'000)) == "OK\n");
  client.Write("GET / HTTP/1.1\r\n\r\n");
  std::string got;
  for (std::string part = client.Read(milliseconds(2'000)); !part.empty();
       part = client.Read(milliseconds(2'000))) {
    got += part;
  }
  cr_assert(got == answer, "%s", got.c_str());
}
