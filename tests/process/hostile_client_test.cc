// Processes whose clients send what a parser holds in a larger form than it was
// sent, or without an end. The bounds are those of the settings.
#include <criterion/criterion.h>

#include <functional>
#include <string>
#include <thread>

#include "gentian_adapters/gentian_adapters.h"
#include "support/hostile_crowd.h"
#include "support/limited_gateway.h"
#include "support/observed_process.h"
#include "support/raw_connection.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

// A daemon that `serve` runs has no setting for its memory.
constexpr std::size_t kServeMegabytes = 96;
constexpr std::size_t kFew = 60;
constexpr std::size_t kMany = 500;
constexpr std::size_t kMost = 800;
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kEndless = 4 * kMegabyte;
constexpr milliseconds kPollInterval{20};
constexpr const char* kHead = "POST /x HTTP/1.1\r\nHost: h\r\n";
constexpr const char* kChunked =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
// Takes the most memory for each byte that is sent.
constexpr const char* kShortLine = "a:\r\n";

// Sends the end of a body byte for byte.
void SendInParts(const std::string& address) {
  constexpr std::chrono::milliseconds kPause{20};
  for (const char* end : {"0\r\n\r\n", "1\r\nx\r\n0\r\n\r\n"}) {
    const raw_connection connection(address);
    connection.Write(kChunked);
    for (const char next : std::string(end)) {
      std::this_thread::sleep_for(kPause);
      connection.Write(std::string(1, next));
    }
  }
}

// Does to a process what its address is needed for.
using exposure =
    std::function<void(observed_process& process, const std::string& address)>;

// Has connections send to a process, and watches it meanwhile.
exposure Crowd(std::size_t connections, const hostile_input& input) {
  return [connections, input](observed_process& process,
                              const std::string& address) {
    hostile_crowd crowd(address, connections);
    crowd.Send(input, [&process] { process.Observe(); });
    process.ObserveUntilSteady();
  };
}

// A gateway without a key-value service.
void ExposeGateway(const exposure& expose) {
  const exclusive_load alone;
  limited_gateway gateway("127.0.0.1:1");
  expose(gateway.process(), gateway.callers());
  ExpectSound(gateway.process(), gateway.callers(), "/x",
              limited_gateway::kMemoryMegabytes);
}

void ExposeGateway(std::size_t connections, const hostile_input& input) {
  ExposeGateway(Crowd(connections, input));
}

// Starts a daemon with a key-value service.
void ExposeServe(const exposure& expose) {
  const exclusive_load alone;
  const process_folder folder;
  io_pool pool(1);
  key_value_fake values;
  etcd_fake_server service(pool, values);
  http_server http(pool,
                   [&](const auto& exchange) { service.Serve(exchange); });
  cr_assert(!Failed(http.Listen("127.0.0.1:0")));
  const std::string callers = ProcessIp() + ":18368";
  const std::string settings = folder.Write(
      "a.ini",
      "[daemon]\nhost = a\nfailure_domain = f\npeer_address = " + ProcessIp() +
          ":18370\ncaller_address = " + callers + "\n[peers]\nkey_file = " +
          folder.Write("key", "0123456789abcdef0123456789abcdef\n") +
          "\n[key-value]\naddress = " + http.address() + "\n");
  {
    observed_process process({"serve", settings});
    while (!raw_connection(callers).connected()) {
      std::this_thread::sleep_for(kPollInterval);
    }
    expose(process, callers);
    ExpectSound(process, callers, "/v1/addresses", kServeMegabytes);
  }
  http.Stop();
  pool.Stop();
}

void ExposeServe(std::size_t connections, const hostile_input& input) {
  ExposeServe(Crowd(connections, input));
}

hostile_input LongTrailer() {
  return {kChunked + std::string("1\r\nx\r\n0\r\nA: "), "yyyyyyyy", kEndless};
}

hostile_input ShortTrailers() {
  return {kChunked + std::string("1\r\nx\r\n0\r\n"), kShortLine, kEndless};
}

hostile_input LongExtension() {
  return {kChunked + std::string("1;"), "yyyyyyyy", kEndless};
}

hostile_input ShortLines(std::size_t bytes) {
  return {kHead, kShortLine, bytes};
}

