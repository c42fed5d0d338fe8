#include "gentian_gateway_daemon/target_limit_service.h"

#include <algorithm>
#include <utility>

#include "gentian_gateway_daemon/message_time.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr const char* kTakePath = "/limits/take";
constexpr const char* kTellPath = "/limits/tell";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr milliseconds kPeerTimeout{200};
constexpr milliseconds kPeerConnectTimeout{100};
// A gateway that was asked is not, or no longer, the one that paces the target.
// The lists of members agree again within about this time.
constexpr milliseconds kMovedRetryAfter{300};
// After a change of members, the gateway that paced a target before may go on
// until it has seen the change.
constexpr milliseconds kHandoverDelay{1'500};
// A record outlives the limit by this time at most if its gateway has ended.
constexpr milliseconds kRecordLifetime{30'000};
// Bound the times in a message of another gateway, in case it is damaged.
constexpr milliseconds kMaxWait{30'000};
constexpr milliseconds kMaxAge{3'600'000};

// Reads what Publish writes.
std::optional<double> DecodeRate(const std::string& text) {
  const result<json> record = ParseBoundedJson(text);
  if (Failed(record) || !ValueOf(record).is_object()) {
    return std::nullopt;
  }
  const json rate = ValueOf(record).value("rate", json());
  return rate.is_number() && rate.get<double>() >= 0
             ? std::optional(rate.get<double>())
             : std::nullopt;
}

}  // namespace

target_limit_service::target_limit_service(http_client& peers,
                                           const gateway_settings& settings,
                                           gateway_state& state,
                                           record_publisher& publisher)
    : peers_(peers, {kPeerTimeout, kPeerConnectTimeout}),
      settings_(settings),
      state_(state),
      publisher_(publisher) {}

const member_record* target_limit_service::PacerOf(
    const std::string& target) const {
  return OwnerOf(
      "limit " + target, state_.membership.members(),
      [this](const member_record& member) {
        return !(state_.stop.HasBegun() && member.host == settings_.host);
      });
}

bool target_limit_service::IsSelf(const member_record* pacer) const {
  return pacer == nullptr || pacer->host == settings_.host;
}

bool target_limit_service::Paces(const std::string& target) const {
  return IsSelf(PacerOf(target));
}

void target_limit_service::Take(const std::string& target,
                                milliseconds max_wait,
                                permit_handler handler) {
  const member_record* pacer = PacerOf(target);
  if (IsSelf(pacer)) {
    handler(TakeLocally(target, std::nullopt, max_wait));
  } else if (peers_.IsAvoided(pacer->peer_address)) {
    state_.targets.ReportNoRoom(target,
                                BootTimeNow() + peer_client::kAvoidDuration);
    handler({false, peer_client::kAvoidDuration});
  } else {
    AskPacer(pacer->peer_address, target, max_wait, std::move(handler));
  }
}

target_limit_service::permit target_limit_service::TakeLocally(
    const std::string& target,
    std::optional<double> asked_rate,
    milliseconds max_wait) {
  const std::optional<target_limit> limit = state_.targets.Limit(target);
  const std::optional<double> rate = limit ? limit->rate : asked_rate;
  if (!rate) {
    return {true, milliseconds(0)};
  }
  const steady_time now = BootTimeNow();
  const target_pacer::reservation reserved = pacer_.Reserve(
      {target, *rate, max_wait, state_.members_changed_at + kHandoverDelay},
      now);
  state_.counters.Add(reserved.made ? "limit.granted" : "limit.refused");
  if (!reserved.made) {
    state_.targets.ReportNoRoom(target, now + reserved.wait);
  }
  // Rounded up, so that a request is not sent early.
  return {reserved.made, std::chrono::ceil<milliseconds>(reserved.wait)};
}

void target_limit_service::AskPacer(const std::string& address,
                                    const std::string& target,
                                    milliseconds max_wait,
                                    permit_handler handler) {
  json question = Statement(target);
  question["max_wait_ms"] = max_wait.count();
  const auto shared = std::make_shared<permit_handler>(std::move(handler));
  peers_.Post(
      address, kTakePath, question,
      [this, target, max_wait, shared](const http_response& response) {
        permit answer{false, kMovedRetryAfter};
        try {
          const json body = json::parse(response.body);
          answer.wait = ReadMilliseconds(body, "wait_ms", kMaxWait);
          // A caller is not kept for longer than the request may wait.
          answer.granted =
              body.at("granted").get<bool>() && answer.wait <= max_wait;
          LearnStatement(body);
        } catch (const json::exception&) {
          state_.counters.Add("limit.answer_unreadable");
        }
        if (!answer.granted) {
          state_.targets.ReportNoRoom(target, BootTimeNow() + answer.wait);
        }
        (*shared)(answer);
      },
      [this, target, address, shared](http_failure, const std::string&) {
        // A permit that was granted and lost stays unused.
        state_.counters.Add("limit.pacer_lost");
        Log(log_level::warning, "gateway that paces a target is unreachable",
            {{"target", target},
             {"pacer", address},
             {"not_asked_for_ms", peer_client::kAvoidDuration.count()}});
        peers_.Avoid(address);
        state_.targets.ReportNoRoom(
            target, BootTimeNow() + peer_client::kAvoidDuration);
        (*shared)({false, peer_client::kAvoidDuration});
      });
}

void target_limit_service::OnAnswer(const std::string& target,
                                    std::optional<double> rate) {
  if (!Learn(target, {rate, BootTimeNow()}, "answer")) {
    return;
  }
  const member_record* pacer = PacerOf(target);
  if (IsSelf(pacer) || peers_.IsAvoided(pacer->peer_address)) {
    return;
  }
  peers_.Post(
      pacer->peer_address, kTellPath, Statement(target),
      [](const http_response&) {},
      [this](http_failure, const std::string&) {
        // The pacer learns it from the next question.
        state_.counters.Add("limit.tell_lost");
      });
}

bool target_limit_service::Learn(const std::string& target,
                                 const target_limit& limit,
                                 const char* source) {
  const std::optional<target_limit> before = state_.targets.Limit(target);
  if (!state_.targets.LearnLimit(target, limit)) {
    return false;
  }
  const bool limited = limit.rate.has_value();
  if (!limited) {
    pacer_.Remove(target);
  }
  state_.counters.Add(limited ? "limit.named" : "limit.lifted");
  const member_record* pacer = PacerOf(target);
  Log(log_level::info,
      limited ? "target limits its requests" : "target lifts its limit",
      {{"target", target},
       {"rate", limit.rate.value_or(-1)},
       {"rate_before", before && before->rate ? *before->rate : -1},
       {"source", source},
       {"age_ms", ToMilliseconds(BootTimeNow() - limit.at).count()},
       {"pacer", pacer == nullptr ? settings_.host : pacer->host}});
  if (limited && IsSelf(pacer)) {
    Publish(target, *limit.rate);
  }
  return true;
}

void target_limit_service::Publish(const std::string& target, double rate) {
  publisher_.Publish(kLimitsPrefix + target, json{{"rate", rate}}.dump(),
                     kRecordLifetime);
}

void target_limit_service::OnRegistry(const std::vector<kv_entry>& entries) {
  const std::string prefix = kLimitsPrefix;
  std::set<std::string> listed;
  for (const kv_entry& entry : entries) {
    if (entry.key.rfind(prefix, 0) != 0) {
      continue;
    }
    const std::string target = entry.key.substr(prefix.size());
    const std::optional<double> rate = DecodeRate(entry.value);
    if (!rate) {
      state_.counters.Add("limit_entry_unreadable");
      continue;
    }
    listed.insert(target);
    const std::optional<target_limit> known = state_.targets.Limit(target);
    if (listed_.count(target) == 0) {
      // The record is new; how old the target's statement is isn't known.
      Learn(target, {rate, BootTimeNow()}, "listing");
    } else if (known && !known->rate && Paces(target)) {
      publisher_.Remove(entry.key, entry.version);
    }
  }
  // The lease has ended, or the gateway that paced the target before has
  // stopped.
  for (const std::string& target : state_.targets.LimitedTargets()) {
    if (listed.count(target) == 0 && Paces(target)) {
      Publish(target, *state_.targets.Limit(target)->rate);
    }
  }
  listed_ = std::move(listed);
}

json target_limit_service::Statement(const std::string& target) const {
  const std::optional<target_limit> limit = state_.targets.Limit(target);
  json statement = {{"target", target}};
  if (limit) {
    statement["age_ms"] = ToMilliseconds(BootTimeNow() - limit->at).count();
    statement["rate"] = limit->rate ? json(*limit->rate) : json();
  }
  return statement;
}

std::optional<target_limit> target_limit_service::LearnStatement(
    const json& statement) {
  if (!statement.contains("age_ms")) {
    return std::nullopt;
  }
  target_limit limit;
  const json& rate = statement.at("rate");
  if (!rate.is_null()) {
    limit.rate = rate.get<double>();
  }
  limit.at = BootTimeNow() - ReadMilliseconds(statement, "age_ms", kMaxAge);
  Learn(statement.at("target").get<std::string>(), limit, "peer");
  return limit;
}

bool target_limit_service::AnswerPeer(
    const std::shared_ptr<http_exchange>& exchange) {
  const std::string path = exchange->request().Path();
  if (path != kTakePath && path != kTellPath) {
    return false;
  }
  try {
    const json body = json::parse(exchange->request().body);
    const std::optional<target_limit> told = LearnStatement(body);
    if (path == kTellPath) {
      exchange->Respond(JsonResponse(kOk, json::object()));
      return true;
    }
    const auto target = body.at("target").get<std::string>();
    const permit decided =
        IsSelf(PacerOf(target))
            ? TakeLocally(target, told ? told->rate : std::nullopt,
                          ReadMilliseconds(body, "max_wait_ms", kMaxWait))
            : permit{false, kMovedRetryAfter};
    json answer = Statement(target);
    answer["granted"] = decided.granted;
    answer["wait_ms"] = decided.wait.count();
    exchange->Respond(JsonResponse(kOk, answer));
  } catch (const json::exception& failure) {
    exchange->Respond(JsonResponse(kBadRequest, {{"error", failure.what()}}));
  }
  return true;
}

}  // namespace gentian
