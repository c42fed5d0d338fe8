// The record of a process that ends while calls to the key-value service are on
// their way.
#include "gentian_gateway_daemon/lease_registration.h"

#include <criterion/criterion.h>

#include <deque>
#include <utility>

#include "support/fake_kv_service.h"

using namespace gentian;

namespace {

constexpr const char* kKey = "members/host";
constexpr const char* kRecord = "predecessor";
constexpr const char* kSuccessor = "successor";

// Runs calls and answers them when it is told to.
class held_store : public key_value_store {
 public:
  void Call(const kv_operation& operation,
            milliseconds /*deadline*/,
            answer_handler handler) override {
    calls_.emplace_back(operation, std::move(handler));
  }

  void RunNext() {
    const auto [operation, handler] = std::move(calls_.front());
    calls_.pop_front();
    handler(*service.Run(operation, BootTimeNow()));
  }

  void RunAll() {
    while (!calls_.empty()) {
      RunNext();
    }
  }

  fake_kv_service service;

 private:
  std::deque<std::pair<kv_operation, answer_handler>> calls_;
};

struct registration_fixture {
  ~registration_fixture() { pool.Stop(); }

  io_pool pool{1};
  held_store store;
  counter_set counters;
  lease_registration registration{pool,     store,
                                  kKey,     [] { return std::string(kRecord); },
                                  counters, [](bool, steady_time) {}};
};

}  // namespace

// Guards against a process that writes its record over the one of its
// successor, without a lease, once it has ended its registration.
Test(lease_registration, an_ended_one_keeps_the_record_of_the_successor) {
  registration_fixture fixture;
  fixture.registration.Start();
  fixture.store.RunAll();
  cr_assert(fixture.store.service.Find(kKey) == kRecord);
  fixture.registration.Update();
  fixture.registration.End();
  fixture.store.service.Put(kKey, kSuccessor);
  fixture.store.RunAll();
  const std::string left =
      fixture.store.service.Find(kKey).value_or("no record");
  cr_assert(left == kSuccessor, "the record is '%s'", left.c_str());
}

// Guards against a process that is listed after its end because it was still
// registering: others send to it until its lease expires.
Test(lease_registration, one_that_ends_early_leaves_no_record) {
  // Of the two calls that register: those that run before the end.
  for (const int run : {0, 1}) {
    registration_fixture fixture;
    fixture.registration.Start();
    for (int i = 0; i < run; ++i) {
      fixture.store.RunNext();
    }
    fixture.registration.End();
    fixture.store.RunAll();
    cr_assert(!fixture.store.service.Find(kKey), "a record is left, %d", run);
  }
}
