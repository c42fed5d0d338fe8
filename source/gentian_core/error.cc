#include "gentian_core/error.h"

#include <array>
#include <cstddef>

namespace gentian {

namespace {

struct kind_row {
  error_kind kind;
  const char* name;
  int http_status;
};

constexpr std::array<kind_row, 24> kKinds = {{
    {error_kind::malformed_request, "malformed_request", 400},
    {error_kind::too_large, "too_large", 413},
    {error_kind::unauthorized, "unauthorized", 401},
    {error_kind::key_withdrawn, "key_withdrawn", 401},
    {error_kind::forbidden, "forbidden", 403},
    {error_kind::unknown_session, "unknown_session", 404},
    {error_kind::unknown_route, "unknown_route", 404},
    {error_kind::out_of_order, "out_of_order", 409},
    {error_kind::idempotency_mismatch, "idempotency_mismatch", 422},
    {error_kind::budget_spent, "budget_spent", 402},
    {error_kind::rate_limited, "rate_limited", 429},
    {error_kind::overloaded, "overloaded", 503},
    {error_kind::stale_configuration, "stale_configuration", 503},
    {error_kind::not_ready, "not_ready", 503},
    {error_kind::moved, "moved", 421},
    {error_kind::draining, "draining", 503},
    {error_kind::outcome_unknown, "outcome_unknown", 502},
    {error_kind::session_restored, "session_restored", 409},
    {error_kind::target_failed, "target_failed", 502},
    {error_kind::target_timeout, "target_timeout", 504},
    {error_kind::conflict, "conflict", 409},
    {error_kind::invalid_settings, "invalid_settings", 422},
    {error_kind::unavailable, "unavailable", 503},
    {error_kind::internal, "internal", 500},
}};

constexpr std::array<const char*, 3> kOutcomes = {"not_run", "unknown", "done"};

const kind_row& RowOf(error_kind kind) {
  for (const kind_row& row : kKinds) {
    if (row.kind == kind) {
      return row;
    }
  }
  return kKinds.back();
}

error_kind KindFromName(const std::string& name) {
  for (const kind_row& row : kKinds) {
    if (name == row.name) {
      return row.kind;
    }
  }
  return error_kind::internal;
}

call_outcome OutcomeFromName(const std::string& name) {
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) {
    if (name == kOutcomes[i]) {
      return static_cast<call_outcome>(i);
    }
  }
  // An unrecognized outcome must not be reported as "not run".
  return call_outcome::unknown;
}

}  // namespace

const char* NameOf(error_kind kind) {
  return RowOf(kind).name;
}

const char* NameOf(call_outcome outcome) {
  return kOutcomes[static_cast<std::size_t>(outcome)];
}

int HttpStatusOf(error_kind kind) {
  return RowOf(kind).http_status;
}

void to_json(json& out, const error& value) {
  out = json{{"kind", NameOf(value.kind)},
             {"message", value.message},
             {"remedy", value.remedy},
             {"outcome", NameOf(value.outcome)}};
  if (value.retry_after) {
    out["retry_after_ms"] = value.retry_after->count();
  }
}

void from_json(const json& in, error& value) {
  value.kind = KindFromName(in.value("kind", ""));
  value.message = in.value("message", "");
  value.remedy = in.value("remedy", "");
  value.outcome = OutcomeFromName(in.value("outcome", ""));
  value.retry_after.reset();
  if (in.contains("retry_after_ms")) {
    value.retry_after = milliseconds(in.at("retry_after_ms").get<long>());
  }
}

}  // namespace gentian
