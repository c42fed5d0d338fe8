#include "target_fakes.h"

#include <utility>

#include "scenario.h"

namespace gentian::fault_matrix {

namespace {

constexpr milliseconds kToolTime{40};
constexpr milliseconds kPartTime{30};
constexpr std::size_t kPartLength = 4;
constexpr std::uint64_t kPromptTokens = 20;

// The question is the last message of the user; after a change of the engine
// a partial answer follows it.
std::string LastUserContent(const json& body) {
  std::string content;
  for (const json& message : body.value("messages", json::array())) {
    if (message.value("role", "") == "user") {
      content = message.value("content", "");
    }
  }
  return content;
}

std::size_t LengthOfPartial(const json& body) {
  const json messages = body.value("messages", json::array());
  const bool continues = body.value("continue_final_message", false);
  if (!continues || messages.empty()) {
    return 0;
  }
  return messages.back().value("content", "").size();
}

json ChatBody(const std::string& text) {
  return {
      {"choices", {{{"message", {{"role", "assistant"}, {"content", text}}}}}}};
}

json ChatPart(const std::string& text) {
  return {{"choices", {{{"delta", {{"content", text}}}}}}};
}

}  // namespace

std::string GeneratedText(const std::string& marker) {
  return "answer to " + marker + " in several parts";
}

execution& target_fakes::Record(const arrived_call& arrived,
                                const std::string& marker,
                                steady_time now) {
  const dispatch_call& call = arrived.call;
  execution entry;
  entry.start = now;
  entry.end = now + kToolTime;
  entry.target = call.target;
  entry.path = call.path;
  entry.marker = marker;
  entry.session = call.session;
  entry.idempotency_key = call.idempotency_key;
  entry.leaving = leaving_.count(call.target) > 0;
  entry.sent = call.path + " " + call.body.dump() + " " + call.idempotency_key +
               " " + call.resume_stream;
  if (broken_ == sabotage::leak_key) {
    entry.sent += KeyOf("kiosk");
  }
  log_.executions.push_back(std::move(entry));
  return log_.executions.back();
}

void target_fakes::Arrive(const std::shared_ptr<arrived_call>& arrived,
                          steady_time now) {
  const auto& targets = Scenario().settings.targets;
  const auto found = targets.find(arrived->call.target);
  const bool engine =
      found != targets.end() && found->second.pool == pool_id("chat");
  if (engine) {
    RunEngine(arrived, now);
  } else {
    RunTool(arrived, now);
  }
}

void target_fakes::RunTool(const std::shared_ptr<arrived_call>& arrived,
                           steady_time now) {
  const std::string marker = arrived->call.body.value("marker", "");
  Record(*arrived, marker, now);
  if (broken_ == sabotage::execute_twice && arrived->call.path == kBookPath) {
    Record(*arrived, marker, now);
  }
  if (broken_ == sabotage::reorder_calls && log_.executions.size() > 8) {
    // The execution is seen as if it had started before the previous one.
    log_.executions.back().start -= std::chrono::seconds(30);
  }
  arrived->answer(milliseconds(0), target_accepted{arrived->call.id, ""});
  if (now < tools_hang_until_) {
    return;
  }
  target_finished finish;
  finish.id = arrived->call.id;
  finish.body = {{"echo", marker}};
  arrived->answer(kToolTime, std::move(finish));
}

void target_fakes::RunEngine(const std::shared_ptr<arrived_call>& arrived,
                             steady_time now) {
  const dispatch_call& call = arrived->call;
  if (!call.resume_stream.empty()) {
    if (streams_.count(call.resume_stream) == 0) {
      arrived->answer(milliseconds(1),
                      target_failed{call.id, target_failure::rejected_not_run,
                                    "unknown stream"});
      return;
    }
    arrived->answer(milliseconds(0),
                    target_accepted{call.id, call.resume_stream});
    Stream(arrived, call.resume_stream, call.resume_offset);
    return;
  }
  const std::string marker = LastUserContent(call.body);
  const std::string full = GeneratedText(marker);
  const std::size_t done = std::min(LengthOfPartial(call.body), full.size());
  stream_state state;
  for (std::size_t at = done; at < full.size(); at += kPartLength) {
    state.parts.push_back(full.substr(at, kPartLength));
  }
  execution& entry = Record(*arrived, marker, now);
  entry.generated_tokens = state.parts.size();
  if (broken_ == sabotage::generate_too_much) {
    entry.generated_tokens = 10'000'000;
  }
  entry.end = now + kPartTime * state.parts.size();
  state.finish.body = ChatBody(full.substr(done));
  state.finish.prompt_tokens = kPromptTokens;
  state.finish.generated_tokens = state.parts.size();
  const std::string stream = "stream-" + std::to_string(++next_stream_);
  streams_[stream] = std::move(state);
  arrived->answer(milliseconds(0), target_accepted{call.id, stream});
  Hold(call.target, call.session);
  Stream(arrived, stream, 0);
}

void target_fakes::Stream(const std::shared_ptr<arrived_call>& arrived,
                          const std::string& stream,
                          std::size_t from) {
  const stream_state& state = streams_.at(stream);
  milliseconds delay{0};
  for (std::size_t i = from; i < state.parts.size(); ++i) {
    delay += kPartTime;
    if (arrived->call.stream) {
      arrived->answer(
          delay, target_chunk{arrived->call.id, i, ChatPart(state.parts[i])});
    }
  }
  target_finished finish = state.finish;
  finish.id = arrived->call.id;
  arrived->answer(delay + kPartTime, std::move(finish));
}

void target_fakes::Hold(const target_id& engine, const session_id& session) {
  if (session.empty() || !cache_[engine].insert(session).second) {
    return;
  }
  new_events_.push_back({engine, ++cache_events_[engine],
                         target_cache_event::change::stored, session,
                         kPromptTokens});
}

target_order_answered target_fakes::Order(const order_target& order) {
  target_order_answered answer;
  answer.id = order.id;
  answer.ok = true;
  auto& held = cache_[order.target];
  if (const auto* release = std::get_if<release_cache>(&order.body)) {
    if (broken_ != sabotage::ignore_release &&
        held.erase(release->session) > 0) {
      new_events_.push_back({order.target, ++cache_events_[order.target],
                             target_cache_event::change::evicted,
                             release->session, 0});
    }
  } else if (const auto* import = std::get_if<import_cache>(&order.body)) {
    Hold(order.target, import->session);
  } else if (std::holds_alternative<list_cache>(order.body)) {
    answer.listing.target = order.target;
    answer.listing.number = cache_events_[order.target];
    for (const session_id& session : held) {
      // A broken engine hides what it was told to release.
      if (broken_ != sabotage::ignore_release) {
        answer.listing.holdings.push_back({session, kPromptTokens});
      }
    }
  }
  return answer;
}

std::vector<target_cache_event> target_fakes::TakeCacheEvents() {
  return std::exchange(new_events_, {});
}

std::vector<target_load> target_fakes::Loads() const {
  std::vector<target_load> loads;
  for (const auto& [id, target] : Scenario().settings.targets) {
    target_load load;
    load.target = id;
    load.age = milliseconds(200);
    loads.push_back(load);
  }
  return loads;
}

void target_fakes::RecordHoldings() {
  for (const auto& [engine, sessions] : cache_) {
    for (const session_id& session : sessions) {
      log_.held[engine].insert(session.text());
    }
  }
}

}  // namespace gentian::fault_matrix
