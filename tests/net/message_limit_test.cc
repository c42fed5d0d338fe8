#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <boost/beast/http/error.hpp>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "gentian_net/message_parser.h"
#include "support/raw_connection.h"
#include "support/raw_server.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

constexpr milliseconds kAnswerLimit{5'000};
constexpr std::size_t kHeaderLimit = 16 * 1024;
constexpr const char* kChunked =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Lines(std::size_t number) {
  std::string lines;
  for (std::size_t i = 0; i < number; ++i) {
    lines += "a:\r\n";
  }
  return lines;
}

// A server that answers with the number of fields and the body of a request.
struct echo_fixture {
  echo_fixture()
      : server(pool, [this](const std::shared_ptr<http_exchange>& exchange) {
          ++requests;
          const http_request& request = exchange->request();
          http_response answer;
          answer.body = std::to_string(request.headers.fields().size()) + " " +
                        request.headers.Find("Late") + " " + request.body;
          exchange->Respond(answer);
        }) {
    cr_assert(!Failed(server.Listen("127.0.0.1:0")));
  }
  ~echo_fixture() {
    server.Stop();
    pool.Stop();
  }

  // The answer to the parts, which are read one by one.
  std::string Ask(const std::vector<std::string>& parts) const {
    const raw_connection connection(server.address());
    for (const std::string& part : parts) {
      connection.Write(part);
      std::this_thread::sleep_for(milliseconds(2));
    }
    return connection.Read(kAnswerLimit);
  }

  std::atomic<int> requests{0};
  io_pool pool{1};
  http_server server;
};

void ExpectStatus(const std::string& answer, const char* status) {
  const std::string start = std::string("HTTP/1.1 ") + status;
  cr_expect(answer.rfind(start, 0) == 0, "%s: %s", status, answer.c_str());
}

std::string BodyOf(const std::string& answer) {
  return answer.substr(std::min(answer.size(), answer.find("\r\n\r\n") + 4));
}

struct outcome {
  bool is_done = false;
  boost::system::error_code failure;
  std::string body;

  bool operator==(const outcome& other) const {
    return is_done == other.is_done && failure == other.failure &&
           body == other.body;
  }
};

outcome Parse(const std::vector<std::string>& parts, std::size_t limit) {
  detail::message_parser<true> parser(limit, kHeaderLimit);
  std::string input;
  outcome result;
  for (const std::string& part : parts) {
    input += part;
    parser.Feed(input, result.failure);
    if (result.failure == boost::beast::http::error::need_more) {
      result.failure = {};
    }
    if (result.failure || parser.is_done()) {
      break;
    }
  }
  result.is_done = parser.is_done() && !result.failure;
  if (result.is_done) {
    result.body = parser.body();
  }
  return result;
}

// A message whose lines of chunks and trailers have about the limit.
template <typename Number>
std::string ChunkedMessage(const Number& number, std::size_t limit) {
  std::string message =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto extension = [&] {
    return number(0, 3) > 0 ? std::string()
                            : ";" + std::string(number(limit - 8, limit), 'e');
  };
  for (std::size_t chunks = number(0, 2); chunks > 0; --chunks) {
    message += "3" + extension() + "\r\nabc\r\n";
  }
  message += "0" + extension() + "\r\n";
  std::size_t trailers = number(0, 2) > 0 ? number(limit - 16, limit + 4) : 0;
  while (trailers > 0) {
    const std::size_t size = std::min(trailers, number(4, limit));
    trailers -= size;
    message += "a:" +
               std::string(std::max<std::size_t>(size, 4) - 4,
                           number(0, 1) > 0 ? ' ' : 'v') +
               "\r\n";
  }
  return number(0, 4) > 0 ? message + "\r\n" : message;
}

// The outcome of a GET at a server that answers so, and then ends.
http_outcome FetchFrom(const std::string& answer) {
  io_pool pool(1);
  raw_server server(
      [&answer](const raw_server::sender& send) { send(answer); });
  http_client client(pool);
  http_client_request request;
  request.address = server.address();
  http_outcome outcome = Fetch(client, request);
  pool.Stop();
  return outcome;
}

}  // namespace

