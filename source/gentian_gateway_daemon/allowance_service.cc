#include "gentian_gateway_daemon/allowance_service.h"

#include <algorithm>
#include <utility>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

using outcome = allowance_verdict::outcome;

constexpr const char* kTakePath = "/allowance/take";
constexpr const char* kReturnPath = "/allowance/return";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// A holder answers within some milliseconds; requests have deadlines of a
// second and more.
constexpr milliseconds kPeerDeadline{200};
constexpr milliseconds kPeerConnectLimit{100};
// A holder that did not answer is not asked for this time; the members' list
// drops it if it is gone.
constexpr milliseconds kUnreachableTime{2'000};
// Holders that one request asks. A second one finds what is left of a part
// that the first has not; more would cost more than they find.
constexpr std::size_t kMaxAsked = 2;
// A holder that is new does not grant yet.
constexpr milliseconds kNotYetWait{300};

}  // namespace

allowance_service::allowance_service(http_client& peers,
                                     const gateway_settings& settings,
                                     gateway_state& state)
    : peers_(peers), state_(state), self_(MemberKey(settings.host)) {}

allowance_verdict allowance_service::TakeHere(const gateway_team& team) {
  const steady_time now = BootTimeNow();
  if (!state_.holders.MayGrant(team.name, now)) {
    return {outcome::refused, kNotYetWait, ""};
  }
  const auto wait = state_.allowances.Take(
      team, state_.holders.HoldersOf(team.name).size(), now);
  return wait ? allowance_verdict{outcome::refused, *wait, ""}
              : allowance_verdict{outcome::granted, milliseconds(0), self_};
}

void allowance_service::Take(const gateway_team& team,
                             const std::string& request_id,
                             verdict_handler handler) {
  if (team.rate <= 0) {
    handler({outcome::granted, milliseconds(0), ""});
    return;
  }
  const steady_time now = BootTimeNow();
  if (state_.holders.MayGrant(team.name, now)) {
    handler(TakeHere(team));
    return;
  }
  const std::vector<std::string>& holders = state_.holders.HoldersOf(team.name);
  const auto subject = std::make_shared<asking>();
  subject->team = team;
  subject->handler = std::move(handler);
  const std::size_t start =
      holders.empty() ? 0 : StableHash(request_id) % holders.size();
  for (std::size_t i = 0;
       i < holders.size() && subject->holders.size() < kMaxAsked; ++i) {
    const std::string& holder = holders[(start + i) % holders.size()];
    const auto avoided = unreachable_.find(holder);
    if (holder != self_ && !PeerAddressOf(holder).empty() &&
        (avoided == unreachable_.end() || now >= avoided->second)) {
      subject->holders.push_back(holder);
    }
  }
  AskNext(subject);
}

void allowance_service::AskNext(const std::shared_ptr<asking>& subject) {
  if (subject->next == subject->holders.size()) {
    subject->handler(subject->verdict);
    return;
  }
  const std::string holder = subject->holders[subject->next++];
  peers_.Fetch(
      PeerRequest(holder, kTakePath, subject->team.name),
      [this, subject, holder](const http_response& response) {
        const json answer = json::parse(response.body, nullptr, false);
        if (!answer.is_object() || !answer.contains("wait_ms")) {
          state_.counters.Add("allowance_answer_unreadable");
          AskNext(subject);
          return;
        }
        const milliseconds wait(answer.value("wait_ms", milliseconds::rep{0}));
        Heard(subject, wait.count() == 0
                           ? allowance_verdict{outcome::granted, wait, holder}
                           : allowance_verdict{outcome::refused, wait, ""});
      },
      [this, subject, holder](http_failure, const std::string&) {
        // The right may have been taken; it is lost to the team.
        state_.counters.Add("allowance_holder_lost");
        Log(log_level::warning, "allowance holder not reachable",
            {{"holder", holder},
             {"team", subject->team.name},
             {"not_asked_for_ms", kUnreachableTime.count()}});
        unreachable_[holder] = BootTimeNow() + kUnreachableTime;
        AskNext(subject);
      });
}

void allowance_service::Heard(const std::shared_ptr<asking>& subject,
                              const allowance_verdict& verdict) {
  if (verdict.result == outcome::granted) {
    subject->handler(verdict);
    return;
  }
  const bool first = subject->verdict.result != outcome::refused;
  subject->verdict.result = outcome::refused;
  subject->verdict.wait =
      first ? verdict.wait : std::min(subject->verdict.wait, verdict.wait);
  AskNext(subject);
}

void allowance_service::Return(const gateway_team& team,
                               const std::string& holder) {
  if (holder == self_) {
    state_.allowances.Return(
        team,
        std::max<std::size_t>(1, state_.holders.HoldersOf(team.name).size()));
    return;
  }
  if (PeerAddressOf(holder).empty()) {
    return;
  }
  peers_.Fetch(
      PeerRequest(holder, kReturnPath, team.name), [](const http_response&) {},
      [this](http_failure, const std::string&) {
        // The team has one request less until its part has refilled.
        state_.counters.Add("allowance_return_lost");
      });
}

bool allowance_service::AnswerPeer(
    const std::shared_ptr<http_exchange>& exchange) {
  const std::string path = exchange->request().Path();
  if (path != kTakePath && path != kReturnPath) {
    return false;
  }
  const json body = json::parse(exchange->request().body, nullptr, false);
  const shared_configuration configuration = state_.configuration.current();
  const gateway_team* team =
      body.is_object() && configuration
          ? configuration->FindTeam(body.value("team", ""))
          : nullptr;
  if (team == nullptr) {
    exchange->Respond(JsonResponse(kBadRequest, {{"error", "unknown team"}}));
  } else if (path == kReturnPath) {
    Return(*team, self_);
    exchange->Respond(JsonResponse(kOk, json::object()));
  } else {
    const allowance_verdict verdict = TakeHere(*team);
    exchange->Respond(JsonResponse(kOk, {{"wait_ms", verdict.wait.count()}}));
  }
  return true;
}

std::string allowance_service::PeerAddressOf(const std::string& holder) const {
  const auto found = state_.members.find(holder);
  return found == state_.members.end() ? "" : found->second.peer_address;
}

http_client_request allowance_service::PeerRequest(
    const std::string& holder,
    const char* path,
    const std::string& team) const {
  http_client_request request;
  request.address = PeerAddressOf(holder);
  request.method = "POST";
  request.target = path;
  request.body = json{{"team", team}}.dump();
  request.deadline = kPeerDeadline;
  request.connect_limit = kPeerConnectLimit;
  request.reuse_connection = true;
  return request;
}

}  // namespace gentian
