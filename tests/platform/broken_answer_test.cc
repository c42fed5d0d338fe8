// Tests that broken answers of a target don't reach callers as answers.
#include <criterion/criterion.h>

#include <functional>
#include <future>
#include <string>
#include <utility>

#include "platform/gateway_fixture.h"
#include "support/early_server.h"
#include "support/scripted_target.h"

using namespace gentian;
using gentian::testing::early_server;
using gentian::testing::fake_target;
using gentian::testing::gateway_fixture;
using gentian::testing::Receive;
using gentian::testing::received_answer;
using gentian::testing::scripted_target;
using gentian::testing::WaitFor;

namespace {

// More than the buffers of a connection hold, so that the upload can't end.
constexpr std::size_t kUpload = 32 * 1024 * 1024;
// A broken answer is noticed long before.
constexpr milliseconds kDeadline{10'000};
constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
constexpr const char* kSecondEvent = "id: 2\ndata: b\n\n";

/** The beginning of a signed answer. */
std::string Head(const std::string& request,
                 const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status +
         "\r\nRequest-Id: " + scripted_target::FieldOf(request, "Request-Id") +
         "\r\nResponse-Seal: s\r\n";
}

/** A gateway whose only target answers requests at the end of their header. */
class early_target {
 public:
  explicit early_target(early_server::script answer)
      : target([answer = std::move(answer)](const std::string& header,
                                            early_server::connection& caller) {
          if (scripted_target::FieldOf(header, "Request-Id").rfind("warm", 0) !=
              0) {
            answer(header, caller);
            return;
          }
          caller.Send(Head(header) +
                      "Connection: close\r\nContent-Length: 4\r\n\r\nwarm");
          caller.EndSending();
        }),
        gateway([](const std::shared_ptr<http_exchange>& exchange, int) {
          fake_target::RespondSealed(exchange, "");
        }) {
    json configuration = json::parse(gateway.store.Value("op/config"));
    configuration["version"] = ++gateway.version;
    configuration["limits"]["max_body_bytes"] = kUpload;
    for (json& route : configuration["routes"]) {
      route["timeout_ms"] = kDeadline.count();
    }
    gateway.store.Put("op/config", configuration.dump());
    gateway.store.Remove("servers/i-1");
    gateway.RegisterTarget("early", target.address(), "v1");
    // Bodies of this size are refused until the configuration is applied.
    cr_assert(WaitFor([this] {
      return Send("/once/x", "warm-" + std::to_string(++warm_),
                  std::string(kUpload, 'x'))
                 .body == "warm";
    }));
  }
  ~early_target() { target.Stop(); }

  /** @param on_part  runs when a part of the body has come */
  received_answer Send(const std::string& path,
                       const std::string& id,
                       const std::string& body = {},
                       std::function<void()> on_part = nullptr) {
    http_client_request request = gateway.Request(path);
    request.headers = http_headers();
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", id);
    request.headers.Add("X-Api-Key", "k");
    request.headers.Add("Deadline-Ms", std::to_string(kDeadline.count()));
    request.body = body;
    return Receive(gateway.client, std::move(request), std::move(on_part));
  }

  early_server target;
  gateway_fixture gateway;

 private:
  int warm_ = 0;
};

/** Requires that callers get a failure of the gateway in place of this answer,
    which comes with a connection that stays open. */
void RequireRefused(
    const std::function<std::string(const std::string& request)>& answer) {
  early_target subject(
      [&](const std::string& header, early_server::connection& caller) {
        caller.Send(answer(header));
        caller.ReadRest();
      });
  for (const char* path : {"/once/x", "/turn/x"}) {
    const received_answer got = subject.Send(path, "r1");
    cr_assert(got.status == 502, "%s: %d '%s' in place of '%s'", path,
              got.status, got.body.c_str(), answer("").c_str());
  }
}

}  // namespace

// Guards against a part of an answer that reaches the caller as a whole one:
// the target resets its connection while the request is being written to it.
Test(broken_answer, a_reset_during_the_upload_is_no_end, .timeout = 120) {
  early_target subject(
      [](const std::string& header, early_server::connection& caller) {
        caller.AwaitBlockedSender();
        caller.Send(Head(header) + "\r\npart");
        caller.AwaitReading();
        caller.Reset();
      });
  constexpr int kRounds = 10;
  for (int i = 0; i < kRounds; ++i) {
    const received_answer got = subject.Send("/once/x", "r" + std::to_string(i),
                                             std::string(kUpload, 'x'));
    cr_assert(got.status == 502, "round %d: %d '%s'", i, got.status,
              got.body.c_str());
  }
}

// Guards against a stream that ends early and looks complete for the same
// reason. It goes on after the event that has come.
Test(broken_answer, a_reset_during_the_upload_ends_no_stream, .timeout = 60) {
  std::promise<void> first_event;
  early_target subject(
      [&](const std::string& header, early_server::connection& caller) {
        caller.Send(Head(header) + "Content-Type: text/event-stream\r\n\r\n");
        if (scripted_target::FieldOf(header, "Last-Event-Id").empty()) {
          caller.AwaitBlockedSender();
          caller.Send(kFirstEvent);
          first_event.get_future().wait();
          caller.Reset();
          return;
        }
        caller.Send(kSecondEvent);
        caller.EndSending();
        caller.ReadRest();
      });
  bool has_part = false;
  const received_answer got =
      subject.Send("/turn/x", "r1", std::string(kUpload, 'x'), [&] {
        if (!std::exchange(has_part, true)) {
          first_event.set_value();
        }
      });
  cr_assert(got.is_whole && got.body == std::string(kFirstEvent) + kSecondEvent,
            "%s '%s'", got.is_whole ? "whole" : "broken off", got.body.c_str());
}

// Guards against an early answer that is lost although it is whole.
Test(broken_answer, an_early_answer_in_order_is_whole, .timeout = 60) {
  early_target subject(
      [](const std::string& header, early_server::connection& caller) {
        caller.Send(Head(header) + "\r\nall");
        caller.EndSending();
        caller.ReadRest();
      });
  const received_answer got =
      subject.Send("/once/x", "r1", std::string(kUpload, 'x'));
  cr_assert(got.status == 200 && got.is_whole && got.body == "all", "%d '%s'",
            got.status, got.body.c_str());
}

// Guards against an answer with a status that HTTP doesn't have, and against a
// caller who waits for another one until the deadline.
Test(broken_answer, a_status_that_is_none_is_no_answer, .timeout = 120) {
  for (const char* status : {"000", "050", "099", "101", "600", "999"}) {
    RequireRefused([status](const std::string& request) {
      return Head(request, std::string(status) + " x") +
             "Content-Length: 2\r\n\r\nno";
    });
  }
}

// Guards against an answer that is passed on with a field under another name,
// or with a body that is not the target's.
Test(broken_answer, a_name_with_a_blank_is_no_field, .timeout = 120) {
  using namespace std::string_literals;
  for (const std::string& field :
       {"Content-Length : 2"s, "Content\0Length: 2"s, "X Y: 1"s, "X\x01Y: 1"s,
        " Content-Length: 2"s, "\tX: 1"s}) {
    RequireRefused([&field](const std::string& request) {
      return Head(request) + field + "\r\nContent-Length: 2\r\n\r\nno";
    });
    RequireRefused([&field](const std::string& request) {
      return "HTTP/1.1 200 OK\r\n" + field +
             Head(request).substr(std::string("HTTP/1.1 200 OK").size()) +
             "Content-Length: 2\r\n\r\nno";
    });
  }
}
