#include "gentian_daemon/credential_filter.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstring>
#include <string_view>
#include <utility>

namespace gentian {

namespace {

constexpr std::array<std::string_view, 5> kCredentialHeaders = {
    "authorization", "proxy-authorization", "x-api-key", "api-key", "cookie"};

constexpr std::array<std::string_view, 9> kCredentialFields = {
    "api_key", "apikey",       "api-key",       "x-api-key", "x_api_key",
    "key",     "access_token", "authorization", "bearer"};

constexpr std::string_view kRemoved = "[removed]";

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return text;
}

template <typename Names>
bool Contains(const Names& names, const std::string& name) {
  return std::find(names.begin(), names.end(), LowerCase(name)) != names.end();
}

std::string PresentedKey(const http_headers& headers) {
  const std::string authorization = headers.Find("Authorization");
  const std::string scheme = "bearer ";
  if (LowerCase(authorization.substr(0, scheme.size())) == scheme) {
    std::string key = authorization.substr(scheme.size());
    key.erase(0, key.find_first_not_of(' '));
    key.erase(key.find_last_not_of(' ') + 1);
    return key;
  }
  return headers.Find("X-Api-Key");
}

// Where the key is in the text, from a position on. Takes time in proportion to
// the text also for a key that nearly matches everywhere.
std::size_t FindKey(const std::string& text,
                    const std::string& key,
                    std::size_t start) {
  const void* found = ::memmem(text.data() + start, text.size() - start,
                               key.data(), key.size());
  return found == nullptr ? std::string::npos
                          : static_cast<std::size_t>(
                                static_cast<const char*>(found) - text.data());
}

// Never longer than the text: anybody may present a key of one letter, and a
// text that is full of it.
std::string WithoutKey(const std::string& text, const std::string& key) {
  std::size_t found = key.empty() ? std::string::npos : FindKey(text, key, 0);
  if (found == std::string::npos) {
    return text;
  }
  const std::string_view mark = kRemoved.substr(0, key.size());
  std::string rest;
  rest.reserve(text.size());
  std::size_t start = 0;
  while (found != std::string::npos) {
    rest.append(text, start, found - start);
    rest += mark;
    start = found + key.size();
    found = FindKey(text, key, start);
  }
  return rest.append(text, start, std::string::npos);
}

// Parameters are compared in decoded form, because %41 and A are the same.
std::string FilterTarget(const std::string& target, const std::string& key) {
  const std::size_t question = target.find('?');
  std::string filtered = target.substr(0, question);
  if (!key.empty() && PercentDecode(filtered).find(key) != std::string::npos) {
    filtered = WithoutKey(PercentDecode(filtered), key);
  }
  if (question == std::string::npos) {
    return filtered;
  }
  char separator = '?';
  std::size_t start = question + 1;
  while (start <= target.size()) {
    const std::size_t end = std::min(target.find('&', start), target.size());
    const std::string parameter = target.substr(start, end - start);
    const std::string decoded = PercentDecode(parameter);
    const std::string name = decoded.substr(0, decoded.find('='));
    const bool holds_key =
        !key.empty() && decoded.find(key) != std::string::npos;
    if (!parameter.empty() && !holds_key &&
        !Contains(kCredentialFields, name)) {
      filtered += separator + parameter;
      separator = '&';
    }
    start = end + 1;
  }
  return filtered;
}

json FilterValue(const json& value, const std::string& key) {
  if (value.is_string()) {
    return WithoutKey(value.get<std::string>(), key);
  }
  if (value.is_array()) {
    json filtered = json::array();
    for (const json& item : value) {
      filtered.push_back(FilterValue(item, key));
    }
    return filtered;
  }
  if (value.is_object()) {
    json filtered = json::object();
    for (const auto& [name, item] : value.items()) {
      filtered[WithoutKey(name, key)] = FilterValue(item, key);
    }
    return filtered;
  }
  return value;
}

}  // namespace

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escaped =
        text[i] == '%' && i + 2 < text.size() &&
        std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
    if (escaped) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

result<filtered_request> FilterCredentials(const http_request& request) {
  filtered_request filtered;
  filtered.key = PresentedKey(request.headers);
  filtered.target = FilterTarget(request.target, filtered.key);
  for (const auto& [name, value] : request.headers.fields()) {
    if (!Contains(kCredentialHeaders, name)) {
      filtered.headers.Add(name, WithoutKey(value, filtered.key));
    }
  }
  if (request.body.empty()) {
    return filtered;
  }
  result<json> parsed = ParseJsonBody(request.body);
  if (Failed(parsed)) {
    return ErrorOf(parsed);
  }
  json& body = ValueOf(parsed);
  if (body.is_object()) {
    // Credential fields are dropped at the top level only: deeper down they
    // can be a tool's own arguments.
    for (auto field = body.begin(); field != body.end();) {
      field = Contains(kCredentialFields, field.key()) ? body.erase(field)
                                                       : std::next(field);
    }
  }
  filtered.body =
      filtered.key.empty() ? std::move(body) : FilterValue(body, filtered.key);
  return filtered;
}

}  // namespace gentian
