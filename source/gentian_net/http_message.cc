#include "gentian_net/http_message.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace gentian {

namespace {

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char left, unsigned char right) {
                      return std::tolower(left) == std::tolower(right);
                    });
}

error Malformed(const std::string& message) {
  return error{error_kind::malformed_request, message,
               "send a JSON body in UTF-8"};
}

}  // namespace

void http_headers::Add(std::string name, std::string value) {
  fields_.emplace_back(std::move(name), std::move(value));
}

std::string http_headers::Find(std::string_view name) const {
  for (const auto& [field_name, value] : fields_) {
    if (SameName(field_name, name)) {
      return value;
    }
  }
  return {};
}

http_response JsonResponse(int status, const json& body) {
  http_response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

http_response ErrorResponse(const error& reason) {
  http_response response =
      JsonResponse(HttpStatusOf(reason.kind), json{{"error", reason}});
  if (reason.retry_after) {
    const auto seconds = (reason.retry_after->count() + 999) / 1000;
    response.headers.Add("Retry-After", std::to_string(seconds));
  }
  return response;
}

result<json> ParseJsonBody(const std::string& text) {
  result<json> parsed = ParseBoundedJson(
      text,
      {std::numeric_limits<std::size_t>::max(), kMaxJsonDepth, kMaxJsonValues});
  if (Failed(parsed)) {
    return Malformed("the body can't be used: " + ErrorOf(parsed).message);
  }
  return parsed;
}

}  // namespace gentian
