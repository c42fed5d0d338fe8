#ifndef TESTS_SUPPORT_BROKEN_ANSWERS_H_
#define TESTS_SUPPORT_BROKEN_ANSWERS_H_

#include <future>
#include <string>
#include <utility>
#include <vector>

#include "gentian_adapters/key_value_store.h"
#include "gentian_net/gentian_net.h"
#include "support/early_server.h"

namespace gentian::testing {

/** More than the buffers of a connection hold, so that an upload can't end. */
constexpr std::size_t kEndlessUpload = 32 * 1024 * 1024;

/** A form of broken answer, and the script that sends it. */
struct broken_answer {
  std::string name;
  early_server::script send;
};

/** Answers of servers in trouble that are no answers.

    @param fields      of the header
    @param body        that would be accepted in a sound answer
    @param has_upload  the request has a body of kEndlessUpload */
inline std::vector<broken_answer> BrokenAnswers(const std::string& fields,
                                                const std::string& body,
                                                bool has_upload) {
  const auto in_order = [](const std::string& text) {
    return [text](const std::string&, early_server::connection& caller) {
      caller.Send(text);
      caller.EndSending();
      caller.ReadRest();
    };
  };
  const std::string rest = "\r\n" + body;
  return {{"reset without a length",
           [=](const std::string&, early_server::connection& caller) {
             if (has_upload) {
               caller.AwaitBlockedSender();
             }
             caller.Send("HTTP/1.1 200 OK\r\n" + fields + rest);
             caller.AwaitReading();
             caller.Reset();
           }},
          {"status 000",
           in_order("HTTP/1.1 000 x\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n" + fields + rest)},
          {"blank in a name",
           in_order("HTTP/1.1 200 OK\r\n" + fields + "X Y: 1\r\n" + rest)},
          {"control byte in a name",
           in_order("HTTP/1.1 200 OK\r\n" + fields + "X\x01Y: 1\r\n" + rest)},
          {"folded line",
           in_order("HTTP/1.1 200 OK\r\nX: 1\r\n Y: 1\r\n" + fields + rest)}};
}

/** The outcome of an operation on a key-value service that answers in this way.

    @tparam Store  the adapter */
template <typename Store>
kv_answer::status OutcomeOf(const broken_answer& answer,
                            const kv_operation& operation) {
  constexpr milliseconds kDeadline{5'000};
  early_server service(answer.send);
  io_pool pool(2);
  std::promise<kv_answer> done;
  Store store(pool, service.address());
  store.Call(operation, kDeadline,
             [&done](kv_answer got) { done.set_value(std::move(got)); });
  const kv_answer got = done.get_future().get();
  pool.Stop();
  service.Stop();
  return got.outcome;
}

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_BROKEN_ANSWERS_H_
