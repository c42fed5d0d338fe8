#include "gentian_decisions/session.h"

#include <cassert>
#include <utility>

namespace gentian {

namespace {

std::string CallOwner(std::uint64_t call) {
  return "call/" + std::to_string(call);
}

void AppendMessages(const json& body, json& history) {
  if (!body.is_object() || !body.contains("messages") ||
      !body.at("messages").is_array()) {
    return;
  }
  for (const json& message : body.at("messages")) {
    history.push_back(message);
  }
}

void AppendAnswer(const json& body, json& history) {
  const json::json_pointer answer("/choices/0/message");
  if (body.contains(answer)) {
    history.push_back(body.at(answer));
  }
}

}  // namespace

const session_record& session::Append(session_record_body body,
                                      steady_time now) {
  session_record record;
  record.number = records_.size() + 1;
  record.elapsed = Elapsed(now);
  record.body = std::move(body);
  Apply(record);
  return records_.back();
}

void session::Apply(const session_record& record) {
  assert(record.number == records_.size() + 1);
  std::visit([this](const auto& body) { ApplyBody(body); }, record.body);
  records_.push_back(record);
}

void session::ApplyBody(const session_opened& body) {
  header_ = body;
  funds_ = budget(body.limits);
}

void session::ApplyBody(const call_started& body) {
  session_call added;
  added.start = body;
  calls_.push_back(added);
  calls_by_key_[body.idempotency_key] = body.call;
  funds_.Reserve(CallOwner(body.call), body.reservation);
}

void session::ApplyBody(const call_retried& body) {
  funds_.Reserve(CallOwner(body.call), body.reservation);
}

void session::ApplyBody(const call_finished& body) {
  if (body.call == 0 || body.call > calls_.size()) {
    return;
  }
  session_call& call = calls_[body.call - 1];
  const bool late = call.finish.has_value();
  if (late && call.finish->outcome != call_outcome::unknown) {
    return;
  }
  if (body.outcome != call_outcome::unknown) {
    // With an unknown outcome the call may have used its whole reservation, so
    // the reservation stays.
    funds_.Settle(CallOwner(body.call), body.used);
  }
  if (body.position_free && body.call == calls_.size()) {
    if (body.outcome == call_outcome::unknown) {
      interrupted_keys_.insert(call.start.idempotency_key);
    }
    calls_by_key_.erase(call.start.idempotency_key);
    calls_.pop_back();
    return;
  }
  call.finish = body;
  if (call.start.tool.empty() && body.outcome == call_outcome::done && !late) {
    history_tokens_ = body.usage.prompt_tokens + body.usage.generated_tokens;
  }
}

void session::ApplyBody(const child_opened& body) {
  children_.insert(body.child);
  funds_.Reserve(body.child.text(), body.reservation);
}

void session::ApplyBody(const child_ended& body) {
  children_.erase(body.child);
  funds_.Settle(body.child.text(), body.used);
}

void session::ApplyBody(const session_restored& /*body*/) {
  restored_ = true;
}

void session::ApplyBody(const session_ended& /*body*/) {
  ended_ = true;
}

const session_call* session::FindByKey(const std::string& key) const {
  const auto found = calls_by_key_.find(key);
  return found == calls_by_key_.end() ? nullptr : FindCall(found->second);
}

const session_call* session::FindCall(std::uint64_t call) const {
  if (call == 0 || call > calls_.size()) {
    return nullptr;
  }
  return &calls_[call - 1];
}

json session::PromptHistory() const {
  json history = json::array();
  for (const session_call& call : calls_) {
    const bool model = call.start.tool.empty();
    if (model && call.finish && call.finish->outcome == call_outcome::done &&
        !call.finish->failure) {
      AppendMessages(call.start.body, history);
      AppendAnswer(call.finish->body, history);
    }
  }
  return history;
}

json session::History() const {
  json calls = json::array();
  for (const session_call& call : calls_) {
    json row{{"call", call.start.call},
             {"kind", call.start.tool.empty() ? "model" : "tool"},
             {"input", call.start.body}};
    if (!call.start.tool.empty()) {
      row["tool"] = call.start.tool;
    }
    if (!call.finish) {
      row["outcome"] = "running";
    } else {
      row["outcome"] = NameOf(call.finish->outcome);
      row["result"] = call.finish->body;
      if (call.finish->failure) {
        row["error"] = *call.finish->failure;
      }
    }
    calls.push_back(std::move(row));
  }
  return json{{"session", id_}, {"calls", std::move(calls)}};
}

std::vector<call_started> session::OpenCalls() const {
  std::vector<call_started> open;
  for (const session_call& call : calls_) {
    if (!call.finish) {
      open.push_back(call.start);
    }
  }
  return open;
}

milliseconds session::Elapsed(steady_time now) const {
  return ToMilliseconds(now - opened_);
}

}  // namespace gentian
