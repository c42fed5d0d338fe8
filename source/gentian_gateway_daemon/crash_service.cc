#include "gentian_gateway_daemon/crash_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gentian_gateway_daemon/message_time.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr const char* kReportPath = "/crashes/report";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr milliseconds kPeerTimeout{200};
constexpr milliseconds kPeerConnectTimeout{100};
// An answer that a target had sent before it ended arrives within this time.
constexpr milliseconds kLateAnswer{100};
// Bounds the times in a message of another gateway, in case it is damaged.
constexpr milliseconds kMaxTime{900'000};

json EncodeCrash(const target_crash& crash, steady_time now) {
  return {{"content", crash.content},
          {"target", crash.target},
          {"start", crash.target_start},
          {"sent_ms_ago", ToMilliseconds(now - crash.sent_at).count()},
          {"ended_ms_ago", ToMilliseconds(now - crash.ended_at).count()},
          {"partly_answered", crash.has_answered_partly},
          {"service_targets", crash.service_targets}};
}

target_crash DecodeCrash(const json& message, steady_time now) {
  return {message.at("content").get<std::string>(),
          message.at("target").get<std::string>(),
          message.at("start").get<std::uint64_t>(),
          now - ReadMilliseconds(message, "sent_ms_ago", kMaxTime),
          now - ReadMilliseconds(message, "ended_ms_ago", kMaxTime),
          message.at("partly_answered").get<bool>(),
          message.at("service_targets").get<std::size_t>()};
}

// The two fingerprints, or one if they are equal.
std::vector<std::string> FingerprintsOf(const request_fingerprint& request) {
  std::vector<std::string> fingerprints = {request.content};
  if (request.origin != request.content) {
    fingerprints.push_back(request.origin);
  }
  return fingerprints;
}

}  // namespace

crash_service::crash_service(http_client& peers,
                             const gateway_settings& settings,
                             gateway_state& state,
                             record_publisher& publisher)
    : peers_(peers, {kPeerTimeout, kPeerConnectTimeout}),
      settings_(settings),
      state_(state),
      publisher_(publisher) {}

const member_record* crash_service::CounterOf(
    const request_fingerprint& request) const {
  return OwnerOf("crashes " + request.origin, state_.membership.members(),
                 [this](const member_record& member) {
                   return member.host == settings_.host
                              ? !state_.stop.HasBegun()
                              : !peers_.IsAvoided(member.peer_address);
                 });
}

bool crash_service::IsSelf(const member_record* counter) const {
  return counter == nullptr || counter->host == settings_.host;
}

bool crash_service::IsSuspect(const request_fingerprint& request) const {
  return history_.IsSuspect(request.content) ||
         history_.IsSuspect(request.origin);
}

void crash_service::OnCrash(const request_fingerprint& request,
                            const target_crash& crash,
                            checked_handler handler) {
  state_.counters.Add("target_ended_under_request");
  for (const std::string& fingerprint : FingerprintsOf(request)) {
    history_.Add(fingerprint, crash, BootTimeNow());
  }
  Check(request, std::move(handler));
}

void crash_service::Check(const request_fingerprint& request,
                          checked_handler handler) {
  const member_record* counter = CounterOf(request);
  if (IsSelf(counter)) {
    for (const std::string& fingerprint : FingerprintsOf(request)) {
      Decide(fingerprint);
    }
    handler();
  } else {
    Post(*counter, request, std::move(handler));
  }
}

json crash_service::Report(const std::string& fingerprint) const {
  const steady_time now = BootTimeNow();
  json crashes = json::array();
  for (const target_crash& crash : history_.CrashesOf(fingerprint)) {
    crashes.push_back(EncodeCrash(crash, now));
  }
  json report = {{"fingerprint", fingerprint}, {"crashes", crashes}};
  if (const auto answered_at = answers_.Find(fingerprint)) {
    report["answered_ms_ago"] = ToMilliseconds(now - *answered_at).count();
  }
  return report;
}

void crash_service::Post(const member_record& counter,
                         const request_fingerprint& request,
                         checked_handler handler) {
  const std::string address = counter.peer_address;
  json reports = json::array();
  for (const std::string& fingerprint : FingerprintsOf(request)) {
    reports.push_back(Report(fingerprint));
  }
  const auto shared = std::make_shared<checked_handler>(std::move(handler));
  peers_.Post(
      address, kReportPath, {{"reports", reports}},
      [this, shared](const http_response& response) {
        OnCounterAnswer(response.body);
        (*shared)();
      },
      [this, request, address, shared](http_failure, const std::string&) {
        Log(log_level::warning, "gateway that counts crashes is unreachable",
            {{"fingerprint", request.content},
             {"counter", address},
             {"not_asked_for_ms", peer_client::kAvoidDuration.count()}});
        // The next crash is reported to the next gateway in order.
        peers_.Avoid(address);
        for (const std::string& fingerprint : FingerprintsOf(request)) {
          Decide(fingerprint);
        }
        (*shared)();
      });
}

void crash_service::OnCounterAnswer(const std::string& body) {
  try {
    const steady_time now = BootTimeNow();
    const json answer = ParseJsonMessage(body);
    for (const json& block : answer.at("blocks")) {
      const auto fingerprint = block.at("fingerprint").get<std::string>();
      const milliseconds left = ReadMilliseconds(block, "left_ms", kMaxTime);
      if (blocked_.Add(fingerprint, left, now)) {
        LogBlock(fingerprint, left, "peer");
      }
    }
  } catch (const json::exception&) {
    state_.counters.Add("crash_answer_unreadable");
  }
}

