// Tests that exceptions in the calls of the key-value service end none of the
// work that a daemon repeats.
#include <criterion/criterion.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <new>

#include "platform/gateway_fixture.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

enum class fault { none, in_call, in_handler };

// Throws in the calls of a daemon, or when their answers are handled.
class faulty_store : public key_value_store {
 public:
  explicit faulty_store(key_value_store& store) : store_(store) {}

  void Call(const kv_operation& operation,
            milliseconds deadline,
            answer_handler handler) override {
    if (present == fault::in_call) {
      throw std::bad_alloc();
    }
    store_.Call(operation, deadline,
                [this, handler = std::move(handler)](kv_answer answer) {
                  if (present == fault::in_handler) {
                    throw std::bad_alloc();
                  }
                  handler(std::move(answer));
                });
  }

  std::atomic<fault> present{fault::none};

 private:
  key_value_store& store_;
};

// A gateway daemon whose key-value service can be given faults.
class faulty_gateway {
 public:
  explicit faulty_gateway(fault first) {
    faulty.present = first;
    store.Put("op/config",
              R"({"version":1,"routes":[{"name":"once","host":"h",)"
              R"("prefix":"/once/","kind":"non_idempotent",)"
              R"("timeout_ms":2000,"service":"s"}],"services":[{"name":"s",)"
              R"("engine":{"tokens_per_event":10}}],"tenants":[{"name":"t",)"
              R"("api_keys":["k"]}]})");
    daemon = std::make_unique<gateway_daemon>(
        daemon_pool, faulty, protocol, gateway_fixture::Settings(0), "start-1");
    cr_assert(!Failed(daemon->Start()));
  }

  ~faulty_gateway() {
    daemon_pool.Stop();
    pool.Stop();
  }

  int Readiness() {
    http_client_request request;
    request.address = gateway_fixture::Settings(0).readiness_address;
    request.target = "/readiness";
    return Fetch(client, request).response.status;
  }

  bool BecomesReady() {
    return WaitFor([this] { return Readiness() == 200; });
  }

  std::atomic<int> exceptions{0};
  io_pool pool{2};
  io_pool daemon_pool{1, [this](const std::string&) { ++exceptions; }};
  fake_metadata_store store;
  fake_store_client store_client{store, daemon_pool};
  faulty_store faulty{store_client};
  platform_protocol protocol;
  http_client client{pool};
  std::unique_ptr<gateway_daemon> daemon;
};

}  // namespace

// Guards against a gateway that never reads its configuration or its members
// again after exceptions in the reads.
Test(gateway_exceptions, reads_go_on, .timeout = 60) {
  for (const fault present : {fault::in_call, fault::in_handler}) {
    faulty_gateway gateway(fault::none);
    cr_assert(gateway.BecomesReady());
    gateway.faulty.present = present;
    cr_assert(WaitFor([&] { return gateway.Readiness() == 503; }));
    gateway.faulty.present = fault::none;
    cr_assert(gateway.BecomesReady());
    cr_assert(gateway.exceptions > 0);
  }
}

// Guards against a gateway that is never registered after an exception in its
// registration.
Test(gateway_exceptions, the_registration_goes_on, .timeout = 60) {
  faulty_gateway gateway(fault::in_handler);
  cr_assert(WaitFor([&] { return gateway.exceptions >= 3; }));
  gateway.faulty.present = fault::none;
  cr_assert(gateway.BecomesReady());
  const std::string key = MemberKey("host");
  cr_assert(WaitFor([&] { return !gateway.store.Value(key).empty(); }));
}

// Guards against a gateway that never ends after an exception during its stop.
Test(gateway_exceptions, the_stop_goes_on, .timeout = 60) {
  faulty_gateway gateway(fault::none);
  cr_assert(gateway.BecomesReady());
  gateway.faulty.present = fault::in_call;
  std::promise<void> stopped;
  boost::asio::post(gateway.daemon_pool.context(), [&] {
    gateway.daemon->Stop([&stopped] { stopped.set_value(); });
  });
  cr_assert(stopped.get_future().wait_for(std::chrono::seconds(20)) ==
            std::future_status::ready);
}
