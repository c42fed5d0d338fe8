// Tests that the soak's callers report answers that are broken.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "soak/caller.h"
#include "support/raw_server.h"

using namespace gentian;
using gentian::testing::raw_server;

namespace {

/** What a caller reports that got an answer with this status, and this line in
    its header. */
std::vector<std::string> ReportsOn(const std::string& status,
                                   const std::string& line) {
  std::string answer = "HTTP/1.1 ";
  answer += status;
  answer += " x\r\nRequest-Id: c-1\r\nResponse-Seal: s\r\n";
  answer += line;
  answer += "\r\nContent-Length: 8\r\n\r\ndone c-1";
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
  const std::string sound = "X: 1";
  cr_assert(ReportsOn("200", sound).empty());
  for (const char* status :
       {"000", "050", "099", "100", "600", "20", "2000", "2x0", "", " 200"}) {
    cr_assert(ReportsOn(status, sound).size() == 1, "%s", status);
  }
  for (const std::string& line : {"X Y: 1"s, "X : 1"s, "X\0Y: 1"s, "X\x01: 1"s,
                                  " X: 1"s, "\tX: 1"s, ": 1"s, "X"s}) {
    cr_assert(ReportsOn("200", line).size() == 1, "%s", line.c_str());
  }
}