// The head ends, and a body is awaited.
hostile_input AwaitedBody(std::size_t bytes) {
  return {kHead + std::string("Content-Length: 10\r\n"), kShortLine, bytes,
          "\r\n"};
}

constexpr std::size_t kUncountedHead = 7'800;
constexpr std::size_t kLegalHead = 15'000;
constexpr std::size_t kLargeHead = 60'000;
constexpr std::size_t kEndlessHead = kMegabyte;

}  // namespace

// These tests guard against a process that is killed for want of memory by a
// few clients. Its parser held a trailer or the extension of a chunk as a
// whole, without a bound.

Test(hostile_client, a_trailer_without_end, .timeout = 900) {
  ExposeGateway(kFew, LongTrailer());
}

Test(hostile_client, trailers_without_end, .timeout = 900) {
  ExposeGateway(kFew, ShortTrailers());
}

Test(hostile_client, a_chunk_extension_without_end, .timeout = 900) {
  ExposeGateway(kFew, LongExtension());
}

// Guards against a process that ends when a client sends the last chunk of a
// body in parts: an assertion of its parser ended it.

Test(hostile_client, the_last_chunk_in_parts, .timeout = 900) {
  ExposeGateway([](observed_process&, const std::string& address) {
    SendInParts(address);
  });
}

Test(hostile_serve, the_last_chunk_in_parts, .timeout = 900) {
  ExposeServe([](observed_process&, const std::string& address) {
    SendInParts(address);
  });
}

// Each line of a head took some hundred bytes, which nothing counted.

Test(hostile_client, short_lines_below_the_counted_size, .timeout = 900) {
  ExposeGateway(kMany, ShortLines(kUncountedHead));
}

Test(hostile_client, short_lines_and_an_awaited_body, .timeout = 900) {
  ExposeGateway(kMany, AwaitedBody(kUncountedHead));
}

Test(hostile_client, heads_of_legal_size, .timeout = 900) {
  ExposeGateway(kMost, ShortLines(kLegalHead));
}

Test(hostile_client, heads_of_legal_size_and_an_awaited_body, .timeout = 900) {
  ExposeGateway(kMost, AwaitedBody(kLegalHead));
}

Test(hostile_client, heads_beyond_the_limit, .timeout = 900) {
  ExposeGateway(kMost, ShortLines(kLargeHead));
}

// The limit of a header applied to what one read left of it.
Test(hostile_client, a_head_without_end, .timeout = 900) {
  ExposeGateway(kFew, ShortLines(kEndlessHead));
}

Test(hostile_client, odd_lines, .timeout = 900) {
  ExposeGateway(kMost, {kHead, "a:\r\n \r\n!:\t \r\n", kLegalHead});
}

Test(hostile_client, pipelined_heads, .timeout = 900) {
  std::string lines;
  while (lines.size() < kUncountedHead) {
    lines += kShortLine;
  }
  ExposeGateway(kMany, {"", kHead + lines + "\r\n", 8 * kUncountedHead});
}

Test(hostile_serve, a_trailer_without_end, .timeout = 900) {
  ExposeServe(kFew, LongTrailer());
}

Test(hostile_serve, trailers_without_end, .timeout = 900) {
  ExposeServe(kFew, ShortTrailers());
}

Test(hostile_serve, a_chunk_extension_without_end, .timeout = 900) {
  ExposeServe(kFew, LongExtension());
}

Test(hostile_serve, a_head_without_end, .timeout = 900) {
  ExposeServe(kFew, ShortLines(kEndlessHead));
}

Test(hostile_serve, heads_of_legal_size_and_an_awaited_body, .timeout = 900) {
  ExposeServe(kFew, AwaitedBody(kLegalHead));
}

// Guards against long messages on links of daemons that have not shown the
// cluster's key.
Test(hostile_serve, long_messages_before_the_key, .timeout = 900) {
  // A masked text message of 32 MB.
  const std::string frame("\x81\xff\0\0\0\0\x02\0\0\0\0\0\0\0", 14);
  const hostile_input input{
      "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n" +
          frame,
      "yyyyyyyy", kEndless};
  ExposeServe([&input](observed_process& process, const std::string&) {
    Crowd(kFew, input)(process, ProcessIp() + ":18370");
  });
}
