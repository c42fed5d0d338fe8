// Gateways whose targets and key-value service answer with what a parser holds
// in a larger form than it was sent, or without an end.
#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "soak/key_value_server.h"
#include "support/hostile_server.h"
#include "support/limited_gateway.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

constexpr std::size_t kCallers = 40;

std::string CallerFields(std::size_t number) {
  return "Request-Id: r-" + std::to_string(number) +
         "\r\nX-Api-Key: k\r\nDeadline-Ms: 5000\r\n";
}

/** @param lines  more lines of the header of each request */
void ExposeToTarget(const hostile_answer& answer,
                    std::size_t callers_count = kCallers,
                    const std::string& lines = {}) {
  const exclusive_load alone;
  hostile_server target(answer);
  io_pool pool(1);
  soak::key_value_server store(pool,
                               [](const std::string&, const std::string&,
                                  const std::string& value) { return value; });
  store.Put("op/config",
            R"({"version":1,"routes":[{"name":"once","host":"h",)"
            R"("prefix":"/","kind":"non_idempotent","timeout_ms":5000,)"
            R"("service":"s"}],"limits":{},"services":[{"name":"s"}],)"
            R"("tenants":[{"name":"t","api_keys":["k"]}]})");
  store.Put("servers/i-1", R"({"service":"s","address":")" + target.address() +
                               R"(","zone":"z","slots":100,"state":"ready",)"
                               R"("seq":1,"born":1,"version":"v1"})");
  {
    limited_gateway gateway(store.Serve("host"));
    std::size_t number = 0;
    cr_assert(WaitFor([&] {
      AskAnew(gateway.callers(), "/x", CallerFields(++number));
      return target.requests() > 0;
    }));
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (std::size_t i = 0; i < callers_count; ++i) {
      callers.push_back(std::make_unique<raw_connection>(gateway.callers()));
      callers.back()->Write("GET /x HTTP/1.1\r\nHost: h\r\n" +
                            CallerFields(++number) + lines + "\r\n");
    }
    gateway.process().ObserveUntilSteady();
    ExpectSound(gateway.process(), gateway.callers(), "/x",
                limited_gateway::kMemoryMegabytes);
  }
  pool.Stop();
}

void ExposeToStore(const hostile_answer& answer) {
  const exclusive_load alone;
  const hostile_server store(answer);
  limited_gateway gateway(store.address());
  cr_assert(WaitFor([&] { return store.requests() > 0; }));
  gateway.process().ObserveUntilSteady();
  ExpectSound(gateway.process(), gateway.callers(), "/x",
              limited_gateway::kMemoryMegabytes);
}

const hostile_answer kTrailers{
    "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n"};
const hostile_answer kTrailer{
    "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "yyyyyyyy"};
const hostile_answer kExtension{
    "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "yyyyyyyy"};
const hostile_answer kLines{"200 OK\r\n", "a:\r\n"};
const hostile_answer kInterim{"100 Continue\r\n\r\n",
                              "HTTP/1.1 103 Early Hints\r\n\r\n"};

}  // namespace

// These tests guard against a gateway that is killed for want of memory by what
// one server answers.

Test(hostile_target, trailers_without_end, .timeout = 900) {
  ExposeToTarget(kTrailers);
}

Test(hostile_target, a_trailer_without_end, .timeout = 900) {
  ExposeToTarget(kTrailer);
}

Test(hostile_target, a_chunk_extension_without_end, .timeout = 900) {
  ExposeToTarget(kExtension);
}

Test(hostile_target, a_header_without_end, .timeout = 900) {
  ExposeToTarget(kLines);
}

Test(hostile_target, interim_answers_without_end, .timeout = 900) {
  ExposeToTarget(kInterim);
}

// Guards against fields of requests that wait for a silent target: once a
// request runs, its memory can't be given up.
Test(hostile_target, requests_of_many_lines_wait, .timeout = 900) {
  constexpr std::size_t kMany = 200;
  constexpr std::size_t kLegalHead = 15'000;
  std::string lines;
  while (lines.size() < kLegalHead) {
    lines += "a:\r\n";
  }
  ExposeToTarget({"200 OK\r\n", "a:\r\n", 1}, kMany, lines);
}

Test(hostile_store, trailers_without_end, .timeout = 900) {
  ExposeToStore(kTrailers);
}

Test(hostile_store, a_chunk_extension_without_end, .timeout = 900) {
  ExposeToStore(kExtension);
}

Test(hostile_store, a_header_without_end, .timeout = 900) {
  ExposeToStore(kLines);
}

Test(hostile_store, interim_answers_without_end, .timeout = 900) {
  ExposeToStore(kInterim);
}
