// Tests that metrics tell apart what may use up the host of a process.
#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "platform/gateway_fixture.h"
#include "support/raw_connection.h"

using namespace gentian;
using namespace gentian::testing;

// Guards against a gateway that is killed for want of memory or can't open
// descriptors, and whose metrics did not show what took them.
Test(connection_report, shows_connections_beside_the_limits) {
  gateway_fixture subject(
      [](const std::shared_ptr<http_exchange>& exchange, int) {
        fake_target::RespondSealed(exchange, "");
      });
  constexpr int kConnections = 20;
  std::vector<std::unique_ptr<raw_connection>> idle;
  idle.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    idle.push_back(
        std::make_unique<raw_connection>(subject.Settings(0).caller_address));
  }
  cr_assert(WaitFor([&subject] {
    return subject.Gauge("open_connections_callers") >= kConnections;
  }));
  cr_assert(subject.Gauge("refused_connections_callers") == 0);
  cr_assert(subject.Gauge("open_descriptors") > kConnections);
  cr_assert(subject.Gauge("descriptor_limit") >=
            subject.Gauge("open_descriptors"));
  cr_assert(subject.Gauge("resident_bytes") > 0);
  cr_assert(subject.Gauge("memory_limit_bytes") == 0);
}
