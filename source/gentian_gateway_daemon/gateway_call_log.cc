// Implements gateway_call: logs attempts and outcomes.

#include "gentian_gateway_daemon/gateway_call.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr milliseconds kUnknown{-1};

}  // namespace

json gateway_call::ChoiceFields(steady_time now) const {
  if (target_.empty()) {
    return json::object();
  }
  const std::optional<reported_load>& load = choice_.load;
  json fields = {
      {"target", target_},
      {"target_version", choice_.version},
      {"target_domain", choice_.failure_domain},
      {"tunnel", tunnel_},
      {"chosen_by", choice_.chosen_by},
      {"target_running", load ? load->running : -1},
      {"target_waiting", load ? load->waiting : -1},
      {"load_age_ms",
       (load ? ToMilliseconds(choice_.sent_at - load->at) : kUnknown).count()},
      {"target_open_here", choice_.open_requests},
      {"target_failures", choice_.failures},
      {"target_limit", choice_.rate_limit.value_or(-1)},
      {"target_cold_ms", choice_.cold_left > duration(0)
                             ? ToMilliseconds(choice_.cold_left).count()
                             : kUnknown.count()},
      {"attempt_ms", ToMilliseconds(now - choice_.sent_at).count()}};
  if (choice_.expected_completion) {
    fields["expected_ms"] =
        ToMilliseconds(*choice_.expected_completion).count();
    fields["expected_pace"] = choice_.pace;
    fields["target_pace"] = load && load->pace ? *load->pace : -1;
  }
  return fields;
}

void gateway_call::LogFailedAttempt(const char* reason,
                                    bool may_have_run,
                                    const std::string& detail) const {
  json line = ChoiceFields(BootTimeNow());
  line.update({{"request", call_->request_id},
               {"program", call_->program},
               {"fingerprint", fingerprint_.content},
               {"origin", fingerprint_.origin},
               {"reason", reason},
               {"detail", detail},
               {"may_have_run", may_have_run},
               {"status", answer_.status},
               {"events", events_sent_},
               {"send", sends_},
               {"resumed_after", events_.last_id()}});
  Log(log_level::info, "attempt failed", line);
}

void gateway_call::LogEnd(const std::string& outcome, steady_time now) const {
  const auto fields = [&] {
    const gateway_state& state = environment_.state;
    json line = ChoiceFields(now);
    line.update(
        {{"request", call_ ? call_->request_id : ""},
         {"outcome", outcome},
         {"resumes", call_ ? call_->resumed_request : ""},
         {"last_event_id", call_ ? call_->last_event_id : ""},
         {"stream_version", origin_ ? origin_->version : ""},
         {"status", answer_.status},
         {"route", route_ == nullptr ? "" : route_->name},
         {"service", service_},
         {"team", team_ == nullptr ? "" : team_->name},
         {"program", call_ ? call_->program : ""},
         {"fingerprint", fingerprint_.content},
         {"origin", fingerprint_.origin},
         {"budget", call_ ? call_->token_budget.value_or(-1) : -1},
         {"most", call_ ? call_->max_output_tokens : -1},
         {"allowance_holder", allowance_holder_},
         {"allowance_wait_ms", allowance_wait_.count()},
         {"owner", turn_owner_},
         {"sends", sends_},
         {"runs", runs_},
         {"retry_reason", last_reason_},
         {"permit_requests", permit_requests_},
         {"permit_wait_ms", permit_wait_.count()},
         {"retry_after_ms", retry_after_.value_or(kUnknown).count()},
         {"events", events_sent_},
         {"first_event_ms",
          (first_event_ ? ToMilliseconds(*first_event_ - arrived_) : kUnknown)
              .count()},
         {"members", state.membership.members().size()},
         {"configuration", configuration_ ? configuration_->version() : 0},
         {"configuration_age_ms",
          state.configuration.Age(now).value_or(kUnknown).count()},
         {"time_left_ms",
          deadline_ == steady_time() ? -1 : TimeLeft(now).count()},
         {"duration_ms", ToMilliseconds(now - arrived_).count()}});
    if (policy_.has_homes()) {
      line["homes"] = policy_.homes();
    }
    return line;
  };
  if (outcome == kAnswered && last_reason_.empty()) {
    LogRoutine(call_->program.empty() ? call_->request_id : call_->program,
               "request ended", fields);
  } else {
    Log(log_level::info, "request ended", fields());
  }
}

}  // namespace gentian
