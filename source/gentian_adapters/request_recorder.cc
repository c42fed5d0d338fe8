#include "gentian_adapters/request_recorder.h"

#include <algorithm>
#include <utility>

namespace gentian {

namespace {

constexpr std::size_t kKeptRequests = 1'000;

}  // namespace

void request_recorder::Add(const http_request& request) {
  if (requests_.size() >= kKeptRequests) {
    return;
  }
  std::string text = request.target + "\n" + request.body;
  for (const auto& [name, value] : request.headers.fields()) {
    text.append("\n").append(name).append(": ").append(value);
  }
  requests_.push_back(std::move(text));
}

bool request_recorder::HasSeen(const std::string& text) const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [&](const std::string& request) {
                       return request.find(text) != std::string::npos;
                     });
}

}  // namespace gentian
