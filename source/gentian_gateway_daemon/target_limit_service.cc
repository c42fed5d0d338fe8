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
// See ColdRetryDelay.
constexpr milliseconds kMaxColdRetryDelay{2'000};
constexpr double kQuestionsPerPermit = 2;
constexpr double kMinColdRate = 0.1;
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

// The rate of a target at this moment if it is cold or warms up.
std::optional<double> ColdRate(const target_table& targets,
                               const std::string& target) {
  const known_target* known = targets.FindListed(target);
  return known == nullptr ? std::nullopt : known->cold.Rate(BootTimeNow());
}

// Nothing stands for no limit.
std::optional<double> LowerOf(std::optional<double> a,
                              std::optional<double> b) {
  return a && b ? std::min(*a, *b) : a ? a : b;
}

// Time after a refusal in which a gateway doesn't ask again. All gateways
// together ask about twice as often as permits become free; without this, each
// of some hundred gateways would ask for nearly every request.
duration ColdRetryDelay(std::size_t gateways, double rate) {
  return std::min<duration>(
      kMaxColdRetryDelay,
      FromSeconds(static_cast<double>(gateways) /
                  (kQuestionsPerPermit * std::max(rate, kMinColdRate))));
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

const member_record* target_limit_service::PermitGranterOf(
    const std::string& target,
    bool is_cold) const {
  if (!is_cold) {
    return PacerOf(target);
  }
  return OwnerOf(
      "limit " + target, state_.membership.members(),
      [this](const member_record& member) {
        return member.Knows(peer_protocol::cold_targets) &&
               !(state_.stop.HasBegun() && member.host == settings_.host);
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
  const bool is_cold = ColdRate(state_.targets, target).has_value();
  const member_record* pacer = PermitGranterOf(target, is_cold);
  if (IsSelf(pacer)) {
    const permit decided = TakeLocally(target, asker_knowledge(), max_wait);
    if (!decided.granted) {
      ReportNoRoom(target, decided.wait);
    }
    handler(decided);
  } else if (peers_.IsAvoided(pacer->peer_address)) {
    state_.targets.ReportNoRoom(target,
                                BootTimeNow() + peer_client::kAvoidDuration);
    handler({false, peer_client::kAvoidDuration});
  } else {
    AskPacer(pacer->peer_address, target, max_wait, std::move(handler));
  }
}

duration target_limit_service::ColdHandoverDelay() const {
  return std::max<duration>(kHandoverDelay, state_.members_max_age);
}

// A gateway whose list of members is older may have been replaced: the delay of
// its successor ends after its list has become too old.
bool target_limit_service::MayPaceColdTargets(steady_time now) const {
  return !state_.membership.members().empty() && state_.members_asked_at &&
         now - *state_.members_asked_at <= ColdHandoverDelay();
}

void target_limit_service::ReportNoRoom(const std::string& target,
                                        duration wait) {
  const std::optional<double> cold_rate = ColdRate(state_.targets, target);
  if (cold_rate) {
    wait = std::max(
        wait, ColdRetryDelay(state_.membership.members().size(), *cold_rate));
  }
  state_.targets.ReportNoRoom(target, BootTimeNow() + wait);
}

target_limit_service::permit target_limit_service::TakeLocally(
    const std::string& target,
    const asker_knowledge& asker,
    milliseconds max_wait) {
  const steady_time now = BootTimeNow();
  const std::optional<target_limit> limit = state_.targets.Limit(target);
  const std::optional<double> rate = limit ? limit->rate : asker.rate;
  const std::optional<double> cold_rate =
      LowerOf(ColdRate(state_.targets, target), asker.cold_rate);
  if (!cold_rate) {
    return rate ? Reserve({target, *rate, max_wait,
                           state_.members_changed_at + kHandoverDelay},
                          now)
                : permit{true, milliseconds(0)};
  }
  if (!MayPaceColdTargets(now)) {
    state_.counters.Add("cold_permit.members_unknown");
    return {false, kMovedRetryAfter};
  }
  const known_target* known = state_.targets.FindListed(target);
  const permit decided =
      Reserve({target, *LowerOf(rate, cold_rate), max_wait,
               state_.members_change_read_at + ColdHandoverDelay(),
               known == nullptr ? duration(0) : known->cold.burst()},
              now);
  state_.counters.Add(decided.granted ? "cold_permit.granted"
                                      : "cold_permit.refused");
  return decided;
}

target_limit_service::permit target_limit_service::Reserve(
    const target_pacer::request& subject,
    steady_time now) {
  const target_pacer::reservation reserved = pacer_.Reserve(subject, now);
  state_.counters.Add(reserved.made ? "limit.granted" : "limit.refused");
  if (!reserved.made) {
    state_.targets.ReportNoRoom(subject.target, now + reserved.wait);
  }
  // Rounded up, so that a request is not sent early.
  return {reserved.made, std::chrono::ceil<milliseconds>(reserved.wait)};
}

void target_limit_service::AskPacer(const std::string& address,
                                    const std::string& target,
                                    milliseconds max_wait,
                                    permit_handler handler) {
  json question = Statement(target);
  if (const auto cold_rate = ColdRate(state_.targets, target)) {
    question["cold_rate"] = *cold_rate;
  }
  question["max_wait_ms"] = max_wait.count();
  const auto shared = std::make_shared<permit_handler>(std::move(handler));
  peers_.Post(
      address, kTakePath, question,
      [this, target, max_wait, shared](const http_response& response) {
        permit answer{false, kMovedRetryAfter};
        try {
          const json body = ParseJsonMessage(response.body);
          answer.wait = ReadMilliseconds(body, "wait_ms", kMaxWait);
          // A caller is not kept for longer than the request may wait.
          answer.granted =
              body.at("granted").get<bool>() && answer.wait <= max_wait;
          LearnStatement(body);
        } catch (const json::exception&) {
          state_.counters.Add("limit.answer_unreadable");
        }
        if (!answer.granted) {
          ReportNoRoom(target, answer.wait);
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

void target_limit_service::OnColdAnswer(const std::string& target,
                                        milliseconds left) {
  if (!state_.targets.ReportCold(target, left, BootTimeNow())) {
    return;
  }
  // The others learn it from the target's record, and its pacer from the next
  // question.
  Log(log_level::info, "target is cold",
      {{"target", target},
       {"source", "answer"},
       {"cold_left_ms", left.count()}});
}

void target_limit_service::ReportColdTargets() {
  const std::vector<std::string> cold =
      state_.targets.ColdTargets(BootTimeNow());
  double granted_rate = 0;
  for (const std::string& target : cold) {
    if (IsSelf(PermitGranterOf(target, true))) {
      granted_rate += ColdRate(state_.targets, target).value_or(0);
    }
  }
  state_.metrics.SetGauge("cold_targets", static_cast<double>(cold.size()));
  state_.metrics.SetGauge("cold_targets_granted_rate", granted_rate);
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
  pacer_.Retain([this](const std::string& target) {
    return Paces(target) || IsSelf(PermitGranterOf(target, true));
  });
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
    const json body = ParseJsonMessage(exchange->request().body);
    const std::optional<target_limit> told = LearnStatement(body);
    if (path == kTellPath) {
      exchange->Respond(JsonResponse(kOk, json::object()));
      return true;
    }
    const auto target = body.at("target").get<std::string>();
    asker_knowledge asker;
    asker.rate = told ? told->rate : std::nullopt;
    if (body.contains("cold_rate")) {
      asker.cold_rate = std::max(0.0, body.at("cold_rate").get<double>());
    }
    const bool is_cold =
        LowerOf(ColdRate(state_.targets, target), asker.cold_rate).has_value();
    const permit decided =
        IsSelf(PermitGranterOf(target, is_cold))
            ? TakeLocally(target, asker,
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
