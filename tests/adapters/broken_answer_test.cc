// Tests that broken answers of outside systems count as none.
#include <criterion/criterion.h>

#include <future>
#include <memory>
#include <string>

#include "gentian_adapters/gentian_adapters.h"
#include "support/broken_answers.h"
#include "support/synchronous_http.h"

using namespace gentian;
using gentian::testing::broken_answer;
using gentian::testing::BrokenAnswers;
using gentian::testing::early_server;
using gentian::testing::kEndlessUpload;
using gentian::testing::OutcomeOf;

namespace {

constexpr milliseconds kDeadline{10'000};

/** The last event of a call to a target that answers in this way. */
event EndOf(const broken_answer& answer, bool is_stream) {
  early_server target(answer.send);
  io_pool pool(2);
  std::promise<event> end;
  {
    http_target_gateway gateway(pool);
    gateway.SetSink([&end](event next) {
      if (!std::holds_alternative<target_accepted>(next) &&
          !std::holds_alternative<target_chunk>(next)) {
        end.set_value(std::move(next));
      }
    });
    dispatch_call call;
    call.id = 1;
    call.address = target.address();
    call.path = "/x";
    call.deadline = kDeadline;
    call.stream = is_stream;
    call.body = {{"text", std::string(kEndlessUpload, 'x')}};
    gateway.Dispatch(call);
    event last = end.get_future().get();
    pool.Stop();
    target.Stop();
    return last;
  }
}

void RequireBroken(const broken_answer& answer, bool is_stream) {
  const event end = EndOf(answer, is_stream);
  const auto* failed = std::get_if<target_failed>(&end);
  cr_assert(failed != nullptr && failed->failure == target_failure::broken,
            "%s", answer.name.c_str());
}

}  // namespace

// Guards against a tool call that counts as done because of a broken answer.
Test(broken_answer, of_a_tool_is_none, .timeout = 120) {
  for (const broken_answer& answer : BrokenAnswers("", "{}", true)) {
    RequireBroken(answer, false);
  }
}

// Guards against a stream of an engine that ends as complete in this way.
Test(broken_answer, of_an_engine_is_none, .timeout = 120) {
  for (const broken_answer& answer :
       BrokenAnswers("Content-Type: text/event-stream\r\n",
                     "data: {\"choices\":[]}\n\ndata: [DONE]\n\n", true)) {
    RequireBroken(answer, true);
  }
}

// Guards against an order to an engine that counts as carried out.
Test(broken_answer, to_an_order_is_none, .timeout = 120) {
  for (const broken_answer& answer :
       BrokenAnswers("", R"({"number":1,"holdings":[]})", false)) {
    early_server target(answer.send);
    io_pool pool(2);
    std::promise<bool> is_ok;
    http_target_gateway gateway(pool);
    gateway.SetSink([&is_ok](const event& next) {
      is_ok.set_value(std::get<target_order_answered>(next).ok);
    });
    order_target order;
    order.id = 1;
    order.address = target.address();
    order.body = list_cache{};
    gateway.Order(order);
    cr_assert(!is_ok.get_future().get(), "%s", answer.name.c_str());
    pool.Stop();
    target.Stop();
  }
}

// Guards against hosts that count as gone because of an empty list.
Test(broken_answer, of_a_host_list_is_none, .timeout = 120) {
  for (const broken_answer& answer : BrokenAnswers("", "[]", false)) {
    early_server service(answer.send);
    io_pool pool(2);
    std::promise<bool> has_failed;
    http_host_list hosts(pool, service.address());
    hosts.Read(
        [&has_failed](const auto& got) { has_failed.set_value(Failed(got)); });
    cr_assert(has_failed.get_future().get(), "%s", answer.name.c_str());
    pool.Stop();
    service.Stop();
  }
}

// Guards against a write that counts as done, and a listing or a watch that
// counts as read.
Test(broken_answer, of_a_key_value_service_is_none, .timeout = 240) {
  const std::string body = R"({"succeeded":true,"header":{"revision":"1"}})";
  kv_compare_and_swap write;
  write.key = "k";
  write.value = std::string(kEndlessUpload, 'x');
  for (const broken_answer& answer : BrokenAnswers("", body, true)) {
    cr_assert(OutcomeOf<etcd_key_value_store>(answer, write) ==
                  kv_answer::status::no_answer,
              "%s", answer.name.c_str());
  }
  for (const broken_answer& answer : BrokenAnswers("", body, false)) {
    cr_assert(OutcomeOf<etcd_key_value_store>(answer, kv_list{"k", false}) ==
                  kv_answer::status::no_answer,
              "%s", answer.name.c_str());
  }
}
