#include "gentian_adapters/http_host_list.h"

#include <utility>

namespace gentian {

namespace {

constexpr milliseconds kDeadline{1'000};

error Unreadable(const std::string& reason) {
  return error{error_kind::unavailable,
               "the host list is not readable: " + reason,
               "check the host list's address in the daemon's settings"};
}

result<std::vector<host_list_entry>> Parse(const http_response& response) {
  const result<json> body = ParseJsonBody(response.body);
  constexpr int kOk = 200;
  if (response.status != kOk || Failed(body) || !ValueOf(body).is_array()) {
    return Unreadable("status " + std::to_string(response.status));
  }
  std::vector<host_list_entry> entries;
  for (const json& row : ValueOf(body)) {
    if (!row.is_object() || !row.contains("name") || !row["name"].is_string()) {
      return Unreadable("a row has no name");
    }
    entries.push_back(
        host_list_entry{row["name"].get<std::string>(),
                        row.contains("state") && row["state"] == "leaving"});
  }
  return entries;
}

}  // namespace

http_host_list::http_host_list(io_pool& pool, std::string address)
    : client_(pool), address_(std::move(address)) {}

void http_host_list::Read(answer_handler handler) {
  http_client_request request;
  request.address = address_;
  request.target = "/hosts";
  request.deadline = kDeadline;
  request.reuse_connection = true;
  const auto shared = std::make_shared<answer_handler>(std::move(handler));
  client_.Fetch(
      std::move(request),
      [shared](const http_response& response) { (*shared)(Parse(response)); },
      [shared](http_failure, const std::string& message) {
        (*shared)(Unreadable(message));
      });
}

}  // namespace gentian
