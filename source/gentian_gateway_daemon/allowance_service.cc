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
// A holder answers within a few milliseconds, and requests have deadlines of
// at least a second.
constexpr milliseconds kPeerTimeout{200};
constexpr milliseconds kPeerConnectTimeout{100};
// A second holder may have tokens left when the first has none. Asking more
// holders costs more than it gains.
constexpr std::size_t kMaxHoldersQueried = 2;
// A new holder doesn't grant yet; the caller retries after this delay.
constexpr milliseconds kNewHolderRetryAfter{300};

}  // namespace

allowance_service::allowance_service(http_client& peers,
                                     const gateway_settings& settings,
                                     gateway_state& state)
    : peers_(peers, {kPeerTimeout, kPeerConnectTimeout}),
      state_(state),
      self_(MemberKey(settings.host)) {}

allowance_verdict allowance_service::TakeLocally(const gateway_team& team) {
  const auto wait = state_.allowances.Take(
      team, state_.holders.HoldersOf(team.name).size(), BootTimeNow());
  return wait ? allowance_verdict{outcome::refused, *wait, ""}
              : allowance_verdict{outcome::granted, milliseconds(0), self_};
}

bool allowance_service::MayGrant(const gateway_team& team) const {
  return state_.holders.MayGrant(team.name, BootTimeNow());
}

void allowance_service::Take(const gateway_team& team,
                             const std::string& request_id,
                             verdict_handler handler) {
  if (team.rate <= 0) {
    handler({outcome::granted, milliseconds(0), ""});
    return;
  }
  if (MayGrant(team)) {
    handler(TakeLocally(team));
    return;
  }
  const std::vector<std::string>& holders = state_.holders.HoldersOf(team.name);
  const auto subject = std::make_shared<holder_query>();
  subject->team = team.name;
  subject->handler = std::move(handler);
  const std::size_t start =
      holders.empty() ? 0 : StableHash(request_id) % holders.size();
  for (std::size_t i = 0;
       i < holders.size() && subject->holders.size() < kMaxHoldersQueried;
       ++i) {
    const std::string& holder = holders[(start + i) % holders.size()];
    const std::string address = PeerAddressOf(holder);
    if (holder != self_ && !address.empty() && !peers_.IsAvoided(address)) {
      subject->holders.push_back(holder);
    }
  }
  QueryNextHolder(subject);
}

void allowance_service::QueryNextHolder(
    const std::shared_ptr<holder_query>& subject) {
  if (subject->next == subject->holders.size()) {
    subject->handler(subject->verdict);
    return;
  }
  const std::string holder = subject->holders[subject->next++];
  const std::string address = PeerAddressOf(holder);
  peers_.Post(
      address, kTakePath, {{"team", subject->team}},
      [this, subject, holder](const http_response& response) {
        const json answer = json::parse(response.body, nullptr, false);
        if (!answer.is_object() || !answer.contains("wait_ms") ||
            !answer["wait_ms"].is_number_integer()) {
          state_.counters.Add("allowance_answer_unreadable");
          QueryNextHolder(subject);
          return;
        }
        const milliseconds wait(answer["wait_ms"].get<milliseconds::rep>());
        OnHolderVerdict(subject,
                        wait.count() == 0
                            ? allowance_verdict{outcome::granted, wait, holder}
                            : allowance_verdict{outcome::refused, wait, ""});
      },
      [this, subject, holder, address](http_failure, const std::string&) {
        // The holder may have charged the team; that token is lost.
        state_.counters.Add("allowance_holder_lost");
        Log(log_level::warning, "allowance holder is unreachable",
            {{"holder", holder},
             {"team", subject->team},
             {"not_asked_for_ms", peer_client::kAvoidDuration.count()}});
        peers_.Avoid(address);
        QueryNextHolder(subject);
      });
}

void allowance_service::OnHolderVerdict(
    const std::shared_ptr<holder_query>& subject,
    const allowance_verdict& verdict) {
  if (verdict.result == outcome::granted) {
    subject->handler(verdict);
    return;
  }
  const bool first = subject->verdict.result != outcome::refused;
  subject->verdict.result = outcome::refused;
  subject->verdict.wait =
      first ? verdict.wait : std::min(subject->verdict.wait, verdict.wait);
  QueryNextHolder(subject);
}

void allowance_service::Return(const gateway_team& team,
                               const std::string& holder) {
  if (holder == self_) {
    state_.allowances.Refund(
        team,
        std::max<std::size_t>(1, state_.holders.HoldersOf(team.name).size()));
    return;
  }
  const std::string address = PeerAddressOf(holder);
  if (address.empty()) {
    return;
  }
  peers_.Post(
      address, kReturnPath, {{"team", team.name}}, [](const http_response&) {},
      [this](http_failure, const std::string&) {
        // The team is one token short until its share refills.
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
      configuration && body.is_object() && body.contains("team") &&
              body["team"].is_string()
          ? configuration->FindTeam(body["team"].get<std::string>())
          : nullptr;
  if (team == nullptr) {
    exchange->Respond(JsonResponse(kBadRequest, {{"error", "unknown team"}}));
  } else if (path == kReturnPath) {
    Return(*team, self_);
    exchange->Respond(JsonResponse(kOk, json::object()));
  } else {
    const allowance_verdict verdict =
        MayGrant(*team)
            ? TakeLocally(*team)
            : allowance_verdict{outcome::refused, kNewHolderRetryAfter, ""};
    exchange->Respond(JsonResponse(kOk, {{"wait_ms", verdict.wait.count()}}));
  }
  return true;
}

std::string allowance_service::PeerAddressOf(const std::string& holder) const {
  const auto found = state_.membership.members().find(holder);
  return found == state_.membership.members().end()
             ? ""
             : found->second.peer_address;
}

}  // namespace gentian
