#include "gentian_gateway_daemon/turn_request.h"

#include <array>

namespace gentian {

namespace {

// In the order of turn_verdict::outcome.
constexpr std::array<const char*, 5> kOutcomes = {
    {"granted", "budget_spent", "unavailable", "overloaded", "undecided"}};

}  // namespace

const char* NameOf(turn_verdict::outcome outcome) {
  return kOutcomes[static_cast<std::size_t>(outcome)];
}

void to_json(json& out, const turn_request& value) {
  out = {{"request", value.request_id},
         {"program", value.program},
         {"service", value.service},
         {"priority", value.priority},
         {"budget", value.budget},
         {"most", value.max_output_tokens},
         {"finish_within_ms", value.finish_within.count()},
         {"time_left_ms", value.time_left.count()},
         {"wait_limit_ms", value.wait_limit.count()},
         {"failure_domain", value.failure_domain}};
  if (value.homes) {
    out["homes"] = *value.homes;
  }
}

void from_json(const json& in, turn_request& value) {
  // Daemons of the previous version don't send these fields.
  value.request_id = in.value("request", "");
  value.failure_domain = in.value("failure_domain", "");
  in.at("program").get_to(value.program);
  in.at("service").get_to(value.service);
  in.at("priority").get_to(value.priority);
  in.at("budget").get_to(value.budget);
  in.at("most").get_to(value.max_output_tokens);
  value.finish_within =
      milliseconds(in.at("finish_within_ms").get<milliseconds::rep>());
  value.time_left =
      milliseconds(in.at("time_left_ms").get<milliseconds::rep>());
  value.wait_limit =
      milliseconds(in.at("wait_limit_ms").get<milliseconds::rep>());
  if (in.contains("homes")) {
    value.homes = in.at("homes").get<std::vector<std::string>>();
  }
}

void to_json(json& out, const turn_verdict& value) {
  out = {{"outcome", NameOf(value.result)},
         {"ticket", value.ticket},
         {"target", value.target},
         {"claimed", value.is_claimed}};
}

void from_json(const json& in, turn_verdict& value) {
  const std::string outcome = in.at("outcome").get<std::string>();
  value.result = turn_verdict::outcome::unavailable;
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) {
    if (outcome == kOutcomes[i]) {
      value.result = static_cast<turn_verdict::outcome>(i);
    }
  }
  in.at("ticket").get_to(value.ticket);
  in.at("target").get_to(value.target);
  value.is_claimed = in.value("claimed", false);
}

void to_json(json& out, const turn_end& value) {
  out = {{"ticket", value.ticket},   {"program", value.program},
         {"service", value.service}, {"reserved", value.reserved},
         {"used", value.used},       {"target", value.target}};
  if (value.event_interval) {
    out["event_interval_ms"] = value.event_interval->count();
  }
  if (value.load) {
    out["running"] = value.load->running;
    out["waiting"] = value.load->waiting;
    if (value.load->pace) {
      out["pace"] = *value.load->pace;
      out["load_age_ms"] = value.load_age.count();
    }
  }
}

void from_json(const json& in, turn_end& value) {
  in.at("ticket").get_to(value.ticket);
  in.at("program").get_to(value.program);
  in.at("service").get_to(value.service);
  in.at("reserved").get_to(value.reserved);
  in.at("used").get_to(value.used);
  in.at("target").get_to(value.target);
  if (in.contains("event_interval_ms")) {
    value.event_interval =
        milliseconds(in.at("event_interval_ms").get<milliseconds::rep>());
  }
  if (in.contains("running")) {
    value.load = reported_load{in.at("running").get<int>(),
                               in.at("waiting").get<int>(), steady_time()};
    // Daemons of the previous version don't send these fields.
    const double pace = in.value("pace", 0.0);
    if (pace > 0) {
      value.load->pace = pace;
      value.load_age =
          milliseconds(in.value("load_age_ms", milliseconds::rep{0}));
    }
  }
}

void to_json(json& out, const turn_end_answer& value) {
  out = {{"known", value.is_known}};
}

void from_json(const json& in, turn_end_answer& value) {
  value.is_known = in.value("known", true);
}

}  // namespace gentian
