// Tests that the directory names no gateway that ended long ago.
#include <criterion/criterion.h>

#include <thread>

#include "platform/gateway_fixture.h"

using namespace gentian;
using gentian::testing::fake_target;
using gentian::testing::Fetch;
using gentian::testing::gateway_fixture;
using gentian::testing::WaitFor;

namespace {

// The gateway counts as able to serve for longer than the test takes.
constexpr milliseconds kWithdrawalBound{60'000};

/** A gateway among others that are there only as records. */
class directory_fixture {
 public:
  explicit directory_fixture(int others)
      : gateway([](const std::shared_ptr<http_exchange>& exchange,
                   int) { fake_target::RespondSealed(exchange, ""); },
                kWithdrawalBound) {
    for (int i = 0; i < others; ++i) {
      member_record other;
      other.host = "other-" + std::to_string(i);
      other.failure_domain = "y";
      other.caller_address = "10.0.0.1:" + std::to_string(i);
      other.peer_address = "127.0.0.1:1";
      gateway.store.Put(MemberKey(other.host), EncodeMember(other));
    }
    cr_assert(WaitFor(
        [&] { return Named() == static_cast<std::size_t>(others) + 1; }));
  }

  std::size_t Named() {
    http_client_request request;
    request.address = gateway.directory_address;
    request.target = "/resolve?name=h";
    const http_response answer = Fetch(gateway.client, request).response;
    return answer.status == 200
               ? json::parse(answer.body).at("addresses").size()
               : 0;
  }

  gateway_fixture gateway;
};

}  // namespace

// Guards against callers that crowd at the gateways that answer, because these
// name only themselves in an outage of the key-value service.
Test(directory_age,
     an_outage_of_the_service_removes_no_gateway,
     .timeout = 60) {
  directory_fixture subject(3);
  subject.gateway.store.SetUnavailable(true);
  for (int i = 0; i < 25; ++i) {
    std::this_thread::sleep_for(milliseconds(100));
    cr_assert(subject.Named() == 4, "%zu named", subject.Named());
  }
  subject.gateway.store.SetUnavailable(false);
  cr_assert(WaitFor([&] { return subject.Named() == 4; }));
}

// Guards against gateways that are named for 5 s more because most of them
// ended at once.
Test(directory_age, most_gateways_may_end_at_once, .timeout = 60) {
  directory_fixture subject(5);
  for (int i = 0; i < 5; ++i) {
    subject.gateway.store.Remove(MemberKey("other-" + std::to_string(i)));
  }
  std::this_thread::sleep_for(milliseconds(2'500));
  cr_assert(subject.Named() == 1, "%zu named", subject.Named());
}