void crash_service::Decide(const std::string& fingerprint) {
  if (const auto answered_at = answers_.Find(fingerprint)) {
    history_.AddAnswer(fingerprint, *answered_at);
  }
  const bool is_over =
      history_.IsOverLimit(fingerprint, [this](const target_crash& crash) {
        return state_.targets.HasAnsweredAfter(crash.target, crash.target_start,
                                               crash.ended_at + kLateAnswer);
      });
  if (!is_over) {
    return;
  }
  const milliseconds length = blocked_.Block(fingerprint, BootTimeNow());
  if (length.count() > 0) {
    LogBlock(fingerprint, length, "counted here");
    Publish(fingerprint, length);
  }
}

void crash_service::LogBlock(const std::string& fingerprint,
                             milliseconds length,
                             const char* source) const {
  state_.counters.Add("requests_blocked");
  json targets = json::array();
  for (const target_crash& crash : history_.CrashesOf(fingerprint)) {
    targets.push_back(crash.target);
  }
  Log(log_level::warning, "request blocked",
      {{"fingerprint", fingerprint},
       {"source", source},
       {"targets_ended", targets},
       {"for_ms", length.count()}});
}

void crash_service::Publish(const std::string& fingerprint, milliseconds left) {
  publisher_.Publish(
      kBlockedPrefix + fingerprint,
      json{{"until_unix_ms", (UnixTimeNow() + left).count()}}.dump(), left);
}

void crash_service::Learn(const std::string& fingerprint,
                          const std::string& published) {
  const result<json> record = ParseBoundedJson(published);
  const std::int64_t now = UnixTimeNow().count();
  const auto until = Failed(record)
                         ? std::nullopt
                         : FindInteger(ValueOf(record), "until_unix_ms", 0,
                                       now + kMaxTime.count());
  if (!until) {
    state_.counters.Add("blocked_entry_unreadable");
    return;
  }
  const milliseconds left(*until - now);
  if (left.count() > 0 && blocked_.Add(fingerprint, left, BootTimeNow())) {
    LogBlock(fingerprint, left, "listing");
  }
}

void crash_service::OnAnswered(const request_fingerprint& request) {
  const steady_time now = BootTimeNow();
  bool was_suspect = false;
  for (const std::string& fingerprint : FingerprintsOf(request)) {
    answers_.Add(fingerprint, now);
    blocked_.Remove(fingerprint);
    was_suspect |= history_.AddAnswer(fingerprint, now);
  }
  if (!was_suspect) {
    return;
  }
  const member_record* counter = CounterOf(request);
  if (!IsSelf(counter)) {
    Post(*counter, request, [] {});
  }
}

milliseconds crash_service::BlockedFor(
    const request_fingerprint& request) const {
  const steady_time now = BootTimeNow();
  return std::chrono::ceil<milliseconds>(
      std::max(blocked_.TimeLeft(request.content, now),
               blocked_.TimeLeft(request.origin, now)));
}

void crash_service::OnRegistry(const std::vector<kv_entry>& entries) {
  const std::string prefix = kBlockedPrefix;
  std::set<std::string> listed;
  for (const kv_entry& entry : entries) {
    if (entry.key.rfind(prefix, 0) == 0) {
      const std::string fingerprint = entry.key.substr(prefix.size());
      listed.insert(fingerprint);
      Learn(fingerprint, entry.value);
    }
  }
  // Leases may end early in an outage of the key-value service.
  const steady_time now = BootTimeNow();
  for (const std::string& fingerprint : blocked_.Current(now)) {
    if (listed.count(fingerprint) == 0 &&
        IsSelf(CounterOf({fingerprint, fingerprint}))) {
      Publish(fingerprint, ToMilliseconds(blocked_.TimeLeft(fingerprint, now)));
    }
  }
}

bool crash_service::AnswerPeer(const std::shared_ptr<http_exchange>& exchange) {
  if (exchange->request().Path() != kReportPath) {
    return false;
  }
  try {
    const steady_time now = BootTimeNow();
    json blocks = json::array();
    const json body = ParseJsonMessage(exchange->request().body);
    for (const json& report : body.at("reports")) {
      const auto fingerprint = report.at("fingerprint").get<std::string>();
      for (const json& crash : report.at("crashes")) {
        history_.Add(fingerprint, DecodeCrash(crash, now), now);
      }
      if (report.contains("answered_ms_ago")) {
        history_.AddAnswer(
            fingerprint,
            now - ReadMilliseconds(report, "answered_ms_ago", kMaxTime));
      }
      Decide(fingerprint);
      const milliseconds left =
          ToMilliseconds(blocked_.TimeLeft(fingerprint, now));
      if (left.count() > 0) {
        blocks.push_back(
            {{"fingerprint", fingerprint}, {"left_ms", left.count()}});
      }
    }
    exchange->Respond(JsonResponse(kOk, {{"blocks", blocks}}));
  } catch (const json::exception& failure) {
    exchange->Respond(JsonResponse(kBadRequest, {{"error", failure.what()}}));
  }
  return true;
}

}  // namespace gentian
