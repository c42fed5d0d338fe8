#include "gentian_net/http_message.h"

#include <algorithm>
#include <cctype>

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
  bool too_deep = false;
  const auto limit_depth = [&](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxJsonDepth;
    return !too_deep;
  };
  try {
    json parsed = json::parse(text, limit_depth);
    if (too_deep) {
      return Malformed("the body is nested too deeply");
    }
    return parsed;
  } catch (const json::exception&) {
    // The exception text can quote the body, which may hold a prompt.
    return Malformed("the body is not valid JSON");
  }
}

}  // namespace gentian
