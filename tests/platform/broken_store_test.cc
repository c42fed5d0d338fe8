// Tests that broken answers of the key-value service and of other daemons count
// as none.
#include <criterion/criterion.h>

#include <future>
#include <string>

#include "gentian_gateway_daemon/peer_client.h"
#include "platform/platform.h"
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

}  // namespace

// Guards against a write that counts as done, and a listing that counts as
// read.
Test(broken_store, a_broken_answer_is_none, .timeout = 240) {
  kv_compare_and_swap write;
  write.key = "k";
  write.value = std::string(kEndlessUpload, 'x');
  for (const broken_answer& answer : BrokenAnswers("", R"({"rev":1})", true)) {
    cr_assert(OutcomeOf<metadata_store>(answer, write) ==
                  kv_answer::status::no_answer,
              "%s", answer.name.c_str());
  }
  for (const broken_answer& answer :
       BrokenAnswers("", R"({"items":[],"as_of":1})", false)) {
    cr_assert(OutcomeOf<metadata_store>(answer, kv_list{"k", false}) ==
                  kv_answer::status::no_answer,
              "%s", answer.name.c_str());
  }
}

// Guards against another daemon's broken answer that is taken for its word.
Test(broken_store, a_broken_answer_of_a_peer_is_none, .timeout = 120) {
  for (const broken_answer& answer : BrokenAnswers("", "{}", true)) {
    early_server peer(answer.send);
    io_pool pool(2);
    http_client connections(pool);
    peer_client client(connections, {kDeadline, kDeadline});
    std::promise<bool> has_failed;
    client.Post(
        peer.address(), "/x", std::string(kEndlessUpload, 'x'),
        [&](const http_response&) { has_failed.set_value(false); },
        [&](http_failure failure, const std::string&) {
          has_failed.set_value(failure == http_failure::broken);
        });
    cr_assert(has_failed.get_future().get(), "%s", answer.name.c_str());
    pool.Stop();
    peer.Stop();
  }
}
