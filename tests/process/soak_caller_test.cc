// Tests that the soak's callers report answers that are broken.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "soak/caller.h"
#include "support/raw_server.h"

using namespace gentian;
using gentian::testing::raw_server;

namespace {

/** What a caller that got this answer reports. */
std::vector<std::string> ReportsOn(const std::string& answer) {
  raw_server gateway(
      [&answer](const raw_server::sender& send) { send(answer); });
  soak::judge seen;
  soak::caller subject(
      "c", 1, [&gateway](std::uint64_t) { return gateway.address(); }, seen);
  subject.RunOnce(milliseconds(0), false);
  return seen.Finish();
}

}  // namespace

// Guards against a soak that passes over answers which a caller can't read.
Test(soak_caller, broken_heads_are_reported, .timeout = 60) {
  using namespace std::string_literals;
  const std::string fields =
      "Request-Id: c-1\r\nResponse-Seal: s\r\nContent-Length: 8\r\n";
  const std::string body = "\r\ndone c-1";
  cr_assert(ReportsOn("HTTP/1.1 200 OK\r\n" + fields + body).empty());
  for (const char* status :
       {"000", "050", "099", "100", "600", "20", "2000", "2x0", "", " 200"}) {
    const auto reports =
        ReportsOn("HTTP/1.1 "s + status + " x\r\n" + fields + body);
    cr_assert(reports.size() == 1, "%s", status);
  }
  for (const std::string& field : {"X Y: 1"s, "X : 1"s, "X\0Y: 1"s, "X\x01: 1"s,
                                   " X: 1"s, "\tX: 1"s, ": 1"s, "X"s}) {
    const auto reports =
        ReportsOn("HTTP/1.1 200 OK\r\n" + fields + field + "\r\n" + body);
    cr_assert(reports.size() == 1, "%s", field.c_str());
  }
}
