#include "gentian_daemon/admin_call.h"

#include <openssl/crypto.h>

#include <array>
#include <charconv>
#include <utility>

#include "gentian_net/http_message.h"

namespace gentian {

namespace {

constexpr const char* kPrefix = "/admin/v1/";
// Bounds the work that one request can cause in the decision loop.
constexpr std::size_t kMostChanges = 10'000;

error Malformed(std::string message, std::string remedy) {
  return error{error_kind::malformed_request, std::move(message),
               std::move(remedy)};
}

struct split_target {
  std::string path;
  std::string query;
};

split_target Split(const std::string& target) {
  const auto mark = target.find('?');
  if (mark == std::string::npos) {
    return {target, ""};
  }
  return {target.substr(0, mark), target.substr(mark + 1)};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

result<std::uint64_t> QueryNumber(const std::string& query,
                                  const std::string& name) {
  const std::string start = name + "=";
  const auto number =
      query.compare(0, start.size(), start) == 0
          ? ParseNumber(std::string_view(query).substr(start.size()))
          : std::nullopt;
  if (!number) {
    return Malformed("the query '" + query + "' is not understood",
                     "write ?" + start + "NUMBER");
  }
  return *number;
}

result<json> ParseBody(const std::string& body) {
  if (body.size() > kMostAdminBodyBytes) {
    return error{error_kind::too_large, "the request body is too large",
                 "split the change into several"};
  }
  result<json> parsed = ParseJsonBody(body);
  if (Failed(parsed) || !ValueOf(parsed).is_object()) {
    return Malformed("the body is not a JSON object",
                     "send a JSON object as docs/operators.md shows");
  }
  return parsed;
}

using reading = result<admin_operation>;
using reader = reading (*)(const std::string& query, const std::string& body);

reading ReadStatus(const std::string& /*query*/, const std::string& /*body*/) {
  return admin_operation(read_status{});
}

reading ReadSettings(const std::string& /*query*/,
                     const std::string& /*body*/) {
  return admin_operation(read_settings{});
}

reading ReadHistory(const std::string& query, const std::string& /*body*/) {
  if (query.empty()) {
    return admin_operation(read_changes{0});
  }
  const auto from = QueryNumber(query, "from");
  if (Failed(from)) {
    return ErrorOf(from);
  }
  return admin_operation(read_changes{ValueOf(from)});
}

reading ReadRollout(const std::string& query, const std::string& /*body*/) {
  const auto version = QueryNumber(query, "version");
  if (Failed(version)) {
    return ErrorOf(version);
  }
  return admin_operation(read_rollout{ValueOf(version)});
}

// The whole body is read before anything is passed on, so that a body with one
// mistake changes nothing.
reading ReadApply(const std::string& /*query*/, const std::string& body) {
  const auto parsed = ParseBody(body);
  if (Failed(parsed)) {
    return ErrorOf(parsed);
  }
  apply_changes apply;
  try {
    const json& version = ValueOf(parsed).at("expected_version");
    if (!version.is_number_unsigned()) {
      return Malformed("expected_version is not a whole number",
                       "send the version that the change is based on");
    }
    apply.expected_version = version.get<std::uint64_t>();
    apply.changes.comment = ValueOf(parsed).value("comment", "");
    apply.changes.changes =
        ValueOf(parsed).at("changes").get<std::vector<settings_change>>();
  } catch (const json::exception& failure) {
    return Malformed(failure.what(),
                     "send expected_version, comment and changes with "
                     "section, key and value");
  }
  if (apply.changes.changes.empty()) {
    return Malformed("the change set is empty", "send at least one change");
  }
  if (apply.changes.changes.size() > kMostChanges) {
    return error{error_kind::too_large, "the change set is too large",
                 "send at most 10000 changes at once"};
  }
  return admin_operation(std::move(apply));
}

reading ReadWithdraw(const std::string& /*query*/, const std::string& body) {
  const auto parsed = ParseBody(body);
  if (Failed(parsed)) {
    return ErrorOf(parsed);
  }
  const json& fields = ValueOf(parsed);
  const auto hash = fields.find("key_hash");
  const value_rule rule{value_type::sha256};
  if (hash == fields.end() || !hash->is_string() ||
      std::holds_alternative<value_mistake>(
          ParseValue(rule, hash->get<std::string>()))) {
    return Malformed("key_hash is not a SHA-256 in lower-case hexadecimal",
                     "send the hash, never the key itself");
  }
  return admin_operation(withdraw_key{hash->get<std::string>(), ""});
}

struct admin_route {
  const char* method;
  const char* path;
  reader read;
};

constexpr std::array<admin_route, 6> kRoutes = {{
    {"GET", "status", ReadStatus},
    {"GET", "settings", ReadSettings},
    {"GET", "changes", ReadHistory},
    {"POST", "changes", ReadApply},
    {"GET", "rollout", ReadRollout},
    {"POST", "keys/withdraw", ReadWithdraw},
}};

reading ReadOperation(const admin_http_request& request) {
  const split_target target = Split(request.target);
  bool path_known = false;
  for (const admin_route& route : kRoutes) {
    if (target.path != std::string(kPrefix) + route.path) {
      continue;
    }
    path_known = true;
    if (request.method == route.method) {
      return route.read(target.query, request.body);
    }
  }
  if (path_known) {
    return Malformed("the path does not take " + request.method,
                     "use GET to read and POST to change");
  }
  return error{error_kind::unknown_route,
               "there is no '" + target.path + "' on this port",
               "docs/operators.md lists the paths below /admin/v1/"};
}

void SetAuthor(const std::string& name, admin_operation& operation) {
  if (auto* const apply = std::get_if<apply_changes>(&operation)) {
    apply->changes.author = name;
  }
  if (auto* const withdrawal = std::get_if<withdraw_key>(&operation)) {
    withdrawal->author = name;
  }
}

// Key labels and sections are shown; values are, too: the settings hold hashes
// of keys and never a key.
json AuditFields(const admin_operation& operation) {
  if (const auto* const apply = std::get_if<apply_changes>(&operation)) {
    return json{{"operation", "apply"},
                {"expected_version", apply->expected_version},
                {"comment", apply->changes.comment},
                {"changes", apply->changes.changes}};
  }
  if (const auto* const withdrawal = std::get_if<withdraw_key>(&operation)) {
    return json{{"operation", "withdraw_key"},
                {"key_hash", withdrawal->key_hash}};
  }
  return nullptr;
}

}  // namespace

result<std::string> AuthenticateOperator(const std::string& authorization,
                                         const operator_keys& keys) {
  const std::string scheme = "Bearer ";
  const error refusal{error_kind::unauthorized, "the operator's key is unknown",
                      "send Authorization: Bearer KEY with a key whose "
                      "SHA-256 is in [admin] of the daemon's file"};
  if (authorization.compare(0, scheme.size(), scheme) != 0) {
    return refusal;
  }
  const std::string hash = Sha256Hex(authorization.substr(scheme.size()));
  // All keys are compared in constant time, so that the time of a refusal
  // tells nothing about them.
  const std::string* found = nullptr;
  for (const auto& [known, name] : keys) {
    if (known.size() == hash.size() &&
        CRYPTO_memcmp(known.data(), hash.data(), hash.size()) == 0) {
      found = &name;
    }
  }
  if (found == nullptr) {
    return refusal;
  }
  return *found;
}

result<admin_call> ReadAdminCall(const admin_http_request& request,
                                 const operator_keys& keys) {
  const auto name = AuthenticateOperator(request.authorization, keys);
  if (Failed(name)) {
    return ErrorOf(name);
  }
  reading operation = ReadOperation(request);
  if (Failed(operation)) {
    return ErrorOf(operation);
  }
  SetAuthor(ValueOf(name), ValueOf(operation));
  return admin_call{ValueOf(name), std::move(ValueOf(operation))};
}

std::optional<write_log> AuditLine(const admin_call& call,
                                   const result<json>& answer) {
  json fields = AuditFields(call.operation);
  if (fields.is_null()) {
    return std::nullopt;
  }
  fields["operator"] = call.operator_name;
  write_log line{log_level::info, "audit", nullptr};
  if (Failed(answer)) {
    line.severity = log_level::warning;
    fields["outcome"] = "refused";
    fields["error"] = ErrorOf(answer);
  } else {
    fields["outcome"] = "accepted";
    fields["answer"] = ValueOf(answer);
  }
  line.fields = std::move(fields);
  return line;
}

}  // namespace gentian
