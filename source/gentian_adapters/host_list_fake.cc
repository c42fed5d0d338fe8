#include "gentian_adapters/host_list_fake.h"

#include <utility>

namespace gentian {

void host_list_fake::Set(const std::string& name, bool leaving) {
  const std::lock_guard<std::mutex> lock(mutex_);
  leaving_[name] = leaving;
}

void host_list_fake::Read(answer_handler handler) {
  std::vector<host_list_entry> entries;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [name, leaving] : leaving_) {
      entries.push_back(host_list_entry{name, leaving});
    }
  }
  handler(std::move(entries));
}

void host_list_fake::Serve(const std::shared_ptr<http_exchange>& exchange) {
  const http_request& request = exchange->request();
  const std::string prefix = "/hosts/";
  constexpr int kOk = 200;
  if (request.method == "PUT" && request.Path().rfind(prefix, 0) == 0) {
    Set(request.Path().substr(prefix.size()), request.body == "leaving");
    exchange->Respond(JsonResponse(kOk, json::object()));
    return;
  }
  json rows = json::array();
  Read([&rows](const result<std::vector<host_list_entry>>& entries) {
    for (const host_list_entry& entry : ValueOf(entries)) {
      rows.push_back({{"name", entry.name},
                      {"state", entry.leaving ? "leaving" : "live"}});
    }
  });
  exchange->Respond(JsonResponse(kOk, rows));
}

}  // namespace gentian
