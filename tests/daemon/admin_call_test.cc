#include <criterion/criterion.h>

#include "gentian_daemon/gentian_daemon.h"

using gentian::admin_call;
using gentian::admin_http_request;
using gentian::apply_changes;
using gentian::error_kind;
using gentian::json;
using gentian::operator_keys;
using gentian::ReadAdminCall;
using gentian::result;

namespace {

constexpr const char* kKey = "secret-of-ana";

operator_keys Keys() {
  return {{gentian::Sha256Hex(kKey), "ana"}};
}

admin_http_request Request(const std::string& method,
                           const std::string& path,
                           const std::string& body = "") {
  return {method, "/admin/v1/" + path, std::string("Bearer ") + kKey, body};
}

error_kind KindOf(const result<admin_call>& call) {
  return gentian::ErrorOf(call).kind;
}

json Apply() {
  return {{"expected_version", 4},
          {"author", "mallory"},
          {"comment", "more"},
          {"changes",
           {{{"section", "/teams"}, {"key", "rate"}, {"value", "5/s"}},
            {{"section", "/teams"}, {"key", "burst"}, {"value", nullptr}}}}};
}

}  // namespace

// Guards against an operation by someone without a key, and against a refusal
// that tells whether a path exists.
Test(admin_call, nothing_is_read_without_a_known_key) {
  for (const char* const header :
       {"", "Bearer", "Bearer ", "Bearer secret-of-an", "Basic secret-of-ana",
        "secret-of-ana"}) {
    admin_http_request request = Request("GET", "no-such-path");
    request.authorization = header;
    cr_assert(KindOf(ReadAdminCall(request, Keys())) ==
              error_kind::unauthorized);
  }
}

// Guards against an audit trail that names whom the request names.
Test(admin_call, the_author_is_the_owner_of_the_key) {
  const auto call =
      ReadAdminCall(Request("POST", "changes", Apply().dump()), Keys());
  cr_assert_not(gentian::Failed(call));
  const auto& apply = std::get<apply_changes>(gentian::ValueOf(call).operation);
  cr_assert_str_eq(apply.changes.author.c_str(), "ana");
  cr_assert_eq(apply.expected_version, 4);
  cr_assert_not(apply.changes.changes[1].value.has_value());
}

// Guards against a change whose base version is guessed or negative, and
// against the part of a body that is applied before a mistake is found.
Test(admin_call, a_body_with_a_mistake_is_refused_as_a_whole) {
  json no_version = Apply();
  no_version.erase("expected_version");
  json negative = Apply();
  negative["expected_version"] = -1;
  json number_value = Apply();
  number_value["changes"][1]["value"] = 5;
  json no_value = Apply();
  no_value["changes"][1].erase("value");
  json empty = Apply();
  empty["changes"] = json::array();
  for (const json& body : {no_version, negative, number_value, no_value, empty,
                           json::array(), json("text")}) {
    const auto call =
        ReadAdminCall(Request("POST", "changes", body.dump()), Keys());
    cr_assert(gentian::Failed(call), "%s", body.dump().c_str());
    cr_assert(KindOf(call) == error_kind::malformed_request);
  }
}

// Guards against a typing mistake in a query that reads something else.
Test(admin_call, queries_and_paths_are_exact) {
  cr_assert_not(gentian::Failed(
      ReadAdminCall(Request("GET", "rollout?version=9"), Keys())));
  for (const char* const path :
       {"rollout", "rollout?version=", "rollout?version=-1",
        "rollout?version=9x", "rollout?verson=9", "changes?from=1&x=2"}) {
    cr_assert(KindOf(ReadAdminCall(Request("GET", path), Keys())) ==
              error_kind::malformed_request);
  }
  cr_assert(KindOf(ReadAdminCall(Request("GET", "status/"), Keys())) ==
            error_kind::unknown_route);
  cr_assert(KindOf(ReadAdminCall(Request("DELETE", "status"), Keys())) ==
            error_kind::malformed_request);
}

// Guards against a key in clear text that reaches the settings or the log.
Test(admin_call, a_withdrawal_takes_only_a_hash) {
  const json clear{{"key_hash", "team-key-in-clear-text"}};
  cr_assert(KindOf(ReadAdminCall(Request("POST", "keys/withdraw", clear.dump()),
                                 Keys())) == error_kind::malformed_request);
  const json hashed{{"key_hash", gentian::Sha256Hex("team-key")}};
  cr_assert_not(gentian::Failed(
      ReadAdminCall(Request("POST", "keys/withdraw", hashed.dump()), Keys())));
}

// Guards against a change, or an attempt at one, that leaves no trace.
Test(admin_call, changes_and_refused_changes_are_audited) {
  const auto call =
      ReadAdminCall(Request("POST", "changes", Apply().dump()), Keys());
  const auto accepted = AuditLine(gentian::ValueOf(call), json{{"version", 5}});
  cr_assert(accepted->fields.at("operator") == "ana");
  cr_assert_eq(accepted->fields.at("answer").at("version").get<int>(), 5);
  const auto refused =
      AuditLine(gentian::ValueOf(call),
                gentian::error{error_kind::conflict, "version 5", "retry"});
  cr_assert(refused->fields.at("outcome") == "refused");
  const auto read = ReadAdminCall(Request("GET", "settings"), Keys());
  cr_assert_not(AuditLine(gentian::ValueOf(read), json::object()).has_value());
}