// Guards against a limit on the number of lines, which clients inside the limit
// of the header would meet.
Test(message_limit, a_header_of_many_lines_is_served) {
  const echo_fixture subject;
  const std::string answer =
      subject.Ask({"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" +
                   Lines(4'000) + "\r\nok"});
  ExpectStatus(answer, "200");
  cr_expect(BodyOf(answer) == "4002  ok", "%s", BodyOf(answer).c_str());
}

// Guards against a limit that applies only to what one read gets of a header.
Test(message_limit, a_long_header_in_parts_is_refused) {
  const echo_fixture subject;
  std::vector<std::string> parts(20, Lines(250));
  parts.insert(parts.begin(), "GET / HTTP/1.1\r\nHost: h\r\n");
  ExpectStatus(subject.Ask(parts), "431");
  cr_expect(subject.requests == 0);
}

// Guards against trailers that are lost, or have no limit.
Test(message_limit, trailers_have_the_limit_of_a_header) {
  const echo_fixture subject;
  const std::string begin = kChunked + std::string("1\r\nx\r\n0\r\n");
  const std::string served =
      subject.Ask({begin, "Late: 1\r\n" + Lines(3'900), "\r\n"});
  ExpectStatus(served, "200");
  cr_expect(BodyOf(served) == "3903 1 x", "%s", BodyOf(served).c_str());
  ExpectStatus(subject.Ask({begin + Lines(4'200) + "\r\n"}), "431");
  ExpectStatus(subject.Ask({begin + Lines(4'200)}), "431");
  ExpectStatus(subject.Ask({begin + "A: " + std::string(17'000, 'x')}), "431");
  cr_expect(subject.requests == 1);
}

// Guards against a line of a chunk without a limit.
Test(message_limit, lines_of_chunks_have_the_limit_of_a_header) {
  const echo_fixture subject;
  const std::string most = ";" + std::string(kHeaderLimit - 32, 'x');
  const std::string served = subject.Ask(
      {kChunked + std::string("1") + most, "\r\nx\r\n0" + most, "\r\n\r\n"});
  ExpectStatus(served, "200");
  const std::string more = ";" + std::string(kHeaderLimit + 32, 'x');
  for (const char* size : {"1", "1\r\nx\r\n1", "0", "1\r\nx\r\n0"}) {
    ExpectStatus(subject.Ask({kChunked + (size + more)}), "400");
    ExpectStatus(subject.Ask({kChunked + (size + more) + "\r\n"}), "400");
  }
  cr_expect(subject.requests == 1);
}

// Guards against an interim answer that is taken for the answer, and against
// one that follows the other without end.
Test(message_limit, interim_answers_are_skipped_up_to_a_number) {
  const std::string last = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  std::string interim;
  for (int i = 0; i < 16; ++i) {
    interim += "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  }
  const http_outcome served = FetchFrom(interim + last);
  cr_expect(!served.failure && served.response.status == 200);
  cr_expect(served.response.body == "ok");
  const http_outcome broken =
      FetchFrom(interim + "HTTP/1.1 100 Continue\r\n\r\n" + last);
  cr_expect(broken.failure == http_failure::broken);
}

// Guards against an answer whose header, trailers or line of a chunk has no
// limit.
Test(message_limit, answers_have_limits) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string long_text(70'000, 'x');
  std::string trailer = chunked + "0\r\nA: ";
  trailer += long_text;
  std::string extension = chunked + "1;";
  extension += long_text;
  for (const std::string& answer :
       {"HTTP/1.1 200 OK\r\n" + Lines(17'000) + "\r\n",
        chunked + "0\r\n" + Lines(17'000) + "\r\n", trailer, extension}) {
    const http_outcome outcome = FetchFrom(answer);
    cr_expect(outcome.failure == http_failure::broken, "%s",
              answer.substr(0, 60).c_str());
  }
  const http_outcome served = FetchFrom("HTTP/1.1 200 OK\r\n" + Lines(15'000) +
                                        "Content-Length: 2\r\n\r\nok");
  cr_expect(served.response.headers.fields().size() == 15'001);
}

// Guards against a process that an assertion of the parser ends, when the last
// chunk comes in parts.
Test(message_limit, a_message_may_be_cut_anywhere) {
  const std::string begin =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* body :
       {"0\r\n\r\n", "00\r\n\r\n", "0;x\r\n\r\n", "0\r\na:1\r\n\r\n",
        "1\r\nx\r\n0\r\n\r\n", "1\r\nx\r\n2\r\nyz\r\n0\r\na:\r\n\r\n"}) {
    const std::string message = begin + body;
    const outcome whole = Parse({message}, kHeaderLimit);
    cr_assert(whole.is_done);
    std::vector<std::string> bytes;
    for (const char next : message) {
      bytes.emplace_back(1, next);
    }
    cr_assert(Parse(bytes, kHeaderLimit) == whole, "%s", body);
    for (std::size_t first = 0; first < message.size(); ++first) {
      for (std::size_t second = first; second < message.size(); ++second) {
        const std::vector<std::string> parts = {
            message.substr(0, first), message.substr(first, second - first),
            message.substr(second)};
        cr_assert(Parse(parts, kHeaderLimit) == whole, "%s at %zu and %zu",
                  body, first, second);
      }
    }
  }
}

// Guards against a limit that depends on the parts in which a message comes.
// The messages are around the limits, and each comes as a whole and in parts.
Test(message_limit, parts_do_not_decide) {
  constexpr unsigned kSeed = 11;
  constexpr int kMessages = 4'000;
  constexpr std::size_t kLimit = 200;
  std::mt19937 random(kSeed);
  const auto number = [&random](std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least, most)(random);
  };
  int refused = 0;
  int complete = 0;
  for (int i = 0; i < kMessages; ++i) {
    const std::string message = ChunkedMessage(number, kLimit);
    const outcome whole = Parse({message}, kLimit);
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < message.size();) {
      const std::size_t size = std::min(number(1, 90), message.size() - at);
      parts.push_back(message.substr(at, size));
      at += size;
    }
    cr_assert(Parse(parts, kLimit) == whole, "message %d of seed %u:\n%s", i,
              kSeed, message.c_str());
    refused += whole.failure ? 1 : 0;
    complete += whole.is_done ? 1 : 0;
  }
  // The messages are on both sides of the limits.
  cr_assert(refused > kMessages / 10 && complete > kMessages / 10, "%d %d",
            refused, complete);
}

// Guards against input behind a request that fills the memory while the request
// is answered.
Test(message_limit, input_behind_a_request_can_be_given_up) {
  constexpr std::size_t kAccount = 16 * 1024;
  io_pool pool(1);
  pool.message_memory().SetCapacity(kAccount);
  std::shared_ptr<http_exchange> held;
  std::atomic<int> requests{0};
  {
    http_server server(pool,
                       [&](const std::shared_ptr<http_exchange>& exchange) {
                         held = exchange;
                         ++requests;
                       });
    cr_assert(!Failed(server.Listen("127.0.0.1:0")));
    const raw_connection connection(server.address());
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    connection.Write(request);
    cr_assert(WaitFor([&] { return requests == 1; }));
    for (int i = 0; i < 2'000; ++i) {
      connection.Write(request);
    }
    cr_assert(
        WaitFor([&pool] { return pool.message_memory().taken_back() > 0; }));
    cr_expect(pool.message_memory().used() <= kAccount);
    held->Respond(http_response());
    held.reset();
    ExpectStatus(connection.Read(kAnswerLimit), "200");
    cr_expect(connection.IsClosedWithin(kAnswerLimit));
    cr_expect(requests == 1);
  }
  pool.Stop();
}
