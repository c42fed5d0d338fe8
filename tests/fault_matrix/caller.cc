#include "caller.h"

#include <utility>

#include "scenario.h"

namespace gentian::fault_matrix {

namespace {

constexpr milliseconds kRetryDelay{250};
// Longer than any fault lasts together with an adoption.
constexpr milliseconds kPatience{70'000};
constexpr std::uint64_t kMaxTokens = 30;

// After these errors the same call is worth another attempt.
bool IsPassing(error_kind kind) {
  switch (kind) {
    case error_kind::rate_limited:
    case error_kind::overloaded:
    case error_kind::stale_configuration:
    case error_kind::not_ready:
    case error_kind::moved:
    case error_kind::draining:
    case error_kind::target_failed:
    case error_kind::target_timeout:
    case error_kind::unavailable:
      return true;
    default:
      return false;
  }
}

std::string TextOf(const json& body) {
  const json::json_pointer content("/choices/0/message/content");
  if (body.is_object() && body.contains(content)) {
    return body.at(content).get<std::string>();
  }
  return body.dump();
}

std::string DeltaOf(const json& data) {
  const json::json_pointer content("/choices/0/delta/content");
  return data.is_object() && data.contains(content)
             ? data.at(content).get<std::string>()
             : data.dump();
}

}  // namespace

caller::caller(simulation& world, program plan)
    : world_(world), plan_(std::move(plan)) {
  next_address_ = world_.Random(100);
}

known_session& caller::Known() {
  return world_.log().sessions[plan_.tag];
}

void caller::Start() {
  Known().tag = plan_.tag;
  Known().team = plan_.team;
  Known().call_limit = plan_.call_limit;
  call_began_ = world_.now();
  FindAddress();
}

const host_id& caller::Host() {
  return addresses_[next_address_ % addresses_.size()];
}

void caller::FindAddress() {
  const auto& hosts = Scenario().hosts;
  const int attempt = ++attempt_;
  world_.Connect(
      hosts[world_.Random(hosts.size())], "", list_addresses{},
      [this, attempt](const answer_part& part) {
        const auto* answer = std::get_if<final_answer>(&part);
        if (attempt != attempt_) {
          return;
        }
        addresses_.clear();
        if (answer) {
          for (const auto& [host, daemon] : Scenario().settings.daemons) {
            for (const json& address : answer->body.at("addresses")) {
              if (address == daemon.caller_address) {
                addresses_.push_back(host);
              }
            }
          }
          addresses_expire_ =
              world_.now() +
              milliseconds(answer->body.at("expires_in_ms").get<int>());
        }
        if (addresses_.empty()) {
          Retry(kRetryDelay);
        } else if (session_.empty()) {
          OpenSession();
        } else {
          Send();
        }
      },
      [this, attempt] {
        if (attempt == attempt_) {
          Retry(kRetryDelay);
        }
      });
}

void caller::OpenSession() {
  open_session operation;
  operation.program = program_id("agent");
  if (plan_.call_limit > 0) {
    operation.budget.calls = plan_.call_limit;
  }
  const int attempt = ++attempt_;
  world_.Connect(
      Host(), KeyOf(plan_.team), operation,
      [this, attempt](const answer_part& part) {
        if (attempt == attempt_) {
          Opened(part);
        }
      },
      [this, attempt] {
        if (attempt == attempt_) {
          Retry(kRetryDelay);
        }
      });
}

void caller::Opened(const answer_part& part) {
  if (const auto* failure = std::get_if<error>(&part)) {
    last_refusal_ = NameOf(failure->kind);
    const bool unknown = failure->outcome == call_outcome::unknown;
    if (IsPassing(failure->kind) || unknown) {
      Retry(failure->retry_after.value_or(kRetryDelay));
    } else if (failure->kind == error_kind::key_withdrawn) {
      Known().key_withdrawn = true;
      Finish();
    } else {
      GiveUp(NameOf(failure->kind));
    }
    return;
  }
  if (const auto* answer = std::get_if<final_answer>(&part)) {
    session_ = session_id(answer->body.at("id").get<std::string>());
    NextAction();
  }
}

void caller::NextAction() {
  if (!plan_.loops && position_ >= plan_.script.size()) {
    Finish();
    return;
  }
  events_.clear();
  call_attempts_ = 0;
  call_began_ = world_.now();
  world_.After(plan_.think, [this] { Send(); });
}

action caller::Current() const {
  return plan_.script[position_ % plan_.script.size()];
}

std::string caller::Marker() const {
  return plan_.tag + "/" + std::to_string(position_);
}

bool caller::Repeatable() const {
  return Current() != action::book;
}

std::string caller::Expected() const {
  const bool tool = Current() == action::book || Current() == action::lookup;
  return tool ? json{{"echo", Marker()}}.dump() : GeneratedText(Marker());
}

caller_operation caller::Operation() const {
  const action current = Current();
  if (current == action::history) {
    return read_history{session_};
  }
  if (current == action::end) {
    return end_session{session_};
  }
  if (current == action::model || current == action::stream) {
    model_call call;
    call.session = session_;
    call.idempotency_key = Marker();
    call.stream = current == action::stream;
    call.body = {{"messages", {{{"role", "user"}, {"content", Marker()}}}},
                 {"max_tokens", kMaxTokens}};
    return call;
  }
  tool_call call;
  call.session = session_;
  call.tool = current == action::book ? "book" : "lookup";
  call.idempotency_key = Marker();
  call.repeatable = current == action::lookup;
  call.body = {{"marker", Marker()}};
  return call;
}

void caller::Send() {
  if (done_) {
    return;
  }
  if (addresses_.empty() || world_.now() >= addresses_expire_) {
    FindAddress();
    return;
  }
  const int attempt = ++attempt_;
  ++call_attempts_;
  Known().trouble = "waits at " + Host().text() + " for " + Marker();
  world_.log().submissions.push_back(
      {world_.now(), Marker(), plan_.team, Repeatable()});
  world_.Connect(
      Host(), KeyOf(plan_.team), Operation(),
      [this, attempt](const answer_part& part) { Received(part, attempt); },
      [this, attempt] {
        if (attempt == attempt_) {
          Retry(kRetryDelay);
        }
      });
}

void caller::Received(const answer_part& part, int attempt) {
  if (attempt != attempt_ || done_) {
    return;
  }
  if (const auto* streamed = std::get_if<answer_event>(&part)) {
    events_[streamed->id] = DeltaOf(streamed->data);
  } else if (const auto* answer = std::get_if<final_answer>(&part)) {
    ++attempt_;
    Answered(*answer);
  } else {
    ++attempt_;
    Refused(std::get<error>(part));
  }
}

void caller::Conclude(bool answered,
                      const error& failure,
                      const std::string& text) {
  conclusion entry;
  entry.at = world_.now();
  entry.marker = Marker();
  entry.answered = answered;
  entry.failure = failure;
  entry.text = text;
  entry.expected = Expected();
  entry.events = events_;
  world_.log().conclusions.push_back(std::move(entry));
}

void caller::Answered(const final_answer& answer) {
  const action current = Current();
  if (current == action::history) {
    std::string text = answer.body.dump();
    if (world_.plan().broken == sabotage::forge_history) {
      text = "forged";
    }
    world_.log().histories.push_back({plan_.tag, text, answered_});
  } else if (current == action::end) {
    Known().ended = true;
  } else {
    Conclude(true, {}, TextOf(answer.body));
    answered_.push_back(Marker());
  }
  ++position_;
  NextAction();
}

void caller::Refused(const error& failure) {
  last_refusal_ =
      std::string(NameOf(failure.kind)) + "/" + NameOf(failure.outcome);
  const action current = Current();
  const bool call = current != action::history && current != action::end;
  if (call) {
    Conclude(false, failure, "");
  }
  if (failure.kind == error_kind::key_withdrawn ||
      failure.kind == error_kind::unauthorized) {
    Known().key_withdrawn = true;
    Finish();
    return;
  }
  if (failure.kind == error_kind::budget_spent && plan_.loops) {
    Finish();
    return;
  }
  // The end of a session may have been committed by a lost attempt.
  if (current == action::end && call_attempts_ > 1 &&
      failure.kind == error_kind::unknown_session) {
    Known().ended = true;
    Finish();
    return;
  }
  if (plan_.drops_limited && failure.kind == error_kind::rate_limited) {
    ++position_;
    NextAction();
    return;
  }
  const bool target = failure.kind == error_kind::target_timeout ||
                      failure.kind == error_kind::target_failed;
  if (failure.kind == error_kind::outcome_unknown ||
      (target && failure.outcome == call_outcome::unknown)) {
    // Recorded for this call: the program goes on with the next one.
    ++position_;
    NextAction();
    return;
  }
  if (IsPassing(failure.kind)) {
    Retry(failure.retry_after.value_or(kRetryDelay));
    return;
  }
  GiveUp(std::string(NameOf(failure.kind)) + ": " + failure.message);
}

void caller::Retry(milliseconds delay) {
  ++attempt_;
  ++next_address_;
  if (world_.now() - call_began_ >= kPatience) {
    GiveUp("no answer for " + Marker() + ", last refusal " + last_refusal_);
    return;
  }
  world_.After(delay + milliseconds(world_.Random(50)), [this] {
    if (done_) {
      return;
    }
    if (addresses_.empty() || world_.now() >= addresses_expire_) {
      FindAddress();
    } else if (session_.empty()) {
      OpenSession();
    } else {
      Send();
    }
  });
}

void caller::GiveUp(const std::string& trouble) {
  Known().trouble = trouble;
  done_ = true;
}

void caller::Finish() {
  Known().finished = true;
  Known().trouble.clear();
  done_ = true;
}

}  // namespace gentian::fault_matrix
