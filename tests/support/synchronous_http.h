#ifndef TESTS_SUPPORT_SYNCHRONOUS_HTTP_H_
#define TESTS_SUPPORT_SYNCHRONOUS_HTTP_H_

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "gentian_net/gentian_net.h"

namespace gentian::testing {

/** Outcome of one request: an answer or how it failed. */
struct http_outcome {
  http_response response;
  std::optional<http_failure> failure;
};

/** Sends a request and waits for its end. */
inline http_outcome Fetch(http_client& client, http_client_request request) {
  auto done = std::make_shared<std::promise<http_outcome>>();
  auto outcome = done->get_future();
  client.Fetch(
      std::move(request),
      [done](http_response response) {
        done->set_value(http_outcome{std::move(response), std::nullopt});
      },
      [done](http_failure failure, const std::string& message) {
        http_outcome failed;
        failed.response.body = message;
        failed.failure = failure;
        done->set_value(std::move(failed));
      });
  return outcome.get();
}

/** What a caller received of one answer. */
struct received_answer {
  int status = 0;
  http_headers headers;
  std::string body;
  /** The answer ended as a complete one. */
  bool is_whole = false;
  std::optional<http_failure> failure;
};

/** Sends a request and waits for the end of its answer, whole or broken off.

    @param on_part  runs when a part of the body has come */
inline received_answer Receive(http_client& client,
                               http_client_request request,
                               std::function<void()> on_part = nullptr) {
  const auto received = std::make_shared<received_answer>();
  const auto done = std::make_shared<std::promise<void>>();
  http_client_handlers handlers;
  handlers.on_header = [received](int status, const http_headers& headers) {
    received->status = status;
    received->headers = headers;
  };
  handlers.on_body = [received,
                      on_part = std::move(on_part)](std::string_view bytes) {
    received->body += bytes;
    if (on_part) {
      on_part();
    }
  };
  handlers.on_end = [received, done] {
    received->is_whole = true;
    done->set_value();
  };
  handlers.on_failure = [received, done](http_failure failure,
                                         const std::string&) {
    received->failure = failure;
    done->set_value();
  };
  client.Send(std::move(request), std::move(handlers));
  done->get_future().wait();
  return *received;
}

/** A request with a JSON body. */
inline http_client_request PostRequest(const std::string& address,
                                       const std::string& target,
                                       const std::string& body) {
  http_client_request request;
  request.address = address;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return request;
}

/** Waits until a condition holds; false after the limit. */
template <typename Condition>
bool WaitFor(Condition condition, milliseconds limit = milliseconds(10'000)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_SYNCHRONOUS_HTTP_H_
